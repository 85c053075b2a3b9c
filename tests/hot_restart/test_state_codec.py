"""A module that restores exported state decides as its predecessor; invalid state changes nothing."""

from __future__ import annotations

import copy
import json
import math
import random

import pytest
from conftest import CAPPED, Driver, make_endpoint, of_type
from fakes.successors import busy_gateway, exported_documents, successor_of

from hillmux import interface as api
from hillmux.hot_restart import state_codec as state
from hillmux.hot_restart.channel import MAX_PACKET_BYTES
from hillmux.hot_restart.state_codec import MAX_ENTRIES_PER_DOCUMENT, MODULE, StateError, export, restore
from hillmux.interface import ListKind, RejectReason
from hillmux.quotas.registry import EVICTION_CANDIDATES


def test_restored_module_exports_the_same_documents() -> None:
    d = busy_gateway()
    assert exported_documents(successor_of(d).gateway) == exported_documents(d.gateway)


@pytest.mark.parametrize("seed", range(20))
def test_restored_module_decides_as_its_predecessor_would_have(seed: int) -> None:
    """The same requests are sent at the same times to the old module and to its successor."""
    d = busy_gateway(seed, faults=False)
    new = successor_of(d)
    assert new.gateway.load_balancer.skipped_count() == d.gateway.load_balancer.skipped_count()
    decisions_by_module = []
    for module in (d, new):
        module.gateway.rng.seed(seed)
        rng, decisions = random.Random(seed), []
        for i in range(200):
            rid, out = module.request("read", "capped", f"c{i % 7}", units=2, after=rng.expovariate(1 / 20))
            decisions.append([type(a).__name__ for a in out if isinstance(a, api.SendAttempt | api.Reject)])
            for _ in of_type(out, api.SendAttempt):
                module.end(rid, after=1.0)
        decisions_by_module.append(decisions)
    assert decisions_by_module[0] == decisions_by_module[1]


def test_old_and_new_process_together_stay_within_one_ceiling() -> None:
    """The old module admits nothing; the new one admits the remaining units and those earned since."""
    d = busy_gateway()
    new = successor_of(d)
    d.handle(api.TakenOver(True))
    takeover_at, quota_state = d.now, d.gateway.quotas.registry.states["c0", "capped"]
    spent = 0
    for i in range(400):
        for module in (d, new):
            module.now = takeover_at + 10 * i
            rid, out = module.request("read", "capped", "c0", units=1)
            if of_type(out, api.SendAttempt):
                assert module is new
                spent += 1
                module.end(rid)
    rate, burst = CAPPED.ceiling_rate / quota_state.replicas, CAPPED.ceiling_burst / quota_state.replicas
    available = min(
        quota_state.ceiling_remaining + (takeover_at - quota_state.ceiling_at) / 1000 * rate, burst
    )
    assert available + 4.0 * rate - 2 <= spent <= available + 4.0 * rate


def test_resumed_process_admits_from_its_ceilings_again() -> None:
    d = busy_gateway(faults=False)
    d.handle(api.TakenOver(True))
    rid, out = d.request("read", "capped", "new", units=1)
    assert of_type(out, api.Reject)[0].reason == RejectReason.CEILING
    d.handle(api.TakenOver(False))
    assert of_type(d.request("read", "capped", "new", units=1)[1], api.SendAttempt)


def test_record_of_a_host_restarted_after_the_export_is_not_restored() -> None:
    d = busy_gateway()
    new = Driver(servers=6, seed=99, now=d.now, counter_available=False)
    new.handle(api.EndpointList(ListKind.CHANGES, (make_endpoint(2, started_at_ms=d.now),)))
    restore(new.gateway, exported_documents(d.gateway))
    assert new.gateway.hosts["h2"].latency_ratio == 1.0
    assert new.gateway.load_balancer.capacity_share(new.gateway.hosts["h2"]) < 1


def test_sketch_of_forgotten_ceilings_is_restored() -> None:
    d = busy_gateway(max_customers=EVICTION_CANDIDATES)
    assert d.gateway.quotas.registry.forgotten_ceilings.slots is not None
    new = successor_of(d)
    assert (
        new.gateway.quotas.registry.forgotten_ceilings.slots
        == d.gateway.quotas.registry.forgotten_ceilings.slots
    )


def test_documents_have_bounded_size() -> None:
    d = Driver(servers=2, counter_available=False)
    for i in range(3 * MAX_ENTRIES_PER_DOCUMENT):
        d.request("read", "open", f"{i:016x}")
    d.handle(
        api.EndpointList(
            ListKind.FULL,
            tuple(make_endpoint(i, name=f"{i:0>200}") for i in range(3 * MAX_ENTRIES_PER_DOCUMENT)),
        )
    )
    documents = list(export(d.gateway))
    assert max(len(json.dumps(doc)) for doc in documents) < MAX_PACKET_BYTES
    assert sum(len(doc.get("hosts", ())) for doc in documents) == 3 * MAX_ENTRIES_PER_DOCUMENT
    assert sum(len(doc.get("uses", ())) for doc in documents) == 3 * MAX_ENTRIES_PER_DOCUMENT


def _malformed_fields() -> list[tuple[str, object]]:
    return [
        ("version", 99),
        ("scalars", {"q": 1.0}),
        ("warm_rate", "1"),
        ("warm_rate", None),
        ("cells", [[[], "open", 1.0, 1.0, 1.0, "x"]]),
        ("latency", {"read": math.inf}),
        ("latency", []),
        ("cells", [["read", "open", 1.0]]),
        ("hosts", {"h1": [1.0]}),
        ("hosts", {"h1": ["x"] * 9}),
        ("asked_at", {"open": True}),
    ]


@pytest.mark.parametrize(("field", "value"), _malformed_fields())
def test_malformed_documents_change_nothing(field: str, value: object) -> None:
    documents = exported_documents(busy_gateway().gateway)
    next(d for d in documents if d["t"] == (field if field == "hosts" else MODULE))[field] = value
    fresh = Driver(servers=6, counter_available=False)
    before = copy.deepcopy(exported_documents(fresh.gateway))
    with pytest.raises(StateError, match=field if field != "version" else "version 1"):
        restore(fresh.gateway, documents)
    assert exported_documents(fresh.gateway) == before


@pytest.mark.parametrize(
    "change",
    [
        lambda uses: uses[0].__setitem__(2, 0),
        lambda uses: uses[0].pop(),
        lambda uses: uses[0].__setitem__(4, 1.5),
        lambda uses: uses[0].append(1.0),
    ],
)
def test_error_names_the_malformed_customer(change) -> None:
    documents = exported_documents(busy_gateway().gateway)
    change(next(d for d in documents if d["t"] == "customers")["uses"])
    fresh = Driver(servers=6, counter_available=False)
    with pytest.raises(StateError, match="uses"):
        restore(fresh.gateway, documents)
    assert not fresh.gateway.quotas.registry.states


@pytest.mark.parametrize("text", ["x", "~~~~~", "0" * 40])
def test_malformed_sketch_is_an_error(text: str) -> None:
    documents = [*exported_documents(busy_gateway().gateway), {"t": "sketch", "text": text}]
    with pytest.raises(StateError, match="sketch"):
        restore(Driver(servers=6, counter_available=False).gateway, documents)


def test_exactly_one_module_document_is_required() -> None:
    documents = exported_documents(busy_gateway().gateway)
    for malformed in (documents[1:], [documents[0], *documents]):
        with pytest.raises(StateError, match="one document"):
            restore(Driver(servers=6).gateway, malformed)


def test_document_keys_and_their_order_are_those_of_the_first_version() -> None:
    """Processes of two versions read each other's documents, so attribute names must not affect them."""
    assert state.QUOTA_STATE_KEYS == (
        "width", "widest", "window", "own", "added", "base", "base_own", "base_use", "base_at", "base_left",
        "most", "left", "left_at", "others", "luck", "seen", "ceiling", "ceiling_at",
    )  # fmt: skip
    assert state.THROTTLE_KEYS == ("heard", "call_at")
    assert set(state.QUOTA_STATE_ATTRIBUTES) == set(state.QUOTA_STATE_KEYS) and set(
        state.THROTTLE_ATTRIBUTES
    ) == set(state.THROTTLE_KEYS)
    assert len(set(state.QUOTA_STATE_ATTRIBUTES.values())) == len(state.QUOTA_STATE_KEYS)


def test_customer_row_is_written_in_the_order_of_the_document_keys() -> None:
    d = Driver(servers=6)
    d.request("read", "capped", "c0", units=2, width=3)
    (quota_state,) = d.gateway.quotas.registry.states.values()
    documents = list(export(d.gateway))
    (row,) = next(doc for doc in documents if doc["t"] == "customers")["uses"]
    values = dict(zip(state.QUOTA_STATE_KEYS, row[2:], strict=True))
    assert row[:2] == ["c0", "capped"]
    assert (values["width"], values["own"], values["added"]) == (3, quota_state.used, quota_state.reported)
    assert (values["left"], values["luck"]) == (quota_state.remaining, quota_state.grant_ratio)
    assert next(doc for doc in documents if doc["t"] == MODULE)["scalars"]["heard"] == 1.0
