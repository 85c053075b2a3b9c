"""Idle tenants: their cores are discarded without losing state, and created again with the next request."""

from __future__ import annotations

import random

import pytest
from conftest import SAFE, Driver, Seen, make_endpoint, of_type, on_loop
from fakes.hosted import Hosted, request, status

from hillmux import interface as api
from hillmux.decision.gateway import Gateway
from hillmux.hosted import core as core_module
from hillmux.hosted import service as service_module
from hillmux.interface import AttemptResult, ListKind


@pytest.fixture(autouse=True)
def _short_intervals(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(core_module, "IDLE_AFTER_S", 0.05)
    monkeypatch.setattr(core_module, "IDLE_SWEEP_INTERVAL_S", 0.05)
    monkeypatch.setattr(service_module, "CLEANUP_INTERVAL_S", 0.02)


def advance_clock(rig: Hosted, seconds: float) -> None:
    """Advance the clock of all decision modules."""
    rig.service.resources.clock._offset += seconds


def test_tenant_without_requests_has_no_core() -> None:
    async def scenario() -> None:
        async with Hosted("a", "b") as rig:
            assert await rig.status(request("a")) == 200
            assert list(rig.service._cores) == ["a"]
            assert rig.service.record("b")._stats is None

    on_loop(scenario)


def test_idle_core_is_discarded_and_a_new_one_has_the_allowance_accrued_since() -> None:
    async def scenario() -> None:
        rig = Hosted("a")
        plan = {"rate": 100, "burst": 100, "ceiling_rate": 1, "ceiling_burst": 5}
        rig.per_tenant = {"a": {"plans": {"team": plan}}}
        async with rig:
            advance_clock(rig, 3600)
            client = await rig.connect()
            statuses = [status(await client.fetch(request("a"))) for _ in range(8)]
            assert statuses == [200] * 5 + [429] * 3
            core = rig.service.core("a")
            created_ms = rig.service.record("a").created_ms
            await rig.wait_until(lambda: core._idle_mode)
            assert not core.is_empty()  # its counts have not expired, and its module still tracks the partner
            for _ in range(40):
                advance_clock(rig, 5)
                await rig.wait_until(lambda: core._idle_mode or core.is_empty())
            await rig.wait_until(lambda: core.is_empty())
            assert rig.service._cores == {} and rig.service._stores == {}
            assert rig.service.record("a").created_ms == created_ms
            client = await rig.connect()
            statuses = [status(await client.fetch(request("a"))) for _ in range(8)]
            assert statuses == [200] * 5 + [429] * 3  # the ceiling is full again, but not beyond
            assert rig.service.record("a").stats.served == 10  # the statistics are kept

    on_loop(scenario)


def test_core_is_kept_until_its_ceilings_are_full() -> None:
    async def scenario() -> None:
        rig = Hosted("a")
        plan = {"rate": 100, "burst": 100, "ceiling_rate": 0.001, "ceiling_burst": 2}
        rig.per_tenant = {"a": {"plans": {"team": plan}}}
        async with rig:
            advance_clock(rig, 36000)
            client = await rig.connect()
            assert [status(await client.fetch(request("a"))) for _ in range(3)] == [200, 200, 429]
            core = rig.service.core("a")
            for _ in range(20):
                advance_clock(rig, 10)
                await rig.wait_until(lambda: core._idle_mode)
            assert rig.service.core("a") is core
            client = await rig.connect()
            assert status(await client.fetch(request("a"))) == 429

    on_loop(scenario)


def test_module_with_a_cold_or_refusing_host_is_not_quiescent() -> None:
    gateway = Gateway(
        api.Settings(
            classes=(SAFE,), plans=(api.Plan("open"),), slow_start_ms=5000, slow_start_min_share=0.2
        ),
        1,
    )
    gateway.handle(1e6, api.EndpointList(ListKind.FULL, (make_endpoint(0, started_at_ms=1e6),)))
    assert not gateway.is_quiescent()
    gateway.handle(1e6 + 5001, api.TimerFired("sweep"))
    assert gateway.is_quiescent()
    (host,) = gateway.hosts.values()
    host.connection_refused = True
    assert not gateway.is_quiescent()


def test_module_that_evicted_a_customer_is_quiescent_only_once_that_ceiling_is_full() -> None:
    """Guards against discarding the module early: a new one would start with the customer's ceiling full."""
    slow = api.Plan("slow", ceiling_rate=0.5, ceiling_burst=10)  # full after 20 s
    plans = (slow, api.Plan("open"))
    gateway = Gateway(api.Settings(classes=(SAFE,), plans=plans, max_customers=1), 1)
    gateway.handle(1e6, api.EndpointList(ListKind.FULL, (make_endpoint(0),)))

    def is_sent(now_ms: float, request_id: str, plan: str) -> bool:
        actions = gateway.handle(now_ms, api.Request(request_id, "read", plan, request_id, 4000.0))
        attempts = [action for action in actions if isinstance(action, api.SendAttempt)]
        for action in attempts:
            gateway.handle(now_ms, api.AttemptEnded(request_id, 0, action.host, AttemptResult.OK, 50, True))
        return bool(attempts)

    assert is_sent(1e6 + 30_000, "spends", "slow")
    assert is_sent(1e6 + 30_001, "other", "open") and ("spends", "slow") not in gateway.quotas.registry.states
    for second in range(31, 50):
        gateway.handle(1e6 + 1000 * second, api.TimerFired("sweep"))
        assert not gateway.is_quiescent()
    gateway.handle(1e6 + 50_001, api.TimerFired("sweep"))
    assert gateway.is_quiescent()


def test_open_request_keeps_the_tenant_active() -> None:
    async def scenario() -> None:
        def silent(seen: Seen) -> None:
            return None

        async with Hosted("a", behave=silent) as rig:
            client = await rig.open_request(request("a", "/api/book/p", "POST", Idempotency_Key="k"))
            core = rig.service.core("a")
            sweeps = core._sweeps
            await rig.wait_until(lambda: core._sweeps > sweeps + 3)
            assert not core._idle_mode and core.open_request_count() == 1
            client.writer.close()

    on_loop(scenario)


def test_idle_module_gets_its_timer_before_the_next_request() -> None:
    async def scenario() -> None:
        async with Hosted("a") as rig:
            assert await rig.status(request("a")) == 200
            core = rig.service.core("a")
            await rig.wait_until(lambda: core._idle_mode)
            events: list[str] = []
            handle = core.decision_module.handle

            def recording_handle(now: float, event: api.Event) -> list[api.Action]:
                events.append(type(event).__name__)
                return handle(now, event)

            core.decision_module.handle = recording_handle
            assert await rig.status(request("a")) == 200
            assert events[:2] == ["TimerFired", "Request"]
            assert not core._idle_mode and set(core._timers) == {"sweep"}

    on_loop(scenario)


@pytest.mark.parametrize("seed", range(5))
def test_module_replaced_when_quiescent_decides_like_one_that_was_kept(seed: int) -> None:
    """Sends the same requests to a module that is kept and to one that is replaced when quiescent."""
    rng = random.Random(seed)
    kept, replaced = Driver(seed=seed), Driver(seed=seed)
    start_ms = kept.now
    replacements = 0
    for _ in range(60):
        pause = rng.choice((50, 300, 2000, 40_000))
        for driver in (kept, replaced):
            for _ in range(int(min(pause, 3000) / 100)):
                driver.sweep()
            driver.now += max(pause - 3000, 0)
            driver.sweep(3)
        # The retry budget and the usual latencies are learnt, not configured, and may differ.
        if replaced.gateway.is_quiescent():
            replacements += 1
            replaced.gateway = Gateway(replaced.gateway.settings, seed)
            replaced.gateway.handle(start_ms, api.EndpointList(ListKind.CACHED, ()))
            replaced.handle(api.EndpointList(ListKind.FULL, tuple(make_endpoint(i) for i in range(4))))
        plan, count = rng.choice((("basic", 4), ("capped", 9), ("open", 3))), rng.randint(1, 12)
        customer = rng.choice(("x", "y"))
        for _ in range(count):
            decided = []
            for driver in (kept, replaced):
                request_id, actions = driver.request(plan=plan[0], customer=customer, width=1)
                for name in [a.name for a in of_type(actions, api.IncrementCounter)]:
                    reply = driver.totals[name] = driver.totals.get(name, 0.0) + sum(
                        a.amount for a in of_type(actions, api.IncrementCounter) if a.name == name
                    )
                    actions = actions + driver.handle(api.CounterReply(name, AttemptResult.OK, reply, 1.0))
                sent = any(isinstance(a, api.SendAttempt) and a.request_id == request_id for a in actions)
                if sent:
                    driver.end(request_id, after=5)
                else:
                    driver.now += 5
                decided.append(sent)
            assert decided[0] == decided[1]
    assert replacements >= 5
