"""Compares the load balancer with a reference model over random histories of events."""

from __future__ import annotations

import random

import pytest
from balancing.balancers import KEYED_CLASSES, endpoint, make_balancer
from balancing.reference_model import ReferenceModel

from hillmux import interface as api
from hillmux.interface import HostStatus, ListKind


@pytest.mark.parametrize("seed", range(12))
def test_balancer_agrees_with_the_reference_model_over_random_histories(seed: int) -> None:
    rng = random.Random(seed)
    max_hosts = rng.choice([1, 3, 12, 40])
    balancer = make_balancer(seed=seed, classes=KEYED_CLASSES)
    model, open_hosts = ReferenceModel(balancer), []

    def random_endpoint(i: int) -> api.Endpoint:
        return endpoint(
            i,
            zone=f"z{rng.randrange(3)}" if rng.random() < 0.1 else f"z{i % 3}",
            capacity=rng.choice([1.0, 1.0, 1.0, 50.0, 0.001]),
            pool=rng.choice(["", "", "", "other"]),
            status=rng.choice([HostStatus.UP] * 6 + [HostStatus.DRAINING]),
            started_at_ms=rng.choice([0.0, 0.0, balancer.now, balancer.now - 9000]),
        )

    for _ in range(1500):
        step = rng.random()
        if step < 0.02:
            listed = tuple(random_endpoint(i) for i in range(max_hosts) if rng.random() < 0.8)
            balancer.update_endpoints(api.EndpointList(rng.choice([ListKind.FULL, ListKind.CACHED]), listed))
        elif step < 0.08:
            changed = random_endpoint(rng.randrange(max_hosts))
            if rng.random() < 0.2:
                changed = endpoint(int(changed.name[1:]), status=HostStatus.REMOVED)
            balancer.update_endpoints(api.EndpointList(ListKind.CHANGES, (changed,)))
        elif step < 0.5:
            listed_hosts = list(balancer.hosts.values())
            tried = rng.sample(listed_hosts, min(rng.choice([0, 0, 1, 2]), len(listed_hosts)))
            locality_key = rng.choice([(), (), (), ("z1",), ("z0", 0)])
            model.check_selection(rng.choice(["", "", "other"]), rng.random() < 0.7, tried, locality_key)
            selected = balancer.select("", 5.0, True, [])
            if selected is not None:
                balancer.request_started(selected, 5.0)
                open_hosts.append(selected)
        elif step < 0.9 and open_hosts:
            host = open_hosts.pop(rng.randrange(len(open_hosts)))  # it may not be listed any more
            balancer.request_ended(host)
            outcome = rng.random()
            if outcome < 0.6:
                balancer.record_success(host)
                balancer.record_latency_ratio(host, rng.choice([0.0, 0.5, 1.0, 3.0, 40.0]))
            elif outcome < 0.8:
                host.connection_refused = rng.random() < 0.5
                balancer.eject(host)
            balancer.reindex(host)
        elif step < 0.97:
            balancer.now += rng.choice([0.0, 1.0, 50.0, 600.0, 3000.0])
            balancer.finish_warm_ups()
        else:
            model.check_sweep()
        model.check()
        assert len(balancer.slow_start.queue) <= 600
