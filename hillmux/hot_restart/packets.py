"""The packets of a hot restart: a JSON object each, whose field `t` says what it is.

    client -> server   ask          the new process could serve: hand over
    server -> client   listener     with the descriptor of the listening socket
    server -> client   documents    the state (`state_codec.py`), one document a packet
    server -> client   end          the state is complete
    client -> server   serving      the new process accepts connections
    server -> client   connection   with the descriptor of a client's connection that carries no request

The names are fixed: processes of two versions exchange these packets.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Any

Packet = dict[str, Any]


class PacketKind(StrEnum):
    """The packets that are no document."""

    ASK = "ask"
    LISTENER = "listener"
    END = "end"
    SERVING = "serving"
    CONNECTION = "connection"

    def packet(self) -> Packet:
        """A packet of this kind."""
        return {"t": self.value}
