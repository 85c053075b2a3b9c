"""The gateway where a disk lasts: it goes on from its last snapshot, and tells how far it has come back."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from hillmux import interface as api
from hillmux.hot_restart.service import Heir
from hillmux.hot_restart.state_codec import StateError, export, restore
from hillmux.net.clients import Listener
from hillmux.net.config import GatewayConfig
from hillmux.net.managed_gateway import READY_TIMEOUT_S, ManagedGateway
from hillmux.quotas.throttle import SILENT_RATE
from hillmux.recovery.readiness import Phases, View
from hillmux.recovery.retention import BeliefError, worth_leaving
from hillmux.recovery.snapshot_format import digest
from hillmux.recovery.snapshot_service import Snapshots

log = logging.getLogger(__name__)

LOOK_S = 0.25
STALL_MS = 1_000.0  # a pause of the module as long ago as this still counts


class KeptNode(ManagedGateway):
    """An operated node with snapshots and phases."""

    def __init__(self, config: GatewayConfig, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(config, loop)
        keep = config.snapshots
        assert keep is not None
        plans = digest(repr(config.settings.plans).encode())
        self._snapshots = Snapshots(
            Path(keep.directory),
            keep.interval_s,
            config.name,
            keep.fleet,
            plans,
            self._left_behind,
            self.clock.now_ms,
            loop,
        )
        self._born_ms = self.clock.now_ms()
        self._phases = Phases(self._born_ms)
        self._outcomes = 0
        self._looked = time.monotonic()
        self._succeeded = False

    def _left_behind(self, exact: bool) -> Iterator[dict[str, Any]]:
        now, rests = self.clock.now_ms(), self.decision_module.quotas.registry.rests
        return export(
            self.decision_module,
            lambda state: worth_leaving(state.seen_at, rests[state.plan.name], now, exact),
        )

    async def open(self, server: Listener[Any], address: tuple[str, int]) -> list[tuple[str, int]]:
        """As before; what was left by the process before is gone on from, where none hands over."""
        snapshot = self._snapshots.take()
        if snapshot is not None:
            end = self.loop.time() + READY_TIMEOUT_S
            # Only what the list names is taken over, so the list comes first: discovery's, or the kept one.
            while not self.could_serve() and self.loop.time() < end:
                await asyncio.sleep(0.02)
            try:
                restore(self.decision_module, self._snapshots.believed(snapshot, self._born_ms))
                age = (self.clock.now_ms() - snapshot.head.taken_ms) / 1000
                log.info(
                    "snapshots: going on from %s, %.1f s old, %s",
                    snapshot.head.incarnation,
                    age,
                    "exact" if snapshot.head.exact else "a process went on after it",
                )
            except (StateError, BeliefError) as error:
                log.warning("snapshots: left, nothing of it is believed: %s", error)
        listening = await super().open(server, address)
        self._snapshots.start()
        self._watch()
        return listening

    def stop(self) -> None:
        """Also write the last snapshot as exact, unless a successor serves."""
        super().stop()
        if not self._succeeded:
            self._snapshots.seal()

    def gone(self, heir: Heir) -> None:
        """The successor serves: also write no more snapshots, and set the last one aside."""
        self._succeeded = True
        self._snapshots.give_up()
        super().gone(heir)

    # How far it has come back

    def phase(self) -> str:
        """The name of the phase, followed by the causes that keep it from the next one."""
        return self._phases.now.text()

    def figures(self) -> dict[str, object]:
        """All figures, with the phase, its causes, and the seconds until it was full (None: not yet)."""
        phases = self._phases
        took = None if phases.took_ms is None else round(phases.took_ms / 1000, 2)
        return {
            **super().figures(),
            "phase": phases.now.name,
            "phase_causes": list(phases.now.causes),
            "full_after_s": took,
        }

    def _watch(self) -> None:
        now, clock = time.monotonic(), self.clock.now_ms()
        gateway, fleet = self.decision_module, self.decision_module.fleet
        late = now - self._looked > LOOK_S + STALL_MS / 1000
        self._looked = now
        asked = self.settings.counter_available and gateway.quotas.throttle.called_at > self._born_ms
        stalled = late or clock - gateway.context.stalled_at < STALL_MS
        view = View(
            self.ready(),
            self.discovery_answered,
            not asked or gateway.quotas.throttle.answer_rate >= SILENT_RATE,
            self._outcomes,
            gateway.admission.admit_fraction,
            fleet.up,
            fleet.cold,
            fleet.failing,
            stalled,
        )
        if self._phases.look(clock, view):
            log.info("phase: %s", self._phases.now.text())
        self.loop.call_later(LOOK_S, self._watch)

    def post(self, event: api.Event) -> None:
        if isinstance(event, api.AttemptEnded):
            self._outcomes += 1
        super().post(event)
