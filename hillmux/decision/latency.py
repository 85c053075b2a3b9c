"""Expected latency of a request, estimated from earlier responses of its class."""

from __future__ import annotations

from math import inf
from typing import Final

from hillmux import interface as api

LATENCY_WEIGHT: Final = 0.05  # weight of a response in the running mean, after the first ones
AVERAGED_RESPONSES: Final = int(1 / LATENCY_WEIGHT)  # first responses, averaged with equal weights
MIN_UNITS: Final = 1e-6  # latencies are divided by units
# Units beyond this multiple or fraction of their class's mean count as that: no setting names the least units
# of a request, so a client or host can name any.
MAX_UNITS_RATIO: Final = 8.0
MIN_UNITS_RATIO: Final = 1 / MAX_UNITS_RATIO
MIN_LATENCY_MS: Final = 1e-3  # a response that waited unread in this process all the time has 0 ms


def initial_latency_ms(request_class: api.RequestClass) -> float:
    """Return the latency assumed for a class before its first response."""
    return request_class.latency_objective_ms / 10


class ClassLatency:
    """The running means of a class's latencies and of its units."""

    __slots__ = ("mean_ms", "mean_units", "min_ratio", "max_ratio", "response_count", "settled")

    def __init__(self, per_unit_ms: float) -> None:
        self.mean_ms = per_unit_ms  # latency of a request with `mean_units`
        self.mean_units = 1.0
        # Bounds of units over their mean: wide until the mean is from responses in this process.
        self.min_ratio, self.max_ratio = MIN_UNITS, inf
        self.response_count = 0  # responses so far, up to AVERAGED_RESPONSES
        self.settled = False  # whether each response has the weight LATENCY_WEIGHT from now on

    def units_ratio(self, units: float) -> float:
        """Return the ratio of units to their mean, within the bounds."""
        ratio = units / self.mean_units
        if ratio > self.max_ratio:
            return self.max_ratio
        return ratio if ratio > self.min_ratio else self.min_ratio

    def set_means(self, latency_ms: float, units: float) -> None:
        """Replace both means, which are from responses from now on."""
        self.mean_ms, self.mean_units = max(latency_ms, MIN_LATENCY_MS), units
        self.min_ratio, self.max_ratio = MIN_UNITS_RATIO, MAX_UNITS_RATIO
        self.settled = self.response_count >= AVERAGED_RESPONSES


class LatencyEstimates:
    """The latency of each class by its units: the mean of its latencies over the mean of its units.

    Latencies are not divided by units one by one: one response with few units would then outweigh thousands.

    The first responses of a class are averaged with equal weights. A mean that moved slowly from the assumed
    latency to the actual one would make every host that has answered look faster, or slower, than those that
    have not yet.
    """

    __slots__ = ("by_class",)

    def __init__(self, classes: tuple[api.RequestClass, ...]) -> None:
        self.by_class = {c.name: ClassLatency(initial_latency_ms(c)) for c in classes}

    def expected_ms(self, class_name: str, units: float) -> float:
        """Return the expected latency of one attempt of a request."""
        estimate = self.by_class[class_name]
        ratio = units / estimate.mean_units  # `units_ratio`, inlined: it is needed for each request
        if ratio > estimate.max_ratio:
            return estimate.mean_ms * estimate.max_ratio
        return estimate.mean_ms * (ratio if ratio > estimate.min_ratio else estimate.min_ratio)

    def record_response(self, class_name: str, units: float, event: api.AttemptEnded) -> float:
        """Add the latency of a successful response to a request of `units`.

        Returns:
            The ratio of the latency to the one expected before. The first response of a class has no earlier
            ones to be compared with: its ratio is 1.
        """
        estimate = self.by_class[class_name]
        units_ratio = estimate.units_ratio(units)
        ratio = event.elapsed_ms / (estimate.mean_ms * units_ratio)
        if not estimate.settled:
            units = max(event.actual_units or units, MIN_UNITS)
            return self._record_first(estimate, units, event.elapsed_ms, ratio)
        if event.actual_units:
            units_ratio = estimate.units_ratio(event.actual_units)
        estimate.mean_units *= 1 + LATENCY_WEIGHT * (units_ratio - 1)
        mean_ms = estimate.mean_ms
        estimate.mean_ms = max(mean_ms + LATENCY_WEIGHT * (event.elapsed_ms - mean_ms), MIN_LATENCY_MS)
        return ratio

    @staticmethod
    def _record_first(estimate: ClassLatency, units: float, latency_ms: float, ratio: float) -> float:
        """Add one of a class's first responses in this process; return its ratio, 1 for the class's first."""
        if estimate.response_count == AVERAGED_RESPONSES:  # restored: only the latency per unit is known
            mean_ms = estimate.mean_ms * units
            estimate.set_means(mean_ms + LATENCY_WEIGHT * (latency_ms - mean_ms), units)
            return ratio
        estimate.response_count += 1
        weight = 1 / estimate.response_count
        estimate.set_means(
            estimate.mean_ms + weight * (latency_ms - estimate.mean_ms),
            estimate.mean_units + weight * (units - estimate.mean_units),
        )
        return ratio if estimate.response_count > 1 else 1.0

    def learned(self) -> dict[str, float]:
        """Return the latencies per unit (ms) of the classes that have had a response."""
        return {
            name: estimate.mean_ms / estimate.mean_units
            for name, estimate in self.by_class.items()
            if estimate.response_count
        }

    def restore(self, per_unit_ms: dict[str, float]) -> None:
        """Restore the latencies per unit (ms) of another process for the classes that this one has."""
        for name, latency_ms in per_unit_ms.items():
            if name in self.by_class:
                estimate = self.by_class[name] = ClassLatency(latency_ms)
                estimate.response_count = AVERAGED_RESPONSES

    def change_classes(self, classes: tuple[api.RequestClass, ...], used_names: set[str]) -> None:
        """Apply new classes; old classes are kept if their name is in `used_names`."""
        self.by_class = {name: estimate for name, estimate in self.by_class.items() if name in used_names}
        for request_class in classes:
            if request_class.name not in self.by_class:
                self.by_class[request_class.name] = ClassLatency(initial_latency_ms(request_class))
