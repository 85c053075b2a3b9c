"""The limit of descriptors: idle clients use them up while discovery is silent."""

from __future__ import annotations

import asyncio
from pathlib import Path

from conftest import Rig, Seen, instance, message, on_loop, read_message, reply
from fakes.desk import FakeRequestHandler, read_responses
from fakes.system import count_sockets

MAX_SOCKETS = 128


def serve(seen: Seen) -> bytes:
    return reply(b"served")


def test_clients_and_discovery_are_served_when_descriptors_run_out(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with Rig(tmp_path, serve, serve, sockets=MAX_SOCKETS) as rig:
            draining_host, ready_host = rig.hosts
            normal_behaviour = rig.discovery.fake.behave
            rig.discovery.fake.behave = lambda seen: None
            rig.discovery.waiting.clear()
            idle = []
            for i in range(2 * MAX_SOCKETS):  # half of them have sent one request
                idle.append(await rig.connect())
                if i % 2:
                    reader, writer = idle[-1]
                    writer.write(message(rid=b"once-%d" % i))
                    assert (await read_message(reader, writer)).body == b"served"
            for i in range(30):
                assert await rig.status(message(rid=b"ask-%d" % i)) == 200
            assert count_sockets(rig) < MAX_SOCKETS
            # The silent watch times out, or has done so already; the next poll is answered.
            rig.discovery.generation = 7
            rig.discovery.instances = [
                instance("s-0", draining_host.port, "draining"),
                instance("s-1", ready_host.port),
            ]
            rig.discovery.fake.behave = lambda seen: (
                rig.discovery.listing(rig.discovery.instances, True)
                if "after=1&" in seen.line
                else normal_behaviour(seen)
            )
            await rig.discovery.fake.until(lambda fake: any("after=7&" in seen.line for seen in fake.seen))
            requests_before_drain = len(draining_host.seen)
            for i in range(10):
                assert await rig.status(message(rid=b"told-%d" % i)) == 200
            assert not [seen.headers["x-request-id"] for seen in draining_host.seen[requests_before_drain:]]
            assert count_sockets(rig) < MAX_SOCKETS
            assert not any("accept failed" in line for line in rig.log)
            for _, writer in idle:
                writer.close()

    on_loop(scenario, 15)  # a watch that keeps waiting for the silent agent takes 22 s


def test_evicted_connection_is_closed_before_next_accept() -> None:
    """Guards against exceeding the limit: a close takes one turn of the loop to release its descriptor.

    Otherwise accepted clients would use the descriptors reserved for hosts, counter and discovery.
    """

    async def scenario() -> None:
        handler = FakeRequestHandler()
        handler.listener.max_connections = 10
        connected = [handler.connect() for _ in range(10)]
        while len(handler.listener.connections) < 10:
            await asyncio.sleep(0)
        new_clients = [handler.connect() for _ in range(5)]
        socket_count = count_sockets()
        (listener,) = handler.listener.sockets
        handler.listener.accept(listener)
        assert count_sockets() == socket_count
        for i, client in enumerate(new_clients):
            client.sendall(message(rid=b"%d" % i))
        while len(handler.request_ids) < 5:
            assert count_sockets() <= socket_count
            await asyncio.sleep(0)
        handler.answer_all()
        assert [await read_responses(client) for client in new_clients] == [[b"%d" % i] for i in range(5)]
        for client in (*connected, *new_clients):
            client.close()

    on_loop(scenario, 5)
