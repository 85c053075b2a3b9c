"""The operators' port of a real gateway process, over loopback sockets."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path

import pytest
from conftest import GRADES, LOOP, Rig, Seen, instance, message, on_loop, reply

from hillmux.admin.commands import MAX_LINE_BYTES
from hillmux.admin.server import MAX_CONNECTIONS


def serve(seen: Seen) -> bytes:
    return reply(b"served")


def silent(seen: Seen) -> None:
    return None


def test_metrics_match_what_clients_and_hosts_saw(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with Rig(
            tmp_path, lambda seen: serve(seen) if "put" not in seen.line else None, operated=True
        ) as rig:
            assert await rig.call("check") == "ACK\n"
            for i in range(3):
                assert await rig.status(message(rid=b"id-%d" % i)) == 200
            assert (
                await rig.status(
                    message(
                        "put",
                        plan="small",
                        customer="000000000000000a",
                        rid=b"a",
                        body=b"x" * 60000,
                        deadline="250m",
                        target="/api/put/000000000000000a",
                    )
                )
                >= 500
            )
            slow = asyncio.create_task(
                rig.ask(message("put", rid=b"slow", deadline="5000m", target="/api/put/00000000b4d65521"))
            )
            await rig.hosts[0].until(lambda fake: len(fake.seen) == 5)
            figures = await rig.figures()
            assert figures["passed"] == {"read": 3, "put": 0, "pay": 0}
            assert figures["bad_gateway"]["put"] + figures["dropped"]["put"] == 1
            assert (figures["upstream_tries"], figures["in_progress"]) == (5, 1)
            assert (figures["known_hosts"], figures["skipped_hosts"]) == (1, 0)
            assert (figures["loads"], figures["load_errors"]) == (0, 0)
            rig.hosts[0].seen[-1].writer.write(reply(b"late"))
            assert (await slow).body == b"late"
            assert (await rig.figures())["in_progress"] == 0

    on_loop(scenario)


def test_disabled_host_gets_no_request_until_it_is_enabled(tmp_path: Path) -> None:
    """Neither watch events that list the host again nor a restart of the gateway enable it."""

    async def scenario() -> None:
        async with Rig(tmp_path, serve, serve, operated=True) as rig:
            assert (await rig.call("set-down s-9")).startswith("NAK")
            assert await rig.call("set-down s-0") == await rig.call("set-down s-0") == "ACK\n"
            await rig.discovery.send_update([instance("s-0", rig.hosts[0].port)])
            await rig.discovery.send_update([instance("s-0", rig.hosts[0].port, "gone")])
            await rig.discovery.send_update([instance("s-0", rig.hosts[0].port)])
            for i in range(20):
                assert await rig.status(message(rid=b"id-%d" % i)) == 200
            assert not rig.hosts[0].seen
            assert (await rig.figures())["skipped_hosts"] == 1
            rig.process.kill()
            await rig.process.wait()
            await rig.launch()
            for i in range(20):
                assert await rig.status(message(rid=b"new-%d" % i)) == 200
            assert not rig.hosts[0].seen
            assert await rig.call("set-up s-0") == await rig.call("set-up s-0") == "ACK\n"
            for i in range(200):
                assert await rig.status(message(rid=b"back-%d" % i)) == 200
            assert rig.hosts[0].seen
            assert (await rig.figures())["skipped_hosts"] == 0

    on_loop(scenario)


def test_idle_and_overlong_connections_do_not_block_others(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with Rig(tmp_path, serve, operated=True) as rig:
            idle = [
                await asyncio.open_connection(LOOP, rig.operator_port) for _ in range(3 * MAX_CONNECTIONS)
            ]
            for _, writer in idle[:5]:
                writer.write(b"che")
            assert await rig.call("check") == "ACK\n"
            assert (await rig.call("x" * 2 * MAX_LINE_BYTES)).startswith("NAK")
            reader, writer = await asyncio.open_connection(LOOP, rig.operator_port)
            writer.write(b"check")
            writer.write_eof()  # a last line without a line ending
            assert await reader.read() == b"ACK\n"
            for _, writer in idle:
                writer.close()

    on_loop(scenario)


CHANGED_CLASSES = [
    GRADES[1],
    {"name": "read-next", "objective_ms": 3000.0, "deadline_ms": 6000.0, "worth": 3.0, "effect": "unsafe"},
]


def test_reload_changes_classes_and_requests_in_flight_keep_theirs(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with Rig(tmp_path, silent, silent, operated=True) as rig:
            old = asyncio.create_task(rig.ask(message(rid=b"old")))
            await _until_attempts(rig, 1)

            def change(config: dict) -> None:
                config["settings"]["grades"] = CHANGED_CLASSES
                config["settings"]["bounds"]["try_limit"] = 1

            rig.change = change
            rig.write_config()
            await rig.hup("reloaded")
            assert (await rig.figures())["loads"] == 1
            assert await rig.status(message(rid=b"gone")) == 400  # a removed class
            new = asyncio.create_task(rig.ask(message("read-next", rid=b"new", key=False)))
            await _until_attempts(rig, 2)
            for host in rig.hosts:  # both fail: the old request may be retried, the new one may not
                for seen in host.seen:
                    seen.writer.write(reply(b"", 500))
            await _until_attempts(rig, 3)
            assert (await new).line.split()[1] == "502"
            last = max(
                (s for h in rig.hosts for s in h.seen if s.headers["x-request-id"] == "old"),
                key=lambda s: int(s.headers["x-deadline"][:-1]) * -1,
            )
            last.writer.write(reply(b"served"))
            assert (await old).body == b"served"

    on_loop(scenario)


async def _until_attempts(rig: Rig, count: int) -> None:
    while sum(len(host.seen) for host in rig.hosts) < count:
        await asyncio.sleep(0.005)


def _without(path: str):
    def change(config: dict) -> None:
        *parents, key = path.split(".")
        node = config
        for part in parents:
            node = node[int(part)] if isinstance(node, list) else node[part]
        del node[key]

    return change


def _with(path: str, value: object):
    def change(config: dict) -> None:
        *parents, key = path.split(".")
        node = config
        for part in parents:
            node = node[int(part)] if isinstance(node, list) else node[part]
        node[key] = value

    return change


@pytest.mark.parametrize(
    ("change", "error"),
    [
        (_without("settings.grades.1.effect"), "settings.grades[].effect: is missing"),
        (_without("settings.bounds.try_limit"), "settings.bounds.try_limit: is missing"),
        (_without("settings.packages"), "settings.packages: is missing"),
        (_without("seed"), "seed: is missing"),
        (_with("settings.grades.0.deadline_ms", -5), "deadline_ms: found -5, expected above 0"),
        (_with("settings.bounds.try_limit", 0), "bounds.try_limit: found 0, expected above 0"),
        (_with("settings.bounds.try_limit", -1), "bounds.try_limit: found -1, expected above 0"),
        (_with("settings.grades.1.name", "read"), "classes: found 'read' twice, expected each name once"),
        (_with("settings.packages.0.refill", 1.0), "plans cannot change in service"),
        (_with("settings.grades.0.effect", "maybe"), "effect: found 'maybe', expected safe, keyed or unsafe"),
    ],
)
def test_invalid_configuration_leaves_the_old_settings_in_force(tmp_path: Path, change, error: str) -> None:
    async def scenario() -> None:
        async with Rig(tmp_path, serve, operated=True) as rig:
            rig.change = change
            rig.write_config()
            await rig.hup("configuration is kept")
            assert any(error in line for line in rig.log), rig.log
            assert await rig.status(message()) == 200
            figures = await rig.figures()
            assert (figures["loads"], figures["load_errors"]) == (0, 1)

    on_loop(scenario)


def test_start_fails_with_an_error_message_when_the_operators_address_is_in_use(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with Rig(tmp_path, serve, operated=True) as rig:
            config = json.loads((tmp_path / "config.json").read_text())
            config["operator"] = f"{LOOP}:{rig.operator_port}"
            (tmp_path / "second.json").write_text(json.dumps(config))
            second = await rig.run(tmp_path / "second.json")
            _, errors = await second.communicate()
            assert second.returncode == 2 and b"listen: " in errors

    on_loop(scenario)
