"""Leases in hot restarts and snapshots, and next to gateways of the version before leases."""

from __future__ import annotations

import json

import pytest
from conftest import Driver, of_type
from quotas.gateway_fleet import NAME, PLAN, GatewayFleet

from hillmux import interface as api
from hillmux.hot_restart import state_codec as documents
from hillmux.hot_restart.state_codec import export, restore
from hillmux.interface import AttemptResult
from hillmux.quotas import batches, lease, window
from hillmux.recovery.retention import retained

# --- Hot restart and snapshots ---


def successor_of(fleet: GatewayFleet, number: int, exact: bool | None = None) -> Driver:
    """Create a process with the state of a gateway, or with what its snapshot retains if `exact` is given."""
    old, new = fleet.gateways[number], fleet.new_gateway(number)
    rows = json.loads(json.dumps(list(export(old.gateway))))
    if exact is not None:
        rows = retained(rows, old.now, exact, old.now, old.now)
    restore(new.gateway, rows)
    return new


def test_lease_after_a_hot_restart_is_valid_only_after_a_total_confirms_it() -> None:
    fleet = GatewayFleet(3)
    units = fleet.prefetch(0)
    before = fleet.state(0)
    fleet.gateways[0] = successor_of(fleet, 0)
    after = fleet.state(0)
    assert (after.used, after.reported) == (before.used, before.reported)
    assert fleet.leased_units(0) == 0.0
    after.remaining, after.last_total_at = -1.0, 0.0  # so that the next request waits for a total
    fleet.send_request(0, after_ms=20.0)
    assert after.lease_confirmed
    assert fleet.leased_units(0) == pytest.approx(units - 1) or fleet.leased_units(0) == pytest.approx(units)


def test_lease_after_a_hot_restart_is_dropped_if_the_counter_lost_it() -> None:
    fleet = GatewayFleet(3)
    fleet.prefetch(0)
    fleet.gateways[0] = successor_of(fleet, 0)
    fleet.totals.clear()
    state = fleet.state(0)
    state.remaining, state.last_total_at = -1.0, 0.0
    fleet.send_request(0, after_ms=20.0)
    assert fleet.leased_units(0) == 0.0


def test_only_an_exact_snapshot_keeps_reported_use_and_none_keeps_a_lease() -> None:
    fleet = GatewayFleet(3)
    fleet.prefetch(0)
    known = fleet.state(0)
    for exact in (False, True):
        new = successor_of(fleet, 0, exact)
        (restored,) = new.gateway.quotas.registry.states.values()
        expected = (known.used, known.reported) if exact else (0.0, 0.0)
        assert (restored.used, restored.reported) == expected
        assert lease.available(restored) == 0.0


def test_unreported_use_is_reported_as_soon_after_a_hot_restart_as_before_it() -> None:
    plan = api.Plan("wide", rate=10.0, burst=100.0)
    fleet = GatewayFleet(16, plan)
    fleet.send_request(0)
    while fleet.state(0).used - fleet.state(0).reported < 8:
        fleet.send_request(0)
    old = fleet.state(0)
    new = successor_of(fleet, 0)
    (restored,) = new.gateway.quotas.registry.states.values()
    unreported = old.used - old.reported
    assert restored.covered_at == pytest.approx(new.now + unreported * restored.share_ms)
    # The predecessor's `covered_at` includes a reserve of one unit, though that is already reported.
    assert restored.covered_at >= old.covered_at - restored.share_ms


def test_restored_row_replaces_the_state_of_a_customer_seen_already() -> None:
    """Derived values follow the number of replicas in the row, and an earlier lease is not valid."""
    fleet = GatewayFleet(8)
    fleet.prefetch(0)
    rows = json.loads(json.dumps(list(export(fleet.gateways[0].gateway))))
    new = fleet.new_gateway(0)
    _, out = new.request(plan=PLAN.name, customer=NAME, width=1)
    (call,) = of_type(out, api.IncrementCounter)
    new.handle(api.CounterReply(call.name, AttemptResult.OK, call.amount))
    restore(new.gateway, rows)
    (restored,) = new.gateway.quotas.registry.states.values()
    assert restored.replicas == 8
    assert restored.batch_divisor == batches.divisor(8)
    assert restored.share_rate == pytest.approx(PLAN.rate / 1000 / 8)
    assert lease.available(restored) == 0.0


def test_count_names_equal_those_of_the_version_before_leases() -> None:
    """Old and new gateways of one fleet must add to the same counts; these names are of version d31f922."""
    fleet = GatewayFleet(3)
    fleet.send_request(0)
    (call,) = fleet.counter_calls(0)
    assert call.name == f"{window.digest(NAME).hex()}.50000"
    assert window.digest(NAME).hex() == "70957f0910968c8c"
    assert call.retention_ms == 2 * window.length_ms(PLAN) == 48_000.0


def test_version_before_leases_gives_back_the_lease_in_a_row() -> None:
    """That version reports own - added + reserve, and a negative amount whenever no call is in flight."""
    fleet = GatewayFleet(3)
    prefetched = fleet.prefetch(0)
    (row,) = next(doc for doc in export(fleet.gateways[0].gateway) if doc["t"] == "customers")["uses"]
    fields = dict(zip(documents.QUOTA_STATE_KEYS, row[2:], strict=True))
    due = fields["own"] - fields["added"]
    assert due == pytest.approx(-prefetched)
    assert sum(fleet.totals.values()) + due == pytest.approx(fields["own"])


def test_document_of_the_version_before_leases_is_restored() -> None:
    """A row as that version wrote it has 18 values, with own equal to added."""
    values = {
        "width": 3, "widest": 3, "window": 50_000, "own": 7.0, "added": 7.0, "base": 9.0, "base_own": 7.0,
        "base_use": 7.0, "base_at": 0.0, "base_left": 15.0, "most": 15.0, "left": 15.0, "left_at": 0.0,
        "others": 0.0005, "luck": 1.0, "seen": 0.0, "ceiling": 0.0, "ceiling_at": 0.0,
    }  # fmt: skip
    assert tuple(values) == documents.QUOTA_STATE_KEYS
    fleet = GatewayFleet(3)
    for name in ("base_at", "left_at", "seen", "ceiling_at"):
        values[name] = fleet.now
    fleet.use_elsewhere(9.0)
    rows = [doc for doc in export(fleet.gateways[0].gateway) if doc["t"] != "customers"]
    rows.append(
        {
            "t": "customers",
            "uses": [[NAME, PLAN.name, *(values[name] for name in documents.QUOTA_STATE_KEYS)]],
        }
    )
    restore(fleet.gateways[0].gateway, json.loads(json.dumps(rows)))
    assert fleet.leased_units(0) == 0.0
    assert fleet.send_request(0)
    assert 14 <= 1 + fleet.flood(0, times=60) <= 15 + PLAN.rate * 0.1
