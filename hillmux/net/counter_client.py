"""The client of the platform's counter: calls are pipelined over a few persistent connections."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Final

from hillmux import interface as api
from hillmux.interface import AttemptResult
from hillmux.net.counter_channel import CounterChannel, PendingCall

CONNECTIONS: Final = 4  # several, since a slow response delays all later ones on the same connection
READ_GRACE_S: Final = 0.001  # one turn of the loop, to read data that arrived before a time-out counts


class HttpCounterClient:
    """Calls the counter; each call results in exactly one `CounterReply`.

    `timeout_ms` is the time-out of a call; `on_reply` receives the result of each call.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: tuple[str, int],
        timeout_ms: float,
        on_reply: Callable[[api.CounterReply], None],
    ) -> None:
        self._loop, self._timeout_s, self._on_reply = loop, timeout_ms / 1000, on_reply
        self._channels = self._new_channels(address)

    def _new_channels(self, address: tuple[str, int]) -> list[CounterChannel]:
        return [CounterChannel(self._loop, address, self._finish) for _ in range(CONNECTIONS)]

    def start(self) -> None:
        """Open the connections before the first call needs one."""
        for channel in self._channels:
            channel.dial()

    def stop(self) -> None:
        """Close all connections."""
        for channel in self._channels:
            channel.stop()

    def change_address(self, address: tuple[str, int]) -> None:
        """Send further calls to another address; calls in flight finish on their old connections."""
        old, self._channels = self._channels, self._new_channels(address)
        self.start()
        for channel in old:
            for call in channel.retire():
                self._assign(call)

    def call(self, action: api.IncrementCounter) -> None:
        """Send one call on the channel with the fewest pending calls.

        If no channel is usable, the call ends at once as `connect_failed`.
        """
        call = PendingCall(action, self._loop.time())
        call.timer = self._loop.call_later(self._timeout_s, self._timeout_due, call)
        self._assign(call)

    def _assign(self, call: PendingCall) -> None:
        usable = [channel for channel in self._channels if channel.usable()]
        if usable:
            min(usable, key=CounterChannel.pending_calls).write(call)
        else:
            self._finish(call, AttemptResult.CONNECT_FAILED, 0.0)

    def _finish(self, call: PendingCall, result: AttemptResult, total: float) -> None:
        """Report a call's result, once."""
        if call.done:
            return
        call.done = True
        if call.timer is not None:
            call.timer.cancel()
        elapsed_ms = (self._loop.time() - call.sent_at) * 1000
        self._on_reply(api.CounterReply(call.request.name, result, total, elapsed_ms))

    # Time-outs

    def _timeout_due(self, call: PendingCall) -> None:
        # After a stall of the loop the response may have arrived but not been read yet.
        call.timer = self._loop.call_later(READ_GRACE_S, self._time_out, call)

    def _time_out(self, call: PendingCall) -> None:
        if call.written and call.channel is not None and self._only_channel_silent(call, call.channel):
            call.channel.abort_calls()
            return
        # The call stays in its channel's queue, so that a late response is not matched to the next call.
        self._finish(call, AttemptResult.TIMED_OUT if call.written else AttemptResult.CONNECT_FAILED, 0.0)

    def _only_channel_silent(self, call: PendingCall, channel: CounterChannel) -> bool:
        """Whether the call's channel is unresponsive while the counter answers on others.

        A network path that drops one connection, or a stuck worker behind a proxy, would otherwise look like
        a counter that does not answer, and quotas would be enforced without it. A slow part of the counter
        affects more than one channel, a silent counter all of them. The cost is a dial after a single late
        call.
        """
        others = [other for other in self._channels if other is not channel]
        late_before = self._loop.time() - self._timeout_s / 2
        return (
            channel.silent_since(call.sent_at)
            and any(not other.silent_since(call.sent_at) for other in others)
            and not any(other.has_call_before(late_before) for other in others)
        )
