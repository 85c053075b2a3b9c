"""Bounds on what grows within one process, at small sizes: bytes, entries and calls, no times."""

from __future__ import annotations

import json

from benchmarks.capacity import counter_store, hosts, listings, routes, tenants
from benchmarks.module_worker import Play
from hillmux import interface as api
from hillmux.counter.codec import parse_call
from hillmux.counter.store import MAX_NAME_BYTES, Store

HOSTS = 50
MAX_BYTES_PER_HOST = 165  # one host in discovery's list, including the comma
MAX_BYTES_PER_CHANGE = 215  # a discovery response with one changed host
MAX_BYTES_PER_COUNTER_NAME = 32
MAX_CALLS_PER_REQUEST = 0.03  # counter calls, for the traffic mix of benchmarks/module_worker.py


def test_list_grows_by_bounded_bytes_per_host() -> None:
    smaller = listings.full_list(listings.instances(HOSTS, 1))
    larger = listings.full_list(listings.instances(3 * HOSTS, 1))
    assert 120 < (len(larger) - len(smaller)) / (2 * HOSTS) <= MAX_BYTES_PER_HOST


def test_full_list_has_all_hosts_and_change_has_one() -> None:
    instances = listings.instances(HOSTS, 1)
    listing = hosts.parse_listing(listings.full_list(instances))
    assert listing.is_full
    assert len(listing.endpoints) == len(listing.addresses) == HOSTS
    body = listings.single_change(instances[0], 100_001, draining=True)
    assert len(body) <= MAX_BYTES_PER_CHANGE
    changed = hosts.parse_listing(body)
    assert not changed.is_full
    assert [endpoint.status for endpoint in changed.endpoints] == ["draining"]


def test_hosts_of_full_list_have_unique_names_and_addresses() -> None:
    instances = listings.instances(9_000, 2)
    assert len({line["instanceId"] for line in instances}) == 9_000
    assert len({line["hostPort"] for line in instances}) == 9_000
    assert json.loads(listings.full_list(instances))["reset"] is True


def test_router_entries_grow_with_tenants_and_route_methods() -> None:
    # Of a tenant's four routes, two have one method and two have four; the tenant itself is one entry.
    assert [
        routes.entry_count(routes.build_router(routes.make_tenants(count))) for count in (40, 80, 120)
    ] == [
        110,
        220,
        330,
    ]


def test_requests_make_few_counter_calls_with_short_names() -> None:
    class CountingPlay(Play):
        """Records the names of all counter calls."""

        def handle_event(self, event: api.Event) -> None:
            super().handle_event(event)
            if isinstance(event, api.CounterReply):
                names.append(event.name)

    names: list[str] = []
    play = CountingPlay(10, 20)
    play.run(play.requests(2_000))
    assert 0 < len(names) <= MAX_CALLS_PER_REQUEST * 2_000
    assert max(map(len, names)) <= MAX_BYTES_PER_COUNTER_NAME < MAX_NAME_BYTES


def test_single_request_of_customer_makes_at_most_one_counter_call() -> None:
    customers = tenants.CustomerPlay(100, 1)
    before = customers.events
    customers.request_once(customers.customers)
    requests_and_outcomes = 200
    assert customers.events - before - requests_and_outcomes <= 100


def test_counter_keeps_one_entry_per_name() -> None:
    store = Store()
    for number in (0, 1, 2, 1, 1):
        counter_store.answer_call(store, counter_store.call_target(number))
    assert len(store) == 3
    assert len(parse_call(b"POST", counter_store.call_target(2**40)).name) <= MAX_BYTES_PER_COUNTER_NAME
