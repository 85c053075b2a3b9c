"""The load balancer against a reference model over random histories."""

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
    names = rng.choice([1, 3, 12, 40])
    balancer = make_balancer(seed=seed, classes=KEYED_CLASSES)
    model, open_on = ReferenceModel(balancer), []

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
        what = rng.random()
        if what < 0.02:
            listed = tuple(random_endpoint(i) for i in range(names) if rng.random() < 0.8)
            balancer.update_endpoints(api.EndpointList(rng.choice([ListKind.FULL, ListKind.CACHED]), listed))
        elif what < 0.08:
            one = random_endpoint(rng.randrange(names))
            if rng.random() < 0.2:
                one = endpoint(int(one.name[1:]), status=HostStatus.REMOVED)
            balancer.update_endpoints(api.EndpointList(ListKind.CHANGES, (one,)))
        elif what < 0.5:
            known = list(balancer.hosts.values())
            tried = rng.sample(known, min(rng.choice([0, 0, 1, 2]), len(known)))
            locality_key = rng.choice([(), (), (), ("z1",), ("z0", 0)])
            model.check_selection(rng.choice(["", "", "other"]), rng.random() < 0.7, tried, locality_key)
            selected = balancer.select("", 5.0, True, [])
            if selected is not None:
                balancer.request_started(selected, 5.0)
                open_on.append(selected)
        elif what < 0.9 and open_on:
            host = open_on.pop(rng.randrange(len(open_on)))  # it may be off the list by now
            balancer.request_ended(host)
            result = rng.random()
            if result < 0.6:
                balancer.record_success(host)
                balancer.record_latency_ratio(host, rng.choice([0.0, 0.5, 1.0, 3.0, 40.0]))
            elif result < 0.8:
                host.connection_refused = rng.random() < 0.5
                balancer.eject(host)
            balancer.reindex(host)
        elif what < 0.97:
            balancer.now += rng.choice([0.0, 1.0, 50.0, 600.0, 3000.0])
            balancer.finish_warm_ups()
        else:
            model.check_sweep()
        model.check()
        assert len(balancer.slow_start.queue) <= 600
