"""What a process has done since its start, as its operators read it. Free of I/O."""

from __future__ import annotations

from dataclasses import dataclass, field

MAX_CLASSES = 256  # classes counted apart; names may be ever new


@dataclass(slots=True)
class Metrics:
    """Counts from 0 at the start of the process; requests and attempts by class."""

    served: dict[str, int] = field(default_factory=dict)  # served
    rejected: dict[str, int] = field(default_factory=dict)  # refused
    failed: dict[str, int] = field(default_factory=dict)
    attempts: dict[str, int] = field(default_factory=dict)  # attempts written whole to hosts
    config_reloads: int = 0  # configurations taken at SIGHUP
    config_reload_errors: int = 0  # and turned down

    def count_answer(self, class_name: str, status: int) -> None:
        """One final answer."""
        counts = self.served if status < 400 else self.rejected if status in (429, 503) else self.failed
        if class_name in counts or len(counts) < MAX_CLASSES:
            counts[class_name] = counts.get(class_name, 0) + 1

    def count_attempt(self, class_name: str) -> None:
        """One attempt has left whole."""
        if class_name in self.attempts or len(self.attempts) < MAX_CLASSES:
            self.attempts[class_name] = self.attempts.get(class_name, 0) + 1

    def to_dict(self, classes: list[str], in_progress: int, known: int, skipped: int) -> dict[str, object]:
        """All of them under their public names; `classes` stand there with 0 before their first request."""

        def by_class(counts: dict[str, int]) -> dict[str, int]:
            return {name: counts.get(name, 0) for name in dict.fromkeys([*classes, *counts])}

        return {
            "passed": by_class(self.served),
            "dropped": by_class(self.rejected),
            "bad_gateway": by_class(self.failed),
            "upstream_tries": sum(self.attempts.values()),
            "in_progress": in_progress,
            "known_hosts": known,
            "skipped_hosts": skipped,
            "loads": self.config_reloads,
            "load_errors": self.config_reload_errors,
        }
