"""A counter of our own: the platform's add-and-total protocol, inside the process or for several gateways."""

from hillmux.counter.embedded import EmbeddedCounter
from hillmux.counter.store import Store, StoreFullError

__all__ = ["EmbeddedCounter", "Store", "StoreFullError"]
