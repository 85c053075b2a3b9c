"""Tenants that nobody asks for anything: they cost next to nothing, forget nothing, and wake right."""

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
def _quick(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(core_module, "DOZE_AFTER_S", 0.05)
    monkeypatch.setattr(core_module, "DOZE_S", 0.05)
    monkeypatch.setattr(service_module, "TIDY_S", 0.02)


def later(rig: Hosted, seconds: float) -> None:
    """Have that time pass for all modules."""
    rig.service.resources.clock._offset += seconds


def test_a_tenant_that_was_never_asked_for_anything_has_no_core() -> None:
    async def scenario() -> None:
        async with Hosted("a", "b") as rig:
            assert await rig.status(request("a")) == 200
            assert list(rig.service._awake) == ["a"]
            assert rig.service.slot("b")._stats is None

    on_loop(scenario)


def test_an_idle_tenant_dozes_is_put_away_and_wakes_with_what_it_had_earned() -> None:
    async def scenario() -> None:
        rig = Hosted("a")
        plan = {"rate": 100, "burst": 100, "ceiling_rate": 1, "ceiling_burst": 5}
        rig.per_tenant = {"a": {"plans": {"team": plan}}}
        async with rig:
            later(rig, 3600)
            client = await rig.connect()
            found = [status(await client.ask(request("a"))) for _ in range(8)]
            assert found == [200] * 5 + [429] * 3
            core = rig.service.core("a")
            born = rig.service.slot("a").born_ms
            await rig.until(lambda: core._dozing)
            assert not core.empty()  # the counts' lives are not over, and the partner is remembered
            for _ in range(40):
                later(rig, 5)
                await rig.until(lambda: core._dozing or core.empty())
            await rig.until(lambda: core.empty())
            assert rig.service._awake == {} and rig.service._stores == {}
            assert rig.service.slot("a").born_ms == born
            client = await rig.connect()
            found = [status(await client.ask(request("a"))) for _ in range(8)]
            assert found == [200] * 5 + [429] * 3  # full again, and no more than full
            assert rig.service.slot("a").stats.served == 10  # the counts went on

    on_loop(scenario)


def test_a_ceiling_that_is_not_full_again_keeps_its_tenant() -> None:
    async def scenario() -> None:
        rig = Hosted("a")
        plan = {"rate": 100, "burst": 100, "ceiling_rate": 0.001, "ceiling_burst": 2}
        rig.per_tenant = {"a": {"plans": {"team": plan}}}
        async with rig:
            later(rig, 36000)
            client = await rig.connect()
            assert [status(await client.ask(request("a"))) for _ in range(3)] == [200, 200, 429]
            core = rig.service.core("a")
            for _ in range(20):
                later(rig, 10)
                await rig.until(lambda: core._dozing)
            assert rig.service.core("a") is core
            client = await rig.connect()
            assert status(await client.ask(request("a"))) == 429

    on_loop(scenario)


def test_a_cold_host_and_a_dead_one_keep_their_tenant_awake() -> None:
    cold = Gateway(
        api.Settings(
            classes=(SAFE,), plans=(api.Plan("open"),), slow_start_ms=5000, slow_start_min_share=0.2
        ),
        1,
    )
    cold.handle(1e6, api.EndpointList(ListKind.FULL, (make_endpoint(0, started_at_ms=1e6),)))
    assert not cold.is_quiescent()
    cold.handle(1e6 + 5001, api.TimerFired("sweep"))
    assert cold.is_quiescent()
    (host,) = cold.hosts.values()
    host.connection_refused = True
    assert not cold.is_quiescent()


def test_a_module_that_forgot_a_customer_early_rests_only_when_that_ceiling_is_full_again() -> None:
    """A module made anew would give the ceiling back in full, whoever had spent it."""
    slow = api.Plan("slow", ceiling_rate=0.5, ceiling_burst=10)  # full after 20 s
    plans = (slow, api.Plan("open"))
    gateway = Gateway(api.Settings(classes=(SAFE,), plans=plans, max_customers=1), 1)
    gateway.handle(1e6, api.EndpointList(ListKind.FULL, (make_endpoint(0),)))

    def ask(at: float, rid: str, plan: str) -> bool:
        out = gateway.handle(at, api.Request(rid, "read", plan, rid, 4000.0))
        sent = [act for act in out if isinstance(act, api.SendAttempt)]
        for act in sent:
            gateway.handle(at, api.AttemptEnded(rid, 0, act.host, AttemptResult.OK, 50, True))
        return bool(sent)

    assert ask(1e6 + 30_000, "spends", "slow")
    assert ask(1e6 + 30_001, "other", "open") and ("spends", "slow") not in gateway.quotas.registry.states
    for s in range(31, 50):
        gateway.handle(1e6 + 1000 * s, api.TimerFired("sweep"))
        assert not gateway.is_quiescent()
    gateway.handle(1e6 + 50_001, api.TimerFired("sweep"))
    assert gateway.is_quiescent()


def test_a_request_that_is_out_keeps_its_tenant_awake_for_as_long_as_it_lasts() -> None:
    async def scenario() -> None:
        def silent(seen: Seen) -> None:
            return None

        async with Hosted("a", behave=silent) as rig:
            client = await rig.hold(request("a", "/api/book/p", "POST", Idempotency_Key="k"))
            core = rig.service.core("a")
            sweeps = core._sweeps
            await rig.until(lambda: core._sweeps > sweeps + 3)
            assert not core._dozing and core.open_requests() == 1
            client.writer.close()

    on_loop(scenario)


def test_a_dozing_module_is_told_of_its_timer_before_the_request_that_wakes_it() -> None:
    async def scenario() -> None:
        async with Hosted("a") as rig:
            assert await rig.status(request("a")) == 200
            core = rig.service.core("a")
            await rig.until(lambda: core._dozing)
            seen: list[str] = []
            handle = core.decision_module.handle

            def watched(now: float, event: api.Event) -> list[api.Action]:
                seen.append(type(event).__name__)
                return handle(now, event)

            core.decision_module.handle = watched
            assert await rig.status(request("a")) == 200
            assert seen[:2] == ["TimerFired", "Request"]
            assert not core._dozing and set(core._timers) == {"sweep"}

    on_loop(scenario)


@pytest.mark.parametrize("seed", range(5))
def test_one_that_was_put_away_decides_as_one_that_stayed(seed: int) -> None:
    """The same requests to a module that stays and to one made anew each time that it is settled."""
    rng = random.Random(seed)
    stays, rests = Driver(seed=seed), Driver(seed=seed)
    born = stays.now
    fresh = 0
    for _ in range(60):
        pause = rng.choice((50, 300, 2000, 40_000))
        for driver in (stays, rests):
            for _ in range(int(min(pause, 3000) / 100)):
                driver.sweep()
            driver.now += max(pause - 3000, 0)
            driver.sweep(3)
        # The bank of retries and the usual latencies are learnt, not rules; they may differ.
        if rests.gateway.is_quiescent():
            fresh += 1
            rests.gateway = Gateway(rests.gateway.settings, seed)
            rests.gateway.handle(born, api.EndpointList(ListKind.CACHED, ()))
            rests.handle(api.EndpointList(ListKind.FULL, tuple(make_endpoint(i) for i in range(4))))
        plan, count = rng.choice((("basic", 4), ("capped", 9), ("open", 3))), rng.randint(1, 12)
        customer = rng.choice(("x", "y"))
        for _ in range(count):
            decided = []
            for driver in (stays, rests):
                rid, out = driver.request(plan=plan[0], customer=customer, width=1)
                for name in [a.name for a in of_type(out, api.IncrementCounter)]:
                    reply = driver.totals[name] = driver.totals.get(name, 0.0) + sum(
                        a.amount for a in of_type(out, api.IncrementCounter) if a.name == name
                    )
                    out = out + driver.handle(api.CounterReply(name, AttemptResult.OK, reply, 1.0))
                sent = any(isinstance(a, api.SendAttempt) and a.request_id == rid for a in out)
                if sent:
                    driver.end(rid, after=5)
                else:
                    driver.now += 5
                decided.append(sent)
            assert decided[0] == decided[1]
    assert fresh >= 5
