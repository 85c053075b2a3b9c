"""Recovery after a restart: snapshots, readiness, and the definition of full service."""
