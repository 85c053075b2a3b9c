"""Parts of one unit."""

from __future__ import annotations

import random


def draw(rng: random.Random, part: float, whole: float) -> float:
    """A part of one unit serves nobody: a fair draw for the whole keeps the sum of all gateways right."""
    if part >= whole or part <= 0:
        return part
    return whole if rng.random() * whole < part else 0.0
