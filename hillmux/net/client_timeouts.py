"""Time-outs for receiving a request from a client and for idle connections."""

from __future__ import annotations

from typing import Final

from hillmux.net.requests import RequestMessage

HEAD_TIMEOUT_S: Final = 2.6  # from the accept or the request's first byte; slow clients need 2 s
BODY_STALL_TIMEOUT_S: Final = 2.4  # without any further byte of the body
BODY_TIMEOUT_S: Final = 5.0  # for the whole body, in addition to its size / MIN_BODY_BYTES_PER_S
MIN_BODY_BYTES_PER_S: Final = 16_384.0
KEEP_ALIVE_TIMEOUT_S: Final = 4.0  # idle time after the last response
FIRST_REQUEST_GRACE_S: Final = 0.4  # while draining, for the first request on a new connection
TIMEOUT_CHECK_INTERVAL_S: Final = 0.25


def is_receiving_too_slowly(message: RequestMessage | None, now: float) -> bool:
    """Whether a request that is incomplete after HEAD_TIMEOUT_S has timed out.

    An incomplete head always has. A body has if it stalls or its rate is below the minimum.

    Args:
        message: The request being received, if any.
        now: The loop's time in seconds.
    """
    if message is None or not message.method:
        return True
    if not message.body_started_at:  # first check of this body, of which some may have arrived
        message.body_started_at = message.last_data_at = message.last_data_at or now
    return (
        now - message.last_data_at > BODY_STALL_TIMEOUT_S
        or now - message.body_started_at > BODY_TIMEOUT_S + message.body_bytes / MIN_BODY_BYTES_PER_S
    )
