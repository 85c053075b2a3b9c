"""Draws the scenarios of the soak test; a seed always draws the same scenario. No I/O.

A scenario mixes several kinds of faults at random times: series of signals, restarts whose SIGKILL comes as
early as the platform allows, pauses, a silent discovery, failing hosts, a lost counter, misbehaving clients.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import numpy as np

from hillmux.lab.random_streams import generator
from hillmux.lab.scenario import Scenario

DEFAULT_LENGTH_S = 10.0
FIRST_FAULT_S = 1.2  # the platform sends no SIGHUP in the first second after a gateway's start
RECOVERY_S = 1.5  # time without new faults at the end of a scenario
MAX_DEADLINE_S = 3.0  # the longest deadline that the platform waits for before SIGKILL
KILL_AFTER_DEADLINE_S = 0.7  # time from the longest deadline after SIGTERM to the earliest SIGKILL
MAX_PAUSE_S = 0.15  # the longest pause that deadlines and grace periods must tolerate
MIN_FAULT_KINDS, MAX_FAULT_KINDS = 2, 4  # in one scenario
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
CROWD_CONNECTIONS = 560  # idle connections at one gateway: more than its limit

RandomGenerator = np.random.Generator
Fault = dict[str, Any]


class ScenarioDraw:
    """A scenario that is being drawn."""

    def __init__(self, seed: int, length_s: float) -> None:
        self.rng: RandomGenerator = generator(seed, "soak")
        self.seed, self.length_s = seed, length_s
        self.gateways = int(self.rng.choice([2, 3, 3, 4, 4, 5, 6, 8]))
        self.hosts = int(self.rng.integers(3, 9))
        self.deadlines_ms = (
            float(self.rng.choice([1200.0, 2000.0, 3000.0])),
            float(self.rng.choice([1500.0, 3000.0])),
        )
        self.unruly_per_s = 0.0
        self.crowd = 0
        self.faults: list[Fault] = []
        # A gateway is taken for signals at most once: a SIGHUP must not reach a process during its start.
        self.unsignalled = [int(number) for number in self.rng.permutation(self.gateways)]

    def uniform(self, low: float, high: float) -> float:
        """Draw a time or a duration, rounded to three decimals."""
        return round(float(self.rng.uniform(low, high)), 3)

    def add_fault(self, at_s: float, what: str, who: str, **fields: Any) -> None:
        """Add a fault, unless it is too late in the scenario to be judged."""
        if at_s <= self.length_s - RECOVERY_S:
            self.faults.append({"at_s": round(at_s, 3), "what": what, "who": who, **fields})

    def take_gateways(self, limit: int) -> list[str]:
        """Take up to `limit` gateways that have no signals yet; one gateway of the fleet is never taken."""
        count = min(limit, len(self.unsignalled) - 1)
        return [f"gateway:{self.unsignalled.pop()}" for _ in range(max(count, 0))]

    def take_host(self) -> str:
        """Draw a host."""
        return f"host:h{int(self.rng.integers(self.hosts))}"

    def earliest_kill_s(self) -> float:
        """Return the time from SIGTERM to the earliest SIGKILL of the platform."""
        return min(max(self.deadlines_ms) / 1000, MAX_DEADLINE_S) + KILL_AFTER_DEADLINE_S


def _restarts(draw: ScenarioDraw) -> None:
    """SIGTERM, the earliest possible SIGKILL, and a start, for several gateways within one deadline."""
    at_s = draw.uniform(FIRST_FAULT_S, FIRST_FAULT_S + 2)
    for who in draw.take_gateways(int(draw.rng.integers(1, 4))):
        kill_s = at_s + draw.earliest_kill_s()
        if kill_s > draw.length_s - RECOVERY_S:
            return
        draw.add_fault(at_s, "term", who)
        if draw.rng.random() < 0.4:
            draw.add_fault(at_s + draw.uniform(0.01, 0.6), "term", who)
        draw.add_fault(kill_s, "kill", who)
        draw.add_fault(kill_s + 0.05, "start", who)
        at_s += draw.uniform(0.02, 1.0)


def _signals(draw: ScenarioDraw) -> None:
    """Series of SIGHUP, SIGTERM after SIGHUP, and SIGKILL after either."""
    for who in draw.take_gateways(2):
        at_s = draw.uniform(FIRST_FAULT_S, draw.length_s / 2)
        for _ in range(int(draw.rng.integers(1, 4))):
            draw.add_fault(at_s, "hup", who, how=str(draw.rng.choice(["", "moved"])))
            at_s += draw.uniform(0.005, 0.4)
        if draw.rng.random() < 0.5:
            draw.add_fault(at_s, "term", who)
            at_s += draw.uniform(0.05, 0.6)
        if draw.rng.random() < 0.5:
            draw.add_fault(at_s, "kill", who)
            draw.add_fault(at_s + 0.1, "start", who)


def _herd(draw: ScenarioDraw) -> None:
    """Several gateways are killed at once and started together; some are killed again during their start."""
    at_s = draw.uniform(FIRST_FAULT_S, draw.length_s / 2)
    for who in draw.take_gateways(max(draw.gateways // 2, 1)):
        draw.add_fault(at_s, "kill", who)
        draw.add_fault(at_s + 0.1, "start", who)
        if draw.rng.random() < 0.3:
            second_kill_s = at_s + draw.uniform(0.15, 1.5)
            draw.add_fault(second_kill_s, "kill", who)
            draw.add_fault(second_kill_s + 0.05, "start", who)


def _pauses(draw: ScenarioDraw) -> None:
    """Gateways are stopped (SIGSTOP) for a short time."""
    for _ in range(int(draw.rng.integers(4, 14))):
        who = f"gateway:{int(draw.rng.integers(draw.gateways))}"
        at_s = draw.uniform(0.5, draw.length_s - RECOVERY_S - MAX_PAUSE_S)
        draw.add_fault(at_s, "stop", who)
        draw.add_fault(at_s + draw.uniform(0.005, MAX_PAUSE_S - 0.02), "cont", who)


def _discovery(draw: ScenarioDraw) -> None:
    """Discovery is silent; hosts drain during the silence and right after it."""
    at_s = draw.uniform(FIRST_FAULT_S, 2.5)
    end_s = at_s + draw.uniform(0.5, 3.5)
    draw.add_fault(at_s, "silence", "gateway:*")
    draw.add_fault(end_s, "speak", "gateway:*")
    for number in range(int(draw.rng.integers(1, max(draw.hosts // 2, 2)))):
        draw.add_fault(draw.uniform(at_s, end_s + 0.5), "drain", f"host:h{number}")


def _hosts(draw: ScenarioDraw) -> None:
    """Hosts crash and restart cold, hang (some of them to the end), fail or are slow."""
    for _ in range(int(draw.rng.integers(1, 3))):
        who, at_s = draw.take_host(), draw.uniform(FIRST_FAULT_S, draw.length_s / 2)
        match int(draw.rng.integers(4)):
            case 0:
                draw.add_fault(at_s, "crash", who)
                draw.add_fault(at_s + draw.uniform(0.05, 1.0), "restart", who)
            case 1:
                draw.add_fault(at_s, "hang", who)
                if draw.rng.random() < 0.5:
                    draw.add_fault(at_s + draw.uniform(1.0, 4.0), "well", who)
            case 2:
                draw.add_fault(at_s, "failing", who, value=draw.uniform(0.1, 1.0))
            case _:
                draw.add_fault(at_s, "slow", who, value=draw.uniform(2.0, 12.0))


def _links(draw: ScenarioDraw) -> None:
    """Connections to a host are reset within a message, or throttled."""
    who, at_s = draw.take_host(), draw.uniform(FIRST_FAULT_S, draw.length_s / 2)
    if draw.rng.random() < 0.5:
        draw.add_fault(at_s, "reset_after", "gateway:*", other=who, value=float(draw.rng.integers(100, 2000)))
    else:
        draw.add_fault(at_s, "throttle", "gateway:*", other=who, value=float(draw.rng.integers(1500, 8000)))
    draw.add_fault(at_s + draw.uniform(0.5, 3.0), "heal", "gateway:*", other=who)


def _counter(draw: ScenarioDraw) -> None:
    """The counter stops, and starts again with all totals or with none."""
    at_s = draw.uniform(FIRST_FAULT_S, draw.length_s / 2)
    draw.add_fault(at_s, "counter_stop", "gateway:*")
    draw.add_fault(
        at_s + draw.uniform(0.2, 2.0),
        "counter_start",
        "gateway:*",
        how=str(draw.rng.choice(["all", "nothing"])),
    )


def _unruly(draw: ScenarioDraw) -> None:
    """Clients disconnect, stall within a request, pipeline, send slowly, or set very short deadlines."""
    draw.unruly_per_s = float(draw.rng.integers(4, 20))


def _crowd(draw: ScenarioDraw) -> None:
    """Idle clients take all descriptors of one gateway; in half of the draws discovery is silent as well."""
    draw.crowd = CROWD_CONNECTIONS
    if draw.rng.random() < 0.5:
        _discovery(draw)


FAULT_KINDS: dict[str, tuple[float, Callable[[ScenarioDraw], None]]] = {
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
    """Draw the scenario of a seed; `length_s` is the length of its run."""
    draw = ScenarioDraw(seed, length_s)
    weights = np.array([weight for weight, _ in FAULT_KINDS.values()])
    count = int(draw.rng.integers(MIN_FAULT_KINDS, MAX_FAULT_KINDS + 1))
    chosen = draw.rng.choice(list(FAULT_KINDS), size=count, replace=False, p=weights / weights.sum())
    for kind in chosen:
        FAULT_KINDS[str(kind)][1](draw)
    effect = str(draw.rng.choice(["keyed", "unsafe"]))
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
                "cold_ms": float(draw.rng.integers(1500, 5000)),
                "notice_ms": float(draw.rng.choice([200, 1000, 5000])),
                "list_late_ms": (10.0, float(draw.rng.choice([50, 300, 900]))),
                "snapshots_ms": float(draw.rng.choice([0, 300])),
            },
            "traffic": {
                "per_s": float(draw.rng.integers(20, 70)),
                "heavy": 0.2,
                "heavy_x": 4.0,
                "burst": float(draw.rng.choice([1.0, 2.5])),
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
