"""The platform's gateway with metrics, hosts that operators disable, and hot restart."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Iterable, Iterator
from itertools import chain
from typing import Any, ClassVar, Final, cast

from hillmux import interface as api
from hillmux.admin.host_overrides import KnownHosts, OverrideFile, OverrideFileError, rejection_reason
from hillmux.admin.metrics import Metrics
from hillmux.admin.server import OperatorServer
from hillmux.hot_restart.client import HotRestartClient
from hillmux.hot_restart.server import HandOver, HotRestartServer, SuccessorProcess
from hillmux.hot_restart.state_codec import StateError, export, restore
from hillmux.interface import ListKind
from hillmux.net.attempt import Attempt
from hillmux.net.config import GatewayConfig
from hillmux.net.diagnostics import resident_bytes
from hillmux.net.discovery_response import DiscoveryResponse
from hillmux.net.forward_request import OpenRequest
from hillmux.net.listener import Listener
from hillmux.net.parse_scheduler import running_loop_scheduler
from hillmux.net.platform_gateway import PlatformGateway
from hillmux.net.response import Response
from hillmux.net.streaming_upstream import StreamingUpstreamConnection, StreamingUpstreamPool

log = logging.getLogger(__name__)

# After discovery has answered, how long a start waits for a list that holds hosts.
READY_TIMEOUT_S: Final = 4.0
# The kind of hot-restart document that lists the hosts which operators may disable, and its maximum length.
KNOWN_HOSTS_DOCUMENT: Final = "seen"
MAX_NAMES_PER_DOCUMENT: Final = 512
OPEN_IDS_DOCUMENT: Final = "open_ids"  # lists the client request ids that are in use at the old process
# An override that another process of this gateway accepted must take effect here within a second.
OVERRIDE_POLL_INTERVAL_S: Final = 0.2
READY_POLL_INTERVAL_S: Final = 0.02


class AttemptCountingConnection(StreamingUpstreamConnection):
    """Reports to its pool when an attempt's last byte has been written to the socket."""

    def start_attempt(self, attempt: Attempt) -> None:
        """Write an attempt's request, and report the attempt if nothing of it is left in the write buffer."""
        super().start_attempt(attempt)
        if not self.unsent and attempt.streamed_body is None:  # a streamed body reports its own end
            self._streaming_pool.on_body_written(attempt)

    def resume_writing(self) -> None:
        """Report the attempt once the write buffer is empty."""
        super().resume_writing()
        if self.attempt is not None and not self.unsent:
            self._streaming_pool.on_body_written(self.attempt)


class AttemptCountingPool(StreamingUpstreamPool):
    """A pool that reports each completely sent attempt to its gateway, which counts them."""

    connection_class: ClassVar[type[Any]] = AttemptCountingConnection
    gateway: ManagedGateway

    def on_body_written(self, attempt: Attempt) -> None:
        """Report an attempt whose request has been written completely."""
        self.gateway.attempt_sent(attempt)


class ManagedGateway(PlatformGateway):
    """A platform gateway with metrics, with hosts that operators disable, and with hot restart."""

    pool_class: ClassVar[type[StreamingUpstreamPool]] = AttemptCountingPool

    def __init__(self, config: GatewayConfig, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(config, loop)
        cast(AttemptCountingPool, self.streaming_pool).gateway = self
        self.metrics = Metrics()
        self.known_hosts = KnownHosts()
        self._override_file = OverrideFile(config.state_directory)
        self._disabled: set[str] = set()
        self._operator_server = OperatorServer(self, loop)
        self._state_directory = config.state_directory
        self._server: Listener[Any] | None = None  # None until clients are accepted
        self._hot_restart_server = HotRestartServer(self, loop)
        self._hot_restart_client: HotRestartClient | None = None

    def start(self) -> None:
        """Also begin to poll the file of disabled hosts; hosts of the configured list may be disabled."""
        if self._cached_endpoints is not None:
            self.known_hosts.add(endpoint.name for endpoint in self._cached_endpoints.endpoints)
        super().start()
        self._poll_override_file()

    async def listen(self, address: tuple[str, int] | None) -> None:
        """Accept operators' calls at an address; does nothing if it is None.

        Raises:
            OSError: the address cannot be listened on.
        """
        if address is not None:
            host, port = await self._operator_server.start(address)
            log.info("operators call at %s:%d", host, port)

    def stop(self) -> None:
        """Also close the connections of operators and of hot restart."""
        super().stop()
        self._operator_server.stop()
        self._hot_restart_server.stop()
        if self._hot_restart_client is not None:
            self._hot_restart_client.close()

    def reload(self, config: GatewayConfig) -> None:
        """Also count the reload."""
        super().reload(config)
        self.metrics.config_reloads += 1

    def reload_rejected(self) -> None:
        """Count a new configuration that was rejected."""
        self.metrics.config_reload_errors += 1

    def ready(self) -> bool:
        """Whether requests can be served; also False until clients are accepted."""
        return self._server is not None and super().ready()

    def could_serve(self) -> bool:
        """Whether requests could be served, apart from accepting clients."""
        return super().ready()

    async def wait_until_servable(self) -> None:
        """Wait until requests could be served, or discovery has listed no host for `READY_TIMEOUT_S`."""
        answered_s = 0.0
        while not self.could_serve() and answered_s < READY_TIMEOUT_S:
            await asyncio.sleep(READY_POLL_INTERVAL_S)
            if self.discovery_answered or self._discovery_wait is None:
                answered_s += READY_POLL_INTERVAL_S

    def phase(self) -> str:
        """The recovery phase and what delays the next one; "" if recovery is not tracked."""
        return ""

    # Hot restart

    def predecessor_serves(self) -> bool:
        """Whether the process that this one takes over from is connected and has not handed over."""
        return self._hot_restart_client is not None and self._hot_restart_client.predecessor_serves()

    async def open(self, server: Listener[Any], address: tuple[str, int]) -> list[tuple[str, int]]:
        """Take over from the process that serves at this address, if there is one; otherwise listen.

        Returns:
            The addresses that are listened on.

        Raises:
            OSError: the address cannot be listened on.
        """
        if self._state_directory is not None:
            self._hot_restart_client = HotRestartClient.connect(
                self._state_directory, self.loop, server.adopt_connection
            )
        listening = await self._inherit(server) if self._hot_restart_client is not None else None
        if listening is None:
            listening = server.start(address, shared=True)
        self._server = server
        if self._state_directory is not None:
            # Replaces the old process's server: the next successor process connects to this one.
            self._hot_restart_server.start(self._state_directory)
        if self._hot_restart_client is not None:
            self._hot_restart_client.announce_serving()
        return listening

    async def _inherit(self, server: Listener[Any]) -> list[tuple[str, int]] | None:
        """Take over the listening socket and the state once ready; None if there is no answer.

        While discovery does not answer, the old process goes on serving by its list, which is newer than
        the configured one.
        """
        assert self._hot_restart_client is not None
        await self.wait_until_servable()
        try:
            descriptor, documents = await self._hot_restart_client.request_state()
        except OSError as error:
            log.warning("hot restart: no answer (%s); serving beside the old process, if it runs", error)
            self._hot_restart_client = None
            return None
        self.request_ids.abandon(_request_ids_in(documents), self.max_request_time_s())
        try:
            restore(self.decision_module, documents)
            self.known_hosts.add(_host_names_in(documents))
        except StateError as error:  # e.g. from another version: the clients are taken over nevertheless
            log.warning("hot restart: state of the old process ignored: %s", error)
        log.info("hot restart: took over from the process that served here")
        return server.inherit_socket(descriptor)

    def hand_over(self) -> HandOver:
        """Stop accepting and deciding; returns the listening socket and the state for the successor."""
        assert self._server is not None
        self.post(api.TakenOver(True))
        names = self.known_hosts.all()
        known_hosts = [
            {"t": KNOWN_HOSTS_DOCUMENT, "names": names[start : start + MAX_NAMES_PER_DOCUMENT]}
            for start in range(0, len(names), MAX_NAMES_PER_DOCUMENT)
        ]
        ids = [request_id.decode("latin-1") for request_id in self.request_ids.all()]
        open_ids = [
            {"t": OPEN_IDS_DOCUMENT, "ids": ids[start : start + MAX_NAMES_PER_DOCUMENT]}
            for start in range(0, len(ids), MAX_NAMES_PER_DOCUMENT)
        ]
        return HandOver(
            self._server.lend_socket(), chain(export(self.decision_module), known_hosts, open_ids)
        )

    def resume(self) -> None:
        """Serve again, after the successor process ended before it served."""
        assert self._server is not None
        self.post(api.TakenOver(False))
        self._server.take_back_socket()

    def on_successor_serving(self, successor: SuccessorProcess) -> None:
        """Pass the clients' connections to a successor process that accepts connections."""
        assert self._server is not None
        self._server.hand_over_to(successor)

    def on_successor_lost(self) -> None:
        """Stop passing connections to a successor process that served and has ended."""
        assert self._server is not None
        self._server.successor = None

    # Operators' calls

    def metrics_by_name(self) -> dict[str, object]:
        """All metrics by name, as JSON values."""
        open_now = sum(request.client is not None for request in self.requests.values())
        load_balancer = self.decision_module.load_balancer
        by_name = self.metrics.to_dict(
            [c.name for c in self.settings.classes],
            open_now,
            len(load_balancer.hosts),
            load_balancer.skipped_count(),
        )
        by_name["longest_stall_ms"] = round(self.loop_lag.longest_stall_ms)
        by_name["parse_deferrals"] = running_loop_scheduler().deferrals
        by_name["attempt_failures"] = dict(self.request_log.attempt_failures.by_reason)
        by_name["own_answers"] = dict(self.request_log.own_answers.by_reason)
        by_name["client_disconnects"] = self.request_log.disconnects
        by_name["lost_requests"] = self._server.lost_requests if self._server is not None else 0
        by_name["failure_lines_suppressed"] = self.request_log.lines.suppressed
        by_name["closes"] = dict(self._server.closes.by_reason) if self._server is not None else {}
        by_name["resident_bytes"] = resident_bytes()
        by_name["memory"] = {
            "limit": self.memory.limit,
            "used": self.memory.used,
            "peak": self.memory.peak,
            "rejections": self.memory.rejections,
        }
        if self._memory_guard is not None:
            by_name["memory_guard"] = {
                "given_back_bytes": self._memory_guard.given_back_bytes,
                "lowerings": self._memory_guard.lowerings,
                "rejected_bytes": self._memory_guard.rejected_bytes,
            }
        return by_name

    def override_host(self, host: str, disabled: bool) -> str:
        """Disable or enable a host; returns "" once that is in effect, otherwise the reason why not."""
        error_text = rejection_reason(host, disabled, self.known_hosts, self._disabled)
        if error_text:
            return error_text
        try:
            self._override_file.set_disabled(host, disabled)
        except OverrideFileError as error:
            return str(error)
        self._disable_hosts(self._override_file.disabled)
        return ""

    def _poll_override_file(self) -> None:
        """Apply overrides that another process of this gateway accepted, and schedule the next poll."""
        names = self._override_file.refresh()
        if names is not None:
            self._disable_hosts(names)
        self.loop.call_later(OVERRIDE_POLL_INTERVAL_S, self._poll_override_file)

    def _disable_hosts(self, names: set[str]) -> None:
        self.upstreams.set_disabled(frozenset(names))
        for name in names ^ self._disabled:
            self.post(api.HostDisabled(name, name in names))
        self._disabled = set(names)

    # Metrics

    def apply_endpoints(self, response: DiscoveryResponse, kind: ListKind) -> None:
        """Also record the host names, which operators may disable from now on."""
        self.known_hosts.add(endpoint.name for endpoint in response.endpoints)
        super().apply_endpoints(response, kind)

    def answer(
        self,
        request: OpenRequest | None,
        status: int,
        response: Response | None = None,
        retry_after_ms: float = 0.0,
    ) -> None:
        """Also count the response."""
        if request is not None and request.client is not None:
            self.metrics.count_answer(request.forward_request.class_name, status)
        super().answer(request, status, response, retry_after_ms)

    def attempt_sent(self, attempt: Attempt) -> None:
        """Count an attempt that has been sent completely."""
        request = self.requests.get(attempt.request_id)
        if request is not None:
            self.metrics.count_attempt(request.forward_request.class_name)


def _request_ids_in(documents: Iterable[dict[str, Any]]) -> Iterator[bytes]:
    """The client request ids in the documents of a hot restart."""
    for document in documents:
        if document.get("t") == OPEN_IDS_DOCUMENT and isinstance(document.get("ids"), list):
            for request_id in document["ids"]:
                if isinstance(request_id, str):
                    yield request_id.encode("latin-1", "replace")


def _host_names_in(documents: Iterable[dict[str, Any]]) -> Iterator[str]:
    """The host names in the documents of a hot restart."""
    for document in documents:
        if document.get("t") == KNOWN_HOSTS_DOCUMENT and isinstance(document.get("names"), list):
            yield from (name for name in document["names"] if isinstance(name, str))
