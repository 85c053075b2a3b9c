"""Interface to the simulator: its wire format, and the adapter that runs gateways for it."""
