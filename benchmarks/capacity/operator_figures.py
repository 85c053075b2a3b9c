"""A hollow probe of an operator's traffic: the size of one gateway's response to `vars`."""

from __future__ import annotations

import random

from benchmarks.capacity.probe import OPERATOR, Probe, Values
from benchmarks.capacity.size import FULL
from hillmux.admin.commands import Verb, respond
from hillmux.admin.metrics import MAX_CLASSES, Metrics

OK, REFUSED, FAILED = 200, 429, 502
DAY_S = 86_400
# Gives the metrics as many digits as they have after a full day.
REQUESTS_PER_DAY = int(FULL.requests_per_gateway * DAY_S)
STATUS_SHARES = {OK: 0.9, REFUSED: 0.09, FAILED: 0.01}


class OperatedGateway:
    """The admin interface of a gateway that has served a day at peak load."""

    def __init__(self, classes: int, seed: int) -> None:
        rng = random.Random(seed)
        self._classes = [f"class-{number:03}" for number in range(classes)]
        self._metrics = Metrics()
        for name in self._classes:
            requests = REQUESTS_PER_DAY / classes * rng.uniform(0.5, 1.5)
            self._metrics.served[name] = int(requests * STATUS_SHARES[OK])
            self._metrics.rejected[name] = int(requests * STATUS_SHARES[REFUSED])
            self._metrics.failed[name] = int(requests * STATUS_SHARES[FAILED])
            self._metrics.attempts[name] = int(requests)

    def ready(self) -> bool:
        """Always true."""
        return True

    def phase(self) -> str:
        """Always empty: recovery is not observed."""
        return ""

    def metrics_by_name(self) -> dict[str, object]:
        """All metrics by their public names."""
        return self._metrics.to_dict(self._classes, in_progress=20, known=FULL.hosts, skipped=30)

    def override_host(self, host: str, out: bool) -> str:
        """Accept any override; '' means no error."""
        return ""


def measure(classes: int, seed: int) -> Values:
    """Measure the response of a gateway with `classes` classes."""
    answer = respond(Verb.VARS.encode(), OperatedGateway(classes, seed))
    return {"operator.figures.bytes_per_gateway": float(len(answer))}


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
