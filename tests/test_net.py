"""The real program over loopback sockets: every failure it must live through, seen from outside."""

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
    Seen,
    adding,
    instance,
    message,
    on_loop,
    read_message,
    reply,
)

from hillmux.net.idle_connections import REUSE_DELAY_S


def serve(seen: Seen) -> bytes:
    return reply(b"served")


def silent(seen: Seen) -> None:
    return None


def reset(seen: Seen) -> bytes:
    return b""


def test_serves_and_passes_on_unchanged(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with Rig(tmp_path, lambda seen: reply(b"\0body", headers=b"Billed-Units: 5\r\n")) as rig:
            answer = await rig.ask(message("put", body=b"x" * 3000, target="/api/v2/00000000b4d65521?a=1"))
            assert (answer.line.split()[1], answer.body) == ("200", b"\0body")
            (seen,) = rig.hosts[0].seen
            assert seen.line == "POST /api/v2/00000000b4d65521?a=1 HTTP/1.1"
            assert seen.body == b"x" * 3000
            assert seen.headers["x-request-id"] == "9b1f03aa5c7e2d41"
            assert seen.headers["idempotency-key"] == "5c0f6e1a"
            assert 0 < int(seen.headers["x-deadline"].removesuffix("m")) <= 6000
            # The units of the guess, then what the answer billed beyond it, reach the counter.
            await rig.counter.until(lambda fake: sum(rig.totals.values()) >= 2)

    on_loop(scenario)


def test_answers_keep_their_order_on_one_connection(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with Rig(tmp_path, lambda seen: reply(seen.headers["x-request-id"].encode())) as rig:
            reader, writer = await rig.connect()
            writer.write(b"".join(message(rid=b"id-%d" % i) for i in range(5)))
            bodies = [(await read_message(reader, writer)).body for _ in range(5)]
            assert bodies == [b"id-%d" % i for i in range(5)]
            assert len(rig.hosts[0].seen) == 5

    on_loop(scenario)


def test_a_refusal_comes_at_once_with_advice(tmp_path: Path) -> None:
    """What the module gives up on is not held: other answers on the way to it do not matter."""

    async def scenario() -> None:
        async with Rig(tmp_path, serve) as rig:
            answers = [await rig.ask(message(plan="small", rid=b"id-%d" % i)) for i in range(6)]
            refused = [a for a in answers if a.line.split()[1] == "503"]
            assert refused and len(rig.hosts[0].seen) == len(answers) - len(refused)
            assert all(0 < float(a.headers["retry-after"]) <= 1 for a in refused)

    on_loop(scenario, 5)  # six that were held to near their deadlines of 6 s would take longer


BAD = [
    (b"nonsense\r\n\r\n", 400),
    (b"GET / HTTP/9.9\r\n\r\n", 400),
    (message(target="/other"), 404),
    (message(target="/api/xyz"), 400),
    (message(customer="0000000200000000"), 400),
    (message(customer="00000001fffffff"), 400),
    (message("nope"), 400),
    (message(plan="nope"), 400),
    (message(deadline="soon"), 400),
    (message(deadline="-5m"), 400),
    (message(deadline="1e3m"), 400),
    (message(method="POST"), 400),
    (message("put", method="GET"), 400),
    (message("put", key=False), 400),
    (message(rid=b"two words"), 400),
    (message(more="X-Class: read\r\n"), 400),
    (message(drop="Quota-Info", more="Quota-Info: units=0,spread=1,first=0\r\n"), 400),
    (message(drop="Quota-Info", more="Quota-Info: units=nan,spread=1,first=0\r\n"), 400),
    *(
        (message(drop="Quota-Info", more=f"Quota-Info: {info}\r\n"), 400)
        for info in (
            "units=5,spread=1,first=0",
            "units=-400,spread=1,first=0",
            "units=1,spread=2,first=0",
            "units=1,spread=0,first=0",
            "units=1,spread=1,first=1",
            "units=1,spread=1,first=-1",
            "units=1_0",
        )
    ),
    (message(more="Filler: " + "x" * 40000 + "\r\n"), 400),
    (message(method="GET", drop="X", more="Content-Length: 70000\r\n") + b"x" * 70000, 400),
    *((message(drop=name), 400) for name in ("X-Request-Id", "X-Class", "Plan", "X-Deadline", "Quota-Info")),
]


def test_bad_input_reaches_no_host(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with Rig(tmp_path, serve) as rig:
            for data, status in BAD:
                assert await rig.status(data) == status, data[:200]
            assert not rig.hosts[0].seen
            assert await rig.status(message("put", body=b"x" * 64 * 1024)) == 200  # the largest allowed
            assert rig.process.returncode is None

    on_loop(scenario)


def test_bad_input_behind_an_open_request_waits_for_its_answer(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with Rig(tmp_path, silent) as rig:
            reader, writer = await rig.connect()
            writer.write(message() + b"nonsense\r\n\r\n")
            await rig.hosts[0].until(lambda fake: len(fake.seen) == 1)
            rig.hosts[0].seen[0].writer.write(reply(b"first"))
            assert (await read_message(reader, writer)).body == b"first"
            assert (await read_message(reader, writer)).line.split()[1] == "400"
            assert await reader.read() == b""

    on_loop(scenario)


@pytest.mark.parametrize(("cls", "status", "attempts"), [("read", 200, 2), ("put", 200, 2), ("pay", 502, 1)])
def test_reset_after_the_last_byte_may_have_run(tmp_path: Path, cls: str, status: int, attempts: int) -> None:
    async def scenario() -> None:
        answers = iter((b"", reply(b"served")))
        async with Rig(tmp_path, lambda _: next(answers), lambda _: next(answers)) as rig:
            assert await rig.status(message(cls)) == status
            assert sum(len(host.seen) for host in rig.hosts) == attempts

    on_loop(scenario)


@pytest.mark.parametrize(
    ("answer", "status", "attempts"),
    [
        (reply(b"", 503, b"X-Not-Run: 1\r\n"), 200, 2),
        (reply(b"", 504, b"X-Not-Run: 1\r\n"), 200, 2),
        (reply(b"", 503), 502, 1),
        (reply(b"", 500), 502, 1),
        (reply(b"", 500, b"X-Not-Run: 1\r\n"), 502, 1),
        (reply(b"", 204), 502, 1),
        (b"HTTP/1.1 nonsense\r\n\r\n", 502, 1),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", 502, 1),
    ],
)
def test_only_x_not_run_lets_an_unsafe_request_go_again(
    tmp_path: Path, answer: bytes, status: int, attempts: int
) -> None:
    async def scenario() -> None:
        answers = iter((answer, reply(b"served")))

        def behave(seen: Seen) -> bytes:
            data = next(answers)
            if data.endswith(b"half"):
                seen.writer.write(data)
                seen.writer.close()  # ends in the middle of its answer
                return None
            return data

        async with Rig(tmp_path, behave) as rig:
            assert await rig.status(message("pay")) == status
            assert len(rig.hosts[0].seen) == attempts

    on_loop(scenario)


def test_a_refused_connection_never_ran(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with Rig(tmp_path, serve, serve) as rig:
            rig.hosts[0].stop()  # its port refuses from now on
            for i in range(8):
                assert await rig.status(message("pay", rid=b"id-%d" % i)) == 200
            assert len(rig.hosts[1].seen) == 8

    on_loop(scenario)


def test_silence_is_failed_in_time_and_its_connection_not_used_again(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with Rig(
            tmp_path, lambda seen: None if seen.headers["x-request-id"] == "quiet" else serve(seen)
        ) as rig:
            assert await rig.status(message("pay", rid=b"quiet", deadline="400m")) in (502, 504)
            await rig.hosts[0].until(lambda fake: fake.closed == 1)  # the host is told by the close
            assert await rig.status(message(rid=b"next")) == 200
            assert [s.headers["x-request-id"] for s in rig.hosts[0].seen] == ["quiet", "next"]

    on_loop(scenario)


def test_a_client_that_closes_has_its_work_dropped(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with Rig(tmp_path, silent) as rig:
            _, writer = await rig.connect()
            writer.write(message("put"))
            await rig.hosts[0].until(lambda fake: len(fake.seen) == 1)
            writer.close()
            await rig.hosts[0].until(lambda fake: fake.closed == 1)
            assert len(rig.hosts[0].seen) == 1

    on_loop(scenario, 4)  # before the attempt's own time-out would close it


def test_kept_connections_are_used_again(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with Rig(tmp_path, serve) as rig:
            reader, writer = await rig.connect()
            for i in range(5):
                writer.write(message(rid=b"id-%d" % i))
                assert (await read_message(reader, writer)).body == b"served"
                await asyncio.sleep(5 * REUSE_DELAY_S)
            assert len({id(s.writer) for s in rig.hosts[0].seen}) == 1

    on_loop(scenario)


def test_an_answer_read_after_a_stall_beats_its_time_out(tmp_path: Path) -> None:
    """Our own stall must not turn an answer that came in time into a time-out."""

    async def scenario() -> None:
        async with Rig(tmp_path, silent) as rig:
            asked = asyncio.create_task(rig.status(message("pay")))
            await rig.hosts[0].until(lambda fake: len(fake.seen) == 1)
            rig.process.send_signal(signal.SIGSTOP)
            rig.hosts[0].seen[0].writer.write(reply(b"served"))
            await rig.hosts[0].seen[0].writer.drain()
            await asyncio.sleep(3.3)  # past the attempt's time-out of 3 s, not past the client's 6 s
            rig.process.send_signal(signal.SIGCONT)
            assert await asked == 200

    on_loop(scenario)


def test_sigterm_accepts_a_little_longer_finishes_and_exits(tmp_path: Path) -> None:
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
            assert await idle_reader.read() == b""  # closed though the others are still served
            assert rig.process.returncode is None
            for seen in rig.hosts[0].seen:
                seen.writer.write(reply(b"served"))
            for answer in (await first, await late):
                assert answer.body == b"served"
                assert answer.headers["connection"] == "close"
            assert await rig.process.wait() == 0

    on_loop(scenario)


def test_sigterm_answers_what_cannot_finish_and_exits_before_sigkill(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with Rig(tmp_path, silent) as rig:
            asked = asyncio.create_task(rig.status(message("put", deadline="60000m")))
            await rig.hosts[0].until(lambda fake: len(fake.seen) == 1)
            rig.process.send_signal(signal.SIGTERM)
            assert await asked == 504  # by the program itself, not by chance while it falls apart
            async with asyncio.timeout(3.7):
                assert await rig.process.wait() == 0

    on_loop(scenario)


def test_sigkill_and_restart_on_the_same_port(tmp_path: Path) -> None:
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


def test_who_only_holds_a_connection_gives_way_to_who_asks(tmp_path: Path) -> None:
    """Silent, half-sent and asked-once connections must not take the descriptors from a client that asks."""

    async def scenario() -> None:
        async with Rig(tmp_path, silent, sockets=128) as rig:
            reader, writer = await rig.connect()
            writer.write(message(rid=b"open"))
            await rig.hosts[0].until(lambda fake: len(fake.seen) == 1)
            crowd = []
            for i in range(210):
                crowd.append(await rig.connect())
                crowd[-1][1].write((b"", b"GET /api/", b"GET /ready HTTP/1.1\r\n\r\n")[i % 3])
            asked = asyncio.create_task(rig.ask(message(rid=b"late")))
            await rig.hosts[0].until(lambda fake: len(fake.seen) == 2)
            for seen in rig.hosts[0].seen:  # the one that was owed its answer has kept its place
                seen.writer.write(reply(b"served"))
            assert (await asked).body == b"served"
            assert (await read_message(reader, writer)).body == b"served"
            assert rig.process.returncode is None

    on_loop(scenario, 10)


def test_a_connection_not_heard_yet_outlasts_those_that_had_their_answer(tmp_path: Path) -> None:
    """Closed, it would lose its first request; the client of a kept one asks again on another."""

    async def scenario() -> None:
        async with Rig(tmp_path, serve, sockets=128) as rig:
            reader, writer = await rig.connect()
            crowd = []
            for _ in range(150):
                crowd.append(await rig.connect())
                crowd[-1][1].write(b"GET /ready HTTP/1.1\r\n\r\n")
                await read_message(*crowd[-1])
            writer.write(message())
            assert (await read_message(reader, writer)).body == b"served"

    on_loop(scenario, 10)


@pytest.mark.parametrize(
    ("sent", "status"),
    [
        (b"", None),
        (b"GET /api/0 HTTP/1.1\r\nX-Pad: ", b"408"),
        (message("put", body=b"x" * 9)[:-1], b"408"),
        (b"GET /ready HTTP/1.1\r\n\r\nGET ", b"408"),
    ],
)
def test_what_is_never_sent_whole_is_closed_in_time(
    tmp_path: Path, sent: bytes, status: bytes | None
) -> None:
    async def scenario() -> None:
        async with Rig(tmp_path, serve) as rig:
            reader, writer = await rig.connect()
            writer.write(sent)
            async with asyncio.timeout(3):  # an error or a close is owed by then
                answer = await reader.read()
            assert answer == b"" if status is None else b"HTTP/1.1 " + status in answer
            assert not rig.hosts[0].seen

    on_loop(scenario)


def test_an_id_in_use_is_not_sent_on_twice(tmp_path: Path) -> None:
    """Hosts know a request by its id: another client's copy of an open one would be its second run."""

    async def scenario() -> None:
        async with Rig(tmp_path, silent) as rig:
            asked = asyncio.create_task(rig.ask(message("put")))
            await rig.hosts[0].until(lambda fake: len(fake.seen) == 1)
            assert await rig.status(message("put", customer="0000000000000001")) == 409
            rig.hosts[0].seen[0].writer.write(reply(b"served"))
            assert (await asked).body == b"served"
            assert len(rig.hosts[0].seen) == 1
            rig.hosts[0].behave = serve
            assert await rig.status(message("put")) == 200  # it is no longer in use

    on_loop(scenario)


HIDDEN = b"0\r\n\r\n" + message(rid=b"hidden")


@pytest.mark.parametrize(
    "lines",
    [
        "Content-Length: %d\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: %d\r\n",
        "Content-Length: %d\r\nContent-Length: 0\r\n",
        "Content-Length: %d\r\nContent-Length: %d\r\n",
        "Content-Length: -%d\r\n",
        "Content-Length: +%d\r\n",
        "Content-Length: 0x%d\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\nX: %d\r\n",
        "Transfer-Encoding: xchunked\r\nX: %d\r\n",
    ],
)
def test_framing_that_can_be_read_in_two_ways_hides_nothing(tmp_path: Path, lines: str) -> None:
    async def scenario() -> None:
        async with Rig(tmp_path, serve) as rig:
            reader, writer = await rig.connect()
            more = lines.replace("%d", str(len(HIDDEN)))
            writer.write(message("put", method="POST", drop="Content-Length", more=more) + HIDDEN)
            assert b"HTTP/1.1 400" in (await reader.read())
            assert b"hidden" not in [s.headers["x-request-id"].encode() for s in rig.hosts[0].seen]

    on_loop(scenario)


def test_a_rejected_request_is_the_last_on_its_connection(tmp_path: Path) -> None:
    """Guards the CPU: a flood has to connect again for each bad request, and what follows is not read."""

    async def scenario() -> None:
        async with Rig(tmp_path, serve) as rig:
            reader, writer = await rig.connect()
            writer.write(message("nope") + message())
            answer = await read_message(reader, writer)
            assert (answer.line.split()[1], answer.headers["connection"]) == ("400", "close")
            assert await reader.read() == b""
            assert not rig.hosts[0].seen

    on_loop(scenario)


def test_hundreds_of_requests_at_once_are_not_kept(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with Rig(tmp_path, serve) as rig:
            reader, writer = await rig.connect()
            writer.write(b"".join(message(rid=b"id-%d" % i) for i in range(300)))
            answers = await reader.read()
            assert answers.endswith(b"Connection: close\r\n\r\n") and b"HTTP/1.1 400" in answers
            assert len(rig.hosts[0].seen) == answers.count(b"HTTP/1.1 200") < 20

    on_loop(scenario)


def test_a_huge_body_is_turned_away_unread(tmp_path: Path) -> None:
    """413 at once, whatever is still being sent; what is not read in the end is cut off."""

    async def scenario() -> None:
        async with Rig(tmp_path, serve) as rig:
            reader, writer = await rig.connect()
            head = message("put", drop="Content-Length", more="Content-Length: 60000000\r\n")
            writer.write(head + b"x" * 100_000)
            assert (await read_message(reader, writer)).line.split()[1] == "413"
            with pytest.raises(ConnectionError):
                for _ in range(60):
                    writer.write(b"x" * 1_000_000)
                    await writer.drain()
            assert await rig.status(message()) == 200

    on_loop(scenario)


def test_a_draining_host_gets_nothing_new_and_a_whole_list_replaces(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with Rig(tmp_path, serve, serve) as rig:
            await rig.directory.tell([instance("s-0", rig.hosts[0].port, "draining")])
            for i in range(6):
                assert await rig.status(message(rid=b"id-%d" % i)) == 200
            assert len(rig.hosts[0].seen) == 0
            await rig.directory.tell([instance("s-0", rig.hosts[0].port)], whole=True)  # s-1 is not in it
            await rig.hosts[1].until(lambda fake: fake.closed > 0)  # its kept connection goes
            for i in range(6):
                assert await rig.status(message(rid=b"more-%d" % i)) == 200
            assert (len(rig.hosts[0].seen), len(rig.hosts[1].seen)) == (6, 6)

    on_loop(scenario, 10)  # before an idle connection would be retired


def test_a_host_may_move_to_another_address(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with Rig(tmp_path, serve, serve) as rig:
            await rig.directory.tell([instance("s-1", rig.hosts[1].port, "gone")])
            assert await rig.status(message(rid=b"before")) == 200
            await rig.directory.tell([instance("s-0", rig.hosts[1].port)])
            assert await rig.status(message(rid=b"moved")) == 200
            assert [s.headers["x-request-id"] for s in rig.hosts[1].seen] == ["moved"]

    on_loop(scenario)


@pytest.mark.parametrize(
    "nonsense",
    [
        reply(b"{"),
        reply(b'{"generation":9,"reset":true,"instances":[{}]}'),
        reply(b"", 500),
        b"nonsense\r\n\r\n",
    ],
)
def test_discoverys_nonsense_keeps_the_list(tmp_path: Path, nonsense: bytes) -> None:
    async def scenario() -> None:
        async with Rig(tmp_path, serve) as rig:
            await rig.directory.answer_watch(lambda: nonsense)  # returns once it has asked again
            assert await rig.status(message()) == 200

    on_loop(scenario, 12)  # before the watch's own time-out would begin a new one


def test_a_counter_that_breaks_does_not_stop_service(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with Rig(tmp_path, serve) as rig:
            for i, behave in enumerate((silent, reset, lambda _: reply(b"", 503), lambda _: reply(b"x"))):
                rig.counter.behave = behave
                for j in range(3):  # a customer not seen before makes the module ask
                    data = message(rid=b"%d-%d" % (i, j), customer=f"{1 + 3 * i + j:016x}")
                    assert await rig.status(data) == 200
            rig.counter.stop()
            assert await rig.status(message(rid=b"last", customer="0000000000000099")) == 200

    on_loop(scenario)


def test_a_counter_that_cuts_connections_is_asked_for_every_new_customer(tmp_path: Path) -> None:
    """One call in three is reset, the others are answered: that is no silent counter."""

    async def scenario() -> None:
        def behave(seen: Seen) -> bytes:
            return b"" if len(rig.counter.seen) % 3 == 0 else adding(seen, rig.totals)

        async with Rig(tmp_path, serve) as rig:
            rig.counter.behave = behave
            for i in range(40):
                data = message(rid=b"id-%d" % i, customer=f"{i + 1:016x}")
                assert await rig.status(data) == 200
            asked = {seen.line.split("?")[0].partition(".")[0] for seen in rig.counter.seen}
            assert len(asked) == 40
            assert not any("failed" in line for line in rig.log)

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
def test_bad_configuration_ends_the_start_with_one_line(tmp_path: Path, raw: str, field: str) -> None:
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


SPOILT = [
    b"noise\r\n\r\n",
    b"HTTP/1.1 2x0 OK\r\nContent-Length: 2\r\n\r\nno",
    b"HTTP/1.1 200 OK\r\nno colon here\r\nContent-Length: 2\r\n\r\nno",
    b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nno",
    b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\nno",
    b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nno",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\nzz\r\n",
    b"HTTP/1.1 200 OK\r\n\r\nno",
    b"HTTP/1.1 200 OK\r\nX-Pad: " + b"p" * 300_000,
    b"HTTP/1.1 103 Early Hints\r\n\r\n" * 20_000,
]


@pytest.mark.parametrize("answer", SPOILT)
def test_a_spoilt_answer_is_a_failed_attempt_and_no_fault_of_its_host(tmp_path: Path, answer: bytes) -> None:
    """It ends its attempt at once, may have run, and neither its bytes nor its connection are used."""

    async def scenario() -> None:
        async with Rig(
            tmp_path, lambda seen: answer if seen.headers["x-request-id"] == "bad" else serve(seen)
        ) as rig:
            assert await rig.status(message("pay", rid=b"bad")) == 502  # unsafe: not sent again
            await rig.hosts[0].until(lambda fake: fake.closed == 1)
            for i in range(3):  # a host that was thought to have died would be left to rest
                assert await rig.status(message("pay", rid=b"id-%d" % i)) == 200
            assert rig.process.returncode is None

    on_loop(scenario, 5)


@pytest.mark.parametrize("late", [False, True])
@pytest.mark.parametrize("more", [reply(b"copy"), b"noise\r\n\r\n", b"HTTP/1.1 200 OK\r\nContent-"])
def test_what_follows_a_good_answer_is_nobodys_answer(tmp_path: Path, more: bytes, late: bool) -> None:
    """A second copy, right behind the answer or a packet later, must not become the next request's answer."""

    async def scenario() -> None:
        def behave(seen: Seen) -> bytes:
            answer = reply(seen.headers["x-request-id"].encode())
            if not late:
                return answer + more
            seen.writer.write(answer)
            asyncio.get_running_loop().call_later(REUSE_DELAY_S / 4, seen.writer.write, more)
            return None

        async with Rig(tmp_path, behave) as rig:
            reader, writer = await rig.connect()
            for i in range(10):
                writer.write(message("pay", rid=b"id-%d" % i))
                assert (await read_message(reader, writer)).body == b"id-%d" % i
            assert len({id(s.writer) for s in rig.hosts[0].seen}) == 10

    on_loop(scenario)


def test_interim_answers_come_before_the_answer(tmp_path: Path) -> None:
    async def scenario() -> None:
        early = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n"
        async with Rig(tmp_path, lambda seen: early + serve(seen)) as rig:
            assert (await rig.ask(message())).body == b"served"

    on_loop(scenario)


@pytest.mark.parametrize("figure", [b"1_0", b"-1", b"5", b"1e9", b"nan", b"", b"9" * 400])
def test_a_billed_figure_that_no_request_can_have_is_none(tmp_path: Path, figure: bytes) -> None:
    """Guards a customer's quota: beyond `most_units` (4) nothing is billed, and the guess of 2 stays."""

    async def scenario() -> None:
        async with Rig(tmp_path, lambda seen: reply(b"ok", headers=b"Billed-Units: %b\r\n" % figure)) as rig:
            for i in range(30):
                assert await rig.status(message(rid=b"id-%d" % i)) == 200
            await rig.counter.until(lambda fake: sum(rig.totals.values()) > 0)
            assert sum(rig.totals.values()) <= 60

    on_loop(scenario)


def test_sighup_goes_over_to_the_discovery_and_counter_of_the_file(tmp_path: Path) -> None:
    """Also where the environment named discovery at the start; what is out meanwhile is served."""

    async def scenario() -> None:
        async with Rig(tmp_path, silent, serve) as rig:
            await rig.directory.tell([instance("s-1", rig.hosts[1].port, "gone")])
            asked = asyncio.create_task(rig.ask(message(rid=b"old")))
            await rig.hosts[0].until(lambda fake: len(fake.seen) == 1)
            old_directory, old_counter = rig.directory, rig.counter
            for _ in range(2):
                await rig.reload([instance("s-1", rig.hosts[1].port)])
                await rig.directory.fake.until(lambda fake: any("after=" in s.line for s in fake.seen))
            await old_directory.fake.until(lambda fake: fake.closed > 0)
            assert "after=" not in rig.directory.fake.seen[0].line  # the whole list first
            assert await rig.status(message(rid=b"new", customer="0000000000000007")) == 200
            assert [s.headers["x-request-id"] for s in rig.hosts[1].seen] == ["new"]
            rig.hosts[0].seen[0].writer.write(reply(b"served"))
            assert (await asked).body == b"served"
            await rig.counter.until(lambda fake: len(fake.seen) > 0)
            assert old_counter is not rig.counter
            await old_counter.until(lambda fake: fake.closed > 0)

    on_loop(scenario)


@pytest.mark.parametrize("raw", ["{", "[]", '{"settings": {"grades": []}}', None])
def test_sighup_with_a_bad_file_changes_nothing(tmp_path: Path, raw: str | None) -> None:
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
            assert rig.directory.fake.closed == 0

    on_loop(scenario)


def test_sighup_during_the_drain_does_not_end_it_otherwise(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with Rig(tmp_path, silent) as rig:
            asked = asyncio.create_task(rig.ask(message()))
            await rig.hosts[0].until(lambda fake: len(fake.seen) == 1)
            rig.process.send_signal(signal.SIGTERM)
            await rig.reload([instance("s-0", rig.hosts[0].port)])
            await rig.directory.fake.until(lambda fake: len(fake.seen) > 0)
            rig.hosts[0].seen[0].writer.write(reply(b"served"))
            assert (await asked).body == b"served"
            rig.process.send_signal(signal.SIGHUP)
            assert await rig.process.wait() == 0

    on_loop(scenario)


def test_a_kept_connection_that_is_reset_says_nothing_of_its_host(tmp_path: Path) -> None:
    """A host may forget kept connections without a word: the request goes again on a new one, and the host is
    not left to rest."""

    async def scenario() -> None:
        used: set[int] = set()

        def behave(seen: Seen) -> bytes:
            again = id(seen.writer) in used
            used.add(id(seen.writer))
            kept.append(seen.writer)
            return b"" if again else serve(seen)

        kept: list[asyncio.StreamWriter] = []
        async with Rig(tmp_path, behave) as rig:
            for i in range(10):
                assert await rig.status(message(rid=b"id-%d" % i)) == 200
                await asyncio.sleep(5 * REUSE_DELAY_S)
            assert not any("fails" in line for line in rig.log)
            assert len(rig.hosts[0].seen) == 19  # each but the first found its connection dead once

    on_loop(scenario)
