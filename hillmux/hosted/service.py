"""The service: tenants by their registry, each with a core while it has something to do."""

from __future__ import annotations

import asyncio
import logging
import random
import secrets
from collections.abc import Callable
from dataclasses import dataclass, field

from hillmux import interface as api
from hillmux.counter import EmbeddedCounter, Store
from hillmux.hosted.config import ConfigFaultsError, Fault, check_together
from hillmux.hosted.core import TenantCore, TenantCounter
from hillmux.hosted.counts import ScopedCounter, SharedCounter
from hillmux.hosted.hostfiles import HostFiles
from hillmux.hosted.resources import TURN_S, Resources
from hillmux.hosted.stats import Stats
from hillmux.net.discovery_response import DiscoveryResponse
from hillmux.net.loop_lag import LoopLagMonitor
from hillmux.net.requests import RequestRules
from hillmux.tenants import model, router
from hillmux.tenants.addresses import AddressBook
from hillmux.tenants.registry import Change, Registry, changes_between

log = logging.getLogger(__name__)

MOST_NAMES = (
    32_768  # counts of one tenant in the embedded counter: four for each customer the module may know
)
TIDY_S = 1.0


@dataclass(slots=True, frozen=True)
class Prepared:
    """A configuration that was looked over, and what it changes."""

    config: model.ServiceConfig
    before: dict[str, model.Tenant]  # the tenants that it was compared with
    changes: list[Change]
    files: dict[str, set[str]]  # the files of hosts of each tenant


@dataclass(slots=True)
class Slot:
    """What is kept of a tenant whether it is awake or not."""

    tenant: model.Tenant
    born_ms: float  # since when its ceilings have been earning
    core: TenantCore | None = None
    _stats: Stats | None = field(default=None)
    _plans: dict[str, str] | None = field(default=None)
    _request_rules: RequestRules | None = field(default=None)

    @property
    def stats(self) -> Stats:
        """Its counts since it was first asked for."""
        if self._stats is None:
            self._stats = Stats()
        return self._stats

    @property
    def plans(self) -> dict[str, str]:
        """The plan of each partner that is listed."""
        if self._plans is None:
            self._plans = dict(self.tenant.partners)
        return self._plans

    @property
    def request_rules(self) -> RequestRules:
        """What its requests may name."""
        if self._request_rules is None:
            self._request_rules = RequestRules(self.tenant.settings)
        return self._request_rules

    def rest(self) -> None:
        """Keep only what cannot be made anew."""
        self._plans = self._request_rules = None


def _nobody(tenant_id: str) -> None:
    """No front has connections."""


class Service:
    """All tenants of a process."""

    def __init__(
        self, config: model.ServiceConfig, loop: asyncio.AbstractEventLoop, seed: int | None = None
    ) -> None:
        self.config, self._loop = config, loop
        self.resources = Resources(config.limits)
        self.router = router.Router()
        self.draining = False
        self.disown: Callable[[str], None] = _nobody
        self._registry = Registry()
        self._slots: dict[str, Slot] = {}
        self._awake: dict[str, TenantCore] = {}
        self._leaving: set[TenantCore] = set()  # of tenants that were removed, or whose settings changed
        # Counts by tenant, where they are embedded; they outlive removals.
        self._stores: dict[str, Store] = {}
        self._unowned: set[str] = set()  # removed, and their accounts not yet closed
        self._pulse = LoopLagMonitor(loop)
        self._random = random.Random(secrets.randbits(64) if seed is None else seed)
        self._book = AddressBook()
        self._files = HostFiles(loop, self._book, self._hosts_changed)
        self._shared = (
            SharedCounter(loop, config.counter, config.count_wait_ms) if config.counter is not None else None
        )
        self._turn: asyncio.TimerHandle | None = None
        self._tidy: asyncio.TimerHandle | None = None

    # --- Life ---------------------------------------------------------------------------------------------

    def start(self) -> None:
        """Take the configuration in, and begin."""
        self._pulse.start()
        if self._shared is not None:
            self._shared.start()
        self.apply(self.config)
        self._files.start()
        self._next_turn()
        self._tidy_up()

    def stop(self) -> None:
        """Close everything towards hosts and counter."""
        self._pulse.stop()
        self._files.stop()
        for handle in (self._turn, self._tidy):
            if handle is not None:
                handle.cancel()
        for core in (*self._awake.values(), *self._leaving):
            core.close()
        if self._shared is not None:
            self._shared.stop()

    def ready(self) -> bool:
        """Whether requests are taken."""
        return not self.draining

    def drain(self) -> None:
        """Take no new connections for long, and give back what is reserved: the process ends soon."""
        self.draining = True
        for core in (*self._awake.values(), *self._leaving):
            core.return_leases()

    def longest_s(self) -> float:
        """The longest that a request may still take, in seconds."""
        cores = [*self._awake.values(), *self._leaving]
        return max((c.deadline_ms for core in cores for c in core.settings.classes), default=0.0) / 1000

    def fail_all(self) -> None:
        """Answer all that is open as failed."""
        for core in (*self._awake.values(), *self._leaving):
            core.fail_all()

    # --- Tenants ------------------------------------------------------------------------------------------

    def apply(self, config: model.ServiceConfig) -> list[Change]:
        """Go over to other tenants, plans, pools, routes and shares, all or nothing.

        Requests in flight keep what they began with and get their one answer. What cannot change while in
        service (listeners, limits, the counter's place) stays as it is and is told in the log.

        Raises:
            ConfigFaultsError: tenants or routes contradict each other; nothing has changed then.
        """
        return self.carry_out(self.prepare(config, self.tenants()))

    def tenants(self) -> dict[str, model.Tenant]:
        """The tenants that are served, as they are now."""
        return dict(self._registry.tenants)

    @staticmethod
    def prepare(config: model.ServiceConfig, before: dict[str, model.Tenant]) -> Prepared:
        """Look a configuration over and find what has to change: all of the work that grows with the tenants,
        which may be done in another thread. Raises as `apply` does.
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

    def carry_out(self, prepared: Prepared) -> list[Change]:
        """Go over to what was prepared; raises as `apply` does."""
        if prepared.before != self._registry.tenants:  # another change came in between
            prepared = self.prepare(prepared.config, self.tenants())
        config, changes = prepared.config, prepared.changes
        faults = self._taken(prepared)
        if faults:
            raise ConfigFaultsError(faults)
        for change in changes:  # first all that goes: a place is free then for who takes it over
            if change.old is not None and change.new is not None:
                self.router.remove_for_update(change.old)
            elif change.old is not None:
                self.router.remove(change.old)
        for change in changes:
            if change.new is not None:
                self.router.put(change.new)
            self._carry_out(change)
            self._registry.commit(change)
        fixed = ("listeners", "limits", "counter", "count_wait_ms", "state_folder")
        kept = [name for name in fixed if getattr(config, name) != getattr(self.config, name)]
        if kept:
            log.warning("these need a restart, and stay as they are: %s", ", ".join(kept))
        if changes:
            log.info(
                "tenants: %s",
                ", ".join(
                    f"{kind} {sum(c.kind == kind for c in changes)}"
                    for kind in ("added", "changed", "removed")
                ),
            )
        return changes

    def _taken(self, prepared: Prepared) -> list[Fault]:
        """Hosts that a changed tenant lists and another tenant's file holds."""
        files, faults = prepared.files, []
        for tenant in [change.new for change in prepared.changes if change.new is not None]:
            listed = [address for pool in tenant.pools for _, address in pool.addresses]
            for (host, port), (other, path) in self._book.held_by_others(tenant.id, listed).items():
                if path in files.get(other, ()):
                    faults.append(
                        Fault(
                            "",
                            f"tenants ({tenant.id}).pools",
                            f"found {host}:{port}, which {path} lists for tenant {other!r}",
                        )
                    )
        return faults

    def _carry_out(self, change: Change) -> None:
        if change.new is None:
            self._remove(change.id)
            return
        self.resources.register(change.new)
        slot = self._slots.get(change.id)
        if slot is None:
            slot = self._slots[change.id] = Slot(change.new, self.resources.clock.now_ms())
        elif change.needs_new_module:
            # A module's settings are fixed. The new one starts with empty ceilings, as a gateway does that
            # starts anew, so that the two together send on no more than one might have.
            if slot.core is not None:
                self._let_go(slot.core)
                slot.core = None
            slot.born_ms = self.resources.clock.now_ms()
        slot.tenant = change.new
        slot.rest()
        self._book.claim(
            (change.id, ""), [address for pool in change.new.pools for _, address in pool.addresses]
        )
        self._files.watch(change.new)
        if slot.core is not None:
            slot.core.update(change.new, self._listing(change.new))

    def _remove(self, tenant_id: str) -> None:
        slot = self._slots.pop(tenant_id)
        self._files.forget(tenant_id)
        self._book.release((tenant_id, ""))
        if slot.core is not None:
            self._let_go(slot.core)
        elif not any(core.tenant.id == tenant_id for core in self._leaving):
            self._unowned.add(tenant_id)

    def _let_go(self, core: TenantCore) -> None:
        """A core that takes nothing new, and closes with its last request."""
        self._awake.pop(core.tenant.id, None)
        self._leaving.add(core)
        core.leave()

    def _listing(self, tenant: model.Tenant) -> DiscoveryResponse:
        servers: list[api.Endpoint] = []
        addresses: dict[str, model.Address] = {}
        for pool in tenant.pools:
            found = self._files.hosts(tenant.id, pool.name) if pool.hosts_file else None
            servers += found[0] if found is not None else pool.servers
            addresses.update(found[1] if found is not None else pool.addresses)
        return DiscoveryResponse(0, True, tuple(servers), addresses)

    def _hosts_changed(self, tenant_id: str) -> None:
        slot = self._slots.get(tenant_id)
        if slot is not None and slot.core is not None:
            slot.core.update(slot.tenant, self._listing(slot.tenant))

    # --- For the front ------------------------------------------------------------------------------------

    def slot(self, tenant_id: str) -> Slot:
        """A tenant that the router names."""
        return self._slots[tenant_id]

    def core(self, tenant_id: str) -> TenantCore:
        """A tenant's core, made if it has none."""
        slot = self._slots[tenant_id]
        if slot.core is None:
            slot.core = self._awake[tenant_id] = self._make(slot)
        return slot.core

    def make_room(self, tenant_id: str) -> bool:
        """Have the tenant furthest beyond its part of open requests answer one early."""
        victim = self.resources.open.eviction_victim(tenant_id)
        return victim is not None and self.give_way(victim)

    def give_way(self, tenant_id: str) -> bool:
        """Have a tenant, which may be gone by now, answer one request early; whether it did."""
        cores = [
            core
            for core in (self._awake.get(tenant_id), *self._leaving)
            if core is not None and core.tenant.id == tenant_id
        ]
        return any(core.give_way() for core in cores)

    def _room_for_host(self, tenant_id: str) -> bool:
        victim = self.resources.hosts.eviction_victim(tenant_id)
        core = self._awake.get(victim) if victim is not None else None
        return core is not None and (core.drop_idle() or core.give_way())

    def _make(self, slot: Slot) -> TenantCore:
        tenant = slot.tenant
        core = TenantCore(
            tenant,
            self._loop,
            self._pulse,
            self.resources,
            slot.stats,
            self._random.getrandbits(64),
            self._settled,
            self._room_for_host,
        )
        counter: TenantCounter
        if self._shared is not None:
            counter = ScopedCounter(self._shared, model.scope_of(tenant.id), core.post)
        else:
            store = self._stores.setdefault(tenant.id, Store(MOST_NAMES))
            counter = EmbeddedCounter(store, self.resources.clock.now_ms, core.post)
        core.start(slot.born_ms, self._listing(tenant), counter)
        return core

    # --- Rest and end -------------------------------------------------------------------------------------

    def _settled(self, core: TenantCore) -> None:
        """A core that has nothing left to remember, or has closed."""
        if core in self._leaving:
            return  # looked after by the tidying
        slot = self._slots.get(core.tenant.id)
        if slot is None or slot.core is not core or self.draining:
            return
        if not self._emptied(core.tenant.id):
            return  # a count's life is not over
        slot.core = None
        slot.rest()
        self._awake.pop(core.tenant.id, None)
        self._leaving.add(core)
        core.leave()

    def _emptied(self, tenant_id: str) -> bool:
        """Whether no count of a tenant is left; what held them is gone then."""
        store = self._stores.get(tenant_id)
        if store is not None:
            store.sweep(self.resources.clock.now_ms())
            if len(store):
                return False
            del self._stores[tenant_id]
        return True

    def _tidy_up(self) -> None:
        """Give back all that tenants held which have gone, once their last connection has ended."""
        self._tidy = self._loop.call_later(TIDY_S, self._tidy_up)
        if self.resources.lines_left_out:
            log.warning("%d lines of tenants left out", self.resources.lines_left_out)
            self.resources.lines_left_out = 0
        # A tenant that comes back within the life of its counts finds them: removing it gives no allowance.
        for tenant_id in [tenant_id for tenant_id in self._stores if tenant_id not in self._slots]:
            self._emptied(tenant_id)
        for core in [core for core in self._leaving if core.empty()]:
            self._leaving.discard(core)
            tenant_id = core.tenant.id
            if tenant_id not in self._slots:
                self._unowned.add(tenant_id)
        for tenant_id in self._unowned - self._slots.keys():
            if not any(core.tenant.id == tenant_id for core in self._leaving):
                self.disown(tenant_id)
        self._unowned -= {
            tenant_id
            for tenant_id in self._unowned
            if tenant_id in self._slots or self.resources.unregister(tenant_id)
        }

    def _next_turn(self) -> None:
        self._turn = self._loop.call_later(TURN_S, self._next_turn)
        self.resources.loop.start_period()

    def leftovers(self, tenant_id: str) -> list[str]:
        """What is still held of a tenant that was removed; none once all is given back."""
        left = [
            f"core with {core.open_requests()} requests"
            for core in self._leaving
            if core.tenant.id == tenant_id
        ]
        if self.resources.open.is_registered(tenant_id):
            left.append("an account")
        if tenant_id in self._slots or tenant_id in self._awake:
            left.append("a slot")
        return left
