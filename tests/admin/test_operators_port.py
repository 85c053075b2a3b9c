"""The real program and its operators, over loopback sockets."""

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
    """Whatever discovery says of it meanwhile; and over a restart of the gateway, as over an upgrade."""

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


def test_silent_and_verbose_callers_do_not_block_others(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with Rig(tmp_path, serve, operated=True) as rig:
            held = [
                await asyncio.open_connection(LOOP, rig.operator_port) for _ in range(3 * MAX_CONNECTIONS)
            ]
            for _, writer in held[:5]:
                writer.write(b"che")
            assert await rig.call("check") == "ACK\n"
            assert (await rig.call("x" * 2 * MAX_LINE_BYTES)).startswith("NAK")
            reader, writer = await asyncio.open_connection(LOOP, rig.operator_port)
            writer.write(b"check")
            writer.write_eof()  # a last line without its end
            assert await reader.read() == b"ACK\n"
            for _, writer in held:
                writer.close()

    on_loop(scenario)


NEXT = [
    GRADES[1],
    {"name": "read-next", "objective_ms": 3000.0, "deadline_ms": 6000.0, "worth": 3.0, "effect": "unsafe"},
]


def test_reload_changes_classes_and_open_requests_keep_theirs(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with Rig(tmp_path, silent, silent, operated=True) as rig:
            old = asyncio.create_task(rig.ask(message(rid=b"old")))
            await _seen(rig, 1)

            def change(config: dict) -> None:
                config["settings"]["grades"] = NEXT
                config["settings"]["bounds"]["try_limit"] = 1

            rig.change = change
            rig.write_config()
            await rig.hup("reloaded")
            assert (await rig.figures())["loads"] == 1
            assert await rig.status(message(rid=b"gone")) == 400  # a class that was dropped
            new = asyncio.create_task(rig.ask(message("read-next", rid=b"new", key=False)))
            await _seen(rig, 2)
            for host in rig.hosts:  # both attempts fail: the old class may go again, the new one may not
                for seen in host.seen:
                    seen.writer.write(reply(b"", 500))
            await _seen(rig, 3)
            assert (await new).line.split()[1] == "502"
            last = max(
                (s for h in rig.hosts for s in h.seen if s.headers["x-request-id"] == "old"),
                key=lambda s: int(s.headers["x-deadline"][:-1]) * -1,
            )
            last.writer.write(reply(b"served"))
            assert (await old).body == b"served"

    on_loop(scenario)


async def _seen(rig: Rig, count: int) -> None:
    while sum(len(host.seen) for host in rig.hosts) < count:
        await asyncio.sleep(0.005)


def _without(path: str):
    def change(config: dict) -> None:
        *way, last = path.split(".")
        at = config
        for part in way:
            at = at[int(part)] if isinstance(at, list) else at[part]
        del at[last]

    return change


def _with(path: str, value: object):
    def change(config: dict) -> None:
        *way, last = path.split(".")
        at = config
        for part in way:
            at = at[int(part)] if isinstance(at, list) else at[part]
        at[last] = value

    return change


@pytest.mark.parametrize(
    ("change", "said"),
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
def test_invalid_configuration_leaves_the_old_settings_in_force(tmp_path: Path, change, said: str) -> None:
    async def scenario() -> None:
        async with Rig(tmp_path, serve, operated=True) as rig:
            rig.change = change
            rig.write_config()
            await rig.hup("configuration is kept")
            assert any(said in line for line in rig.log), rig.log
            assert await rig.status(message()) == 200
            figures = await rig.figures()
            assert (figures["loads"], figures["load_errors"]) == (0, 1)

    on_loop(scenario)


def test_start_ends_with_a_plain_error_when_the_operators_address_is_taken(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with Rig(tmp_path, serve, operated=True) as rig:
            config = json.loads((tmp_path / "config.json").read_text())
            config["operator"] = f"{LOOP}:{rig.operator_port}"
            (tmp_path / "second.json").write_text(json.dumps(config))
            second = await rig.run(tmp_path / "second.json")
            _, said = await second.communicate()
            assert second.returncode == 2 and b"listen: " in said

    on_loop(scenario)
