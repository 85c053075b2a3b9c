"""Scenarios of the soak, drawn from a seed: the same seed draws the same scenario. No I/O.

A scenario mixes several kinds of trouble at drawn moments: signals in series, restarts killed at the earliest
moment that the platform allows, pauses, silent discovery, failing hosts, a lost counter, unruly clients.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import numpy as np

from hillmux.lab.random_streams import generator
from hillmux.lab.scenario import Scenario

DEFAULT_LENGTH_S = 10.0
FIRST_FAULT_S = 1.2  # a gateway may be sent SIGHUP from a second after its start on
RECOVERY_S = 1.5  # at the end, without a new fault
MAX_DEADLINE_S = 3.0  # of those that the platform waits for before SIGKILL
KILL_AFTER_DEADLINE_S = 0.7  # the earliest SIGKILL after SIGTERM and the longest deadline
MAX_PAUSE_S = 0.15  # that deadlines and grace periods have to allow for
MIN_KINDS, MAX_KINDS = 2, 4  # of trouble in one scenario
DRAWN_RULES = (
    "answered",
    "effects",
    "drains",
    "cold",
    "ceilings",
    "exits",
    "restarts",
    "departures",
    "unruly",
)
CROWD = 560  # idle connections at one gateway, more than it may hold

Draws = np.random.Generator
Fault = dict[str, Any]


class ScenarioDraw:
    """One scenario while it is drawn."""

    def __init__(self, seed: int, length_s: float) -> None:
        self.draws: Draws = generator(seed, "soak")
        self.seed, self.length_s = seed, length_s
        self.gateways = int(self.draws.choice([2, 3, 3, 4, 4, 5, 6, 8]))
        self.hosts = int(self.draws.integers(3, 9))
        self.deadlines_ms = (
            float(self.draws.choice([1200.0, 2000.0, 3000.0])),
            float(self.draws.choice([1500.0, 3000.0])),
        )
        self.unruly_per_s = 0.0
        self.crowd = 0
        self.faults: list[Fault] = []
        # Signals to one gateway are drawn once: a SIGHUP must not meet a process that is being started.
        self.unsignalled = [int(number) for number in self.draws.permutation(self.gateways)]

    def between(self, low: float, high: float) -> float:
        """A moment or a length, to the millisecond."""
        return round(float(self.draws.uniform(low, high)), 3)

    def add(self, at_s: float, what: str, who: str, **more: Any) -> None:
        """A fault, unless it would come too late to be judged."""
        if at_s <= self.length_s - RECOVERY_S:
            self.faults.append({"at_s": round(at_s, 3), "what": what, "who": who, **more})

    def take_gateways(self, most: int) -> list[str]:
        """Gateways that have had no signal yet; one of the fleet stays without any."""
        count = min(most, len(self.unsignalled) - 1)
        return [f"gateway:{self.unsignalled.pop()}" for _ in range(max(count, 0))]

    def take_host(self) -> str:
        """Any host."""
        return f"host:h{int(self.draws.integers(self.hosts))}"

    def earliest_kill_s(self) -> float:
        """How long after SIGTERM the platform may send SIGKILL."""
        return min(max(self.deadlines_ms) / 1000, MAX_DEADLINE_S) + KILL_AFTER_DEADLINE_S


def _restarts(draw: ScenarioDraw) -> None:
    """SIGTERM, SIGKILL at the earliest, and a start; several gateways within one deadline."""
    at = draw.between(FIRST_FAULT_S, FIRST_FAULT_S + 2)
    for who in draw.take_gateways(int(draw.draws.integers(1, 4))):
        end = at + draw.earliest_kill_s()
        if end > draw.length_s - RECOVERY_S:
            return
        draw.add(at, "term", who)
        if draw.draws.random() < 0.4:
            draw.add(at + draw.between(0.01, 0.6), "term", who)
        draw.add(end, "kill", who)
        draw.add(end + 0.05, "start", who)
        at += draw.between(0.02, 1.0)


def _signals(draw: ScenarioDraw) -> None:
    """SIGHUP after SIGHUP, SIGHUP then SIGTERM, SIGKILL in either."""
    for who in draw.take_gateways(2):
        at = draw.between(FIRST_FAULT_S, draw.length_s / 2)
        for _ in range(int(draw.draws.integers(1, 4))):
            draw.add(at, "hup", who, how=str(draw.draws.choice(["", "moved"])))
            at += draw.between(0.005, 0.4)
        if draw.draws.random() < 0.5:
            draw.add(at, "term", who)
            at += draw.between(0.05, 0.6)
        if draw.draws.random() < 0.5:
            draw.add(at, "kill", who)
            draw.add(at + 0.1, "start", who)


def _herd(draw: ScenarioDraw) -> None:
    """Several gateways killed at once, and started together; some of them killed again while they start."""
    at = draw.between(FIRST_FAULT_S, draw.length_s / 2)
    for who in draw.take_gateways(max(draw.gateways // 2, 1)):
        draw.add(at, "kill", who)
        draw.add(at + 0.1, "start", who)
        if draw.draws.random() < 0.3:
            again = at + draw.between(0.15, 1.5)
            draw.add(again, "kill", who)
            draw.add(again + 0.05, "start", who)


def _pauses(draw: ScenarioDraw) -> None:
    """Gateways that stand still for a moment, at any time."""
    for _ in range(int(draw.draws.integers(4, 14))):
        who = f"gateway:{int(draw.draws.integers(draw.gateways))}"
        at = draw.between(0.5, draw.length_s - RECOVERY_S - MAX_PAUSE_S)
        draw.add(at, "stop", who)
        draw.add(at + draw.between(0.005, MAX_PAUSE_S - 0.02), "cont", who)


def _discovery(draw: ScenarioDraw) -> None:
    """Discovery is silent; hosts drain meanwhile and right after its return."""
    at = draw.between(FIRST_FAULT_S, 2.5)
    back = at + draw.between(0.5, 3.5)
    draw.add(at, "silence", "gateway:*")
    draw.add(back, "speak", "gateway:*")
    for number in range(int(draw.draws.integers(1, max(draw.hosts // 2, 2)))):
        draw.add(draw.between(at, back + 0.5), "drain", f"host:h{number}")


def _hosts(draw: ScenarioDraw) -> None:
    """Hosts that crash and return cold, hang through what comes after, fail or are slow."""
    for _ in range(int(draw.draws.integers(1, 3))):
        who, at = draw.take_host(), draw.between(FIRST_FAULT_S, draw.length_s / 2)
        match int(draw.draws.integers(4)):
            case 0:
                draw.add(at, "crash", who)
                draw.add(at + draw.between(0.05, 1.0), "restart", who)
            case 1:
                draw.add(at, "hang", who)
                if draw.draws.random() < 0.5:
                    draw.add(at + draw.between(1.0, 4.0), "well", who)
            case 2:
                draw.add(at, "failing", who, value=draw.between(0.1, 1.0))
            case _:
                draw.add(at, "slow", who, value=draw.between(2.0, 12.0))


def _links(draw: ScenarioDraw) -> None:
    """Connections to a host that are reset in the middle of what is sent, or bring it piece by piece."""
    who, at = draw.take_host(), draw.between(FIRST_FAULT_S, draw.length_s / 2)
    if draw.draws.random() < 0.5:
        draw.add(at, "reset_after", "gateway:*", other=who, value=float(draw.draws.integers(100, 2000)))
    else:
        draw.add(at, "throttle", "gateway:*", other=who, value=float(draw.draws.integers(1500, 8000)))
    draw.add(at + draw.between(0.5, 3.0), "heal", "gateway:*", other=who)


def _counter(draw: ScenarioDraw) -> None:
    """The counter stops, and comes back with all totals or with none."""
    at = draw.between(FIRST_FAULT_S, draw.length_s / 2)
    draw.add(at, "counter_stop", "gateway:*")
    draw.add(
        at + draw.between(0.2, 2.0),
        "counter_start",
        "gateway:*",
        how=str(draw.draws.choice(["all", "nothing"])),
    )


def _unruly(draw: ScenarioDraw) -> None:
    """Clients that leave, stop in the middle, send much at once or slowly, or have very little time."""
    draw.unruly_per_s = float(draw.draws.integers(4, 20))


def _crowd(draw: ScenarioDraw) -> None:
    """Idle clients take all descriptors of one gateway; often while discovery is gone."""
    draw.crowd = CROWD
    if draw.draws.random() < 0.5:
        _discovery(draw)


KINDS: dict[str, tuple[float, Callable[[ScenarioDraw], None]]] = {
    "restarts": (3.0, _restarts),
    "signals": (2.0, _signals),
    "herd": (1.0, _herd),
    "pauses": (1.5, _pauses),
    "discovery": (1.5, _discovery),
    "hosts": (2.0, _hosts),
    "links": (1.0, _links),
    "counter": (1.0, _counter),
    "unruly": (2.0, _unruly),
    "crowd": (0.8, _crowd),
}


def draw_scenario(seed: int, length_s: float = DEFAULT_LENGTH_S) -> Scenario:
    """The scenario of a seed."""
    draw = ScenarioDraw(seed, length_s)
    weights = np.array([weight for weight, _ in KINDS.values()])
    count = int(draw.draws.integers(MIN_KINDS, MAX_KINDS + 1))
    chosen = draw.draws.choice(list(KINDS), size=count, replace=False, p=weights / weights.sum())
    for kind in chosen:
        KINDS[str(kind)][1](draw)
    effect = str(draw.draws.choice(["keyed", "unsafe"]))
    first_ms, second_ms = draw.deadlines_ms
    return Scenario.model_validate(
        {
            "name": "soak",
            "about": ", ".join(str(kind) for kind in chosen),
            "seed": seed,
            "length_s": length_s,
            "fleet": {
                "gateways": draw.gateways,
                "hosts": draw.hosts,
                "cold_ms": float(draw.draws.integers(1500, 5000)),
                "notice_ms": float(draw.draws.choice([200, 1000, 5000])),
                "list_late_ms": (10.0, float(draw.draws.choice([50, 300, 900]))),
                "snapshots_ms": float(draw.draws.choice([0, 300])),
            },
            "traffic": {
                "per_s": float(draw.draws.integers(20, 70)),
                "heavy": 0.2,
                "heavy_x": 4.0,
                "burst": float(draw.draws.choice([1.0, 2.5])),
                "burst_s": (2.0, 4.0),
                "plans": [
                    {"name": "capped", "share": 1.0, "rate": 6.0, "burst": 12.0, "ceiling": 1.5, "width": 3}
                ],
                "classes": [
                    {"name": "read", "share": 0.6, "work_ms": 15, "aim_ms": 800, "deadline_ms": first_ms,
                     "worth": 3.0},
                    {"name": "book", "share": 0.4, "work_ms": 20, "aim_ms": 900, "deadline_ms": second_ms,
                     "worth": 2.0, "effect": effect, "window_ms": 1500.0 if effect == "keyed" else 0.0},
                ],
                "unruly_per_s": draw.unruly_per_s,
                "crowd": draw.crowd,
            },
            "faults": sorted(draw.faults, key=lambda fault: float(fault["at_s"])),
            "hold": {"rules": DRAWN_RULES},
        }
    )  # fmt: skip
