"""The hard cases of the full fleet in virtual time: 200 gateways that each see little, parts that fail."""

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


def world(
    seed: int = 3, per_s: float = 250.0, length_s: float = 8.0, capped: PlanTraffic = CAPPED, **changes: float
) -> Simulation:
    traffic = TrafficModel(per_s, length_s, (WIDE, capped), (READ, BOOK), **changes)
    return Simulation(SimulationModel(200, 130, traffic, counter=CounterModel(500.0)), seed)


class Watch:
    """Counts by the second: dials of each host, counter calls."""

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


def test_140_of_200_start_at_once_and_neither_hosts_nor_counter_are_stampeded() -> None:
    day = world()
    day.run(1.0)
    watch = Watch(day)
    day.run(3.0)
    for name in ("h0", "h1", "h2"):
        day.remove_host(name)
    usual = max(watch.calls.values())
    for number in range(140):
        day.kill_gateway(number)
    day.run(3.2)
    for name in ("h0", "h1", "h2"):
        day.restart_host(name)  # cold while nobody has a yardstick
    for number in range(140):
        day.run(3.2 + number / 200)
        day.start_gateway(number)
    figures = day.run()
    assert figures.reset > 50 and figures.finished == figures.requests
    # A fresh gateway dials the hosts of its aperture, which are dealt evenly: none is dialled by all.
    assert max(watch.dials.values()) <= 30
    assert max(watch.calls.values()) <= max(1.25 * 500, 1.5 * usual)
    assert figures.hosts_overloaded == 0
    for name in ("h0", "h1", "h2"):
        assert 0 < day.hosts[name].max_overload_ratio <= 1


def test_a_gateway_that_sees_a_request_in_seconds_feels_no_pressure_and_uses_its_ceiling() -> None:
    day = world(per_s=60.0, length_s=20.0, heavy=0.0, full=0.0)  # 0.3 requests a second and gateway
    day.run(8.0)
    early = day.reject_reasons["ceiling"], day.figures.requests
    figures = day.run()
    assert figures.requests > 1000
    assert day.reject_reasons["pressure"] == 0  # no q made of single samples
    # A ceiling's part, one of four, is empty at a start: some seconds on it has room for a request.
    assert day.reject_reasons["ceiling"] - early[0] <= 0.03 * (figures.requests - early[1])
    assert figures.goodput() > 0.9


def test_a_gateway_that_sees_ten_times_the_mean_serves_its_clients_as_the_others_do() -> None:
    day = world(busy=0.08)
    busy, others = Counter(), Counter()  # type: ignore[var-annotated]
    ended = day.clients.attempt_ended

    def counted(ask, number, result, wait):  # type: ignore[no-untyped-def]
        (busy if number == 0 else others)[result] += 1
        ended(ask, number, result, wait)

    day.clients.attempt_ended = counted  # type: ignore[method-assign]
    day.run(7.0)
    wide = [sum(h.in_aperture for h in p.gateway.hosts.values()) for p in day.gateways]
    day.run()
    assert busy.total() > 5 * others.total() / 199
    assert busy["late"] == 0 and busy["served"] / busy.total() >= others["served"] / others.total() - 0.12
    assert wide[0] > 1.4 * sorted(wide)[100]


def test_half_of_the_hosts_are_replaced_while_gateways_restart_and_get_new_settings() -> None:
    day = world(per_s=200.0, length_s=14.0)
    day.run(2.0)
    old = [f"h{i}" for i in range(0, 130, 2)]
    told: dict[str, int] = {}
    for step, name in enumerate(old):
        day.run(2.0 + step * 0.1)
        day.drain_host(name)
        told[name] = -1
        if step >= 35:  # 3.5 s after its drain, which every list has told by then
            gone = old[step - 35]
            told[gone] = day.hosts[gone].attempts
            day.remove_host(gone)
            day.add_host(f"n{gone}", started=True)
        if step % 3 == 0:
            number = (7 * step) % 200
            day.kill_gateway(number)
            day.start_gateway(number)
        if step == 30:
            for number, process in enumerate(day.gateways):
                told_now = day.settings(number)
                longer = tuple(
                    replace(c, latency_objective_ms=1.2 * c.latency_objective_ms) for c in told_now.classes
                )
                changed = replace(told_now, classes=longer, slow_start_ms=1.1 * told_now.slow_start_ms)
                process.handle(api.SettingsChanged(changed))
    figures = day.run()
    assert figures.finished == figures.requests and figures.timed_out == 0
    assert figures.hosts_overloaded == 0
    for name, before in told.items():
        if before >= 0:
            assert day.hosts[name].attempts == before  # nothing came once it had left
    fresh = [h for n, h in day.hosts.items() if n.startswith("n")]
    assert len(fresh) == 30 and sum(h.attempts > 0 for h in fresh) > 20
    assert max(h.max_overload_ratio for h in fresh) <= 1


def test_a_counter_that_is_down_for_6_s_lets_in_no_more_than_a_part_beyond_the_quotas() -> None:
    def beyond(down: bool) -> float:
        day = world(seed=4, length_s=9.0, capped=TIGHT, heavy=0.5, heavy_x=4.0)
        day.run(2.0)
        before = day.figures.units_beyond_quota, day.figures.units_forwarded
        if down:
            day.counter.stop()
        day.run(8.0)
        share = (day.figures.units_beyond_quota - before[0]) / (day.figures.units_forwarded - before[1])
        day.counter.start(day.counter.copy())
        figures = day.run()
        assert figures.lowest_ceiling >= -max(0.1 * TIGHT.ceiling * TIGHT.burst, 4.0)
        return share

    assert beyond(True) <= beyond(False) + 0.15
