"""What a gateway knows of the hosts, and the choice among them.

`load_balancer.LoadBalancer` is what the decision module calls; each other module holds one part of its work:

    host, host_pool, host_set      one host; the hosts of a pool; all listed hosts and sums over them
    indexed_set, load_ranking      containers: the cost of a choice does not grow with the number of hosts
    latency_histogram, outliers    which hosts are worse than the others, and for how long one is ejected
    slow_start                     how much a host may be sent after its start
    aperture                       the hosts that this gateway prefers, where gateways are many
    selection                      the choice of a host for one attempt

Free of I/O; times in milliseconds on the module's clock.
"""
