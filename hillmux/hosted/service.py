"""The service: all tenants of a process, each with a core while it is active."""

from __future__ import annotations

import asyncio
import logging
import random
import secrets
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from hillmux import interface as api
from hillmux.counter import EmbeddedCounter, Store
from hillmux.hosted.config import ConfigFaultsError, Fault, check_together
from hillmux.hosted.core import TenantCore, TenantCounter
from hillmux.hosted.counts import ScopedCounter, SharedCounter
from hillmux.hosted.hostfiles import HostFiles
from hillmux.hosted.resources import LOOP_TIME_PERIOD_S, Resources
from hillmux.hosted.stats import Stats
from hillmux.net.discovery_response import DiscoveryResponse
from hillmux.net.loop_lag import LoopLagMonitor
from hillmux.net.requests import RequestRules
from hillmux.tenants import model, router
from hillmux.tenants.addresses import AddressBook
from hillmux.tenants.registry import Change, Registry, changes_between

log = logging.getLogger(__name__)

# Limit of the embedded counter per tenant: four counts for each customer that the module may track.
MAX_COUNTS_PER_TENANT = 32_768
CLEANUP_INTERVAL_S = 1.0  # between releases of what removed tenants still hold


@dataclass(slots=True, frozen=True)
class Prepared:
    """A validated configuration, with the changes that it makes."""

    config: model.ServiceConfig
    before: dict[str, model.Tenant]  # the tenants that the configuration was compared with
    changes: list[Change]
    files: dict[str, set[str]]  # hosts files by tenant


@dataclass(slots=True)
class TenantRecord:
    """The state of a tenant that is kept whether it has a core or not."""

    tenant: model.Tenant
    created_ms: float  # time from which the ceilings of its decision module accrue allowance
    core: TenantCore | None = None
    _stats: Stats | None = field(default=None)
    _plans: dict[str, str] | None = field(default=None)
    _request_rules: RequestRules | None = field(default=None)

    @property
    def stats(self) -> Stats:
        """The tenant's statistics since its first request."""
        if self._stats is None:
            self._stats = Stats()
        return self._stats

    @property
    def plans(self) -> dict[str, str]:
        """The plan of each configured partner."""
        if self._plans is None:
            self._plans = dict(self.tenant.partners)
        return self._plans

    @property
    def request_rules(self) -> RequestRules:
        """The rules for requests under the tenant's settings."""
        if self._request_rules is None:
            self._request_rules = RequestRules(self.tenant.settings)
        return self._request_rules

    def discard_derived(self) -> None:
        """Discard what can be derived from the configuration."""
        self._plans = self._request_rules = None


def _ignore_removal(tenant_id: str) -> None:
    """Used until a listener is attached: no connections refer to the tenant."""


class Service:
    """All tenants of a process."""

    def __init__(
        self, config: model.ServiceConfig, loop: asyncio.AbstractEventLoop, seed: int | None = None
    ) -> None:
        self.config, self._loop = config, loop
        self.resources = Resources(config.limits)
        self.router = router.Router()
        self.draining = False
        self.on_tenant_removed: Callable[[str], None] = _ignore_removal
        self._registry = Registry()
        self._records: dict[str, TenantRecord] = {}
        self._cores: dict[str, TenantCore] = {}
        # Cores that get no new requests: of tenants that were removed, idle, or whose settings changed.
        self._closing: set[TenantCore] = set()
        self._stores: dict[str, Store] = {}  # embedded counters by tenant, kept when the tenant is removed
        self._removed_ids: set[str] = set()  # removed tenants that are still registered in `resources`
        self._loop_lag = LoopLagMonitor(loop)
        self._random = random.Random(secrets.randbits(64) if seed is None else seed)
        self._address_book = AddressBook()
        self._files = HostFiles(loop, self._address_book, self._hosts_changed)
        self._shared_counter = (
            SharedCounter(loop, config.counter, config.count_wait_ms) if config.counter is not None else None
        )
        self._period_timer: asyncio.TimerHandle | None = None
        self._cleanup_timer: asyncio.TimerHandle | None = None

    # --- Lifecycle ----------------------------------------------------------------------------------------

    def start(self) -> None:
        """Apply the configuration and start the timers."""
        self._loop_lag.start()
        if self._shared_counter is not None:
            self._shared_counter.start()
        self.apply(self.config)
        self._files.start()
        self._start_period()
        self._clean_up()

    def stop(self) -> None:
        """Stop the timers, and close the connections to hosts and counter."""
        self._loop_lag.stop()
        self._files.stop()
        for handle in (self._period_timer, self._cleanup_timer):
            if handle is not None:
                handle.cancel()
        for core in (*self._cores.values(), *self._closing):
            core.close()
        if self._shared_counter is not None:
            self._shared_counter.stop()

    def ready(self) -> bool:
        """Whether the service accepts requests."""
        return not self.draining

    def drain(self) -> None:
        """Report that the service is not ready, and return reserved quota, since the process ends soon."""
        self.draining = True
        for core in (*self._cores.values(), *self._closing):
            core.return_leases()

    def max_request_time_s(self) -> float:
        """The longest that a request may still take, in seconds."""
        cores = [*self._cores.values(), *self._closing]
        return max((c.deadline_ms for core in cores for c in core.settings.classes), default=0.0) / 1000

    def loop_lag_ms(self) -> float:
        """How long data that is read now may have waited for the event loop, in milliseconds."""
        return self._loop_lag.lag_ms(time.monotonic())

    def fail_all(self) -> None:
        """Answer all open requests as failed."""
        for core in (*self._cores.values(), *self._closing):
            core.fail_all()

    # --- Tenants ------------------------------------------------------------------------------------------

    def apply(self, config: model.ServiceConfig) -> list[Change]:
        """Apply a configuration's tenants, plans, pools, routes and shares, all or nothing.

        Requests in flight are completed under the configuration that they began with. Settings that can't
        change at run time (listeners, limits, the counter's address) are kept, and a warning names them.

        Raises:
            ConfigFaultsError: tenants or routes conflict; nothing has changed.
        """
        return self.apply_prepared(self.prepare(config, self.tenants()))

    def tenants(self) -> dict[str, model.Tenant]:
        """A copy of the tenants that are being served, by id."""
        return dict(self._registry.tenants)

    @staticmethod
    def prepare(config: model.ServiceConfig, before: dict[str, model.Tenant]) -> Prepared:
        """Validate a configuration and determine its changes.

        This is all of the work that grows with the number of tenants; it may run in another thread.

        Raises:
            ConfigFaultsError: tenants or routes conflict.
        """
        faults = [Fault("", "tenants", text) for text in check_together(config.tenants)]
        faults += [
            Fault("", f"tenants ({tenant.id}).routes", text)
            for tenant in config.tenants
            for text in router.check_routes(tenant)
        ]
        if faults:
            raise ConfigFaultsError(faults)
        files = {
            tenant.id: {pool.hosts_file for pool in tenant.pools if pool.hosts_file}
            for tenant in config.tenants
        }
        return Prepared(config, before, changes_between(before, config.tenants), files)

    def apply_prepared(self, prepared: Prepared) -> list[Change]:
        """Apply a prepared configuration, all or nothing.

        Raises:
            ConfigFaultsError: tenants or routes conflict; nothing has changed.
        """
        if prepared.before != self._registry.tenants:  # another change was applied in the meantime
            prepared = self.prepare(prepared.config, self.tenants())
        config, changes = prepared.config, prepared.changes
        faults = self._host_conflicts(prepared)
        if faults:
            raise ConfigFaultsError(faults)
        for change in changes:  # removals first, so that a host name and prefix can pass to another tenant
            if change.old is not None and change.new is not None:
                self.router.remove_for_update(change.old)
            elif change.old is not None:
                self.router.remove(change.old)
        for change in changes:
            if change.new is not None:
                self.router.put(change.new)
            self._apply_change(change)
            self._registry.commit(change)
        restart_only = ("listeners", "limits", "counter", "count_wait_ms", "state_folder")
        unchanged = [name for name in restart_only if getattr(config, name) != getattr(self.config, name)]
        if unchanged:
            log.warning("changed settings ignored until a restart: %s", ", ".join(unchanged))
        if changes:
            log.info(
                "tenants: %s",
                ", ".join(
                    f"{kind} {sum(c.kind == kind for c in changes)}"
                    for kind in ("added", "changed", "removed")
                ),
            )
        return changes

    def _host_conflicts(self, prepared: Prepared) -> list[Fault]:
        """Errors for hosts that a changed tenant lists while another tenant's hosts file does too."""
        files, faults = prepared.files, []
        for tenant in [change.new for change in prepared.changes if change.new is not None]:
            listed = [address for pool in tenant.pools for _, address in pool.addresses]
            for (host, port), (other, path) in self._address_book.held_by_others(tenant.id, listed).items():
                if path in files.get(other, ()):
                    faults.append(
                        Fault(
                            "",
                            f"tenants ({tenant.id}).pools",
                            f"found {host}:{port}, which {path} lists for tenant {other!r}",
                        )
                    )
        return faults

    def _apply_change(self, change: Change) -> None:
        if change.new is None:
            self._remove(change.id)
            return
        self.resources.register(change.new)
        record = self._records.get(change.id)
        if record is None:
            record = self._records[change.id] = TenantRecord(change.new, self.resources.clock.now_ms())
        elif change.needs_new_module:
            # A module's settings can't change. The new module starts with empty ceilings, like that of a
            # restarted gateway, so that the old and the new one together forward no more than one alone could
            # have.
            if record.core is not None:
                self._close_core(record.core)
                record.core = None
            record.created_ms = self.resources.clock.now_ms()
        record.tenant = change.new
        record.discard_derived()
        self._address_book.claim(
            (change.id, ""), [address for pool in change.new.pools for _, address in pool.addresses]
        )
        self._files.watch(change.new)
        if record.core is not None:
            record.core.update(change.new, self._endpoints(change.new))

    def _remove(self, tenant_id: str) -> None:
        record = self._records.pop(tenant_id)
        self._files.unwatch(tenant_id)
        self._address_book.release((tenant_id, ""))
        if record.core is not None:
            self._close_core(record.core)
        elif not any(core.tenant.id == tenant_id for core in self._closing):
            self._removed_ids.add(tenant_id)

    def _close_core(self, core: TenantCore) -> None:
        """Give a core no new requests, and close it with its last one."""
        self._cores.pop(core.tenant.id, None)
        self._closing.add(core)
        core.begin_closing()

    def _endpoints(self, tenant: model.Tenant) -> DiscoveryResponse:
        servers: list[api.Endpoint] = []
        addresses: dict[str, model.Address] = {}
        for pool in tenant.pools:
            from_file = self._files.hosts(tenant.id, pool.name) if pool.hosts_file else None
            servers += from_file[0] if from_file is not None else pool.servers
            addresses.update(from_file[1] if from_file is not None else pool.addresses)
        return DiscoveryResponse(0, True, tuple(servers), addresses)

    def _hosts_changed(self, tenant_id: str) -> None:
        record = self._records.get(tenant_id)
        if record is not None and record.core is not None:
            record.core.update(record.tenant, self._endpoints(record.tenant))

    # --- For the listener ---------------------------------------------------------------------------------

    def record(self, tenant_id: str) -> TenantRecord:
        """The record of a tenant that is being served."""
        return self._records[tenant_id]

    def core(self, tenant_id: str) -> TenantCore:
        """A tenant's core, created if it has none."""
        record = self._records[tenant_id]
        if record.core is None:
            record.core = self._cores[tenant_id] = self._make_core(record)
        return record.core

    def make_room(self, tenant_id: str) -> bool:
        """Shed a request of the tenant most over its share of open requests; returns whether one was shed."""
        victim = self.resources.open_requests.eviction_victim(tenant_id)
        return victim is not None and self.shed_request(victim)

    def shed_request(self, tenant_id: str) -> bool:
        """Shed a request of a tenant, which may have been removed; returns whether one was shed."""
        cores = [
            core
            for core in (self._cores.get(tenant_id), *self._closing)
            if core is not None and core.tenant.id == tenant_id
        ]
        return any(core.shed_request() for core in cores)

    def _free_host_connection(self, tenant_id: str) -> bool:
        victim = self.resources.hosts.eviction_victim(tenant_id)
        core = self._cores.get(victim) if victim is not None else None
        return core is not None and (core.drop_idle() or core.shed_request())

    def _make_core(self, record: TenantRecord) -> TenantCore:
        tenant = record.tenant
        core = TenantCore(
            tenant,
            self._loop,
            self._loop_lag,
            self.resources,
            record.stats,
            self._random.getrandbits(64),
            self._on_core_finished,
            self._free_host_connection,
        )
        counter: TenantCounter
        if self._shared_counter is not None:
            counter = ScopedCounter(self._shared_counter, model.scope_of(tenant.id), core.post)
        else:
            store = self._stores.setdefault(tenant.id, Store(MAX_COUNTS_PER_TENANT))
            counter = EmbeddedCounter(store, self.resources.clock.now_ms, core.post)
        core.start(record.created_ms, self._endpoints(tenant), counter)
        return core

    # --- Idle and removed tenants -------------------------------------------------------------------------

    def _on_core_finished(self, core: TenantCore) -> None:
        """Discard a core whose module is quiescent, if its embedded counts have expired too."""
        if core in self._closing:
            return  # `_clean_up` handles it
        record = self._records.get(core.tenant.id)
        if record is None or record.core is not core or self.draining:
            return
        if not self._discard_expired_counts(core.tenant.id):
            return  # counts have not expired yet
        record.core = None
        record.discard_derived()
        self._cores.pop(core.tenant.id, None)
        self._closing.add(core)
        core.begin_closing()

    def _discard_expired_counts(self, tenant_id: str) -> bool:
        """Discard a tenant's expired embedded counts; returns whether none are left."""
        store = self._stores.get(tenant_id)
        if store is not None:
            store.sweep(self.resources.clock.now_ms())
            if len(store):
                return False
            del self._stores[tenant_id]
        return True

    def _clean_up(self) -> None:
        """Release the resources of removed tenants whose last connection has closed."""
        self._cleanup_timer = self._loop.call_later(CLEANUP_INTERVAL_S, self._clean_up)
        if self.resources.suppressed_log_lines:
            log.warning("%d log lines of tenants left out", self.resources.suppressed_log_lines)
            self.resources.suppressed_log_lines = 0
        # Counts are kept until they expire: removing and re-adding a tenant must not reset its quotas.
        for tenant_id in [tenant_id for tenant_id in self._stores if tenant_id not in self._records]:
            self._discard_expired_counts(tenant_id)
        for core in [core for core in self._closing if core.is_empty()]:
            self._closing.discard(core)
            tenant_id = core.tenant.id
            if tenant_id not in self._records:
                self._removed_ids.add(tenant_id)
        for tenant_id in self._removed_ids - self._records.keys():
            if not any(core.tenant.id == tenant_id for core in self._closing):
                self.on_tenant_removed(tenant_id)
        self._removed_ids -= {
            tenant_id
            for tenant_id in self._removed_ids
            if tenant_id in self._records or self.resources.unregister(tenant_id)
        }

    def _start_period(self) -> None:
        self._period_timer = self._loop.call_later(LOOP_TIME_PERIOD_S, self._start_period)
        self.resources.loop_time.start_period()

    def remaining_state(self, tenant_id: str) -> list[str]:
        """Descriptions of the state still held for a removed tenant; empty once all is released."""
        remaining = [
            f"core with {core.open_request_count()} requests"
            for core in self._closing
            if core.tenant.id == tenant_id
        ]
        if self.resources.open_requests.is_registered(tenant_id):
            remaining.append("an account")
        if tenant_id in self._records or tenant_id in self._cores:
            remaining.append("a record")
        return remaining
