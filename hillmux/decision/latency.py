"""Expected latency of a request, from the latencies of its class."""

from __future__ import annotations

from typing import Final

from hillmux import interface as api
from hillmux.decision.request_state import PendingRequest

LATENCY_WEIGHT: Final = 0.05  # of one response in the running mean, once there are enough for it
AVERAGED_RESPONSES: Final = int(1 / LATENCY_WEIGHT)
MIN_UNITS: Final = 1e-6  # responses are divided by their units
MIN_LATENCY_MS: Final = 1e-3  # a response that waited unread in this process for all of its time took 0 ms


def initial_latency_ms(request_class: api.RequestClass) -> float:
    """Latency assumed of a class before its first response."""
    return request_class.latency_objective_ms / 10


class LatencyEstimates:
    """Running mean of each class's latency per quota unit.

    The first responses of a class are averaged. A mean that crept from the assumed latency to the real one
    would make every host that has answered look faster, or slower, than those that have not yet.
    """

    __slots__ = ("per_unit_ms", "_averaged")

    def __init__(self, classes: tuple[api.RequestClass, ...]) -> None:
        self.per_unit_ms = {c.name: initial_latency_ms(c) for c in classes}
        self._averaged = {c.name: 0 for c in classes}  # responses so far, of classes with few of them

    def expected_ms(self, pending: PendingRequest) -> float:
        """Expected latency of one attempt of the request."""
        return self.per_unit_ms[pending.request_class.name] * max(pending.request.units, MIN_UNITS)

    def record_response(self, pending: PendingRequest, event: api.AttemptEnded) -> float:
        """Add the latency of a successful response; returns its ratio to what was expected until then.

        The first response of a class has nothing to be compared with: its ratio is 1.
        """
        name = pending.request_class.name
        mean_ms = self.per_unit_ms[name]
        units = max(pending.request.units, MIN_UNITS)
        ratio = event.elapsed_ms / (mean_ms * units)
        if event.actual_units:
            units = max(event.actual_units, MIN_UNITS)
        per_unit_ms = event.elapsed_ms / units
        if self._averaged and name in self._averaged:
            return self._average(name, per_unit_ms, ratio)
        self.per_unit_ms[name] = mean_ms + LATENCY_WEIGHT * (per_unit_ms - mean_ms)
        return ratio

    def _average(self, name: str, per_unit_ms: float, ratio: float) -> float:
        """Add one of a class's first responses."""
        count = self._averaged.pop(name) + 1
        if count < AVERAGED_RESPONSES:
            self._averaged[name] = count
        mean_ms = self.per_unit_ms[name]
        self.per_unit_ms[name] = max(mean_ms + (per_unit_ms - mean_ms) / count, MIN_LATENCY_MS)
        return ratio if count > 1 else 1.0

    def learned(self) -> dict[str, float]:
        """The means of the classes that have had a response."""
        return {name: mean_ms for name, mean_ms in self.per_unit_ms.items() if self._averaged.get(name) != 0}

    def restore(self, per_unit_ms: dict[str, float]) -> None:
        """Take over what another process has learned of classes that are known here."""
        for name, latency_ms in per_unit_ms.items():
            if name in self.per_unit_ms:
                self.per_unit_ms[name] = latency_ms
                self._averaged.pop(name, None)

    def change(self, classes: tuple[api.RequestClass, ...], used: set[str]) -> None:
        """Take over new classes; of the old ones those stay whose name is in `used`."""
        self.per_unit_ms = {name: latency for name, latency in self.per_unit_ms.items() if name in used}
        self._averaged = {name: count for name, count in self._averaged.items() if name in used}
        for request_class in classes:
            if request_class.name not in self.per_unit_ms:
                self.per_unit_ms[request_class.name] = initial_latency_ms(request_class)
                self._averaged[request_class.name] = 0
