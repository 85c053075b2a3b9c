"""A scenario in virtual time: the same file, seed, traffic and strikes, with modelled sockets.

What virtual time has no model of is named by `not_modelled` and left out of the day: signals but for kill,
term and start, faults of single links, a second counter, silence of discovery.
"""

from __future__ import annotations

from typing import Any

from hillmux.lab import checks, measures, rules
from hillmux.lab.checks import Event
from hillmux.lab.scenario import Scenario, ScheduledFault, criteria, schedule
from hillmux.lab.virtual.counter import CounterModel
from hillmux.lab.virtual.hosts import READY, HostModel
from hillmux.lab.virtual.model import START_MS, SimulationFigures, SimulationModel
from hillmux.lab.virtual.simulation import Simulation

MODELLED = frozenset((
    "kill", "term", "start", "crash", "restart", "drain", "remove", "ready", "slow", "well",
    "counter_stop", "counter_keep", "counter_start",
))  # fmt: skip
__all__ = ["START_MS", "judged", "not_modelled", "play", "world"]
OVER_S = 12.0  # what is under way at the end of the traffic ends in it


def not_modelled(scenario: Scenario) -> list[str]:
    """Kinds of faults in a scenario that virtual time leaves out."""
    return sorted({f.what for f in scenario.faults} - MODELLED)


def world(scenario: Scenario) -> Simulation:
    """A scenario's day, at its start."""
    fleet, traffic = scenario.fleet, scenario.traffic
    day = SimulationModel(
        fleet.gateways, fleet.hosts, traffic.model(scenario.length_s), fleet.zones,
        HostModel(fleet.cores, 1.0, 60, fleet.cold_from, fleet.cold_ms, fleet.fall_multiple, fleet.fall_ms),
        CounterModel(fleet.counter_per_s, fleet.counter_parts, 2 * fleet.counter_wait_ms),
        counter_timeout_ms=3 * fleet.counter_wait_ms, retries=traffic.retries, backoff_ms=traffic.backoff_ms,
        retry_after_obeyed_share=traffic.honour, failover_delay_ms=fleet.notice_ms,
        discovery_delay_ms=fleet.list_late_ms)  # fmt: skip
    return Simulation(day, scenario.seed)


def play(scenario: Scenario, events: list[Event] | None = None) -> tuple[Simulation, SimulationFigures]:
    """Play it to its end, its events into a list; two plays of a seed are the same to the last byte."""
    played = world(scenario)
    if events is not None:
        keep = events

        def note(who: str, ev: str, **fields: Any) -> None:
            keep.append({"t": played.loop.now, "who": who, "ev": ev, **fields})

        played.note = note
    kept = played.counter.copy()
    for strike in schedule(scenario):
        played.run(strike.at_ms / 1000)
        if events is not None and strike.fault.what in MODELLED:
            played.note("lab", "fault", what=strike.fault.what, target=strike.target)  # type: ignore[misc]
        if strike.fault.what == "counter_keep":
            kept = played.counter.copy()
        elif strike.fault.what == "counter_start":
            known = {"all": played.counter.copy(), "old": kept}.get(strike.fault.how)
            played.counter.start(known)
        elif strike.fault.what in MODELLED:
            _strike(played, strike)
    return played, played.run(scenario.length_s + OVER_S)


def judged(scenario: Scenario) -> tuple[list[checks.Verdict], measures.Figures]:
    """Play it, and judge the record as that of a run of real processes is judged."""
    events: list[Event] = []
    play(scenario, events)
    given = criteria(scenario)
    return (
        rules.judge(events, given, scenario.hold.rules),
        measures.measure(events, START_MS, scenario.length_s, given),
    )


def _strike(played: Simulation, strike: ScheduledFault) -> None:
    what, target = strike.fault.what, strike.target
    match what:
        case "kill" | "term":  # a drain that goes well ends what is open; here it is reset
            if played.gateways[int(target[1:])].alive:
                played.kill_gateway(int(target[1:]))
        case "start":
            if not played.gateways[int(target[1:])].alive:
                played.start_gateway(int(target[1:]))
        case "crash":
            played.hosts[target].stop()
        case "remove":
            played.remove_host(target)
        case "restart":
            played.restart_host(target)
        case "drain":
            played.drain_host(target)
        case "ready":
            played.hosts[target].state = READY
            played.list_host(target)
        case "slow" | "well":
            played.hosts[target].slowdown = strike.fault.value if what == "slow" else 1.0
        case "counter_stop":
            played.counter.stop()
