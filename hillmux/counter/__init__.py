"""The built-in counter: the platform's add-and-total protocol, in the gateway's process or as a service."""

from hillmux.counter.embedded import EmbeddedCounter
from hillmux.counter.store import Store, StoreFullError

__all__ = ["EmbeddedCounter", "Store", "StoreFullError"]
