"""Runs a scenario in virtual time, with the file, seed, traffic and fault schedule of a run on real sockets.

Faults without a model in virtual time are skipped, and `not_modelled` lists them: signals other than kill,
term and start, faults of single links, a second counter, and discovery that doesn't answer.
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

MODELLED_FAULTS = frozenset((
    "kill", "term", "start", "crash", "restart", "drain", "remove", "ready", "slow", "well",
    "counter_stop", "counter_keep", "counter_start",
))  # fmt: skip
__all__ = ["START_MS", "create_simulation", "not_modelled", "play", "play_and_judge"]
TAIL_S = 12.0  # time after the end of the traffic in which open requests end


def not_modelled(scenario: Scenario) -> list[str]:
    """Return the kinds of faults in a scenario that are skipped in virtual time, in alphabetical order."""
    return sorted({f.what for f in scenario.faults} - MODELLED_FAULTS)


def create_simulation(scenario: Scenario) -> Simulation:
    """Return the simulation of a scenario, at its start."""
    fleet, traffic = scenario.fleet, scenario.traffic
    model = SimulationModel(
        fleet.gateways, fleet.hosts, traffic.model(scenario.length_s), fleet.zones,
        HostModel(fleet.cores, 1.0, 60, fleet.cold_from, fleet.cold_ms, fleet.fall_multiple, fleet.fall_ms),
        CounterModel(fleet.counter_per_s, fleet.counter_parts, 2 * fleet.counter_wait_ms),
        counter_timeout_ms=3 * fleet.counter_wait_ms, retries=traffic.retries, backoff_ms=traffic.backoff_ms,
        retry_after_obeyed_share=traffic.honour, failover_delay_ms=fleet.notice_ms,
        discovery_delay_ms=fleet.list_late_ms)  # fmt: skip
    return Simulation(model, scenario.seed)


def play(scenario: Scenario, events: list[Event] | None = None) -> tuple[Simulation, SimulationFigures]:
    """Run a scenario to its end.

    Args:
        scenario: The scenario. Two runs with the same seed record the same events, byte for byte.
        events: A list to which events are appended, or None to record nothing.

    Returns:
        The simulation at its end, and its figures.
    """
    simulation = create_simulation(scenario)
    if events is not None:
        recorded = events

        def note(who: str, ev: str, **fields: Any) -> None:
            recorded.append({"t": simulation.loop.now, "who": who, "ev": ev, **fields})

        simulation.note = note
    saved_totals = simulation.counter.copy()
    for scheduled in schedule(scenario):
        simulation.run(scheduled.at_ms / 1000)
        if events is not None and scheduled.fault.what in MODELLED_FAULTS:
            simulation.note("lab", "fault", what=scheduled.fault.what, target=scheduled.target)  # type: ignore[misc]
        if scheduled.fault.what == "counter_keep":
            saved_totals = simulation.counter.copy()
        elif scheduled.fault.what == "counter_start":
            totals = {"all": simulation.counter.copy(), "old": saved_totals}.get(scheduled.fault.how)
            simulation.counter.start(totals)
        elif scheduled.fault.what in MODELLED_FAULTS:
            _apply_fault(simulation, scheduled)
    return simulation, simulation.run(scenario.length_s + TAIL_S)


def play_and_judge(scenario: Scenario) -> tuple[list[checks.Verdict], measures.Figures]:
    """Run a scenario, and check and measure its record as that of a run of real processes."""
    events: list[Event] = []
    play(scenario, events)
    rule_criteria = criteria(scenario)
    return (
        rules.judge(events, rule_criteria, scenario.hold.rules),
        measures.measure(events, START_MS, scenario.length_s, rule_criteria),
    )


def _apply_fault(simulation: Simulation, scheduled: ScheduledFault) -> None:
    what, target = scheduled.fault.what, scheduled.target
    match what:
        case "kill" | "term":  # real processes finish open requests after `term`; here these are reset
            if simulation.gateways[int(target[1:])].alive:
                simulation.kill_gateway(int(target[1:]))
        case "start":
            if not simulation.gateways[int(target[1:])].alive:
                simulation.start_gateway(int(target[1:]))
        case "crash":
            simulation.hosts[target].stop()
        case "remove":
            simulation.remove_host(target)
        case "restart":
            simulation.restart_host(target)
        case "drain":
            simulation.drain_host(target)
        case "ready":
            simulation.hosts[target].state = READY
            simulation.list_host(target)
        case "slow" | "well":
            simulation.hosts[target].slowdown = scheduled.fault.value if what == "slow" else 1.0
        case "counter_stop":
            simulation.counter.stop()
