"""Parses operators' commands, one line per connection, and formats the answers. Free of I/O.

check          ACK and the phase of recovery, or NAK while requests cannot be served
vars           one line of JSON with all metrics, then the line `--`
set-down ID    disable a host; ACK, or NAK and the reason
set-up ID      enable it again
"""

from __future__ import annotations

import json
import re
from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

ACK, NAK, END_OF_METRICS = "ACK", "NAK", "--"
MAX_LINE_BYTES = 1024
HOST_ID = re.compile(r"[!-~]{1,256}")


class Verb(StrEnum):
    """The first word of a command."""

    CHECK = "check"
    VARS = "vars"
    SET_DOWN = "set-down"
    SET_UP = "set-up"


class InvalidCommandError(ValueError):
    """A line that is not a valid command; the text says what is allowed."""


@dataclass(slots=True, frozen=True)
class Command:
    """One command; `host` is the operand of `set-down` and `set-up`."""

    verb: Verb
    host: str = ""


class ManagedProcess(Protocol):
    """The interface of a gateway to its operators."""

    def ready(self) -> bool:
        """Whether requests can be served."""

    def phase(self) -> str:
        """The phase of recovery and its causes; "" if recovery is not observed."""

    def metrics_by_name(self) -> dict[str, object]:
        """All metrics by name, as values that JSON can represent."""

    def override_host(self, host: str, disabled: bool) -> str:
        """Disable a host or enable it again; returns "" if that took effect, otherwise the reason why not."""


def parse(line: bytes) -> Command:
    """Parse a line, given without its line ending.

    Raises:
        InvalidCommandError: The line is not a valid command.
    """
    try:
        words = line.decode("ascii").split()
    except UnicodeDecodeError:
        raise InvalidCommandError("found bytes that are not ASCII") from None
    word, operands = (words[0], words[1:]) if words else ("", [])
    match word:
        case Verb.CHECK | Verb.VARS:
            if operands:
                raise InvalidCommandError(f"{word}: takes nothing, found {len(operands)} words")
            return Command(Verb(word))
        case Verb.SET_DOWN | Verb.SET_UP:
            if len(operands) != 1 or not HOST_ID.fullmatch(operands[0]):
                raise InvalidCommandError(f"{word}: takes the id of one host")
            return Command(Verb(word), operands[0])
        case _:
            raise InvalidCommandError(
                f"{word[:32]!r} is not {Verb.CHECK}, {Verb.VARS}, {Verb.SET_DOWN} ID or {Verb.SET_UP} ID"
            )


def respond(line: bytes, gateway: ManagedProcess) -> bytes:
    """Execute the command in a line, and return the complete answer."""
    try:
        command = parse(line)
    except InvalidCommandError as error:
        return _answer_line(NAK, str(error))
    match command.verb:
        case Verb.VARS:
            metrics = json.dumps(gateway.metrics_by_name(), separators=(",", ":"))
            return f"{metrics}\n{END_OF_METRICS}\n".encode()
        case Verb.CHECK:
            if not gateway.ready():
                return _answer_line(NAK, "not ready: no hosts are known yet, or it drains")
            return _answer_line(ACK, gateway.phase())
        case _:
            reason = gateway.override_host(command.host, disabled=command.verb == Verb.SET_DOWN)
            return _answer_line(NAK, reason) if reason else _answer_line(ACK)


def _answer_line(word: str, text: str = "") -> bytes:
    return f"{word} {text}".rstrip().encode("ascii", "replace") + b"\n"
