"""Open requests in one process: events that cannot be triggered reliably from outside."""

from __future__ import annotations

import asyncio
import json
import os
import time

import pytest
from conftest import FakeServer, Seen, instance, on_loop, reply
from fakes.gateway_core import RecordingClient, forward_request, simulate_stall, start_gateway_core

from hillmux import interface as api
from hillmux.interface import AttemptResult, ListKind, RejectReason
from hillmux.net.discovery_watch import MAX_WATCH_MS
from hillmux.net.response import Response


def test_request_is_answered_once_at_its_deadline(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        host = FakeServer(lambda seen: None)
        core, decisions = await start_gateway_core(monkeypatch, host)
        client, started = RecordingClient(), time.monotonic()
        decisions.actions[api.Request] = [api.SendAttempt("r1", "s-0", 5000)]
        core.request(client, forward_request(300))
        assert await client.statuses.get() == 504
        assert time.monotonic() - started < 0.3
        assert decisions.events[-1] == api.ClientDisconnected("r1")
        assert len(host.seen) == 1
        decisions.actions[api.TimerFired] = [
            api.SendAttempt("r1", "s-0", 100),
            api.Reject("r1", 0.0, RejectReason.OVERLOAD),
            api.Fail("r1"),
        ]
        core.post(api.TimerFired("late"))
        assert decisions.outcomes() == [AttemptResult.NOT_SENT]
        await asyncio.sleep(0.05)
        assert client.statuses.empty() and len(host.seen) == 1
        host.stop()

    on_loop(scenario)


@pytest.mark.parametrize("answers", [True, False])
def test_after_a_stall_all_endpoint_changes_are_handled_before_held_events(
    monkeypatch: pytest.MonkeyPatch, answers: bool
) -> None:
    """Guards against sending to draining hosts after a virtual machine was paused.

    The open watch returns the first change. A poll without a wait returns the second, or is not answered.
    """

    async def scenario() -> None:
        polled_paths: list[str] = []

        def agent(seen: Seen) -> bytes | None:
            polled_paths.append(seen.line.split()[1])
            if len(polled_paths) == 2 and answers:
                return reply(
                    json.dumps(
                        {
                            "generation": 3,
                            "reset": False,
                            "instances": [instance("s-0", 9, lifecycle="draining")],
                        }
                    ).encode()
                )
            return None

        host = FakeServer(agent)
        core, decisions = await start_gateway_core(monkeypatch, host)
        core._discovery.start()
        await host.until(lambda fake: len(fake.seen) == 1)
        events_before_stall = len(decisions.events)
        simulate_stall(core)
        first_change = {"generation": 2, "reset": False, "instances": [instance("s-1", 9)]}
        core._discovery.on_response(
            core._discovery._connection, discovery_response(first_change), True
        )  # read after the stall
        core.request(RecordingClient(), forward_request())
        core.loop_lag._next_heartbeat_at = time.monotonic() + 60  # no longer behind
        while not any(isinstance(e, api.Request) for e in decisions.events):
            await asyncio.sleep(0.002)
        kinds = [type(e) for e in decisions.events[events_before_stall:]]
        assert kinds == [api.EndpointList, *([api.EndpointList] if answers else []), api.Request]
        await host.until(lambda fake: len(polled_paths) >= (3 if answers else 2))  # may take one more turn
        waits = [int(query.rpartition("=")[2]) for query in polled_paths[1:]]
        assert waits[0] == 0 and len(waits) == (2 if answers else 1)
        assert all(
            MAX_WATCH_MS / 2 <= wait <= MAX_WATCH_MS for wait in waits[1:]
        )  # a watch with its usual wait again
        core.stop()
        host.stop()

    on_loop(scenario)


def test_events_are_not_held_without_a_stall(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        host = FakeServer(lambda seen: None)
        core, decisions = await start_gateway_core(monkeypatch, host)
        core.request(RecordingClient(), forward_request())
        assert isinstance(decisions.events[-1], api.Request)
        host.stop()

    on_loop(scenario)


def test_list_on_which_the_decision_module_raised_is_requested_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a change lost for good by an error in the decision module."""

    async def scenario() -> None:
        changes = {"generation": 2, "reset": False, "instances": [instance("s-0", 9, lifecycle="draining")]}
        full_list = {**changes, "reset": True}

        def agent(seen: Seen) -> bytes | None:
            if "after=1&" in seen.line:
                return reply(json.dumps(changes).encode())
            return None if "after=" in seen.line else reply(json.dumps(full_list).encode())

        host = FakeServer(agent)
        core, decisions = await start_gateway_core(monkeypatch, host)
        known = len(decisions.events)
        decisions.actions[api.EndpointList] = RuntimeError("cannot apply")
        core._discovery.start()
        await host.until(lambda fake: any("after=2&" in seen.line for seen in fake.seen[2:]))
        assert sum(seen.line.startswith("GET /v1/endpoints ") for seen in host.seen) == 1
        assert [e.kind for e in decisions.events[known:]] == [ListKind.FULL, ListKind.FULL]
        core.stop()
        host.stop()

    on_loop(scenario)


def discovery_response(raw: dict[str, object]) -> Response:
    """A complete discovery response."""
    return Response(200, {}, json.dumps(raw).encode(), True)


def test_failure_of_the_decision_module_fails_one_request_only(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        host = FakeServer(lambda seen: reply(b"served"))
        core, decisions = await start_gateway_core(monkeypatch, host)
        failed_client, served_client = RecordingClient(), RecordingClient()
        decisions.actions[api.Request] = RuntimeError("broken")
        core.request(failed_client, forward_request())
        assert await failed_client.statuses.get() == 500
        decisions.actions[api.Request] = [api.SendAttempt("r2", "s-0", 1000)]
        core.request(served_client, forward_request())
        assert await served_client.statuses.get() == 200
        host.stop()

    on_loop(scenario)


def test_every_attempt_has_one_outcome(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        host = FakeServer(lambda seen: None)
        core, decisions = await start_gateway_core(monkeypatch, host)
        client = RecordingClient()
        decisions.actions[api.Request] = [
            api.SendAttempt("r1", "s-0", 1000),
            api.SendAttempt("r1", "nowhere", 1000),
            api.SendAttempt("r1", "s-0", 1000),
        ]  # the third one exceeds the limit of two attempts
        core.request(client, forward_request())
        assert decisions.outcomes() == [AttemptResult.CONNECT_FAILED, AttemptResult.NOT_SENT]
        await host.until(lambda fake: bool(fake.seen))
        decisions.actions[api.TimerFired] = [
            api.CancelAttempt("r1", 0),
            api.CancelAttempt("r1", 0),
            api.Fail("r1"),
        ]
        core.post(api.TimerFired("cancel"))
        await host.until(lambda fake: fake.closed == 1)
        assert decisions.outcomes() == [
            AttemptResult.CONNECT_FAILED,
            AttemptResult.NOT_SENT,
            AttemptResult.CANCELLED,
        ]
        assert await client.statuses.get() == 502
        assert not core.requests
        host.stop()

    on_loop(scenario)


def test_event_caused_by_an_action_is_handled_after_the_other_actions(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        host = await FakeServer(lambda seen: reply()).start()
        core, decisions = await start_gateway_core(monkeypatch, host)
        order: list[str] = []
        handle, execute = decisions.handle, core.execute

        def record_event(now_ms: float, event: api.Event) -> list[api.Action]:
            order.append(type(event).__name__)
            return handle(now_ms, event)

        def record_action(action: api.Action) -> None:
            order.append(type(action).__name__)
            execute(action)

        monkeypatch.setattr(decisions, "handle", record_event)
        monkeypatch.setattr(core, "execute", record_action)
        monkeypatch.setattr(core, "counter", None)  # so that each call fails at once
        decisions.actions[api.TimerFired] = [
            api.IncrementCounter("a", 1.0, 1.0),
            api.IncrementCounter("b", 1.0, 1.0),
            api.Log("done"),
        ]
        core.post(api.TimerFired("any"))
        assert order == [
            "TimerFired",
            "IncrementCounter",
            "IncrementCounter",
            "Log",
            "CounterReply",
            "CounterReply",
        ]
        host.stop()

    on_loop(scenario)


def test_stall_of_the_loop_is_not_reported_as_host_latency(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against counting a stall of this process (overload, garbage collection) as host latency."""

    async def scenario() -> None:
        host = FakeServer(lambda seen: None)
        core, decisions = await start_gateway_core(monkeypatch, host)
        await asyncio.sleep(0.1)
        decisions.actions[api.Request] = [api.SendAttempt("r1", "s-0", 3000)]
        client = RecordingClient()
        core.request(client, forward_request())
        await host.until(lambda fake: any("/api/" in s.line for s in fake.seen))
        os.write(host.seen[-1].writer.get_extra_info("socket").fileno(), reply(b"served"))
        time.sleep(0.6)  # the response lies unread during the stall
        assert await client.statuses.get() == 200
        while not decisions.outcomes():  # held until endpoint changes are read; the client is answered before
            await asyncio.sleep(0.001)
        (outcome,) = [e for e in decisions.events if isinstance(e, api.AttemptEnded)]
        assert outcome.elapsed_ms < 400
        host.stop()

    on_loop(scenario)
