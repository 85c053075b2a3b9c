"""The operators' interface of a running gateway: metrics, readiness, and disabling hosts."""
