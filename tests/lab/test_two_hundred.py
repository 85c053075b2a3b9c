"""Difficult cases of a full fleet in virtual time: 200 gateways with few requests each, and failing parts."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

from hillmux import interface as api
from hillmux.lab.traffic import ClassTraffic, PlanTraffic, TrafficModel
from hillmux.lab.virtual.counter import CounterModel
from hillmux.lab.virtual.model import SimulationModel
from hillmux.lab.virtual.simulation import Simulation

READ = ClassTraffic("read", 0.7, 300.0, 5000.0, 20_000.0, 3.0)
BOOK = ClassTraffic("book", 0.3, 200.0, 4000.0, 12_000.0, 2.0, "keyed", 8000.0)
WIDE = PlanTraffic("wide", 0.6, 13.0, 30.0, width=200)
CAPPED = PlanTraffic("capped", 0.4, 3.2, 17.0, ceiling=1.9, width=4)
TIGHT = PlanTraffic("tight", 0.4, 3.2, 17.0, ceiling=0.8, width=4)


def make_simulation(
    seed: int = 3, per_s: float = 250.0, length_s: float = 8.0, capped: PlanTraffic = CAPPED, **changes: float
) -> Simulation:
    traffic = TrafficModel(per_s, length_s, (WIDE, capped), (READ, BOOK), **changes)
    return Simulation(SimulationModel(200, 130, traffic, counter=CounterModel(500.0)), seed)


class CallCounts:
    """Counts the dials of each host and the counter calls in each second."""

    def __init__(self, watched: Simulation) -> None:
        self.dials: Counter[tuple[int, str]] = Counter()
        self.calls: Counter[int] = Counter()
        for host in watched.hosts.values():
            host.connection_opened = self._dialled(watched, host.name, host.connection_opened)  # type: ignore[method-assign]
        call = watched.counter.call

        def counted(*args: object) -> None:
            self.calls[int(watched.loop.now / 1000)] += 1
            call(*args)  # type: ignore[arg-type]

        watched.counter.call = counted  # type: ignore[method-assign]

    def _dialled(self, watched: Simulation, name: str, dialled):  # type: ignore[no-untyped-def]
        def counted() -> None:
            self.dials[int(watched.loop.now / 1000), name] += 1
            dialled()

        return counted


def test_restart_of_140_of_200_gateways_overloads_neither_hosts_nor_counter() -> None:
    simulation = make_simulation()
    simulation.run(1.0)
    call_counts = CallCounts(simulation)
    simulation.run(3.0)
    for name in ("h0", "h1", "h2"):
        simulation.remove_host(name)
    calls_before = max(call_counts.calls.values())
    for number in range(140):
        simulation.kill_gateway(number)
    simulation.run(3.2)
    for name in ("h0", "h1", "h2"):
        simulation.restart_host(name)  # cold while no gateway has latency samples to compare with
    for number in range(140):
        simulation.run(3.2 + number / 200)
        simulation.start_gateway(number)
    figures = simulation.run()
    assert figures.reset > 50 and figures.finished == figures.requests
    # A new gateway dials only the hosts of its aperture; apertures cover the hosts evenly.
    assert max(call_counts.dials.values()) <= 30
    assert max(call_counts.calls.values()) <= max(1.25 * 500, 1.5 * calls_before)
    assert figures.hosts_overloaded == 0
    for name in ("h0", "h1", "h2"):
        assert 0 < simulation.hosts[name].max_overload_ratio <= 1


def test_gateway_with_few_requests_sheds_no_load_and_uses_its_ceiling() -> None:
    # 0.3 requests per second at each gateway.
    simulation = make_simulation(per_s=60.0, length_s=20.0, heavy=0.0, full=0.0)
    simulation.run(8.0)
    counts_before = simulation.reject_reasons["ceiling"], simulation.figures.requests
    figures = simulation.run()
    assert figures.requests > 1000
    assert simulation.reject_reasons["pressure"] == 0  # no load is shed because of single samples
    # A gateway's share of a ceiling, one of four, is empty at its start and has room for a request after some
    # seconds.
    assert simulation.reject_reasons["ceiling"] - counts_before[0] <= 0.03 * (
        figures.requests - counts_before[1]
    )
    assert figures.goodput() > 0.9


def test_gateway_with_ten_times_the_mean_load_serves_its_clients_like_the_others() -> None:
    simulation = make_simulation(busy=0.08)
    busy, others = Counter(), Counter()  # type: ignore[var-annotated]
    ended = simulation.clients.attempt_ended

    def counted(request, number, result, retry_after_ms):  # type: ignore[no-untyped-def]
        (busy if number == 0 else others)[result] += 1
        ended(request, number, result, retry_after_ms)

    simulation.clients.attempt_ended = counted  # type: ignore[method-assign]
    simulation.run(7.0)
    aperture_sizes = [sum(h.in_aperture for h in p.gateway.hosts.values()) for p in simulation.gateways]
    simulation.run()
    assert busy.total() > 5 * others.total() / 199
    assert busy["late"] == 0 and busy["served"] / busy.total() >= others["served"] / others.total() - 0.12
    assert aperture_sizes[0] > 1.4 * sorted(aperture_sizes)[100]


def test_replacing_half_of_the_hosts_during_restarts_and_new_settings_overloads_none() -> None:
    simulation = make_simulation(per_s=200.0, length_s=14.0)
    simulation.run(2.0)
    old_hosts = [f"h{i}" for i in range(0, 130, 2)]
    attempts_at_removal: dict[str, int] = {}  # -1: not removed yet
    for step, name in enumerate(old_hosts):
        simulation.run(2.0 + step * 0.1)
        simulation.drain_host(name)
        attempts_at_removal[name] = -1
        if step >= 35:  # 3.5 s after its drain, when every list contains it
            removed = old_hosts[step - 35]
            attempts_at_removal[removed] = simulation.hosts[removed].attempts
            simulation.remove_host(removed)
            simulation.add_host(f"n{removed}", started=True)
        if step % 3 == 0:
            number = (7 * step) % 200
            simulation.kill_gateway(number)
            simulation.start_gateway(number)
        if step == 30:
            for number, process in enumerate(simulation.gateways):
                settings = simulation.settings(number)
                longer = tuple(
                    replace(c, latency_objective_ms=1.2 * c.latency_objective_ms) for c in settings.classes
                )
                changed = replace(settings, classes=longer, slow_start_ms=1.1 * settings.slow_start_ms)
                process.handle(api.SettingsChanged(changed))
    figures = simulation.run()
    assert figures.finished == figures.requests and figures.timed_out == 0
    assert figures.hosts_overloaded == 0
    for name, before in attempts_at_removal.items():
        if before >= 0:
            assert simulation.hosts[name].attempts == before  # no attempt after its removal
    new_hosts = [h for n, h in simulation.hosts.items() if n.startswith("n")]
    assert len(new_hosts) == 30 and sum(h.attempts > 0 for h in new_hosts) > 20
    assert max(h.max_overload_ratio for h in new_hosts) <= 1


def test_counter_outage_of_6_s_admits_a_bounded_share_beyond_the_quotas() -> None:
    def share_beyond_quota(down: bool) -> float:
        simulation = make_simulation(seed=4, length_s=9.0, capped=TIGHT, heavy=0.5, heavy_x=4.0)
        simulation.run(2.0)
        before = simulation.figures.units_beyond_quota, simulation.figures.units_forwarded
        if down:
            simulation.counter.stop()
        simulation.run(8.0)
        share = (simulation.figures.units_beyond_quota - before[0]) / (
            simulation.figures.units_forwarded - before[1]
        )
        simulation.counter.start(simulation.counter.copy())
        figures = simulation.run()
        assert figures.lowest_ceiling >= -max(0.1 * TIGHT.ceiling * TIGHT.burst, 4.0)
        return share

    assert share_beyond_quota(True) <= share_beyond_quota(False) + 0.15
