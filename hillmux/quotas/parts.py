"""Parts of one unit: a share too small to serve a request serves it by chance."""

from __future__ import annotations

import random


def draw(rng: random.Random, part: float, whole: float) -> float:
    """The whole with the chance `part / whole`, else 0; both in units.

    Parts of 0 or less, or of the whole or more, are returned as they are, and draw no random number.
    A part of a unit serves nobody: the fair draw keeps the sum over all gateways at the sum of their parts.
    """
    if part >= whole or part <= 0:
        return part
    return whole if rng.random() * whole < part else 0.0
