"""Numbers and texts shared by the rows of several roles."""

from __future__ import annotations

from benchmarks.capacity.assumptions import GATEWAYS_PER_CUSTOMER, HOST_CHANGES_PER_DAY
from benchmarks.capacity.size import FULL

DAY_S = 86_400.0
REPLICAS = int(GATEWAYS_PER_CUSTOMER.value)
CUSTOMERS_PER_GATEWAY = FULL.tenants * REPLICAS / FULL.gateways
HOST_CHANGES_PER_S = HOST_CHANGES_PER_DAY.value / DAY_S
CONFIG_CHANGES_PER_S = FULL.changes_per_day / DAY_S
# Processor time that the control budget allows within the time for a change to take effect, in ms.
START_CPU_MS = FULL.control_cpu_share * FULL.change_in_force_s * 1000
LOAD_LABELS = {
    "half": "half of each quota used",
    "ninety": "nine tenths of each quota used",
    "flood": "a flood of 3.5 times the quotas",
    "seen_half": "half of each quota used with bursts of 6 s",
    "seen_ninety": "nine tenths of each quota used with bursts of 6 s",
}
COUNTER_MECHANISM = "late reports within the even share, leases (`quotas/`)"
WATCH_MECHANISM = "a watch at the agent, changes alone (`net/discovery_watch.py`)"
LIST_MECHANISM = "the whole list at a start (`net/discovery_watch.py`)"
RELOAD_MECHANISM = "SIGHUP, the whole file read anew (`hosted/`)"
CALL_OWNING_COUNTER = (
    "names split among counters on the control machines, each gateway calling the one that has a name"
)
