"""hillmux: the decisions of a front door that meters many customers' use of one back end."""

from hillmux.decision.gateway import Gateway

__all__ = ["Gateway"]
