"""How large the batches are in which use is reported to the counter."""

from __future__ import annotations

from typing import Final

SHARE: Final = 0.37  # part of what remains of a quota that is reported in one batch at most
SPREAD: Final = 2.0  # see `divisor`


def divisor(replicas: int) -> float:
    """How many times smaller than what remains a batch is for a customer that so many gateways serve.

    What independent gateways have not reported adds up like the root of their number once its mean is part of
    the estimate. So for many gateways a batch is `SPREAD x root` times smaller, not as many times as there
    are gateways: G. Cormode, "The continuous distributed monitoring model", SIGMOD Record 42(1), 2013.
    """
    return float(min(replicas, SPREAD * replicas**0.5))
