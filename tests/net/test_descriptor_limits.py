"""Idle clients that fill the descriptors while discovery is silent."""

from __future__ import annotations

import asyncio
from pathlib import Path

from conftest import Rig, Seen, instance, message, on_loop, read_message, reply
from fakes.desk import FakeRequestHandler, read_responses
from fakes.system import count_sockets

MOST = 128


def serve(seen: Seen) -> bytes:
    return reply(b"served")


def test_clients_and_discovery_are_served_when_descriptors_run_out(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with Rig(tmp_path, serve, serve, sockets=MOST) as rig:
            drained, stays = rig.hosts
            speaks = rig.discovery.fake.behave
            rig.discovery.fake.behave = lambda seen: None
            rig.discovery.waiting.clear()
            idle = []
            for i in range(2 * MOST):  # half of them have asked once
                idle.append(await rig.connect())
                if i % 2:
                    reader, writer = idle[-1]
                    writer.write(message(rid=b"once-%d" % i))
                    assert (await read_message(reader, writer)).body == b"served"
            for i in range(30):
                assert await rig.status(message(rid=b"ask-%d" % i)) == 200
            assert count_sockets(rig) < MOST
            # It has given the silent watch up by now or does so; the next call is answered.
            rig.discovery.generation = 7
            rig.discovery.instances = [instance("s-0", drained.port, "draining"), instance("s-1", stays.port)]
            rig.discovery.fake.behave = lambda seen: (
                rig.discovery.listing(rig.discovery.instances, True)
                if "after=1&" in seen.line
                else speaks(seen)
            )
            await rig.discovery.fake.until(lambda fake: any("after=7&" in seen.line for seen in fake.seen))
            before = len(drained.seen)
            for i in range(10):
                assert await rig.status(message(rid=b"told-%d" % i)) == 200
            assert not [seen.headers["x-request-id"] for seen in drained.seen[before:]]
            assert count_sockets(rig) < MOST
            assert not any("accept failed" in line for line in rig.log)
            for _, writer in idle:
                writer.close()

    on_loop(scenario, 15)  # a silent watch alone took 22 s before


def test_evicted_connection_is_closed_before_next_accept() -> None:
    """A close takes a turn of the loop: what hosts, counter and discovery were to have is not lent out."""

    async def scenario() -> None:
        handler = FakeRequestHandler()
        handler.listener.max_connections = 10
        held = [handler.connect() for _ in range(10)]
        while len(handler.listener.connections) < 10:
            await asyncio.sleep(0)
        more = [handler.connect() for _ in range(5)]
        before = count_sockets()
        (listener,) = handler.listener.sockets
        handler.listener.accept(listener)
        assert count_sockets() == before
        for i, client in enumerate(more):
            client.sendall(message(rid=b"%d" % i))
        while len(handler.request_ids) < 5:
            assert count_sockets() <= before
            await asyncio.sleep(0)
        handler.answer_all()
        assert [await read_responses(client) for client in more] == [[b"%d" % i] for i in range(5)]
        for client in (*held, *more):
            client.close()

    on_loop(scenario, 5)
