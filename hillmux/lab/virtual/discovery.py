"""Discovery in virtual time: each gateway's agent gets changes of the endpoint list late, but in order."""

from __future__ import annotations

from collections.abc import Callable

from hillmux import interface as api
from hillmux.interface import HostStatus
from hillmux.lab.random_streams import Stream
from hillmux.lab.virtual.loop import VirtualLoop
from hillmux.lab.virtual.model import START_MS


class SimulatedDiscovery:
    """Endpoint lists of the agents, one for each gateway."""

    def __init__(
        self,
        loop: VirtualLoop,
        stream: Stream,
        gateways: int,
        delay_ms: tuple[float, float],
        on_change: Callable[[int, api.Endpoint], None],
    ) -> None:
        """`on_change` is called with a gateway's number when its agent gets a change."""
        self._loop, self._stream, self._delay_ms, self._on_change = loop, stream, delay_ms, on_change
        self._lists: list[dict[str, api.Endpoint]] = [{} for _ in range(gateways)]
        self._last_delivery_at = [START_MS] * gateways  # of the latest published change, by gateway

    def add(self, endpoint: api.Endpoint) -> None:
        """Add a host to every list without notifying the gateways, for use before the start."""
        for endpoints in self._lists:
            endpoints[endpoint.name] = endpoint

    def endpoints(self, number: int) -> tuple[api.Endpoint, ...]:
        """Return the list that a gateway's agent has now."""
        return tuple(self._lists[number].values())

    def publish(self, endpoint: api.Endpoint) -> None:
        """Send a change to every agent, each with its own random delay, but after all earlier changes."""
        for number, last_at in enumerate(self._last_delivery_at):
            delivery_at = max(last_at, self._loop.now + self._stream.uniform(*self._delay_ms))
            self._last_delivery_at[number] = delivery_at
            self._loop.at(delivery_at, self._deliver, number, endpoint)

    def _deliver(self, number: int, endpoint: api.Endpoint) -> None:
        if endpoint.status == HostStatus.REMOVED:
            self._lists[number].pop(endpoint.name, None)
        else:
            self._lists[number][endpoint.name] = endpoint
        self._on_change(number, endpoint)
