"""The operators' calls, one line a connection: what a line asks for, and how it is answered. Free of I/O."""

from __future__ import annotations

import json
import re
from dataclasses import dataclass
from typing import Protocol

CHECK, VARS, SET_DOWN, SET_UP = "check", "vars", "set-down", "set-up"
ACK, NAK, END_OF_METRICS = "ACK", "NAK", "--"
MAX_LINE_BYTES = 1024
HOST_ID = re.compile(r"[!-~]{1,256}")


class InvalidCommandError(ValueError):
    """A line that is no call; the text says what may stand there."""


@dataclass(slots=True, frozen=True)
class Command:
    """One call; `host` is named by those that take a host out or put it back."""

    verb: str
    host: str = ""


class ManagedProcess(Protocol):
    """A gateway as its operators see it."""

    def ready(self) -> bool:
        """Whether requests can be served."""

    def phase(self) -> str:
        """How far it has come back, and why no further; "" where nobody looks."""

    def metrics_by_name(self) -> dict[str, object]:
        """All figures, as JSON holds them."""

    def override_host(self, host: str, disabled: bool) -> str:
        """Take a host out by hand, or put it back; "" once that holds, else why not."""


def parse(line: bytes) -> Command:
    """A line without its end as a call; CallError where it is none."""
    try:
        words = line.decode("ascii").split()
    except UnicodeDecodeError:
        raise InvalidCommandError("found bytes that are not ASCII") from None
    verb = words[0] if words else ""
    if verb in (CHECK, VARS):
        if len(words) > 1:
            raise InvalidCommandError(f"{verb}: takes nothing, found {len(words) - 1} words")
        return Command(verb)
    if verb in (SET_DOWN, SET_UP):
        if len(words) != 2 or not HOST_ID.fullmatch(words[1]):
            raise InvalidCommandError(f"{verb}: takes the id of one host")
        return Command(verb, words[1])
    raise InvalidCommandError(f"{verb[:32]!r} is not {CHECK}, {VARS}, {SET_DOWN} ID or {SET_UP} ID")


def respond(line: bytes, gateway: ManagedProcess) -> bytes:
    """The whole answer to one line, carried out."""
    try:
        call = parse(line)
    except InvalidCommandError as error:
        return _line(NAK, str(error))
    if call.verb == VARS:
        figures = json.dumps(gateway.metrics_by_name(), separators=(",", ":"))
        return f"{figures}\n{END_OF_METRICS}\n".encode()
    if call.verb == CHECK:
        if not gateway.ready():
            return _line(NAK, "not ready: no hosts are known yet, or it drains")
        return _line(ACK, gateway.phase())
    wrong = gateway.override_host(call.host, call.verb == SET_DOWN)
    return _line(NAK, wrong) if wrong else _line(ACK)


def _line(word: str, text: str = "") -> bytes:
    return f"{word} {text}".rstrip().encode("ascii", "replace") + b"\n"
