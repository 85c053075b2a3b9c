"""How large the batches are in which use is reported to the counter."""

from __future__ import annotations

from typing import Final

MAX_SHARE: Final = 0.4  # of what remains, reported in one batch at most where many gateways serve
ROOT_FACTOR: Final = 2.0  # see `divisor`


def share(replicas: int, near_limit: bool = False) -> float:
    """The part of what remains that one of so many gateways reports in one batch at most.

    `near_limit`: the others use about all of the refill. All batches together are then no larger than what
    remains, since nothing would make up for what goes beyond it.
    """
    return 1 / replicas if near_limit else max(MAX_SHARE, 1 / replicas)


def divisor(replicas: int, near_limit: bool = False) -> float:
    """How many times smaller than what remains a batch is for a customer that so many gateways serve.

    What independent gateways have not reported adds up like the root of their number once its mean is part of
    the estimate. So for many gateways a batch is `ROOT_FACTOR` x root times smaller, not as many times as
    there are gateways: G. Cormode, "The continuous distributed monitoring model", SIGMOD Record 42(1), 2013.
    """
    return float(replicas if near_limit else min(replicas, ROOT_FACTOR * replicas**0.5))
