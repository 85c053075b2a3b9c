"""Stand-ins that tests and benchmarks share."""
