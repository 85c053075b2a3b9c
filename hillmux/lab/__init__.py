"""The lab: runs fleets of gateways between stand-ins with injected faults, and checks the recorded events."""
