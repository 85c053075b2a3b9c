"""Decisions about requests: admission, retries, time-outs, one final answer. Free of I/O."""
