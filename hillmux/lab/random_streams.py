"""Random numbers of the lab: one seed, a stream of its own for each actor.

An actor that draws more or less changes nothing for the others, so two runs of a seed differ only where the
program under test does. numpy's PCG64, seeded as its documentation advises (SeedSequence of seed and name).
"""

from __future__ import annotations

import zlib

import numpy as np

AT_ONCE = 512  # single draws of numpy are slow: they are taken by so many


def generator(seed: int, name: str) -> np.random.Generator:
    """The generator of one actor."""
    return np.random.default_rng([seed, zlib.crc32(name.encode())])


class Stream:
    """Single draws of one actor."""

    def __init__(self, seed: int, name: str) -> None:
        self._generator = generator(seed, name)
        self._uniform: list[float] = []

    def uniform(self, low: float = 0.0, high: float = 1.0) -> float:
        """Even between two bounds."""
        if not self._uniform:
            self._uniform = self._generator.random(AT_ONCE).tolist()
        return low + (high - low) * self._uniform.pop()
