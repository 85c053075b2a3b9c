"""The lab: many gateways between stand-ins, with faults, a record of all that happened, and checks of it."""
