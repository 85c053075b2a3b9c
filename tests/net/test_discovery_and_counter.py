"""The gateway process with fake discovery and counter servers, tested from outside."""

from __future__ import annotations

from pathlib import Path

import pytest
from conftest import (
    Rig,
    Seen,
    adding,
    instance,
    message,
    on_loop,
    reply,
)
from fakes.host_behaviours import reset, serve, silent


def test_draining_host_gets_no_new_request_and_full_list_replaces(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with Rig(tmp_path, serve, serve) as rig:
            await rig.discovery.send_update([instance("s-0", rig.hosts[0].port, "draining")])
            for i in range(6):
                assert await rig.status(message(rid=b"id-%d" % i)) == 200
            assert len(rig.hosts[0].seen) == 0
            await rig.discovery.send_update(
                [instance("s-0", rig.hosts[0].port)], is_full=True
            )  # s-1 is not in it
            await rig.hosts[1].until(lambda fake: fake.closed > 0)  # its idle connection is closed
            for i in range(6):
                assert await rig.status(message(rid=b"more-%d" % i)) == 200
            assert (len(rig.hosts[0].seen), len(rig.hosts[1].seen)) == (6, 6)

    on_loop(scenario, 10)  # sooner than an idle connection times out


def test_host_with_a_new_address_gets_requests_there(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with Rig(tmp_path, serve, serve) as rig:
            await rig.discovery.send_update([instance("s-1", rig.hosts[1].port, "gone")])
            assert await rig.status(message(rid=b"before")) == 200
            await rig.discovery.send_update([instance("s-0", rig.hosts[1].port)])
            assert await rig.status(message(rid=b"moved")) == 200
            assert [s.headers["x-request-id"] for s in rig.hosts[1].seen] == ["moved"]

    on_loop(scenario)


@pytest.mark.parametrize(
    "malformed",
    [
        reply(b"{"),
        reply(b'{"generation":9,"reset":true,"instances":[{}]}'),
        reply(b"", 500),
        b"nonsense\r\n\r\n",
    ],
)
def test_malformed_discovery_response_keeps_the_endpoints(tmp_path: Path, malformed: bytes) -> None:
    async def scenario() -> None:
        async with Rig(tmp_path, serve) as rig:
            await rig.discovery.answer_watch(lambda: malformed)  # returns after the next poll
            assert await rig.status(message()) == 200

    on_loop(scenario, 12)  # sooner than the watch's own time-out would start a new one


def test_requests_are_served_while_counter_fails(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with Rig(tmp_path, serve) as rig:
            for i, behave in enumerate((silent, reset, lambda _: reply(b"", 503), lambda _: reply(b"x"))):
                rig.counter.behave = behave
                for j in range(3):  # a customer not seen before causes a counter call
                    data = message(rid=b"%d-%d" % (i, j), customer=f"{1 + 3 * i + j:016x}")
                    assert await rig.status(data) == 200
            rig.counter.stop()
            assert await rig.status(message(rid=b"last", customer="0000000000000099")) == 200

    on_loop(scenario)


def test_counter_that_closes_connections_is_called_for_every_new_customer(tmp_path: Path) -> None:
    """Guards against taking a counter for silent that resets every third call and answers the others."""

    async def scenario() -> None:
        def behave(seen: Seen) -> bytes:
            return b"" if len(rig.counter.seen) % 3 == 0 else adding(seen, rig.totals)

        async with Rig(tmp_path, serve) as rig:
            rig.counter.behave = behave
            for i in range(40):
                data = message(rid=b"id-%d" % i, customer=f"{i + 1:016x}")
                assert await rig.status(data) == 200
            counted_customers = {seen.line.split("?")[0].partition(".")[0] for seen in rig.counter.seen}
            assert len(counted_customers) == 40
            assert not any("failed" in line for line in rig.log)

    on_loop(scenario)
