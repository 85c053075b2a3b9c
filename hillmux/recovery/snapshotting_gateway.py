"""The platform's gateway with snapshots: restores the last one, and reports its phase of recovery."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from hillmux import interface as api
from hillmux.hot_restart.server import SuccessorProcess
from hillmux.hot_restart.state_codec import StateError, export, restore
from hillmux.net.config import GatewayConfig
from hillmux.net.listener import Listener
from hillmux.net.managed_gateway import ManagedGateway
from hillmux.quotas.throttle import MIN_ANSWER_RATE
from hillmux.recovery.readiness import GatewayCondition, ReadinessTracker
from hillmux.recovery.retention import SnapshotContentError, is_worth_storing
from hillmux.recovery.snapshot_format import Snapshot, SnapshotHeader, digest
from hillmux.recovery.snapshot_service import SnapshotOwner, SnapshotService

log = logging.getLogger(__name__)

READINESS_INTERVAL_S = 0.25
STALL_MEMORY_MS = 1_000.0  # how long after its end a stall is reported as a cause


class SnapshottingGateway(ManagedGateway):
    """A managed gateway that restores and writes snapshots and observes its phase of recovery."""

    def __init__(self, config: GatewayConfig, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(config, loop)
        snapshots = config.snapshots
        assert snapshots is not None
        self._snapshots = SnapshotService(
            Path(snapshots.directory),
            snapshots.interval_s,
            SnapshotOwner(config.name, snapshots.fleet, digest(repr(config.settings.plans).encode())),
            self._export_state,
            self.clock.now_ms,
            loop,
        )
        self._started_at_ms = self.clock.now_ms()
        self._readiness = ReadinessTracker(self._started_at_ms)
        self._outcomes = 0
        self._observed_at = time.monotonic()
        self._successor_serves = False

    def _export_state(self, exact: bool) -> Iterator[dict[str, Any]]:
        now_ms, expiry_ms = self.clock.now_ms(), self.decision_module.quotas.registry.expiry_ms
        return export(
            self.decision_module,
            lambda state: is_worth_storing(state.seen_at, expiry_ms[state.plan.name], now_ms, exact),
        )

    async def open(self, server: Listener[Any], address: tuple[str, int]) -> list[tuple[str, int]]:
        """Extends `open`: restores the snapshot of the previous process before clients are accepted."""
        snapshot = self._snapshots.load_previous()
        if snapshot is not None:
            # Only hosts in the endpoint list are restored, so the list has to be there first.
            await self.wait_until_servable()
            restored = self._restore(snapshot)
        listening = await super().open(server, address)
        if snapshot is not None and restored:
            self._log_restored(snapshot.header)
        self._snapshots.start()
        self._observe()
        return listening

    def _restore(self, snapshot: Snapshot) -> bool:
        """Restore what may be restored; returns False if the documents are malformed."""
        try:
            restore(self.decision_module, self._snapshots.retained(snapshot, self._started_at_ms))
        except (StateError, SnapshotContentError) as error:
            log.warning("snapshots: unusable, nothing restored: %s", error)
            self._snapshots.quarantine_previous()
            return False
        return True

    def _log_restored(self, header: SnapshotHeader) -> None:
        log.info(
            "snapshots: restored the state of process %s, %.1f s old, %s",
            header.incarnation,
            (self.clock.now_ms() - header.taken_ms) / 1000,
            "exact" if header.exact else "not exact",
        )

    def stop(self) -> None:
        """Extends `stop`: writes the final snapshot, unless a successor serves."""
        super().stop()
        if not self._successor_serves:
            self._snapshots.write_final()

    def on_successor_serving(self, successor: SuccessorProcess) -> None:
        """Extends the base method: stops writing snapshots, and quarantines the last one."""
        self._successor_serves = True
        self._snapshots.discard()
        super().on_successor_serving(successor)

    # Readiness

    def phase(self) -> str:
        """The phase of recovery, followed by the causes that keep the gateway from the next one."""
        return self._readiness.current.text()

    def metrics_by_name(self) -> dict[str, object]:
        """All metrics, the phase, its causes, and the duration of the recovery in s, or None."""
        recovery_ms = self._readiness.recovery_ms
        return {
            **super().metrics_by_name(),
            "phase": self._readiness.current.phase,
            "phase_causes": list(self._readiness.current.causes),
            "full_after_s": None if recovery_ms is None else round(recovery_ms / 1000, 2),
        }

    def _observe(self) -> None:
        now, now_ms = time.monotonic(), self.clock.now_ms()
        late = now - self._observed_at > READINESS_INTERVAL_S + STALL_MEMORY_MS / 1000
        self._observed_at = now
        if self._readiness.update(now_ms, self._condition(now_ms, late)):
            log.info("phase: %s", self.phase())
        self.loop.call_later(READINESS_INTERVAL_S, self._observe)

    def _condition(self, now_ms: float, late: bool) -> GatewayCondition:
        """The gateway's current condition; `late`: this observation comes after a stall of the process."""
        gateway, load_balancer, throttle = (
            self.decision_module,
            self.decision_module.load_balancer,
            self.decision_module.quotas.throttle,
        )
        counter_used = self.settings.counter_available and throttle.called_at > self._started_at_ms
        return GatewayCondition(
            ready=self.ready(),
            discovery_answered=self.discovery_answered,
            counter_answers=not counter_used or throttle.answer_rate >= MIN_ANSWER_RATE,
            outcomes=self._outcomes,
            admit_fraction=gateway.admission.admit_fraction,
            hosts=load_balancer.host_set.available_count,
            warming_hosts=load_balancer.host_set.warming_count,
            ejected_hosts=load_balancer.host_set.ejected_count,
            stalled=late or now_ms - gateway.context.stalled_at < STALL_MEMORY_MS,
        )

    def post(self, event: api.Event) -> None:
        """Extends `post`: counts ended attempts, which readiness depends on."""
        if isinstance(event, api.AttemptEnded):
            self._outcomes += 1
        super().post(event)
