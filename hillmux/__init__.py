"""hillmux: an API gateway that enforces the quotas of many customers of a shared fleet of hosts."""

from hillmux.decision.gateway import Gateway

__all__ = ["Gateway"]
