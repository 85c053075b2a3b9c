"""Events to the decision module, one at a time; the actions that it returns are executed in order."""

from __future__ import annotations

import asyncio
import logging
import time
from collections import deque
from typing import Final

from hillmux import interface as api
from hillmux.decision.gateway import Gateway

log = logging.getLogger(__name__)

# Longer than the turn of the loop in which everything that waited on sockets is read.
ENDPOINTS_POLL_INTERVAL_S: Final = 0.002
ENDPOINTS_WAIT_TIMEOUT_S: Final = 0.25  # for discovery's answer after a stall


class UnixClock:
    """Unix time in milliseconds, which all gateways share, but never set back."""

    def __init__(self) -> None:
        self._offset = time.time() - time.monotonic()

    def now_ms(self) -> float:
        """The time now."""
        return (self._offset + time.monotonic()) * 1000


class EventDispatcher:
    """Owns the decision module and the order of its events. Subclasses execute the actions."""

    def __init__(self, settings: api.Settings, seed: int, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.clock = UnixClock()
        self.decision_module = Gateway(settings, seed)
        self._queued_events: deque[api.Event] = deque()
        self._handling = False  # an event is being handled, or events are held
        self._held_until = 0.0  # by time.monotonic; 0: events are not held

    def post(self, event: api.Event) -> None:
        """Have an event handled after those that were posted before it, also during an action."""
        if self._handling:
            self._queued_events.append(event)
            return
        self._handling = True
        try:
            self.handle(event)
            while self._queued_events:
                self.handle(self._queued_events.popleft())
        finally:
            self._handling = False

    def post_endpoints(self, event: api.EndpointList) -> None:
        """Post news of the hosts, which pass events that are held."""
        if self._held_until:
            self.handle(event)
        else:
            self.post(event)

    def handle(self, event: api.Event) -> None:
        """Handle an event at once."""
        try:
            actions = self.decision_module.handle(self.clock.now_ms(), event)
        except Exception:  # one event that the module fails on must not harm other requests
            self.log_message(logging.ERROR, f"decision module failed on {type(event).__name__}", True)
            self.decision_failed(event)
            return
        for action in actions:
            try:
                if type(action) is api.SendAttempt:
                    self.send_attempt(action)
                else:
                    self.execute(action)
            except Exception:
                self.log_message(logging.ERROR, f"action failed: {type(action).__name__}", True)

    # Events that are held after a stall

    def hold_events(self) -> None:
        """Queue events after a stall of the loop until the news of the hosts has been read.

        After a stall sockets are read in any order, and a watch has brought only the first of several
        changes. A request or an outcome that is decided before the others would go to a host that has been
        draining for long. The price is some milliseconds after such a stall, or ENDPOINTS_WAIT_TIMEOUT_S if
        discovery is silent.
        """
        if not self._handling:
            self._handling, self._held_until = True, time.monotonic() + ENDPOINTS_WAIT_TIMEOUT_S
            self.loop.call_later(ENDPOINTS_POLL_INTERVAL_S, self._release_events)

    def _release_events(self) -> None:
        if self.endpoints_due() and time.monotonic() < self._held_until:
            self.loop.call_later(ENDPOINTS_POLL_INTERVAL_S, self._release_events)
            return
        self._handling, self._held_until = False, 0.0
        if self._queued_events:
            self.post(self._queued_events.popleft())

    def endpoints_due(self) -> bool:
        """Whether discovery still owes an answer that holds all that is known now."""
        return False

    # What a subclass does

    def send_attempt(self, action: api.SendAttempt) -> None:
        """Execute the most frequent action."""
        raise NotImplementedError

    def execute(self, action: api.Action) -> None:
        """Execute any other action."""
        raise NotImplementedError

    def decision_failed(self, event: api.Event) -> None:
        """The decision module raised on an event, and will not come back to it."""
        raise NotImplementedError

    def log_message(self, level: int, text: str, trace: bool = False) -> None:
        """Log a line, with the traceback of the exception that is being handled if `trace`."""
        log.log(level, "%s", text, exc_info=trace)
