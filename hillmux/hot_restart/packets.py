"""The packets of a hot restart. Each is a JSON object whose field `t` is its type.

    client -> server   ask          the new process is able to serve, and requests the handover
    server -> client   listener     with the descriptor of the listening socket
    server -> client   documents    the state (`state_codec.py`), one document a packet
    server -> client   end          the state is complete
    client -> server   serving      the new process accepts connections
    server -> client   connection   with the descriptor of a client connection that carries no request

The names are fixed: processes of two versions exchange these packets.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Any

Packet = dict[str, Any]


class PacketKind(StrEnum):
    """The types of packets other than documents."""

    ASK = "ask"
    LISTENER = "listener"
    END = "end"
    SERVING = "serving"
    CONNECTION = "connection"

    def packet(self) -> Packet:
        """Return a packet of this type."""
        return {"t": self.value}
