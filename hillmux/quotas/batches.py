"""Sizes of the batches in which use is reported to the counter."""

from __future__ import annotations

from typing import Final

MAX_SHARE: Final = 0.4  # largest fraction of what remains in one batch, if three or more gateways serve
ROOT_FACTOR: Final = 2.0  # multiple of the square root of the number of gateways; see `divisor`


def share(replicas: int, near_limit: bool = False) -> float:
    """Return the largest fraction of what remains that one of so many gateways reports in one batch.

    `near_limit`: the others use nearly all of the refill. Then all batches together are no larger than what
    remains, since no spare refill would make up for an excess.
    """
    return 1 / replicas if near_limit else max(MAX_SHARE, 1 / replicas)


def divisor(replicas: int, near_limit: bool = False) -> float:
    """Return the divisor of what remains that gives the batch size if so many gateways serve a customer.

    Once the estimate includes the mean of what independent gateways have not reported, the sum of the rest
    grows with the square root of their number. So the divisor for many gateways is `ROOT_FACTOR` times that
    root instead of their number: G. Cormode, "The continuous distributed monitoring model", SIGMOD Record
    42(1), 2013.
    """
    return float(replicas if near_limit else min(replicas, ROOT_FACTOR * replicas**0.5))
