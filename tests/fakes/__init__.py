"""Fakes shared by tests and benchmarks."""
