"""How long a client may take to send a request, and how long an idle connection is kept."""

from __future__ import annotations

from typing import Final

from hillmux.net.requests import RequestMessage

HEAD_TIMEOUT_S: Final = 2.6  # from the connection or the first byte on; slow clients need 2 s
BODY_STALL_TIMEOUT_S: Final = 2.4  # without any byte of a body
BODY_TIMEOUT_S: Final = 5.0  # for a whole body, beyond what MIN_BODY_BYTES_PER_S allows for
MIN_BODY_BYTES_PER_S: Final = 16_384.0
KEEP_ALIVE_TIMEOUT_S: Final = 4.0  # after the last answer
FIRST_REQUEST_GRACE_S: Final = 0.4  # a drain leaves a connection without any request yet this long for it
TIMEOUT_CHECK_INTERVAL_S: Final = 0.25


def is_receiving_too_slowly(message: RequestMessage | None, now: float) -> bool:
    """Whether a request that is not complete by the head's time-out has timed out.

    A head has; a body has if it stalls or its rate is below the minimum. `now` is the loop's time in seconds.
    """
    if message is None or not message.method:
        return True
    if not message.body_started_at:  # its head has come since the last check, and perhaps some of its body
        message.body_started_at = message.last_data_at = message.last_data_at or now
    return (
        now - message.last_data_at > BODY_STALL_TIMEOUT_S
        or now - message.body_started_at > BODY_TIMEOUT_S + message.body_bytes / MIN_BODY_BYTES_PER_S
    )
