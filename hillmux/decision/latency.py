"""Expected latency of a request, from the latencies of its class."""

from __future__ import annotations

from typing import Final

from hillmux import interface as api
from hillmux.decision.request_state import PendingRequest

LATENCY_WEIGHT: Final = 0.05  # of one response in the running mean
MIN_UNITS: Final = 1e-6  # responses are divided by their units


def initial_latency_ms(request_class: api.RequestClass) -> float:
    """Latency assumed of a class before its first response."""
    return request_class.latency_objective_ms / 10


class LatencyEstimates:
    """Running mean of each class's latency per quota unit."""

    __slots__ = ("per_unit_ms",)

    def __init__(self, classes: tuple[api.RequestClass, ...]) -> None:
        self.per_unit_ms = {c.name: initial_latency_ms(c) for c in classes}

    def expected_ms(self, pending: PendingRequest) -> float:
        """Expected latency of one attempt of the request."""
        return self.per_unit_ms[pending.request_class.name] * max(pending.request.units, MIN_UNITS)

    def record_response(self, pending: PendingRequest, event: api.AttemptEnded) -> float:
        """Add the latency of a successful response; returns its ratio to what was expected until then."""
        name = pending.request_class.name
        mean_ms = self.per_unit_ms[name]
        units = max(pending.request.units, MIN_UNITS)
        ratio = event.elapsed_ms / (mean_ms * units)
        if event.actual_units:
            units = max(event.actual_units, MIN_UNITS)
        self.per_unit_ms[name] = mean_ms + LATENCY_WEIGHT * (event.elapsed_ms / units - mean_ms)
        return ratio

    def change(self, classes: tuple[api.RequestClass, ...], used: set[str]) -> None:
        """Take over new classes; of the old ones those stay whose name is in `used`."""
        self.per_unit_ms = {name: latency for name, latency in self.per_unit_ms.items() if name in used}
        for request_class in classes:
            self.per_unit_ms.setdefault(request_class.name, initial_latency_ms(request_class))
