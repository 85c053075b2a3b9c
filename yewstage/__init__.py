"""yewstage: the decisions of a front door that meters many customers' use of one back end."""

from yewstage.policy import Gateway

__all__ = ["Gateway"]
