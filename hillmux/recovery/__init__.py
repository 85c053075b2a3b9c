"""Coming back: what full service is, and how a fleet returns to it."""
