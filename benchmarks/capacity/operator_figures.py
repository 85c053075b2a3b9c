"""A hollow probe of what an operator's machine reads: the answer to `vars` of one gateway."""

from __future__ import annotations

import random

from benchmarks.capacity.probe import OPERATOR, Probe, Values
from benchmarks.capacity.size import FULL
from hillmux.admin.commands import Verb, respond
from hillmux.admin.metrics import MAX_CLASSES, Metrics

OK, REFUSED, FAILED = 200, 429, 502
DAY_S = 86_400
REQUESTS = int(FULL.requests_per_gateway * DAY_S)  # of a day: as many digits as figures have then
PARTS = {OK: 0.9, REFUSED: 0.09, FAILED: 0.01}


class Operated:
    """A gateway after a day at the peak, as its operators see it."""

    def __init__(self, classes: int, seed: int) -> None:
        rng = random.Random(seed)
        self._classes = [f"class-{number:03}" for number in range(classes)]
        self._counts = Metrics()
        for name in self._classes:
            requests = REQUESTS / classes * rng.uniform(0.5, 1.5)
            self._counts.served[name] = int(requests * PARTS[OK])
            self._counts.rejected[name] = int(requests * PARTS[REFUSED])
            self._counts.failed[name] = int(requests * PARTS[FAILED])
            self._counts.attempts[name] = int(requests)

    def ready(self) -> bool:
        """It serves."""
        return True

    def phase(self) -> str:
        """Nobody looks."""
        return ""

    def metrics_by_name(self) -> dict[str, object]:
        """All figures under their public names."""
        return self._counts.to_dict(self._classes, in_progress=20, known=FULL.hosts, skipped=30)

    def override_host(self, host: str, out: bool) -> str:
        """It always holds."""
        return ""


def measure(classes: int, seed: int) -> Values:
    """One answer of a gateway with so many classes."""
    told = respond(Verb.VARS.encode(), Operated(classes, seed))
    return {"operator.figures.bytes_per_gateway": float(len(told))}


PROBES = (
    Probe(
        name="operator.figures",
        role=OPERATOR,
        axis="classes of requests",
        sizes=(3, 30, 100, MAX_CLASSES),
        figures={"operator.figures.bytes_per_gateway": "bytes an answer"},
        measure=measure,
        small=3,
        note="the connection, and the operator's own program; counts as long as after a day at the peak",
    ),
)
