"""Who asks, when, and through which gateway: first tries drawn ahead from a seed, the same for every program.

Drawn ahead and never held back by answers (an open loop), so that a slow gateway cannot lower its own load.
"""

from __future__ import annotations

from dataclasses import dataclass

import numpy as np

from hillmux.lab.random_streams import generator


@dataclass(slots=True, frozen=True)
class PlanTraffic:
    """A plan, and its part of the load. Rates in units a second for each customer."""

    name: str
    share: float
    rate: float
    burst: float
    worth: float = 1.0
    over_worth: float = 0.0
    over_cost: float = 0.0
    ceiling: float = 0.0  # times rate and burst; 0: none
    width: int = 4  # gateways that a customer's requests come through


@dataclass(slots=True, frozen=True)
class ClassTraffic:
    """A class, and its part of the requests. Work in milliseconds of one core."""

    name: str
    share: float
    work_ms: float
    aim_ms: float
    deadline_ms: float
    worth: float
    effect: str = "safe"
    window_ms: float = 0.0


@dataclass(slots=True, frozen=True)
class TrafficModel:
    """How many ask how much."""

    per_s: float  # first tries a second that are inside the quotas, roughly
    length_s: float
    plans: tuple[PlanTraffic, ...]
    classes: tuple[ClassTraffic, ...]
    most_units: int = 4
    calm_use: float = 0.35  # of the rate, for most customers
    full: float = 0.15  # part of the customers that use nearly all
    heavy: float = 0.1  # part that ask for `heavy_x` times their rate
    heavy_x: float = 3.5
    skew: float = 0.6  # spread of a customer's weights over its gateways (sigma of a lognormal)
    busy: float = 0.0  # part of the tries of customers with the widest sets that come through gateway 0
    shift_s: float = 15.0  # the weights are drawn anew so often
    work_cv: float = 0.8
    guess_cv: float = 0.5  # of the units that an answer reveals, against the guess
    burst: float = 1.0  # times as much is asked for in the burst
    burst_s: tuple[float, float] = (0.0, 0.0)  # its begin and end


@dataclass(slots=True, frozen=True)
class Customer:
    """One partner."""

    name: str
    plan: PlanTraffic
    first_gateway: int
    replicas: int
    units_per_s: float  # units a second that it asks for


@dataclass(slots=True)
class PlannedRequest:
    """One first try of a client."""

    at_ms: float
    customer: Customer
    request_class: ClassTraffic
    units: float
    actual_units: float
    work_ms: float
    gateway: int
    client_draw: float  # a uniform draw of the client's own, for what it decides later


def plan_customers(model: TrafficModel, gateways: int, seed: int) -> list[Customer]:
    """Partners enough to ask for `per_s` requests inside their quotas."""
    draw = generator(seed, "customers")
    mean_units = (1 + model.most_units) / 2
    found: list[Customer] = []
    shares = sum(plan.share for plan in model.plans)
    for plan in model.plans:
        wanted, inside = model.per_s * mean_units * plan.share / shares, 0.0
        while inside < wanted:
            luck = draw.random()
            if luck < model.heavy:
                part = model.heavy_x
            elif luck < model.heavy + model.full:
                part = draw.uniform(0.85, 1.0)
            else:
                part = model.calm_use * draw.uniform(0.5, 1.5)
            inside += min(part, 1.0) * plan.rate
            first = int(draw.integers(gateways))
            width = min(plan.width, gateways)
            found.append(Customer(f"{len(found):016x}", plan, first, width, part * plan.rate))
    return found


def plan_requests(model: TrafficModel, gateways: int, seed: int) -> list[PlannedRequest]:
    """All first tries, in the order of their times."""
    found: list[PlannedRequest] = []
    shares = np.array([c.share for c in model.classes])
    for customer in plan_customers(model, gateways, seed):
        draw = generator(seed, f"customer.{customer.name}")
        units_mean = (1 + model.most_units) / 2
        more = (model.burst - 1) * (model.burst_s[1] - model.burst_s[0])  # seconds' worth of requests
        rate = customer.units_per_s / units_mean
        usual = draw.random(int(draw.poisson(rate * model.length_s))) * model.length_s
        extra = draw.uniform(*model.burst_s, size=int(draw.poisson(rate * max(more, 0.0))))
        times = np.sort(np.concatenate((usual, extra)))
        count = len(times)
        classes = draw.choice(len(model.classes), size=count, p=shares / shares.sum())
        units = draw.integers(1, model.most_units + 1, size=count)
        sigma = np.sqrt(np.log1p(model.guess_cv**2))
        true = units * np.exp(sigma * draw.standard_normal(count) - sigma**2 / 2)
        sigma = np.sqrt(np.log1p(model.work_cv**2))
        work = np.exp(sigma * draw.standard_normal(count) - sigma**2 / 2)
        luck = draw.random(count)
        spells = int(model.length_s / model.shift_s) + 1
        weights = np.exp(model.skew * draw.standard_normal((spells, customer.replicas)))
        sums = np.cumsum(weights / weights.sum(axis=1, keepdims=True), axis=1)
        picks = draw.random(count)
        busy = draw.random(count) < model.busy if model.busy and customer.replicas == gateways else None
        for i in range(count):
            cls = model.classes[int(classes[i])]
            at = min(
                int(np.searchsorted(sums[int(times[i] / model.shift_s)], picks[i])), customer.replicas - 1
            )
            if busy is not None and busy[i]:
                at = -customer.first_gateway % gateways
            found.append(
                PlannedRequest(
                    1000 * float(times[i]),
                    customer,
                    cls,
                    float(units[i]),
                    min(float(true[i]), 4.0 * model.most_units),
                    cls.work_ms * float(work[i]),
                    (customer.first_gateway + at) % gateways,
                    float(luck[i]),
                )
            )
    found.sort(key=lambda t: (t.at_ms, t.customer.name))
    return found
