"""What is retained of a process's state: the rules are complete, and expired values are harmless."""

from __future__ import annotations

import random
from typing import Any

import pytest
from conftest import CAPPED, Driver, of_type
from fakes.successors import busy_gateway, exported_documents, successor_of

from hillmux import interface as api
from hillmux.balancing.host import Host
from hillmux.hot_restart import state_codec as state
from hillmux.hot_restart.state_codec import StateError, export, restore
from hillmux.interface import AttemptResult, ListKind
from hillmux.quotas.state import QuotaState
from hillmux.recovery.retention import (
    LATENCY_RATIO_HALF_LIFE_MS,
    RETENTION_RULES,
    USE_AFTER_CRASH_MS,
    SnapshotContentError,
    is_worth_storing,
    retained,
)

PLACES = {
    "scalars": state.SCALARS + state.COUNTER, "host": state.HOST, "use": state.USE,
    "cell": ("value", "work", "f", "r"), "head": ("latency", "warm_rate", "asked_at"), "sketch": ("text",),
}  # fmt: skip
# Made anew from the list, the settings or what is remembered, or of what is open: nothing to remember.
MADE = {
    Host: {"name", "zone", "cell", "capacity", "up", "open_requests", "pool", "pool_name", "endpoint",
           "listed", "group", "localities", "rank", "rank_index", "latency_bin", "load_per_request",
           "idle_rank", "log_capacity", "disabled", "ring_position", "in_aperture", "ranking"},
    QuotaState: {"key", "plan", "digest", "phase", "count_name", "call_open", "call_amount", "called_at",
                 "waiting", "open_requests",
                 # From the plan and the number of replicas; how a lease stands, which only a total confirms.
                 "has_quota", "share_rate", "share_ms", "batch_rate", "batch_share", "batch_divisor",
                 "covered_at", "request_gap_ms", "lease_confirmed", "last_total_level"},
}  # fmt: skip


def successor_after(d: Driver, age_ms: float, exact: bool) -> Driver:
    """A successor started `age_ms` after the documents were exported, which restores what is retained."""
    now = d.now + age_ms
    documents = retained(exported_documents(d.gateway), d.now, exact, now, now)
    return successor_of(d, documents, age_ms)


@pytest.mark.parametrize("place", PLACES)
def test_every_stored_field_belongs_to_exactly_one_retention_rule(place: str) -> None:
    named = [field for item in RETENTION_RULES if item.section == place for field in item.fields]
    assert sorted(named) == sorted(PLACES[place])


@pytest.mark.parametrize(
    ("kind", "left_behind"),
    [
        (Host, tuple(state.HOST_ATTRIBUTES[name] for name in state.HOST)),
        (QuotaState, tuple(state.USE_ATTRIBUTES[name] for name in state.USE)),
    ],
)
def test_every_field_of_a_host_and_a_customer_is_stored_or_derived(
    kind: type, left_behind: tuple[str, ...]
) -> None:
    assert set(kind.__slots__) == set(left_behind) | MADE[kind]  # type: ignore[attr-defined]
    assert not set(left_behind) & MADE[kind]


def test_state_after_a_clean_exit_a_moment_ago_is_retained_whole() -> None:
    d = busy_gateway()
    assert retained(exported_documents(d.gateway), d.now, True, d.now, d.now) == exported_documents(d.gateway)


@pytest.mark.parametrize("age", [0.0, 400.0, 20_000.0])
def test_after_a_crash_no_ceiling_count_or_start_time_is_retained(age: float) -> None:
    d = busy_gateway()
    assert any(use.ceiling_remaining > 0 for use in d.gateway.quotas.registry.states.values())
    new = successor_after(d, age, exact=False)
    assert new.gateway.context.started_at == new.now
    for use in new.gateway.quotas.registry.states.values():
        assert (use.ceiling_remaining, use.used, use.reported) == (0.0, 0.0, 0.0)
        assert (use.remaining, use.last_total) == (0.0, None)
        assert use.ceiling_at == new.now
        if use.plan.ceiling_rate > 0:
            assert not new.gateway.quotas.ceiling_has_units(use, 1.0)


def test_ceiling_is_not_exceeded_however_often_the_process_is_killed() -> None:
    """Killed after each request, with a snapshot before it, thirty times."""
    d = Driver(servers=6, counter_available=False)
    plan = CAPPED
    spent, began = 0.0, d.now
    for _ in range(30):
        documents, at = exported_documents(d.gateway), d.now
        rid, _ = d.request("read", plan.name, "c1", units=1, after=40)
        spent += any(isinstance(a, api.SendAttempt) and a.request_id == rid for _, a in d.log)
        d.now += 100
        new = Driver(servers=6, seed=int(d.now), now=d.now, counter_available=False)
        restore(new.gateway, retained(documents, at, False, d.now, d.now))
        d = new
    assert spent <= plan.ceiling_burst + plan.ceiling_rate * (d.now - began) / 1000


def test_expired_admit_fraction_is_reset_and_a_recent_one_is_retained() -> None:
    d = busy_gateway()
    d.gateway.admission.admit_fraction = 0.3
    for share in d.gateway.admission.shares.values():
        share.admit_fraction = 0.2
    young, old = successor_after(d, 500, exact=False).gateway, successor_after(d, 60_000, exact=True).gateway
    assert young.admission.admit_fraction == 0.3 and young.quotas.shedding_load
    assert {share.admit_fraction for share in young.admission.shares.values()} == {0.2}
    assert old.admission.admit_fraction == 1.0 and not old.quotas.shedding_load
    assert {share.admit_fraction for share in old.admission.shares.values()} == {1.0}


def test_later_start_listed_by_discovery_overrides_a_restored_host() -> None:
    d = busy_gateway()
    documents = exported_documents(d.gateway)
    new = Driver(servers=6, seed=99, now=d.now + 100, counter_available=False)
    restarted = api.Endpoint("h2", "a", 0, started_at_ms=new.now - 50)
    new.handle(api.EndpointList(ListKind.CHANGES, (restarted,)))
    restore(new.gateway, retained(documents, d.now, True, new.now, new.now))
    host = new.gateway.hosts["h2"]
    assert new.gateway.fleet.capacity_share(host) < 1 and host.latency_ratio == 1.0


def test_host_that_is_not_listed_is_not_restored() -> None:
    d = busy_gateway()
    new = Driver(servers=3, seed=99, now=d.now, counter_available=False)
    restore(new.gateway, retained(exported_documents(d.gateway), d.now, True, new.now, new.now))
    assert sorted(new.gateway.hosts) == ["h0", "h1", "h2"]


def test_latency_ratio_decays_and_an_old_failure_is_not_retained() -> None:
    d = busy_gateway()
    slow = d.gateway.hosts["h2"].latency_ratio = 3.0
    assert d.gateway.hosts["h1"].ejections
    later = successor_after(d, LATENCY_RATIO_HALF_LIFE_MS, exact=False).gateway
    assert later.hosts["h2"].latency_ratio == pytest.approx(1 + (slow - 1) / 2)
    assert (
        not later.hosts["h1"].ejections
        and successor_after(d, 1000, exact=False).gateway.hosts["h1"].consecutive_failures
    )


def test_final_snapshot_omits_a_customer_only_once_its_ceiling_is_full_again() -> None:
    """To a successor of the old birth it is new, with a full part: no more than it had."""
    d = busy_gateway()
    quotas = d.gateway.quotas
    (use,) = [u for u in quotas.registry.states.values() if u.plan is CAPPED and u.key[0] == "c1"]
    rest, full = quotas.registry.rest_ms["capped"], CAPPED.ceiling_burst / use.replicas
    for unseen, kept in ((rest - 1, True), (rest, False)):
        now = use.seen_at + unseen
        documents = export(d.gateway, lambda u, now=now: is_worth_storing(u.seen_at, rest, now, exact=True))
        named = {tuple(row[:2]) for document in documents for row in document.get("uses", ())}
        assert (use.key in named) == kept
    use.ceiling_remaining, use.ceiling_at = 0.0, use.seen_at  # all of it was spent with its last request
    d.handle(api.TimerFired("none"), after=use.seen_at + rest - d.now)
    assert quotas.ceiling_has_units(use, full)


def test_periodic_snapshot_holds_only_customers_seen_recently() -> None:
    d = busy_gateway(customers=30)
    uses = list(d.gateway.quotas.registry.states.values())
    uses[0].seen_at -= 2 * USE_AFTER_CRASH_MS
    documents = export(d.gateway, lambda use: is_worth_storing(use.seen_at, 0.0, d.now, exact=False))
    of_late = [tuple(row[:2]) for doc in documents if doc["t"] == "customers" for row in doc["uses"]]
    assert of_late == [use.key for use in uses[1:]]
    stale = next(item for item in RETENTION_RULES if item.name == "use by others")
    assert all(
        i.after_crash_ms <= stale.after_crash_ms
        for i in RETENTION_RULES
        if i.section == "use" and i.name != "customer"
    )


@pytest.mark.parametrize(
    ("path", "value"),
    [(("scalars", "f"), 1.5), (("latency", "read"), 0.0), (("latency", "read"), 2**5000),
     (("warm_rate",), -1.0)],
)  # fmt: skip
def test_error_names_the_field_of_a_number_out_of_range(path: tuple[str, ...], value: float) -> None:
    d = busy_gateway()
    documents = exported_documents(d.gateway)
    where = documents[0]
    for part in path[:-1]:
        where = where[part]
    where[path[-1]] = value
    with pytest.raises(StateError, match=path[-1]):
        restore(Driver(servers=6, now=d.now, counter_available=False).gateway, documents)


@pytest.mark.parametrize("seed", range(300))
def test_corrupted_documents_are_restored_whole_or_not_at_all(seed: int) -> None:
    """Digests keep damage out; what a faulty version wrote must not crash a start or be half taken."""
    d, draw = busy_gateway(customers=6), random.Random(seed)
    documents = exported_documents(d.gateway)
    spoil(documents, draw)
    new = Driver(servers=6, seed=99, now=d.now, counter_available=False)
    before = exported_documents(new.gateway)
    try:
        now = d.now + draw.choice([0, 1e4])
        restore(new.gateway, retained(documents, d.now, bool(seed % 2), now, d.now))
    except (StateError, SnapshotContentError):
        assert exported_documents(new.gateway) == before
    else:
        rid, acts = new.request("read", "open", "c1", after=5)  # and decides on
        assert acts and new.end(rid, AttemptResult.OK) is not None if of_type(acts, api.SendAttempt) else acts
        new.sweep(2)


def spoil(value: Any, draw: random.Random) -> None:
    """Change one thing, however deep."""
    while True:
        keys = list(value) if isinstance(value, dict) else list(range(len(value)))
        if not keys:
            return
        key = draw.choice(keys)
        if isinstance(value[key], dict | list) and draw.random() < 0.9:
            value = value[key]
            continue
        value[key] = draw.choice([None, "x", -1, 1e308, [], {}, [[]], {"a": 1}, True, 0, -1e9, 2**70])
        return


@pytest.mark.parametrize("exact", [False, True])
def test_retention_does_not_change_its_input(exact: bool) -> None:
    d = busy_gateway()
    documents = exported_documents(d.gateway)
    retained(documents, d.now, exact, d.now + 1e6, d.now + 1e6)
    assert documents == exported_documents(d.gateway)
