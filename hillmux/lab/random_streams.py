"""Random numbers of the lab: a separate stream for each actor, seeded by the run's seed and the actor's name.

How much one actor draws does not affect the others, so two runs with the same seed differ only where the
program under test does. Uses numpy's PCG64, seeded as its documentation recommends (a SeedSequence of seed
and name).
"""

from __future__ import annotations

import zlib

import numpy as np

DRAWS_PER_BATCH = 512  # numpy is slow for single draws


def generator(seed: int, name: str) -> np.random.Generator:
    """Return the random generator of the actor with this name."""
    return np.random.default_rng([seed, zlib.crc32(name.encode())])


class Stream:
    """Single random draws of one actor."""

    def __init__(self, seed: int, name: str) -> None:
        self._generator = generator(seed, name)
        self._uniform: list[float] = []

    def uniform(self, low: float = 0.0, high: float = 1.0) -> float:
        """Draw from the uniform distribution on [low, high)."""
        if not self._uniform:
            self._uniform = self._generator.random(DRAWS_PER_BATCH).tolist()
        return low + (high - low) * self._uniform.pop()
