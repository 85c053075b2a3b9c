"""The simulator's edge: its wire format, and the adapter that hosts gateways behind it."""
