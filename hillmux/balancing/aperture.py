"""Deterministic aperture: the subset of hosts that a gateway prefers.

Where each of many gateways has little traffic, a gateway prefers a subset of the ready hosts, so that its
connections to them stay open and their latencies stay known. This is the deterministic subsetting of Google's
"Site Reliability Engineering" (2016), chapter 20, on a ring as in Finagle's aperture. All gateways place the
same hosts on one ring, and each aperture begins at its gateway's own position, so that the hosts are spread
evenly over the apertures.
"""

from __future__ import annotations

from itertools import chain
from typing import Final

from hillmux import interface as api
from hillmux.balancing.host import UNAVAILABLE
from hillmux.balancing.host_set import HostSet

# Mean time between requests to a host in the aperture, short enough to keep a connection to it open.
REQUEST_SPACING_MS: Final = 1500.0
MIN_APERTURE: Final = 8  # hosts
APERTURES_PER_HOST: Final = 6  # lower bound, since traffic is uneven across gateways
RESIZE_FACTOR: Final = 1.25  # smallest change of the size that justifies the new connections


class Aperture:
    """The aperture of this gateway, whose size follows the gateway's traffic."""

    __slots__ = ("settings", "size", "requests_since_sweep", "request_rate")

    def __init__(self, settings: api.Settings) -> None:
        self.settings = settings
        self.size = 0  # number of hosts; 0 if the aperture covers all
        self.requests_since_sweep = 0
        self.request_rate = 0.0  # requests per ms, moving average

    def update_rate(self, interval_ms: float) -> None:
        """Add the requests of the last `interval_ms` to the rate."""
        decay = REQUEST_SPACING_MS / (REQUEST_SPACING_MS + interval_ms)
        self.request_rate = decay * self.request_rate + (1 - decay) * self.requests_since_sweep / interval_ms
        self.requests_since_sweep = 0

    def target_size(self, available_count: int) -> int:
        """The number of hosts that traffic keeps in use, or the present size if that is close; 0 for all."""
        target = max(
            MIN_APERTURE,
            APERTURES_PER_HOST * available_count / self.settings.fleet_size,
            REQUEST_SPACING_MS * self.request_rate,
        )
        margin = RESIZE_FACTOR if self.size else RESIZE_FACTOR**2
        size = int(target) if target * margin < available_count else 0
        if self.size and size and 1 / RESIZE_FACTOR < size / self.size < RESIZE_FACTOR:
            return self.size
        return size

    def update_members(self, host_set: HostSet, now: float) -> None:
        """Update which hosts are in the aperture, if its size or the available hosts have changed.

        The aperture begins at this gateway's position on the ring. Positions are indices in the order of
        hosts rather than angles, so that all hosts are in equally many apertures, whatever their names: a
        host in too few would be idle, and one in too many overloaded. As a consequence, a host that is added
        or removed moves the ends of all apertures by one position, and gateways with different lists may
        disagree by as much.
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
