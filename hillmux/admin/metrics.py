"""What a process has done since its start, as its operators read it. Free of I/O."""

from __future__ import annotations

from dataclasses import dataclass, field

MOST_CLASSES = 256  # classes counted apart; names may be ever new


@dataclass(slots=True)
class Figures:
    """Counts from 0 at the start of the process; requests and attempts by class."""

    passed: dict[str, int] = field(default_factory=dict)  # served
    dropped: dict[str, int] = field(default_factory=dict)  # refused
    failed: dict[str, int] = field(default_factory=dict)
    tries: dict[str, int] = field(default_factory=dict)  # attempts written whole to hosts
    loads: int = 0  # configurations taken at SIGHUP
    load_errors: int = 0  # and turned down

    def answered(self, class_name: str, status: int) -> None:
        """One final answer."""
        counts = self.passed if status < 400 else self.dropped if status in (429, 503) else self.failed
        if class_name in counts or len(counts) < MOST_CLASSES:
            counts[class_name] = counts.get(class_name, 0) + 1

    def tried(self, class_name: str) -> None:
        """One attempt has left whole."""
        if class_name in self.tries or len(self.tries) < MOST_CLASSES:
            self.tries[class_name] = self.tries.get(class_name, 0) + 1

    def shown(self, classes: list[str], in_progress: int, known: int, skipped: int) -> dict[str, object]:
        """All of them under their public names; `classes` stand there with 0 before their first request."""

        def by_class(counts: dict[str, int]) -> dict[str, int]:
            return {name: counts.get(name, 0) for name in dict.fromkeys([*classes, *counts])}

        return {
            "passed": by_class(self.passed),
            "dropped": by_class(self.dropped),
            "bad_gateway": by_class(self.failed),
            "upstream_tries": sum(self.tries.values()),
            "in_progress": in_progress,
            "known_hosts": known,
            "skipped_hosts": skipped,
            "loads": self.loads,
            "load_errors": self.load_errors,
        }
