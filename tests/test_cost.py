"""What a request costs in things that can be counted: the same on every machine, and no clock.

The figures stand for Python 3.11, whose bytecode they count. Whoever makes a request cheaper lowers them; a
change that exceeds one by a twentieth has to say why. Timings: `make bench`.
"""

from __future__ import annotations

import sys
from pathlib import Path
from types import FrameType
from typing import Any

import pytest
from conftest import Rig, message, on_loop, read_message, reply

from benchmarks.module_worker import Play

OPCODES = 2042  # of the decision module for a request with its outcome, 10 hosts and 200 customers
SLACK = 1.05
REQUESTS = 300


class Opcodes:
    """Counts the opcodes that the decision module runs."""

    def __init__(self) -> None:
        self.count = 0

    def __enter__(self) -> Opcodes:
        self._before = sys.gettrace()
        sys.settrace(self._frame)
        return self

    def __exit__(self, *exc: object) -> None:
        sys.settrace(self._before)

    def _frame(self, frame: FrameType, event: str, arg: object) -> Any:
        if "hillmux" not in frame.f_code.co_filename and "planted" not in frame.f_code.co_name:
            return None
        frame.f_trace_lines, frame.f_trace_opcodes = False, True
        return self._opcode

    def _opcode(self, frame: FrameType, event: str, arg: object) -> Any:
        self.count += event == "opcode"
        return self._opcode


def opcodes(hosts: int, customers: int, planted: int = 0) -> float:
    play = Play(hosts, customers)
    play.run(play.requests(max(2 * customers, 2000), everyone=True))
    handle = play.gateway.handle

    def planted_handle(*args: Any) -> Any:
        for _ in range(planted):
            pass
        return handle(*args)

    if planted:
        play.gateway.handle = planted_handle  # type: ignore[method-assign]
    requests = play.requests(REQUESTS)
    with Opcodes() as counted:
        play.run(requests)
    return counted.count / REQUESTS


needs_311 = pytest.mark.skipif(
    sys.version_info[:2] != (3, 11), reason="figures stand for the bytecode of 3.11"
)


@needs_311
def test_a_request_runs_no_more_of_the_module_than_before() -> None:
    count = opcodes(10, 200)
    assert count <= SLACK * OPCODES, f"{count:.0f} opcodes a request, {OPCODES} before"
    assert count >= OPCODES / SLACK, f"{count:.0f} opcodes a request: lower the figure, which is {OPCODES}"


@needs_311
def test_a_planted_twentieth_is_found() -> None:
    assert opcodes(10, 200, planted=32) > SLACK * OPCODES


def test_work_does_not_grow_with_hosts_or_customers() -> None:
    few = opcodes(10, 200)
    assert opcodes(1000, 200) <= 1.1 * few
    assert opcodes(10, 4000) <= 1.3 * few


def test_a_lookup_takes_two_reads_and_two_writes(tmp_path: Path) -> None:
    """The kernel's own count for the real program: what is read or written more for each request shows."""

    async def scenario() -> None:
        async with Rig(tmp_path, lambda seen: reply()) as rig:
            reader, writer = await rig.connect()

            async def ask(count: int) -> dict[str, int]:
                for i in range(count):
                    writer.write(message(rid=b"%016x" % (ask.serial + i)))
                    await read_message(reader, writer)
                ask.serial += count
                lines = Path(f"/proc/{rig.process.pid}/io").read_text().splitlines()
                return {name: int(value) for name, _, value in (line.partition(": ") for line in lines)}

            ask.serial = 1
            before = await ask(50)
            after = await ask(400)
            reads, writes = ((after[k] - before[k]) / 400 for k in ("syscr", "syscw"))
            assert 2.0 <= reads <= 2.4 and 2.0 <= writes <= 2.2, (reads, writes)

    on_loop(scenario)
