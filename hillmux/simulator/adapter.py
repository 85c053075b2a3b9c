"""Runs gateways for the simulator, which sends batches of events and reads actions over standard streams."""

from __future__ import annotations

import io
import sys
from collections.abc import Iterable, Iterator
from typing import TextIO, cast

from hillmux import interface as api
from hillmux.decision.gateway import Gateway
from hillmux.interface import ListKind
from hillmux.simulator import codec
from hillmux.simulator.codec import InstanceClosed, InstanceOpened, WireEvent, WireFormatError

EXIT_OK = 0
EXIT_OUTPUT_CLOSED = 1
EXIT_MALFORMED_INPUT = 2


class SimulatorAdapter:
    """Reads batches, passes each event to its gateway, and writes the resulting actions."""

    def __init__(self, lines: Iterable[str], out: TextIO) -> None:
        self._lines: Iterator[str] = iter(lines)
        self._out = out
        self.line_number = 0  # number of the line that was read last
        self.gateways: dict[str, Gateway] = {}  # by instance name
        self._endpoint_lists: dict[int, tuple[api.Endpoint, ...]] = {}  # by list number

    def run(self) -> None:
        """Answer batches until the input ends.

        Raises:
            WireFormatError: the input is malformed, or ends inside a batch.
        """
        while (parts := self._read_line()) is not None:
            if parts == [""]:
                continue
            if parts[0] != "BATCH" or len(parts) != 2:
                raise WireFormatError("expected BATCH and the clock time")
            reply = self.answer_batch(codec.parse_float(parts[1]))
            self._out.write("".join(line + "\n" for line in reply))
            self._out.flush()

    def answer_batch(self, now_ms: float) -> list[str]:
        """Read and handle the events of one batch, and return all lines of its reply.

        Raises:
            WireFormatError: the batch is malformed.
        """
        reply: list[str] = []
        while True:
            parts = self._read_line()
            if parts is None:
                raise WireFormatError("input ended inside a batch: expected END")
            if parts == ["END"]:
                return [*reply, "OK"]
            if parts[0] == "CATALOG":
                self._read_endpoint_list(parts)
                continue
            try:
                event = self._parse_event(parts)
            except WireFormatError:
                raise
            except ValueError as error:  # invalid settings
                reply.append(codec.format_failure(parts[1], error))
                continue
            reply.extend(self.deliver(now_ms, parts[1], event))

    def deliver(self, now_ms: float, instance: str, event: WireEvent) -> list[str]:
        """Pass an event to its gateway; returns the lines of its actions, or one that reports a failure."""
        try:
            if isinstance(event, InstanceOpened):
                self.gateways[instance] = Gateway(event.settings, event.seed)
                return []
            if isinstance(event, InstanceClosed):
                self.gateways.pop(instance, None)
                return []
            gateway = self.gateways.get(instance)
            if gateway is None:
                return []
            return [codec.format_action(instance, action) for action in gateway.handle(now_ms, event)]
        except Exception as error:  # a failure of one gateway must not stop the others
            return [codec.format_failure(instance, error)]

    def _read_line(self) -> list[str] | None:
        """Read the next line and split it at single spaces; None at the end of input.

        Raises:
            WireFormatError: the line has no line feed.
        """
        line = next(self._lines, None)
        if line is None:
            return None
        self.line_number += 1
        if not line.endswith("\n"):
            raise WireFormatError("truncated line: no line feed before the end of input")
        return line.rstrip("\r\n").split(" ")

    def _read_endpoint_list(self, parts: list[str]) -> None:
        """Read an endpoint list and store it by number, for the events that refer to it.

        Raises:
            WireFormatError: the list or an entry is malformed.
        """
        if len(parts) != 3:
            raise WireFormatError("CATALOG: wrong number of values, expected 2")
        number, count = codec.parse_int(parts[1]), codec.parse_int(parts[2])
        endpoints = []
        for _ in range(count):
            entry = self._read_line()
            if entry is None:
                raise WireFormatError("input ended inside an endpoint list")
            endpoints.append(codec.parse_endpoint(entry))
        self._endpoint_lists[number] = tuple(endpoints)

    def _parse_event(self, parts: list[str]) -> WireEvent:
        if parts[0] == "DIRECTORY_UPDATE":
            return self._parse_directory_update(parts)
        return codec.parse_event(parts)

    def _parse_directory_update(self, parts: list[str]) -> api.EndpointList:
        """Parse an endpoint list event, which refers to a list by its number."""
        if len(parts) != 5:
            raise WireFormatError("DIRECTORY_UPDATE: wrong number of values, expected 4")
        kind = codec.parse_member(codec.LIST_KINDS, parts[2])
        codec.parse_int(parts[3])
        if kind == ListKind.FAILED:
            return api.EndpointList(kind)
        number = codec.parse_int(parts[4])
        if number not in self._endpoint_lists:
            raise WireFormatError(f"DIRECTORY_UPDATE: no endpoint list has number {number}")
        return api.EndpointList(kind, self._endpoint_lists[number])


def main() -> int:
    """Serve standard input until it ends; returns the exit status.

    On malformed input, one line on standard error gives the line number and the error.
    """
    for stream in (sys.stdin, sys.stdout):
        cast(io.TextIOWrapper, stream).reconfigure(encoding="utf-8", newline="\n")
    adapter = SimulatorAdapter(sys.stdin, sys.stdout)
    try:
        adapter.run()
    except (WireFormatError, UnicodeDecodeError) as error:
        print(f"line {adapter.line_number}: {error}", file=sys.stderr)
        return EXIT_MALFORMED_INPUT
    except BrokenPipeError:
        return EXIT_OUTPUT_CLOSED
    return EXIT_OK


if __name__ == "__main__":
    sys.exit(main())
