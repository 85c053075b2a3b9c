"""Retention of a process's state: the rules cover every field, and expired values have safe defaults."""

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
    MAX_UNSEEN_AFTER_CRASH_MS,
    RETENTION_RULES,
    SnapshotContentError,
    is_worth_storing,
    retained,
)

FIELDS_BY_SECTION = {
    "scalars": state.SCALAR_KEYS + state.THROTTLE_KEYS,
    "host": state.HOST_KEYS, "use": state.QUOTA_STATE_KEYS,
    "cell": ("value", "work", "f", "r"), "head": ("latency", "warm_rate", "asked_at"), "sketch": ("text",),
}  # fmt: skip
# Derived from the endpoint list, the settings or stored fields, or about requests in flight: not stored.
DERIVED_FIELDS = {
    Host: {"name", "zone", "cell", "capacity", "up", "open_requests", "pool", "pool_name", "endpoint",
           "listed", "group", "localities", "rank", "rank_index", "latency_bin", "load_per_request",
           "idle_rank", "log_capacity", "disabled", "ring_position", "in_aperture", "ranking"},
    QuotaState: {"key", "plan", "digest", "phase", "count_name", "call_open", "call_amount", "called_at",
                 "waiting", "open_requests",
                 # Derived from the plan and the number of replicas; the lease, which the next total confirms.
                 "has_quota", "share_rate", "share_ms", "batch_rate", "batch_share", "batch_divisor",
                 "covered_at", "request_gap_ms", "lease_confirmed", "last_total_level"},
}  # fmt: skip


def successor_after(d: Driver, age_ms: float, exact: bool) -> Driver:
    """A successor that starts `age_ms` after the export and restores what is retained."""
    now = d.now + age_ms
    documents = retained(exported_documents(d.gateway), d.now, exact, now, now)
    return successor_of(d, documents, age_ms)


@pytest.mark.parametrize("section", FIELDS_BY_SECTION)
def test_every_stored_field_belongs_to_exactly_one_retention_rule(section: str) -> None:
    fields = [field for rule in RETENTION_RULES if rule.section == section for field in rule.fields]
    assert sorted(fields) == sorted(FIELDS_BY_SECTION[section])


@pytest.mark.parametrize(
    ("state_class", "stored_attributes"),
    [
        (Host, tuple(state.HOST_ATTRIBUTES[name] for name in state.HOST_KEYS)),
        (QuotaState, tuple(state.QUOTA_STATE_ATTRIBUTES[name] for name in state.QUOTA_STATE_KEYS)),
    ],
)
def test_every_field_of_a_host_and_a_customer_is_stored_or_derived(
    state_class: type, stored_attributes: tuple[str, ...]
) -> None:
    assert set(state_class.__slots__) == set(stored_attributes) | DERIVED_FIELDS[state_class]  # type: ignore[attr-defined]
    assert not set(stored_attributes) & DERIVED_FIELDS[state_class]


def test_state_from_a_clean_exit_just_now_is_retained_completely() -> None:
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
    """A snapshot, one request and a kill, thirty times."""
    d = Driver(servers=6, counter_available=False)
    plan = CAPPED
    spent, started_at = 0.0, d.now
    for _ in range(30):
        documents, taken_at = exported_documents(d.gateway), d.now
        rid, _ = d.request("read", plan.name, "c1", units=1, after=40)
        spent += any(isinstance(a, api.SendAttempt) and a.request_id == rid for _, a in d.log)
        d.now += 100
        new = Driver(servers=6, seed=int(d.now), now=d.now, counter_available=False)
        restore(new.gateway, retained(documents, taken_at, False, d.now, d.now))
        d = new
    assert spent <= plan.ceiling_burst + plan.ceiling_rate * (d.now - started_at) / 1000


def test_expired_admit_fraction_is_reset_and_a_recent_one_is_retained() -> None:
    d = busy_gateway()
    d.gateway.admission.admit_fraction = 0.3
    for share in d.gateway.admission.shares.values():
        share.admit_fraction = 0.2
    recent, old = (
        successor_after(d, 500, exact=False).gateway,
        successor_after(d, 60_000, exact=True).gateway,
    )
    assert recent.admission.admit_fraction == 0.3 and recent.quotas.shedding_load
    assert {share.admit_fraction for share in recent.admission.shares.values()} == {0.2}
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
    assert new.gateway.load_balancer.capacity_share(host) < 1 and host.latency_ratio == 1.0


def test_host_that_is_not_listed_is_not_restored() -> None:
    d = busy_gateway()
    new = Driver(servers=3, seed=99, now=d.now, counter_available=False)
    restore(new.gateway, retained(exported_documents(d.gateway), d.now, True, new.now, new.now))
    assert sorted(new.gateway.hosts) == ["h0", "h1", "h2"]


def test_latency_ratio_decays_and_an_old_ejection_is_not_retained() -> None:
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
    """A successor that restores the start time gives an unknown customer a full ceiling."""
    d = busy_gateway()
    quotas = d.gateway.quotas
    (use,) = [u for u in quotas.registry.states.values() if u.plan is CAPPED and u.key[0] == "c1"]
    expiry_ms, burst = quotas.registry.expiry_ms["capped"], CAPPED.ceiling_burst / use.replicas
    for unseen_ms, stored in ((expiry_ms - 1, True), (expiry_ms, False)):
        now = use.seen_at + unseen_ms
        documents = export(
            d.gateway, lambda u, now=now: is_worth_storing(u.seen_at, expiry_ms, now, exact=True)
        )
        stored_keys = {tuple(row[:2]) for document in documents for row in document.get("uses", ())}
        assert (use.key in stored_keys) == stored
    use.ceiling_remaining, use.ceiling_at = 0.0, use.seen_at  # its last request used up the ceiling
    d.handle(api.TimerFired("none"), after=use.seen_at + expiry_ms - d.now)
    assert quotas.ceiling_has_units(use, burst)


def test_periodic_snapshot_holds_only_customers_seen_recently() -> None:
    d = busy_gateway(customers=30)
    uses = list(d.gateway.quotas.registry.states.values())
    uses[0].seen_at -= 2 * MAX_UNSEEN_AFTER_CRASH_MS
    documents = export(d.gateway, lambda use: is_worth_storing(use.seen_at, 0.0, d.now, exact=False))
    stored_keys = [tuple(row[:2]) for doc in documents if doc["t"] == "customers" for row in doc["uses"]]
    assert stored_keys == [use.key for use in uses[1:]]
    bound = next(rule for rule in RETENTION_RULES if rule.name == "use by others")
    assert all(
        other.after_crash_ms <= bound.after_crash_ms
        for other in RETENTION_RULES
        if other.section == "use" and other.name != "customer"
    )


@pytest.mark.parametrize(
    ("path", "value"),
    [(("scalars", "f"), 1.5), (("latency", "read"), 0.0), (("latency", "read"), 2**5000),
     (("warm_rate",), -1.0)],
)  # fmt: skip
def test_error_names_the_field_of_a_number_out_of_range(path: tuple[str, ...], value: float) -> None:
    d = busy_gateway()
    documents = exported_documents(d.gateway)
    parent = documents[0]
    for key in path[:-1]:
        parent = parent[key]
    parent[path[-1]] = value
    with pytest.raises(StateError, match=path[-1]):
        restore(Driver(servers=6, now=d.now, counter_available=False).gateway, documents)


@pytest.mark.parametrize("seed", range(300))
def test_corrupted_documents_are_restored_completely_or_not_at_all(seed: int) -> None:
    """Digests detect damage, but a faulty version may write bad documents: they must not crash a start."""
    d, rng = busy_gateway(customers=6), random.Random(seed)
    documents = exported_documents(d.gateway)
    corrupt(documents, rng)
    new = Driver(servers=6, seed=99, now=d.now, counter_available=False)
    before = exported_documents(new.gateway)
    try:
        now = d.now + rng.choice([0, 1e4])
        restore(new.gateway, retained(documents, d.now, bool(seed % 2), now, d.now))
    except (StateError, SnapshotContentError):
        assert exported_documents(new.gateway) == before
    else:
        rid, acts = new.request("read", "open", "c1", after=5)  # the module still decides
        assert acts and new.end(rid, AttemptResult.OK) is not None if of_type(acts, api.SendAttempt) else acts
        new.sweep(2)


def corrupt(value: Any, rng: random.Random) -> None:
    """Replace one value at a random depth."""
    while True:
        keys = list(value) if isinstance(value, dict) else list(range(len(value)))
        if not keys:
            return
        key = rng.choice(keys)
        if isinstance(value[key], dict | list) and rng.random() < 0.9:
            value = value[key]
            continue
        value[key] = rng.choice([None, "x", -1, 1e308, [], {}, [[]], {"a": 1}, True, 0, -1e9, 2**70])
        return


@pytest.mark.parametrize("exact", [False, True])
def test_retention_does_not_change_its_input(exact: bool) -> None:
    d = busy_gateway()
    documents = exported_documents(d.gateway)
    retained(documents, d.now, exact, d.now + 1e6, d.now + 1e6)
    assert documents == exported_documents(d.gateway)
