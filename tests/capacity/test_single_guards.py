"""What grows in one process, by counts at a small size: bytes, entries and calls, no times."""

from __future__ import annotations

import json

from benchmarks.capacity import counter_store, hosts, listings, routes, tenants
from benchmarks.module_worker import Play
from hillmux import interface as api
from hillmux.counter.codec import parse_call
from hillmux.counter.store import MAX_NAME_BYTES, Store

HOSTS = 50
MOST_BYTES_A_HOST = 165  # a line of discovery's list, with its comma
MOST_BYTES_A_CHANGE = 215  # an answer with one line
MOST_BYTES_A_COUNT_NAME = 32
MOST_CALLS_A_REQUEST = 0.03  # of the counter, by the mix of benchmarks/module_worker.py


def test_a_host_takes_few_bytes_of_the_list() -> None:
    few = listings.whole(listings.instances(HOSTS, 1))
    many = listings.whole(listings.instances(3 * HOSTS, 1))
    assert 120 < (len(many) - len(few)) / (2 * HOSTS) <= MOST_BYTES_A_HOST


def test_the_list_is_read_whole_and_of_a_change_only_its_line() -> None:
    instances = listings.instances(HOSTS, 1)
    listing = hosts.read(listings.whole(instances))
    assert listing.is_full
    assert len(listing.endpoints) == len(listing.addresses) == HOSTS
    body = listings.change(instances[0], 100_001, drains=True)
    assert len(body) <= MOST_BYTES_A_CHANGE
    changed = hosts.read(body)
    assert not changed.is_full
    assert [server.status for server in changed.endpoints] == ["draining"]


def test_hosts_of_a_full_list_have_names_and_addresses_of_their_own() -> None:
    instances = listings.instances(9_000, 2)
    assert len({line["instanceId"] for line in instances}) == 9_000
    assert len({line["hostPort"] for line in instances}) == 9_000
    assert json.loads(listings.whole(instances))["reset"] is True


def test_the_router_holds_a_place_for_each_tenant_and_a_word_for_each_method_of_a_route() -> None:
    # Of four routes two are read with one method, two changed with four; a tenant has one place.
    assert [routes.entries(routes.built(routes.tenants_of(count))) for count in (40, 80, 120)] == [
        110,
        220,
        330,
    ]


def test_a_request_makes_few_calls_of_the_counter_with_short_names() -> None:
    class Counted(Play):
        """Notes the names that the counter is called with."""

        def give(self, event: api.Event) -> None:
            super().give(event)
            if isinstance(event, api.CounterReply):
                names.append(event.name)

    names: list[str] = []
    play = Counted(10, 20)
    play.run(play.requests(2_000))
    assert 0 < len(names) <= MOST_CALLS_A_REQUEST * 2_000
    assert max(map(len, names)) <= MOST_BYTES_A_COUNT_NAME < MAX_NAME_BYTES


def test_a_customer_that_comes_once_makes_one_call_at_most() -> None:
    customers = tenants.Customers(100, 1)
    before = customers.events
    customers.ask_once(customers.customers)
    requests_and_outcomes = 200
    assert customers.events - before - requests_and_outcomes <= 100


def test_the_counter_keeps_one_entry_a_name_however_often_it_is_called() -> None:
    store = Store()
    for number in (0, 1, 2, 1, 1):
        counter_store.answer(store, counter_store.target(number))
    assert len(store) == 3
    assert len(parse_call(b"POST", counter_store.target(2**40)).name) <= MOST_BYTES_A_COUNT_NAME
