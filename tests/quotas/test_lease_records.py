"""Leases in hand-overs, snapshots and beside the version before them."""

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

# --- Handover and snapshots ---


def successor_of(fleet: GatewayFleet, number: int, exact: bool | None = None) -> Driver:
    """A process that goes on from what a gateway's handover, or its snapshot, tells."""
    old, new = fleet.gateways[number], fleet.fresh(number)
    rows = json.loads(json.dumps(list(export(old.gateway))))
    if exact is not None:
        rows = retained(rows, old.now, exact, old.now, old.now)
    restore(new.gateway, rows)
    return new


def test_a_lease_that_is_handed_over_counts_only_after_a_total_confirms_it() -> None:
    fleet = GatewayFleet(3)
    drawn = fleet.draw(0)
    before = fleet.state(0)
    fleet.gateways[0] = successor_of(fleet, 0)
    after = fleet.state(0)
    assert (after.used, after.reported) == (before.used, before.reported)
    assert fleet.lease(0) == 0.0
    after.remaining, after.last_total_at = -1.0, 0.0  # the next request asks
    fleet.ask(0, after=20.0)
    assert after.lease_confirmed
    assert fleet.lease(0) == pytest.approx(drawn - 1) or fleet.lease(0) == pytest.approx(drawn)


def test_a_lease_that_is_handed_over_to_a_counter_that_lost_it_is_gone() -> None:
    fleet = GatewayFleet(3)
    fleet.draw(0)
    fleet.gateways[0] = successor_of(fleet, 0)
    fleet.totals.clear()
    state = fleet.state(0)
    state.remaining, state.last_total_at = -1.0, 0.0
    fleet.ask(0, after=20.0)
    assert fleet.lease(0) == 0.0


def test_a_loose_snapshot_carries_no_lease_and_an_exact_one_keeps_what_was_reported() -> None:
    fleet = GatewayFleet(3)
    fleet.draw(0)
    known = fleet.state(0)
    for exact in (False, True):
        new = successor_of(fleet, 0, exact)
        (restored,) = new.gateway.quotas.registry.states.values()
        wanted = (known.used, known.reported) if exact else (0.0, 0.0)
        assert (restored.used, restored.reported) == wanted
        assert lease.available(restored) == 0.0


def test_use_that_was_handed_over_unreported_is_reported_as_soon_as_by_its_predecessor() -> None:
    plan = api.Plan("wide", rate=10.0, burst=100.0)
    fleet = GatewayFleet(16, plan)
    fleet.ask(0)
    while fleet.state(0).used - fleet.state(0).reported < 8:
        fleet.ask(0)
    old = fleet.state(0)
    new = successor_of(fleet, 0)
    (restored,) = new.gateway.quotas.registry.states.values()
    unreported = old.used - old.reported
    assert restored.covered_at == pytest.approx(new.now + unreported * restored.share_ms)
    assert restored.covered_at >= old.covered_at - restored.share_ms  # a reserve counts there, though told


def test_a_row_restored_over_a_customer_that_was_seen_already_is_taken_whole() -> None:
    """What is derived follows the number of replicas in the row, and no lease of before is believed."""
    fleet = GatewayFleet(8)
    fleet.draw(0)
    rows = json.loads(json.dumps(list(export(fleet.gateways[0].gateway))))
    new = fleet.fresh(0)
    _, out = new.request(plan=PLAN.name, customer=NAME, width=1)
    (call,) = of_type(out, api.IncrementCounter)
    new.handle(api.CounterReply(call.name, AttemptResult.OK, call.amount))
    restore(new.gateway, rows)
    (restored,) = new.gateway.quotas.registry.states.values()
    assert restored.replicas == 8
    assert restored.batch_divisor == batches.divisor(8)
    assert restored.share_rate == pytest.approx(PLAN.rate / 1000 / 8)
    assert lease.available(restored) == 0.0


def test_counts_have_the_names_of_the_version_before_leases_byte_for_byte() -> None:
    """Old and new gateways of one fleet add to the same counts (names as version d31f922 gives them)."""
    fleet = GatewayFleet(3)
    fleet.ask(0)
    (call,) = fleet.calls(0)
    assert call.name == f"{window.digest(NAME).hex()}.50000"
    assert window.digest(NAME).hex() == "70957f0910968c8c"
    assert call.retention_ms == 2 * window.length_ms(PLAN) == 48_000.0


def test_a_row_of_a_lease_is_given_back_by_the_rules_of_the_version_before() -> None:
    """Its amount due was own - added + reserve; below 0 it was told whenever no call was open."""
    fleet = GatewayFleet(3)
    drawn = fleet.draw(0)
    (row,) = next(doc for doc in export(fleet.gateways[0].gateway) if doc["t"] == "customers")["uses"]
    told = dict(zip(documents.USE, row[2:], strict=True))
    due = told["own"] - told["added"]
    assert due == pytest.approx(-drawn)
    assert sum(fleet.totals.values()) + due == pytest.approx(told["own"])


def test_a_document_without_any_lease_from_the_version_before_restores() -> None:
    """A row as that version wrote it: 18 values, own and added alike."""
    values = {
        "width": 3, "widest": 3, "window": 50_000, "own": 7.0, "added": 7.0, "base": 9.0, "base_own": 7.0,
        "base_use": 7.0, "base_at": 0.0, "base_left": 15.0, "most": 15.0, "left": 15.0, "left_at": 0.0,
        "others": 0.0005, "luck": 1.0, "seen": 0.0, "ceiling": 0.0, "ceiling_at": 0.0,
    }  # fmt: skip
    assert tuple(values) == documents.USE
    fleet = GatewayFleet(3)
    for name in ("base_at", "left_at", "seen", "ceiling_at"):
        values[name] = fleet.now
    fleet.use_elsewhere(9.0)
    rows = [doc for doc in export(fleet.gateways[0].gateway) if doc["t"] != "customers"]
    rows.append({"t": "customers", "uses": [[NAME, PLAN.name, *(values[name] for name in documents.USE)]]})
    restore(fleet.gateways[0].gateway, json.loads(json.dumps(rows)))
    assert fleet.lease(0) == 0.0
    assert fleet.ask(0)
    assert 14 <= 1 + fleet.flood(0, times=60) <= 15 + PLAN.rate * 0.1
