"""The platform's gateway where operators call it: what it counts for them, and hosts that they take out."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Iterable
from itertools import chain
from typing import Any, ClassVar, cast

from hillmux import interface as api
from hillmux.admin.host_overrides import HandError, HandFile, Listed, refused
from hillmux.admin.metrics import Figures
from hillmux.admin.server import OperatorServer
from hillmux.hot_restart.service import HandOver, Heir, TakeOver
from hillmux.hot_restart.state_codec import StateError, export, restore
from hillmux.interface import ListKind
from hillmux.net.clients import Server
from hillmux.net.config import GatewayConfig
from hillmux.net.core import OpenRequest
from hillmux.net.discovery import DiscoveryResponse
from hillmux.net.hosts import Attempt
from hillmux.net.http1 import Reply
from hillmux.net.platform_gateway import PlatformGateway
from hillmux.net.streaming import FlowHostConnection, FlowHosts

log = logging.getLogger(__name__)

READY_TIMEOUT_S = 4.0  # how long a new process waits to be able to serve before it takes over all the same
SEEN, SEEN_AT_ONCE = "seen", 512  # the hosts that may be taken out by hand
OVERRIDE_POLL_INTERVAL_S = (
    0.2  # spacing of the looks at the hosts out by hand: a call to another process binds within a second
)


class CountedConnection(FlowHostConnection):
    """Tells its pool when an attempt's last byte has left."""

    def start_attempt(self, attempt: Attempt) -> None:
        """Write an attempt's request, and report it if all of it has left at once."""
        super().start_attempt(attempt)
        if not self.unsent and attempt.upload is None:  # one that flows tells by itself
            self._flow_pool.written(attempt)

    def resume_writing(self) -> None:
        """All that was written has left: report the attempt."""
        super().resume_writing()
        if self.attempt is not None and not self.unsent:
            self._flow_pool.written(self.attempt)


class CountedPool(FlowHosts):
    """Hosts whose attempts are counted."""

    connection_class: ClassVar[type[Any]] = CountedConnection
    gateway: ManagedGateway

    def written(self, attempt: Attempt) -> None:
        """An attempt is whole on its connection."""
        self.gateway.attempt_sent(attempt)


class ManagedGateway(PlatformGateway):
    """A node with figures, with hosts out by hand, and with a way to hand over to a next version."""

    pool_class: ClassVar[type[FlowHosts]] = CountedPool

    def __init__(self, config: GatewayConfig, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(config, loop)
        cast(CountedPool, self.streaming_pool).gateway = self
        self.metrics = Figures()
        self.known_hosts = Listed()
        self._override_file = HandFile(config.state_directory)
        self._disabled: set[str] = set()
        self._operator_server = OperatorServer(self, loop)
        self._state_directory = config.state_directory
        self._server: Server[Any] | None = None  # once clients are let in
        self._hot_restart_server = HandOver(self, loop)
        self._hot_restart_client: TakeOver | None = None

    def start(self) -> None:
        """Also begin to look for hosts that are taken out by hand, every LOOK_S."""
        super().start()
        self._poll_override_file()

    async def listen(self, address: tuple[str, int] | None) -> None:
        """Take operators' calls at an address, where there is one; OSError if that cannot be listened on."""
        if address is not None:
            host, port = await self._operator_server.start(address)
            log.info("operators call at %s:%d", host, port)

    def stop(self) -> None:
        """Also close the operators' connections and those for a hand-over."""
        super().stop()
        self._operator_server.stop()
        self._hot_restart_server.stop()
        if self._hot_restart_client is not None:
            self._hot_restart_client.close()

    def reload(self, config: GatewayConfig) -> None:
        """Also count the reload."""
        super().reload(config)
        self.metrics.loads += 1

    def reload_rejected(self) -> None:
        """Count a new configuration that was turned down."""
        self.metrics.load_errors += 1

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
        if self._state_directory is not None:
            self._hot_restart_client = TakeOver.find(self._state_directory, self.loop, server.adopt)
        listening = await self._inherit(server) if self._hot_restart_client is not None else None
        if listening is None:
            listening = server.start(address, shared=True)
        self._server = server
        if self._state_directory is not None:
            self._hot_restart_server.start(
                self._state_directory
            )  # in the old one's place: the next version finds us
        if self._hot_restart_client is not None:
            self._hot_restart_client.serving()
        return listening

    async def _inherit(self, server: Server[Any]) -> list[tuple[str, int]] | None:
        """What the old process hands over, once we could serve; None where it does not."""
        assert self._hot_restart_client is not None
        end = self.loop.time() + READY_TIMEOUT_S
        while not self.could_serve() and self.loop.time() < end:
            await asyncio.sleep(0.02)
        try:
            descriptor, documents = await self._hot_restart_client.ask()
        except OSError as error:
            log.warning("hand-over: %s; serving beside it, if it still does", error)
            self._hot_restart_client = None
            return None
        try:
            restore(self.decision_module, documents)
            names = [
                n
                for d in documents
                if d.get("t") == SEEN and isinstance(d.get("names"), list)
                for n in d["names"]
            ]
            self.known_hosts.add(n for n in names if isinstance(n, str))
        except StateError as error:  # another version's, perhaps: its clients are worth more
            log.warning("hand-over: what the old process knew is left: %s", error)
        log.info("took over from the process that served here")
        return server.inherit(descriptor)

    def give(self) -> tuple[int, Iterable[dict[str, Any]]]:
        """Stop accepting and deciding: a descriptor of the listening socket, and what is known."""
        assert self._server is not None
        self.post(api.TakenOver(True))
        names = self.known_hosts.all()
        seen = [
            {"t": SEEN, "names": names[at : at + SEEN_AT_ONCE]} for at in range(0, len(names), SEEN_AT_ONCE)
        ]
        return self._server.lend(), chain(export(self.decision_module), seen)

    def keep(self) -> None:
        """Go on after all: the successor ended before it served."""
        assert self._server is not None
        self.post(api.TakenOver(False))
        self._server.take_back()

    def gone(self, heir: Heir) -> None:
        """The successor serves."""
        assert self._server is not None
        self._server.succeeded_by(heir)

    def alone(self) -> None:
        """The successor that served is gone; connections cannot be passed on any more."""
        assert self._server is not None
        self._server.heir = None

    # Operators' calls

    def figures(self) -> dict[str, object]:
        """All figures, as JSON holds them."""
        open_now = sum(request.client is not None for request in self.requests.values())
        fleet = self.decision_module.fleet
        return self.metrics.shown(
            [c.name for c in self.settings.classes], open_now, len(fleet.hosts), fleet.skipped()
        )

    def hand(self, host: str, out: bool) -> str:
        """Take a host out by hand, or put it back; "" once that holds, else why not."""
        wrong = refused(host, out, self.known_hosts, self._disabled)
        if wrong:
            return wrong
        try:
            self._override_file.change(host, out)
        except HandError as error:
            return str(error)
        self._disable_hosts(self._override_file.out)
        return ""

    def _poll_override_file(self) -> None:
        """Take over what another process of this gateway was told."""
        names = self._override_file.refresh()
        if names is not None:
            self._disable_hosts(names)
        self.loop.call_later(OVERRIDE_POLL_INTERVAL_S, self._poll_override_file)

    def _disable_hosts(self, names: set[str]) -> None:
        self.upstreams.set_disabled(frozenset(names))
        for name in names ^ self._disabled:
            self.post(api.HostDisabled(name, name in names))
        self._disabled = set(names)

    # What is counted

    def apply_endpoints(self, listing: DiscoveryResponse, kind: ListKind) -> None:
        self.known_hosts.add(server.name for server in listing.endpoints)
        super().apply_endpoints(listing, kind)

    def answer(
        self,
        request: OpenRequest | None,
        status: int,
        reply: Reply | None = None,
        retry_after_ms: float = 0.0,
    ) -> None:
        if request is not None and request.client is not None:
            self.metrics.answered(request.forward_request.class_name, status)
        super().answer(request, status, reply, retry_after_ms)

    def attempt_sent(self, attempt: Attempt) -> None:
        """An attempt has left whole."""
        request = self.requests.get(attempt.request_id)
        if request is not None:
            self.metrics.tried(request.forward_request.class_name)
