"""The state that a gateway keeps for the hosts, and the selection among them.

The decision module calls `load_balancer.LoadBalancer`, which uses the other modules:

    host, host_pool, host_set      one host; the hosts of a pool; all listed hosts and totals over them
    indexed_set, load_ranking      containers; the cost of a selection does not grow with the number of hosts
    latency_histogram, outliers    which hosts are worse than the others, and how long one is ejected
    slow_start                     how much work a host may be sent after its start
    aperture                       the subset of hosts that this gateway prefers where there are many gateways
    selection                      the selection of a host for one attempt

Free of I/O; times are milliseconds on the decision module's clock.
"""
