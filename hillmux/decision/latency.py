"""Expected latency of a request, estimated from earlier responses of its class."""

from __future__ import annotations

from typing import Final

from hillmux import interface as api
from hillmux.decision.request_state import PendingRequest

LATENCY_WEIGHT: Final = 0.05  # weight of a response in the running mean, after the first ones
AVERAGED_RESPONSES: Final = int(1 / LATENCY_WEIGHT)  # first responses, averaged with equal weights
MIN_UNITS: Final = 1e-6  # latencies are divided by units
MIN_LATENCY_MS: Final = 1e-3  # a response that waited unread in this process all the time has 0 ms


def initial_latency_ms(request_class: api.RequestClass) -> float:
    """Return the latency assumed for a class before its first response."""
    return request_class.latency_objective_ms / 10


class LatencyEstimates:
    """Running mean of each class's latency per quota unit.

    The first responses of a class are averaged with equal weights. A mean that moved slowly from the assumed
    latency to the actual one would make every host that has answered look faster, or slower, than those that
    have not yet.
    """

    __slots__ = ("per_unit_ms", "_response_counts")

    def __init__(self, classes: tuple[api.RequestClass, ...]) -> None:
        self.per_unit_ms = {c.name: initial_latency_ms(c) for c in classes}
        # Responses counted so far, for classes still averaged.
        self._response_counts = {c.name: 0 for c in classes}

    def expected_ms(self, pending: PendingRequest) -> float:
        """Return the expected latency of one attempt of the request."""
        return self.per_unit_ms[pending.request_class.name] * max(pending.request.units, MIN_UNITS)

    def record_response(self, pending: PendingRequest, event: api.AttemptEnded) -> float:
        """Add the latency of a successful response; return its ratio to the latency expected before it.

        The first response of a class has no earlier ones to be compared with: its ratio is 1.
        """
        name = pending.request_class.name
        mean_ms = self.per_unit_ms[name]
        units = max(pending.request.units, MIN_UNITS)
        ratio = event.elapsed_ms / (mean_ms * units)
        if event.actual_units:
            units = max(event.actual_units, MIN_UNITS)
        per_unit_ms = event.elapsed_ms / units
        if self._response_counts and name in self._response_counts:
            return self._average(name, per_unit_ms, ratio)
        self.per_unit_ms[name] = mean_ms + LATENCY_WEIGHT * (per_unit_ms - mean_ms)
        return ratio

    def _average(self, name: str, per_unit_ms: float, ratio: float) -> float:
        """Add one of a class's first responses; return its ratio, 1 for the first."""
        count = self._response_counts.pop(name) + 1
        if count < AVERAGED_RESPONSES:
            self._response_counts[name] = count
        mean_ms = self.per_unit_ms[name]
        self.per_unit_ms[name] = max(mean_ms + (per_unit_ms - mean_ms) / count, MIN_LATENCY_MS)
        return ratio if count > 1 else 1.0

    def learned(self) -> dict[str, float]:
        """Return the means of the classes that have had a response."""
        return {
            name: mean_ms
            for name, mean_ms in self.per_unit_ms.items()
            if self._response_counts.get(name) != 0
        }

    def restore(self, per_unit_ms: dict[str, float]) -> None:
        """Restore the means of another process for the classes that this one has."""
        for name, latency_ms in per_unit_ms.items():
            if name in self.per_unit_ms:
                self.per_unit_ms[name] = latency_ms
                self._response_counts.pop(name, None)

    def change_classes(self, classes: tuple[api.RequestClass, ...], used_names: set[str]) -> None:
        """Apply new classes; old classes are kept if their name is in `used_names`."""
        self.per_unit_ms = {name: latency for name, latency in self.per_unit_ms.items() if name in used_names}
        self._response_counts = {
            name: count for name, count in self._response_counts.items() if name in used_names
        }
        for request_class in classes:
            if request_class.name not in self.per_unit_ms:
                self.per_unit_ms[request_class.name] = initial_latency_ms(request_class)
                self._response_counts[request_class.name] = 0
