"""Numbers and texts that rows of several roles share."""

from __future__ import annotations

from benchmarks.capacity.assumptions import CHANGES_OF_HOSTS_PER_DAY, GATEWAYS_SEEING_A_CUSTOMER
from benchmarks.capacity.size import FULL

DAY_S = 86_400.0
SEEING = int(GATEWAYS_SEEING_A_CUSTOMER.value)
CUSTOMERS_OF_A_GATEWAY = FULL.tenants * SEEING / FULL.gateways
HOST_CHANGES_PER_S = CHANGES_OF_HOSTS_PER_DAY.value / DAY_S
CHANGES_PER_S = FULL.changes_per_day / DAY_S
# Control's part of a core over the time in which a change is to be in force.
START_CPU_MS = FULL.control_cpu_share * FULL.change_in_force_s * 1000
USE = {
    "half": "half of each quota used",
    "ninety": "nine tenths of each quota used",
    "flood": "a flood of 3.5 times the quotas",
    "seen_half": "half of each quota used with bursts of 6 s",
    "seen_ninety": "nine tenths of each quota used with bursts of 6 s",
}
COUNTER = "late reports within the even share, leases (`quotas/`)"
WATCH = "a watch at the agent, changes alone (`net/discovery_watch.py`)"
LIST = "the whole list at a start (`net/discovery_watch.py`)"
RELOAD = "SIGHUP, the whole file read anew (`hosted/`)"
AHEAD = "names split among counters on the control machines, each gateway calling the one that has a name"
