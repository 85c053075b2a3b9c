"""The operators' calls, one line a connection: what a line asks for, and how it is answered. Free of I/O."""

from __future__ import annotations

import json
import re
from dataclasses import dataclass
from typing import Protocol

CHECK, VARS, SET_DOWN, SET_UP = "check", "vars", "set-down", "set-up"
YES, NO, END = "ACK", "NAK", "--"
LONGEST_LINE = 1024
HOST_ID = re.compile(r"[!-~]{1,256}")


class CallError(ValueError):
    """A line that is no call; the text says what may stand there."""


@dataclass(slots=True, frozen=True)
class Call:
    """One call; `host` is named by those that take a host out or put it back."""

    verb: str
    host: str = ""


class Operated(Protocol):
    """A gateway as its operators see it."""

    def ready(self) -> bool:
        """Whether requests can be served."""

    def phase(self) -> str:
        """How far it has come back, and why no further; "" where nobody looks."""

    def figures(self) -> dict[str, object]:
        """All figures, as JSON holds them."""

    def hand(self, host: str, out: bool) -> str:
        """Take a host out by hand, or put it back; "" once that holds, else why not."""


def parse(line: bytes) -> Call:
    """A line without its end as a call; CallError where it is none."""
    try:
        words = line.decode("ascii").split()
    except UnicodeDecodeError:
        raise CallError("found bytes that are not ASCII") from None
    verb = words[0] if words else ""
    if verb in (CHECK, VARS):
        if len(words) > 1:
            raise CallError(f"{verb}: takes nothing, found {len(words) - 1} words")
        return Call(verb)
    if verb in (SET_DOWN, SET_UP):
        if len(words) != 2 or not HOST_ID.fullmatch(words[1]):
            raise CallError(f"{verb}: takes the id of one host")
        return Call(verb, words[1])
    raise CallError(f"{verb[:32]!r} is not {CHECK}, {VARS}, {SET_DOWN} ID or {SET_UP} ID")


def answer(line: bytes, gateway: Operated) -> bytes:
    """The whole answer to one line, carried out."""
    try:
        call = parse(line)
    except CallError as error:
        return _line(NO, str(error))
    if call.verb == VARS:
        figures = json.dumps(gateway.figures(), separators=(",", ":"))
        return f"{figures}\n{END}\n".encode()
    if call.verb == CHECK:
        if not gateway.ready():
            return _line(NO, "not ready: no hosts are known yet, or it drains")
        return _line(YES, gateway.phase())
    wrong = gateway.hand(call.host, call.verb == SET_DOWN)
    return _line(NO, wrong) if wrong else _line(YES)


def _line(word: str, text: str = "") -> bytes:
    return f"{word} {text}".rstrip().encode("ascii", "replace") + b"\n"
