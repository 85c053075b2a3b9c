"""Bytes to the counter, discovery and hosts, operators' answers, metrics and help texts are unchanged."""

from __future__ import annotations

import asyncio
from typing import Any, cast

import click
import pytest
from compatibility import inputs
from compatibility.inputs import RECORDED, stored

from hillmux import interface as api
from hillmux.admin.commands import respond
from hillmux.cli import main as command_line
from hillmux.net import config as platform_config
from hillmux.net.attempt import Attempt
from hillmux.net.counter_channel import request_bytes
from hillmux.net.discovery_watch import DiscoveryWatch
from hillmux.net.requests import RequestMessage, RequestRules, parse_request
from hillmux.recovery.snapshotting_gateway import SnapshottingGateway


def platform() -> platform_config.Config:
    return platform_config.load({"ROUTER_CONFIG": str(RECORDED / "platform.json")})


@pytest.mark.parametrize("number", range(len(inputs.COUNTER_CALLS)))
def test_counter_call_has_the_same_bytes(number: int) -> None:
    call = api.IncrementCounter(*inputs.COUNTER_CALLS[number])
    assert request_bytes(call).decode() == stored("messages.json")["counter"][number]


async def watch_requests(generation: int) -> list[str]:
    """The first two requests of a watch that starts with a known generation."""
    lines: list[str] = []
    done = asyncio.Event()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        for _ in range(2):
            lines.append((await reader.readuntil(b"\r\n\r\n")).decode())
            body = b'{"generation":%d,"reset":true,"instances":[]}' % (generation + len(lines))
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
        done.set()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    loop = asyncio.get_running_loop()
    watch = DiscoveryWatch(loop, ("127.0.0.1", port), lambda listing: None, generation, seed=5)
    watch.start()
    await asyncio.wait_for(done.wait(), 10)
    watch.stop()
    server.close()
    return lines


@pytest.mark.parametrize("generation", (0, 7))
def test_watch_sends_the_same_bytes(generation: int) -> None:
    assert asyncio.run(watch_requests(generation)) == stored("messages.json")["discovery"][str(generation)]


@pytest.mark.parametrize("number", range(len(inputs.CLIENT_REQUESTS)))
def test_attempt_has_the_same_bytes(number: int) -> None:
    message = RequestMessage()
    message.method, message.url, headers, body = inputs.CLIENT_REQUESTS[number]
    message.headers = {**headers, b"quota-info": inputs.QUOTA_INFO}
    message.body, message.body_bytes = body, len(body)
    request = parse_request(message, RequestRules(platform().settings))
    attempt = Attempt("1", 0, "cabin-0", request.head, request.body, 100.0, 200.0)
    attempt.timeout_s = 1.25
    assert attempt.payload(100.25).decode() == stored("messages.json")["attempts"][number]


class FakeGateway:
    """A stand-in with a configurable readiness, phase and reason for rejecting commands."""

    def __init__(self, is_ready: bool, phase: str, rejection: str) -> None:
        self.is_ready, self.phase_text, self.rejection = is_ready, phase, rejection

    def ready(self) -> bool:
        return self.is_ready

    def phase(self) -> str:
        return self.phase_text

    def metrics_by_name(self) -> dict[str, object]:
        return {"loads": 1}

    def override_host(self, host: str, disabled: bool) -> str:
        return self.rejection


@pytest.mark.parametrize("number", range(len(inputs.OPERATOR_CALLS)))
def test_operators_call_gets_the_same_answer(number: int) -> None:
    line, *state = inputs.OPERATOR_CALLS[number]
    assert respond(line, FakeGateway(*state)).decode() == stored("messages.json")["operators"][number]


def test_metrics_have_the_same_names_and_first_values() -> None:
    async def metrics() -> dict[str, object]:
        return SnapshottingGateway(platform(), asyncio.get_running_loop()).metrics_by_name()

    added = {  # since the previous version
        "longest_stall_ms": 0,
        "parse_deferrals": 0,
        "attempt_failures": {},
        "own_answers": {},
        "failure_lines_suppressed": 0,
        "closes": {},
        "client_disconnects": 0,
        "lost_requests": 0,
    }
    found = asyncio.run(metrics())
    assert cast(int, found.pop("resident_bytes")) > 0
    assert list(cast(dict[str, int], found.pop("memory"))) == ["limit", "used", "peak", "rejections"]
    assert found == stored("messages.json")["metrics"] | added


def help_texts(command: click.Command, name: str, parent: click.Context | None = None) -> dict[str, Any]:
    """The help texts of a command and its subcommands, by command path."""
    context = click.Context(command, info_name=name, parent=parent, terminal_width=inputs.HELP_COLUMNS)
    texts: dict[str, Any] = {context.command_path: command.get_help(context)}
    if isinstance(command, click.Group):
        for subcommand_name, subcommand in sorted(command.commands.items()):
            texts.update(help_texts(subcommand, subcommand_name, context))
    return texts


def test_every_command_shows_the_same_help() -> None:
    assert help_texts(command_line, "hillmux") == stored("messages.json")["help"]
