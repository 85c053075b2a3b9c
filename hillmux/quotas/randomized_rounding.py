"""Randomized rounding: a share too small for a request admits it with a probability, not never."""

from __future__ import annotations

import random


def round_to_whole(rng: random.Random, share: float, whole: float) -> float:
    """Return `whole` with probability `share / whole`, else 0; both in the same unit.

    A share of 0 or less, or of `whole` or more, is returned unchanged and draws no random number. The
    expected value is `share`, so on average the shares of all gateways still add up to the total they divide.
    """
    if share >= whole or share <= 0:
        return share
    return whole if rng.random() * whole < share else 0.0
