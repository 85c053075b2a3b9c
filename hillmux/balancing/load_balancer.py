"""What a gateway knows of the hosts, and which of them is the best for a request.

Each listed host that is available stands in one group of its pool: ready (healthy and warm), warming, or
ejected. Ready ones are ranked by load: open requests and latency ratio over capacity (`load_ranking`). To
choose, a few hosts of the lowest ranks are drawn and scored (`selection`). So no cost of a request grows with
the number of hosts.
"""

from __future__ import annotations

import random

from hillmux import interface as api
from hillmux.balancing import outliers
from hillmux.balancing.aperture import Aperture
from hillmux.balancing.host import UNAVAILABLE, Host
from hillmux.balancing.host_set import HostSet, locality_scopes
from hillmux.balancing.outliers import OutlierDetector
from hillmux.balancing.selection import HostSelector
from hillmux.balancing.slow_start import SlowStart
from hillmux.interface import HostStatus, ListKind


class LoadBalancer:
    """All listed hosts, and the choice among them.

    `now` (ms) is to be set before each call; it never runs backwards.
    """

    def __init__(self, settings: api.Settings, rng: random.Random) -> None:
        self.now = 0.0
        self.disabled_since: dict[str, float] = {}  # by host, listed or not, that an operator disabled
        self.slow_start = SlowStart(settings, rng)
        self.host_set = HostSet(settings, self.slow_start)
        self.hosts = self.host_set.hosts
        self.outliers = OutlierDetector()
        self.aperture = Aperture(settings)
        self.selector = HostSelector(self.slow_start, rng)

    # Endpoints, operators and settings

    def update_endpoints(self, event: api.EndpointList) -> None:
        """Take over a list of endpoints: a whole one, or changes."""
        if event.kind != ListKind.CHANGES:
            listed = {endpoint.name for endpoint in event.endpoints}
            for name in [name for name in self.hosts if name not in listed]:
                self.host_set.remove(name)
        for endpoint in event.endpoints:
            self._update_endpoint(endpoint)
        if event.kind != ListKind.CHANGES:
            self.layout_aperture()

    def _update_endpoint(self, endpoint: api.Endpoint) -> None:
        host = self.hosts.get(endpoint.name)
        if endpoint.status == HostStatus.REMOVED:
            if host is not None:
                self.host_set.remove(endpoint.name)
        elif host is None:
            self.host_set.add(endpoint, endpoint.name in self.disabled_since, self.now)
        elif host.endpoint != endpoint:  # most of a whole list is known already
            self.host_set.detach(host)
            host.update(endpoint)
            self.host_set.attach(host, self.now)

    def set_disabled(self, name: str, disabled: bool) -> None:
        """Disable a host for an operator, or enable it again. Its open requests go on."""
        since = self.disabled_since.get(name) if disabled else self.disabled_since.pop(name, None)
        if disabled:
            self.disabled_since.setdefault(name, self.now)
        host = self.hosts.get(name)
        if host is None or host.disabled == disabled:
            return
        self.host_set.move(host, UNAVAILABLE)
        host.disabled = disabled
        if not disabled and since is not None:
            # It was most likely restarted meanwhile, of which the list tells late: unless it has told of a
            # start since, the host warms up from now on. One that was left running gets little at first.
            host.connection_refused = host.started_at_ms < since
            self.record_success(host)
        self.reindex(host)

    def change_settings(self, settings: api.Settings) -> None:
        """Go over to new settings: slow start and the scopes of keys may differ."""
        for host in self.hosts.values():
            self.host_set.move(host, UNAVAILABLE)
        self.slow_start.settings = self.aperture.settings = settings
        self.host_set.locality_scopes = locality_scopes(settings)
        for host in self.hosts.values():
            self.reindex(host)

    # Requests and their outcomes

    def reindex(self, host: Host) -> None:
        """Move a host where its state belongs; to be called after each change of it."""
        self.host_set.reindex(host, self.now)

    def request_started(self, host: Host, work: float) -> None:
        """Note that a request with `work` (ms of service) is sent to a host."""
        host.open_requests += 1
        if not host.ejections and host.listed:
            self.host_set.open_on_healthy += 1
        self.aperture.requests_since_sweep += 1
        if host.warming_since_ms:
            self.slow_start.record_work(host, work, self.now)
        else:
            self.slow_start.warm_work += work
        self.host_set.reindex(host, self.now)

    def request_ended(self, host: Host) -> None:
        """Note that a request is over; `reindex` is to follow once its outcome is recorded."""
        host.open_requests -= 1
        if not host.ejections and host.listed:
            self.host_set.open_on_healthy -= 1

    def record_latency_ratio(self, host: Host, ratio: float) -> None:
        """Record an outcome that took so many times the usual latency; `reindex` is to follow."""
        old_bin = host.latency_bin
        host.record_latency_ratio(ratio)
        if host.latency_bin != old_bin and host.group != UNAVAILABLE:
            self.host_set.latency_ratios.move(old_bin, host.latency_bin)

    def record_success(self, host: Host) -> None:
        """Record that a host answered: it is healthy; `reindex` is to follow."""
        if host.connection_refused:
            # It was restarted: it is warming up long before the list says so.
            host.warming_since_ms, host.connection_refused = max(host.warming_since_ms, self.now), False
        if host.ejections and host.listed:
            self.host_set.open_on_healthy += host.open_requests
        host.consecutive_failures = host.ejections = 0

    def eject(self, host: Host) -> bool:
        """Eject a host, longer each time; `reindex` is to follow. False if its ejection lasts already."""
        if outliers.is_resting(host, self.now):
            return False
        if not host.ejections and host.listed:
            self.host_set.open_on_healthy -= host.open_requests
        outliers.extend_ejection(host, self.now)
        return True

    def skipped_count(self) -> int:
        """Listed hosts that get no request now: draining, disabled or ejected ones."""
        return sum(
            host.group == UNAVAILABLE or outliers.is_resting(host, self.now) for host in self.hosts.values()
        )

    def capacity_share(self, host: Host) -> float:
        """The part of its capacity, up to 1, that a host has at least; less than 1 in slow start."""
        return self.slow_start.capacity_share(host, self.now)

    # Time

    def finish_warm_ups(self) -> None:
        """Move hosts whose slow start is over to the ready ones."""
        host = self.slow_start.pop_warm(self.now)
        while host is not None:
            self.reindex(host)
            host = self.slow_start.pop_warm(self.now)

    def sweep(self, span: float, keep: float) -> None:
        """Refresh medians, rates and the aperture, `span` ms after the last time.

        `keep`: the weight of old values in the rate of work.
        """
        self.finish_warm_ups()
        self.aperture.update_rate(span)
        self.layout_aperture()
        host_set = self.host_set
        self.outliers.update(host_set.latency_ratios, host_set.ejected_count, host_set.available_count)
        warm_count = host_set.available_count - host_set.ejected_count - host_set.warming_count
        self.slow_start.update_rate(span, keep, warm_count)
        if self.slow_start.needs_compaction(host_set.warming_count):
            self.slow_start.compact(host_set.warming_hosts())

    def layout_aperture(self) -> None:
        """Lay out the aperture anew if it has to change."""
        self.aperture.layout(self.host_set, self.now)

    # Selection

    def select(
        self,
        pool_name: str,
        work: float,
        may_probe: bool,
        tried: list[Host],
        locality_key: tuple[str | int, ...] = (),
    ) -> Host | None:
        """The host for an attempt with `work` (ms of service), None if there is none.

        Args:
            pool_name: the pool whose hosts serve the request.
            work: expected ms of service.
            may_probe: whether the request may be sent to an ejected host to see if it has recovered.
            tried: hosts that the request was sent to before.
            locality_key: zone, or zone and cell, that a retry with a key must stay in; () for none.
        """
        pool = self.host_set.pools.get(pool_name)
        if pool is None:
            return None
        if self.slow_start.queue:
            self.finish_warm_ups()
        if not locality_key:
            return self.selector.select(pool, work, may_probe, tried, self.now)
        locality = pool.localities.get(locality_key)
        if locality is None:
            return None
        return self.selector.select_in_locality(locality, work, tried, self.now)
