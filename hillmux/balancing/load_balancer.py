"""Load balancer: the state of the listed hosts, and the selection of a host for each attempt.

Each available host is in one group of its pool: ready (healthy and warm), warming up, or ejected. Ready hosts
are ranked by load, that is, by open requests and latency ratio over capacity (`load_ranking`). To select one,
a few hosts of the lowest ranks are sampled and scored (`selection`), so the cost of a request does not grow
with the number of hosts.
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
    """Maintains the listed hosts and selects among them.

    The caller sets `now` (ms) before each call; it must never decrease.
    """

    def __init__(self, settings: api.Settings, rng: random.Random) -> None:
        self.now = 0.0
        # Time (ms) at which an operator disabled a host, by the host's name; the host may be unlisted.
        self.disabled_since: dict[str, float] = {}
        self.slow_start = SlowStart(settings, rng)
        self.host_set = HostSet(settings, self.slow_start)
        self.hosts = self.host_set.hosts
        self.outliers = OutlierDetector()
        self.aperture = Aperture(settings)
        self.selector = HostSelector(self.slow_start, rng)

    # Endpoints, operators and settings

    def update_endpoints(self, event: api.EndpointList) -> None:
        """Apply an endpoint list: a full one, or changes to the present one."""
        if event.kind != ListKind.CHANGES:
            listed = {endpoint.name for endpoint in event.endpoints}
            for name in [name for name in self.hosts if name not in listed]:
                self.host_set.remove(name)
        for endpoint in event.endpoints:
            self._update_endpoint(endpoint)
        if event.kind != ListKind.CHANGES:
            self.update_aperture()

    def _update_endpoint(self, endpoint: api.Endpoint) -> None:
        host = self.hosts.get(endpoint.name)
        if endpoint.status == HostStatus.REMOVED:
            if host is not None:
                self.host_set.remove(endpoint.name)
        elif host is None:
            self.host_set.add(endpoint, endpoint.name in self.disabled_since, self.now)
        elif host.endpoint != endpoint:  # most entries of a full list are unchanged
            self.host_set.detach(host)
            host.update(endpoint)
            self.host_set.attach(host, self.now)

    def set_disabled(self, name: str, disabled: bool) -> None:
        """Disable a host on behalf of an operator, or enable it again; its open requests continue."""
        since = self.disabled_since.get(name) if disabled else self.disabled_since.pop(name, None)
        if disabled:
            self.disabled_since.setdefault(name, self.now)
        host = self.hosts.get(name)
        if host is None or host.disabled == disabled:
            return
        self.host_set.move(host, UNAVAILABLE)
        host.disabled = disabled
        if not disabled and since is not None:
            # The host was probably restarted while it was disabled, and the endpoint list reports a start
            # late. Unless the list has reported a start since then, the host warms up from now on, so a host
            # that kept running gets little load at first.
            host.connection_refused = host.started_at_ms < since
            self.record_success(host)
        self.reindex(host)

    def change_settings(self, settings: api.Settings) -> None:
        """Apply new settings, which may change slow start and the key scopes."""
        for host in self.hosts.values():
            self.host_set.move(host, UNAVAILABLE)
        self.slow_start.settings = self.aperture.settings = settings
        self.host_set.locality_scopes = locality_scopes(settings)
        for host in self.hosts.values():
            self.reindex(host)

    # Requests and their outcomes

    def reindex(self, host: Host) -> None:
        """Update the group and rank of a host; must be called after each change of its state."""
        self.host_set.reindex(host, self.now)

    def request_started(self, host: Host, work: float) -> None:
        """Record that a request with `work` (ms of service) is sent to a host."""
        host.open_requests += 1
        if not host.ejections and host.listed:
            self.host_set.open_on_healthy += 1
        self.aperture.requests_since_sweep += 1
        if host.warming_since_ms:
            self.slow_start.record_request(host, work, self.now)
        else:
            self.slow_start.warm_work += work
        self.host_set.reindex(host, self.now)

    def request_ended(self, host: Host) -> None:
        """Record that a request has ended; call `reindex` once its outcome is recorded."""
        host.open_requests -= 1
        if not host.ejections and host.listed:
            self.host_set.open_on_healthy -= 1

    def record_latency_ratio(self, host: Host, ratio: float) -> None:
        """Record an outcome whose latency was `ratio` times the usual latency; call `reindex` afterwards."""
        old_bin = host.latency_bin
        host.record_latency_ratio(ratio)
        if host.latency_bin != old_bin and host.group != UNAVAILABLE:
            self.host_set.latency_ratios.move(old_bin, host.latency_bin)

    def record_success(self, host: Host) -> None:
        """Record that a host responded, which marks it as healthy; call `reindex` afterwards."""
        if host.connection_refused:
            # The host refused connections and now responds, so it was restarted. It warms up from now on,
            # long before the endpoint list reports the start.
            host.warming_since_ms, host.connection_refused = max(host.warming_since_ms, self.now), False
        if host.ejections and host.listed:
            self.host_set.open_on_healthy += host.open_requests
        host.consecutive_failures = host.ejections = 0

    def eject(self, host: Host) -> bool:
        """Eject a host, for longer each time in a row; call `reindex` afterwards.

        Returns:
            False if the host is ejected already and its ejection has not expired; nothing changes then.
        """
        if outliers.is_ejection_active(host, self.now):
            return False
        if not host.ejections and host.listed:
            self.host_set.open_on_healthy -= host.open_requests
        outliers.extend_ejection(host, self.now)
        return True

    def skipped_count(self) -> int:
        """The number of listed hosts that get no requests now: draining, disabled or ejected ones."""
        return sum(
            host.group == UNAVAILABLE or outliers.is_ejection_active(host, self.now)
            for host in self.hosts.values()
        )

    def capacity_share(self, host: Host) -> float:
        """The lower bound of a host's present share of its capacity: 1, or less in slow start."""
        return self.slow_start.capacity_share(host, self.now)

    # Time

    def finish_warm_ups(self) -> None:
        """Move hosts whose slow start has ended to the ready group."""
        host = self.slow_start.pop_warm(self.now)
        while host is not None:
            self.reindex(host)
            host = self.slow_start.pop_warm(self.now)

    def sweep(self, interval_ms: float, decay: float) -> None:
        """Update medians, rates and the aperture; called at regular intervals.

        Args:
            interval_ms: time since the last call.
            decay: the weight, below 1, of the old value in the moving average of the rate of work.
        """
        self.finish_warm_ups()
        host_set, request_count = self.host_set, self.aperture.requests_since_sweep
        self.aperture.update_rate(interval_ms)
        self.update_aperture()
        self.outliers.update(host_set.latency_ratios, host_set.ejected_count, host_set.available_count)
        warm_count = host_set.available_count - host_set.ejected_count - host_set.warming_count
        self.slow_start.update_rate(interval_ms, decay, warm_count, request_count)
        if self.slow_start.needs_compaction(host_set.warming_count):
            self.slow_start.compact(host_set.warming_hosts())

    def update_aperture(self) -> None:
        """Update the aperture if its size or the available hosts have changed."""
        self.aperture.update_members(self.host_set, self.now)

    # Selection

    def select(
        self,
        pool_name: str,
        work: float,
        may_probe: bool,
        tried: list[Host],
        locality_key: tuple[str | int, ...] = (),
    ) -> Host | None:
        """Select the host for an attempt; None if no host can take it.

        Args:
            pool_name: the pool whose hosts serve the request.
            work: the expected service time of the request, in ms.
            may_probe: whether the request may be sent to an ejected host to check whether it has recovered.
            tried: the hosts of the request's earlier attempts.
            locality_key: the zone, or the zone and cell, that a retry with an idempotency key must stay in;
                () if it may go to any.
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
