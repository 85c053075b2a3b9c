"""The log and the metrics tell why a request failed and why a connection was closed."""

from __future__ import annotations

import asyncio
from pathlib import Path

from conftest import Rig, message, on_loop, reply
from fakes.host_behaviours import silent

from hillmux.net.diagnostics import FailureLog, resident_bytes


def test_failed_request_is_logged_with_its_id_class_and_hosts(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with Rig(tmp_path, silent, operated=True) as rig:
            assert await rig.status(message("pay", rid=b"lost-one", deadline="300m")) == 502
            while not any("request failed with 502" in line for line in rig.log):
                await asyncio.sleep(0.01)
            (line,) = [line for line in rig.log if "request failed with 502" in line]
            assert "id lost-one class pay" in line and "attempts: s-0" in line
            assert any("at s-0 ended: timed_out" in line and "0 bytes received" in line for line in rig.log)
            figures = await rig.figures()
            assert figures["attempt_failures"] == {"timed_out": 1}
            assert figures["own_answers"] == {"502": 1}

    on_loop(scenario)


def test_closed_connections_are_counted_by_reason(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with Rig(tmp_path, lambda seen: reply(), operated=True) as rig:
            before = (await rig.figures())["closes"]
            reader, writer = await rig.connect()
            writer.write(b"no request\r\n\r\n")
            await reader.read()
            writer.close()
            assert await rig.status(message()) == 200
            while (closes := (await rig.figures())["closes"]).get("client", 0) == before.get("client", 0):
                await asyncio.sleep(0.01)
            assert closes["rejected"] == 1

    on_loop(scenario)


def test_client_that_leaves_before_its_answer_is_logged_and_counted(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with Rig(tmp_path, silent, operated=True) as rig:
            _, writer = await rig.connect()
            writer.write(message(rid=b"left-early"))
            await rig.hosts[0].until(lambda host: bool(host.seen))
            writer.close()
            while not any("disconnected before its answer" in line for line in rig.log):
                await asyncio.sleep(0.01)
            (line,) = [line for line in rig.log if "disconnected before its answer" in line]
            assert "id left-early class read" in line and "attempts: s-0" in line
            figures = await rig.figures()
            assert figures["client_disconnects"] == 1 and figures["lost_requests"] == 0

    on_loop(scenario)


def test_lines_about_requests_are_limited_and_counted() -> None:
    log = FailureLog(max_lines_per_s=3)
    written = sum(log.may_write() for _ in range(100))
    assert 3 <= written <= 6  # at most two seconds
    assert log.suppressed == 100 - written


def test_resident_size_is_that_of_this_process() -> None:
    before = resident_bytes()
    held = bytearray(16 * 1024 * 1024)
    assert resident_bytes() - before >= 12 * 1024 * 1024
    del held
