"""How far a gateway has come back, by what it sees itself: its phase, and the causes that keep it there.

    starting    it could not serve: no hosts are known, or the list is still waited for
    learning    it serves, and goes by what it was given: discovery or the counter has not answered yet, or
                too few outcomes were seen to know how long requests take
    ramping     it knows, and lets in less than all, or many of its hosts are cold or fail
    full        none of that held for `HOLD_MS`

It is the gateway's own half of what full service is; the clients' half, worth and latency, is judged from
outside (`full.py`). Once full, ordinary pressure is no coming back: only a stall of its own, or the loss of
many hosts, begins it anew. Free of I/O; times in milliseconds.
"""

from __future__ import annotations

from dataclasses import dataclass

STARTING, LEARNING, RAMPING, FULL = "starting", "learning", "ramping", "full"
HOLD_MS = 5_000.0  # as `full.HOLD_S`
OUTCOMES = 20  # outcomes after which times are known
ALMOST = 0.98  # of all that is let in: less is a cause
MANY = 0.3  # share of the hosts that are cold or fail, from which on a full gateway comes back anew
SOME = 0.1  # and up to which it may be full


@dataclass(slots=True, frozen=True)
class View:
    """What a gateway sees of itself now."""

    ready: bool
    discovery: bool  # it has answered in this life
    counter: bool  # it answers, or none is asked
    outcomes: int  # seen in this life
    fraction: float  # let in of the requests of the least worth
    hosts: int  # that are up
    cold: int
    failing: int
    stalled: bool  # it stood still a moment ago

    def trouble(self) -> float:
        """The share of its hosts that are cold or fail."""
        return (self.cold + self.failing) / max(self.hosts, 1)


@dataclass(slots=True, frozen=True)
class Phase:
    """A phase, since when, and why it is not the next one."""

    name: str
    since_ms: float
    causes: tuple[str, ...] = ()

    def text(self) -> str:
        """For a line of a log, or of an answer."""
        return self.name + (f": {'; '.join(self.causes)}" if self.causes else "")


class Phases:
    """The phase of one gateway, looked at again and again."""

    def __init__(self, now_ms: float) -> None:
        self.now = Phase(STARTING, now_ms, ("no look yet",))
        self.began_ms = now_ms  # of this coming back
        self.took_ms: float | None = None  # until it was full, once it is
        self._clear_ms: float | None = None  # since when no cause holds

    def look(self, now_ms: float, view: View) -> bool:
        """Take a look; whether the phase is another one now."""
        if self.now.name == FULL:
            if not (view.stalled or not view.ready or view.trouble() >= MANY):
                return False
            self.began_ms, self.took_ms, self._clear_ms = now_ms, None, None
        name, causes = _causes(view)
        if causes:
            self._clear_ms = None
        else:
            self._clear_ms = now_ms if self._clear_ms is None else self._clear_ms
            held = now_ms - self._clear_ms
            if held >= HOLD_MS:
                # It was full when the causes ended; the hold only shows it.
                self.took_ms = self._clear_ms - self.began_ms
                name = FULL
            else:
                name, causes = RAMPING, ("nothing is in the way, for less than 5 s",)
        before = self.now
        since = before.since_ms if name == before.name else now_ms
        self.now = Phase(name, since, causes)
        return name != before.name


def _causes(view: View) -> tuple[str, tuple[str, ...]]:
    """The phase that the causes belong to, the earliest that has any."""
    if not view.ready:
        found = "no hosts are known" if not view.hosts else "the list is waited for, or it drains"
        return STARTING, (found,)
    learning = []
    if not view.discovery:
        learning.append("discovery has not answered: hosts are those of the kept list")
    if not view.counter:
        learning.append("the counter does not answer: quotas go by estimates")
    if view.outcomes < OUTCOMES:
        learning.append(f"{view.outcomes} of {OUTCOMES} outcomes seen")
    if learning:
        return LEARNING, tuple(learning)
    ramping = []
    if view.stalled:
        ramping.append("it stood still")
    if view.fraction < ALMOST:
        ramping.append(f"{view.fraction:.2f} is let in")
    if view.trouble() > SOME:
        ramping.append(f"of {view.hosts} hosts {view.cold} are cold and {view.failing} fail")
    return RAMPING, tuple(ramping)
