"""How long a client's request waited on a connection that was not accepted yet.

While there is no capacity, clients wait in the listening socket's backlog. What they send arrives there, and
their time runs. The system knows when the last data arrived (`tcp_info`, tcp(7)).
"""

from __future__ import annotations

import socket
import struct
from typing import Final

MS_PER_S: Final = 1000.0
TCP_INFO: Final = getattr(socket, "TCP_INFO", 0)  # 0 on systems without it
LAST_DATA_RECEIVED_OFFSET: Final = 52  # of tcpi_last_data_recv, in ms
BYTES_RECEIVED_OFFSET: Final = 128  # of tcpi_bytes_received
TCP_INFO_BYTES: Final = 136  # up to and with tcpi_bytes_received


def unread_since_s(sock: socket.socket) -> float:
    """The time in s since the latest input of an unread connection arrived; 0 if none has arrived."""
    if not TCP_INFO:
        return 0.0
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, TCP_INFO, TCP_INFO_BYTES)
    except OSError:  # the connection is lost
        return 0.0
    if len(info) < TCP_INFO_BYTES or not struct.unpack_from("=Q", info, BYTES_RECEIVED_OFFSET)[0]:
        return 0.0
    return float(struct.unpack_from("=I", info, LAST_DATA_RECEIVED_OFFSET)[0]) / MS_PER_S
