"""Deterministic aperture: the hosts that one of many gateways prefers.

Where many gateways each see little traffic, a gateway prefers some of its ready hosts, so that connections to
them stay open and their latencies known: the deterministic subsets of Google's "Site Reliability Engineering"
(2016), chapter 20, on a ring as in Finagle's aperture. All gateways lay the same hosts on one ring; each
begins at its own position, so every host is in as many apertures as the next.
"""

from __future__ import annotations

from itertools import chain
from typing import Final

from hillmux import interface as api
from hillmux.balancing.host import UNAVAILABLE
from hillmux.balancing.host_set import HostSet

# A host in the aperture gets a request in this time on average: its connection stays open.
REQUEST_SPACING_MS: Final = 1500.0
MIN_APERTURE: Final = 8  # hosts
APERTURES_PER_HOST: Final = 6  # at least: gateways' traffic is uneven
RESIZE_FACTOR: Final = 1.25  # change of the size that is worth the new connections


class Aperture:
    """The size of this gateway's aperture, by its traffic."""

    __slots__ = ("settings", "size", "requests_since_sweep", "request_rate")

    def __init__(self, settings: api.Settings) -> None:
        self.settings = settings
        self.size = 0  # in hosts; 0: all
        self.requests_since_sweep = 0
        self.request_rate = 0.0  # per ms

    def update_rate(self, span: float) -> None:
        """Take the requests of the last `span` ms into the rate."""
        memory = REQUEST_SPACING_MS / (REQUEST_SPACING_MS + span)
        self.request_rate = memory * self.request_rate + (1 - memory) * self.requests_since_sweep / span
        self.requests_since_sweep = 0

    def target_size(self, available_count: int) -> int:
        """As many hosts as traffic keeps in use; 0 for all, and the present size where it differs little."""
        wanted = max(
            MIN_APERTURE,
            APERTURES_PER_HOST * available_count / self.settings.fleet_size,
            REQUEST_SPACING_MS * self.request_rate,
        )
        margin = RESIZE_FACTOR if self.size else RESIZE_FACTOR**2
        size = int(wanted) if wanted * margin < available_count else 0
        if self.size and size and 1 / RESIZE_FACTOR < size / self.size < RESIZE_FACTOR:
            return self.size
        return size

    def layout(self, host_set: HostSet, now: float) -> None:
        """Lay the aperture on the ring, from this gateway's position on, if its size or its hosts changed.

        Positions are those in the order of hosts, not angles: each host is in as many apertures as the next,
        whatever its name; one in too few would idle, one in too many be flooded. So a host that comes or goes
        moves the ends of all apertures by one, and so far may gateways whose lists differ disagree.
        """
        size = self.target_size(host_set.available_count)
        if size == self.size and not (size and host_set.membership_changed):
            return
        self.size, host_set.aperture_covers_all = size, not size
        host_set.membership_changed = False
        available = (host for host in host_set.hosts.values() if host.group != UNAVAILABLE)
        ring = sorted(available, key=lambda host: host.ring_position)
        first = len(ring) * self.settings.gateway_index // self.settings.fleet_size
        for position, host in enumerate(chain(ring[first:], ring[:first])):
            in_aperture = position < size or not size
            if in_aperture != host.in_aperture:
                host_set.set_in_aperture(host, in_aperture, now)
