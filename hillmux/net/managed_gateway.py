"""The platform's gateway where operators call it: what it counts for them, and hosts that they take out."""

from __future__ import annotations

import asyncio
import logging
from itertools import chain
from typing import Any, ClassVar, cast

from hillmux import interface as api
from hillmux.admin.host_overrides import KnownHosts, OverrideFile, OverrideFileError, rejection_reason
from hillmux.admin.metrics import Metrics
from hillmux.admin.server import OperatorServer
from hillmux.hot_restart.client import HotRestartClient
from hillmux.hot_restart.server import HandOver, HotRestartServer, SuccessorProcess
from hillmux.hot_restart.state_codec import StateError, export, restore
from hillmux.interface import ListKind
from hillmux.net.clients import Server
from hillmux.net.config import Config
from hillmux.net.core import _Open
from hillmux.net.discovery import Listing
from hillmux.net.hosts import Attempt
from hillmux.net.http1 import Reply
from hillmux.net.platform_gateway import Node
from hillmux.net.streaming import FlowHostConnection, FlowHosts

log = logging.getLogger(__name__)

START_S = 4.0  # how long a new process waits to be able to serve before it takes over all the same
SEEN, SEEN_AT_ONCE = "seen", 512  # the hosts that may be taken out by hand
LOOK_S = 0.2  # spacing of the looks at the hosts out by hand: a call to another process binds within a second


class _CountedConnection(FlowHostConnection):
    """Tells its pool when an attempt's last byte has left."""

    def begin(self, attempt: Attempt) -> None:
        """Write an attempt's request, and report it if all of it has left at once."""
        super().begin(attempt)
        if not self.unsent and attempt.upload is None:  # one that flows tells by itself
            self._flow_pool.written(attempt)

    def resume_writing(self) -> None:
        """All that was written has left: report the attempt."""
        super().resume_writing()
        if self.attempt is not None and not self.unsent:
            self._flow_pool.written(self.attempt)


class _CountedHosts(FlowHosts):
    """Hosts whose attempts are counted."""

    connection: ClassVar[type[Any]] = _CountedConnection
    node: OperatedNode

    def written(self, attempt: Attempt) -> None:
        """An attempt is whole on its connection."""
        self.node.tried(attempt)


class OperatedNode(Node):
    """A node with figures, with hosts out by hand, and with a way to hand over to a next version."""

    hosts: ClassVar[type[FlowHosts]] = _CountedHosts

    def __init__(self, config: Config, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(config, loop)
        cast(_CountedHosts, self._flow_hosts).node = self
        self.figures_kept = Metrics()
        self._seen = KnownHosts()
        self._hand_file = OverrideFile(config.folder)
        self._held_out: set[str] = set()
        self._operators = OperatorServer(self, loop)
        self._folder = config.folder
        self._server: Server[Any] | None = None  # once clients are let in
        self._hand_over = HotRestartServer(self, loop)
        self._take_over: HotRestartClient | None = None

    def start(self) -> None:
        """Also begin to look for hosts that are taken out by hand, every LOOK_S."""
        super().start()
        self._look()

    async def listen(self, address: tuple[str, int] | None) -> None:
        """Take operators' calls at an address, where there is one; OSError if that cannot be listened on."""
        if address is not None:
            host, port = await self._operators.start(address)
            log.info("operators call at %s:%d", host, port)

    def stop(self) -> None:
        """Also close the operators' connections and those for a hand-over."""
        super().stop()
        self._operators.stop()
        self._hand_over.stop()
        if self._take_over is not None:
            self._take_over.close()

    def reload(self, config: Config) -> None:
        """Also count the reload."""
        super().reload(config)
        self.figures_kept.config_reloads += 1

    def not_reloaded(self) -> None:
        """Count a new configuration that was turned down."""
        self.figures_kept.config_reload_errors += 1

    def ready(self) -> bool:
        """Whether requests can be served: False until clients are let in."""
        return self._server is not None and super().ready()

    def could_serve(self) -> bool:
        """Whether requests could be served, if clients were let in."""
        return super().ready()

    def phase(self) -> str:
        """How far it has come back, and why no further; "" where nobody looks."""
        return ""

    # One process after another

    async def open(self, server: Server[Any], address: tuple[str, int]) -> list[tuple[str, int]]:
        """Take over from the process that serves here already, if there is one; else listen."""
        if self._folder is not None:
            self._take_over = HotRestartClient.connect(self._folder, self._loop, server.adopt)
        listening = await self._inherit(server) if self._take_over is not None else None
        if listening is None:
            listening = server.start(address, shared=True)
        self._server = server
        if self._folder is not None:
            self._hand_over.start(self._folder)  # in the old one's place: the next version finds us
        if self._take_over is not None:
            self._take_over.announce_serving()
        return listening

    async def _inherit(self, server: Server[Any]) -> list[tuple[str, int]] | None:
        """What the old process hands over, once we could serve; None where it does not."""
        assert self._take_over is not None
        end = self._loop.time() + START_S
        while not self.could_serve() and self._loop.time() < end:
            await asyncio.sleep(0.02)
        try:
            descriptor, documents = await self._take_over.request_state()
        except OSError as error:
            log.warning("hand-over: %s; serving beside it, if it still does", error)
            self._take_over = None
            return None
        try:
            restore(self._gateway, documents)
            names = [
                n
                for d in documents
                if d.get("t") == SEEN and isinstance(d.get("names"), list)
                for n in d["names"]
            ]
            self._seen.add(n for n in names if isinstance(n, str))
        except StateError as error:  # another version's, perhaps: its clients are worth more
            log.warning("hand-over: what the old process knew is left: %s", error)
        log.info("took over from the process that served here")
        return server.inherit(descriptor)

    def hand_over(self) -> HandOver:
        """Stop accepting and deciding; returns listener and state."""
        assert self._server is not None
        self._post(api.TakenOver(True))
        names = self._seen.all()
        seen = [
            {"t": SEEN, "names": names[at : at + SEEN_AT_ONCE]} for at in range(0, len(names), SEEN_AT_ONCE)
        ]
        return HandOver(self._server.lend(), chain(export(self._gateway), seen))

    def resume(self) -> None:
        """Serve again: the successor ended before it served."""
        assert self._server is not None
        self._post(api.TakenOver(False))
        self._server.take_back()

    def on_successor_serving(self, successor: SuccessorProcess) -> None:
        """The successor accepts connections: pass the clients' connections on to it."""
        assert self._server is not None
        self._server.succeeded_by(successor)

    def on_successor_lost(self) -> None:
        """The successor that served has ended; no more connections can be passed on."""
        assert self._server is not None
        self._server.heir = None

    # Operators' calls

    def metrics_by_name(self) -> dict[str, object]:
        """All figures, as JSON holds them."""
        open_now = sum(request.client is not None for request in self._requests.values())
        fleet = self._gateway.fleet
        return self.figures_kept.to_dict(
            [c.name for c in self.settings.classes], open_now, len(fleet.hosts), fleet.skipped()
        )

    def override_host(self, host: str, disabled: bool) -> str:
        """Take a host out by hand, or put it back; "" once that holds, else why not."""
        wrong = rejection_reason(host, disabled, self._seen, self._held_out)
        if wrong:
            return wrong
        try:
            self._hand_file.set_disabled(host, disabled)
        except OverrideFileError as error:
            return str(error)
        self._hold_out(self._hand_file.disabled)
        return ""

    def _look(self) -> None:
        """Take over what another process of this gateway was told."""
        names = self._hand_file.refresh()
        if names is not None:
            self._hold_out(names)
        self._loop.call_later(LOOK_S, self._look)

    def _hold_out(self, names: set[str]) -> None:
        self._hosts.hold_out(frozenset(names))
        for name in names ^ self._held_out:
            self._post(api.HostDisabled(name, name in names))
        self._held_out = set(names)

    # What is counted

    def _apply(self, listing: Listing, kind: ListKind) -> None:
        self._seen.add(server.name for server in listing.servers)
        super()._apply(listing, kind)

    def _answer(
        self, request: _Open | None, status: int, reply: Reply | None = None, retry_after_ms: float = 0.0
    ) -> None:
        if request is not None and request.client is not None:
            self.figures_kept.count_answer(request.order.class_name, status)
        super()._answer(request, status, reply, retry_after_ms)

    def tried(self, attempt: Attempt) -> None:
        """An attempt has left whole."""
        request = self._requests.get(attempt.request)
        if request is not None:
            self.figures_kept.count_attempt(request.order.class_name)
