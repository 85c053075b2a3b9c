"""Start, signals and exit of the gateway process."""

from __future__ import annotations

import asyncio
import os
import signal
import subprocess
import sys
from pathlib import Path

import pytest
from conftest import (
    ROOT,
    Rig,
    instance,
    message,
    on_loop,
    reply,
)
from fakes.host_behaviours import serve, silent


def test_sigterm_accepts_briefly_completes_requests_and_exits(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with Rig(tmp_path, silent) as rig:
            first = asyncio.create_task(rig.ask(message(rid=b"first")))
            await rig.hosts[0].until(lambda fake: len(fake.seen) == 1)
            idle_reader, _ = await rig.connect()
            rig.process.send_signal(signal.SIGTERM)
            while not any("draining" in line for line in rig.log):
                await asyncio.sleep(0.01)
            late = asyncio.create_task(rig.ask(message(rid=b"late")))
            await rig.hosts[0].until(lambda fake: len(fake.seen) == 2)
            assert await idle_reader.read() == b""  # closed while the other connections are still served
            assert rig.process.returncode is None
            for seen in rig.hosts[0].seen:
                seen.writer.write(reply(b"served"))
            for answer in (await first, await late):
                assert answer.body == b"served"
                assert answer.headers["connection"] == "close"
            assert await rig.process.wait() == 0

    on_loop(scenario)


def test_sigterm_fails_open_requests_and_exits_before_sigkill(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with Rig(tmp_path, silent) as rig:
            status = asyncio.create_task(rig.status(message("put", deadline="60000m")))
            await rig.hosts[0].until(lambda fake: len(fake.seen) == 1)
            rig.process.send_signal(signal.SIGTERM)
            assert await status == 504  # a deliberate response, not a side effect of the exit
            async with asyncio.timeout(3.7):
                assert await rig.process.wait() == 0

    on_loop(scenario)


def test_restart_on_same_port_after_sigkill(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with Rig(tmp_path, serve) as rig:
            assert await rig.status(message()) == 200
            reader, _ = await rig.connect()
            rig.process.kill()
            await rig.process.wait()
            with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
                await reader.readexactly(1)
            await rig.launch()
            assert await rig.status(message(rid=b"after")) == 200

    on_loop(scenario)


@pytest.mark.parametrize(
    ("raw", "field"),
    [
        ("{", "ROUTER_CONFIG"),
        ('{"settings": []}', "settings"),
        ('{"settings": {"grades": []}, "listen": "x"}', "classes"),
        ('{"settings": {"grades": [{"name": "a", "objective_ms": "soon"}]}}', "grades.0.objective_ms"),
        ('{"settings": {"grades": [{"name": "a", "objective_ms": 1, "deadline_ms": 2}]}}', "listen"),
    ],
)
def test_invalid_configuration_ends_the_start_with_one_line(tmp_path: Path, raw: str, field: str) -> None:
    path = tmp_path / "config.json"
    path.write_text(raw)
    done = subprocess.run(
        [sys.executable, "-m", "hillmux"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
        env={**os.environ, "ROUTER_CONFIG": str(path)},
    )
    assert done.returncode == 2
    assert len(done.stderr.splitlines()) == 1
    assert field in done.stderr


def test_sighup_switches_to_the_configured_discovery_and_counter(tmp_path: Path) -> None:
    """Also if the environment named discovery at the start; a request in flight is still served."""

    async def scenario() -> None:
        async with Rig(tmp_path, silent, serve) as rig:
            await rig.discovery.send_update([instance("s-1", rig.hosts[1].port, "gone")])
            response = asyncio.create_task(rig.ask(message(rid=b"old")))
            await rig.hosts[0].until(lambda fake: len(fake.seen) == 1)
            old_discovery, old_counter = rig.discovery, rig.counter
            for _ in range(2):
                await rig.reload([instance("s-1", rig.hosts[1].port)])
                await rig.discovery.fake.until(lambda fake: any("after=" in s.line for s in fake.seen))
            await old_discovery.fake.until(lambda fake: fake.closed > 0)
            assert "after=" not in rig.discovery.fake.seen[0].line  # the full list first
            assert await rig.status(message(rid=b"new", customer="0000000000000007")) == 200
            assert [s.headers["x-request-id"] for s in rig.hosts[1].seen] == ["new"]
            rig.hosts[0].seen[0].writer.write(reply(b"served"))
            assert (await response).body == b"served"
            await rig.counter.until(lambda fake: len(fake.seen) > 0)
            assert old_counter is not rig.counter
            await old_counter.until(lambda fake: fake.closed > 0)

    on_loop(scenario)


@pytest.mark.parametrize("raw", ["{", "[]", '{"settings": {"grades": []}}', None])
def test_sighup_with_invalid_file_changes_nothing(tmp_path: Path, raw: str | None) -> None:
    async def scenario() -> None:
        async with Rig(tmp_path, serve) as rig:
            path = tmp_path / "config.json"
            path.unlink()
            if raw is not None:
                path.write_text(raw)
            for count in (1, 2):
                rig.process.send_signal(signal.SIGHUP)
                while sum("configuration is kept" in line for line in rig.log) < count:
                    await asyncio.sleep(0.01)
            assert await rig.status(message()) == 200
            assert rig.discovery.fake.closed == 0

    on_loop(scenario)


def test_sighup_during_drain_changes_nothing(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with Rig(tmp_path, silent) as rig:
            response = asyncio.create_task(rig.ask(message()))
            await rig.hosts[0].until(lambda fake: len(fake.seen) == 1)
            rig.process.send_signal(signal.SIGTERM)
            await rig.reload([instance("s-0", rig.hosts[0].port)])
            await rig.discovery.fake.until(lambda fake: len(fake.seen) > 0)
            rig.hosts[0].seen[0].writer.write(reply(b"served"))
            assert (await response).body == b"served"
            rig.process.send_signal(signal.SIGHUP)
            assert await rig.process.wait() == 0

    on_loop(scenario)


def test_start_at_an_address_in_use_ends_with_one_line(tmp_path: Path) -> None:
    """Guards against a warning about a socket that never listened, printed above the error line."""

    async def scenario() -> None:
        async with Rig(tmp_path, serve) as rig:
            second = await rig.run(tmp_path / "config.json")
            _, stderr = await second.communicate()
            assert second.returncode == 2
            assert stderr.decode().splitlines() == ["listen: [Errno 98] Address already in use"]

    on_loop(scenario)
