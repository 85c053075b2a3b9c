"""The counters since the start of the process that operators read. Free of I/O."""

from __future__ import annotations

from dataclasses import dataclass, field

MAX_CLASSES = 256  # bounds the memory: clients may send any number of class names
REJECTED_STATUSES = frozenset((429, 503))
MIN_ERROR_STATUS = 400


@dataclass(slots=True)
class Metrics:
    """Counters of requests and attempts by class, and of reloads of the configuration."""

    served: dict[str, int] = field(default_factory=dict)
    rejected: dict[str, int] = field(default_factory=dict)
    failed: dict[str, int] = field(default_factory=dict)
    attempts: dict[str, int] = field(default_factory=dict)  # requests written completely to a host
    config_reloads: int = 0
    config_reload_errors: int = 0

    def count_answer(self, class_name: str, status: int) -> None:
        """Count the final response to a request, by its HTTP status."""
        if status < MIN_ERROR_STATUS:
            _count(self.served, class_name)
        elif status in REJECTED_STATUSES:
            _count(self.rejected, class_name)
        else:
            _count(self.failed, class_name)

    def count_attempt(self, class_name: str) -> None:
        """Count an attempt that has been written completely."""
        _count(self.attempts, class_name)

    def to_dict(self, classes: list[str], in_progress: int, known: int, skipped: int) -> dict[str, object]:
        """All metrics under their public names; `classes` are included with 0 before their first request."""
        return {
            "passed": _by_class(self.served, classes),
            "dropped": _by_class(self.rejected, classes),
            "bad_gateway": _by_class(self.failed, classes),
            "upstream_tries": sum(self.attempts.values()),
            "in_progress": in_progress,
            "known_hosts": known,
            "skipped_hosts": skipped,
            "loads": self.config_reloads,
            "load_errors": self.config_reload_errors,
        }


def _count(counts: dict[str, int], class_name: str) -> None:
    if class_name in counts or len(counts) < MAX_CLASSES:
        counts[class_name] = counts.get(class_name, 0) + 1


def _by_class(counts: dict[str, int], classes: list[str]) -> dict[str, int]:
    return {name: counts.get(name, 0) for name in dict.fromkeys([*classes, *counts])}
