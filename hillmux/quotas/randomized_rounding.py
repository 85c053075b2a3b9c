"""Randomized rounding: a share too small to serve a request serves it by chance."""

from __future__ import annotations

import random


def round_to_whole(rng: random.Random, share: float, whole: float) -> float:
    """`whole` with the probability `share / whole`, else 0; both in the same unit.

    A share of 0 or less, or of `whole` or more, is returned as it is and draws no random number. The mean is
    kept, so the shares of all gateways still add up to what they divide among themselves.
    """
    if share >= whole or share <= 0:
        return share
    return whole if rng.random() * whole < share else 0.0
