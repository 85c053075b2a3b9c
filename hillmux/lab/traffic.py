"""Plans the load: customers, and the time and gateway of each first attempt, drawn from a seed.

The plan is the same for every program under test. It is an open loop: drawn in advance and never delayed by
responses, so that a slow gateway cannot lower its own load.
"""

from __future__ import annotations

from dataclasses import dataclass

import numpy as np

from hillmux.lab.random_streams import generator


@dataclass(slots=True, frozen=True)
class PlanTraffic:
    """A plan and its share of the load. Rates are in units per second, bursts in units, for each customer."""

    name: str
    share: float
    rate: float
    burst: float
    worth: float = 1.0
    over_worth: float = 0.0
    over_cost: float = 0.0
    ceiling: float = 0.0  # the ceiling as a multiple of rate and burst; 0: no ceiling
    width: int = 4  # number of gateways that receive a customer's requests


@dataclass(slots=True, frozen=True)
class ClassTraffic:
    """A class and its share of the requests. Work is in milliseconds of one core."""

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
    """Parameters of the load: its rate and length, plans, classes and the spread over customers."""

    per_s: float  # approximate first attempts per second within the quotas
    length_s: float
    plans: tuple[PlanTraffic, ...]
    classes: tuple[ClassTraffic, ...]
    most_units: int = 4  # maximum units of a request
    calm_use: float = 0.35  # mean share of its rate that a typical customer uses
    full: float = 0.15  # share of the customers that use 0.85 to 1.0 of their rate
    heavy: float = 0.1  # share of the customers that request `heavy_x` times their rate
    heavy_x: float = 3.5
    skew: float = 0.6  # spread of a customer's weights over its gateways (sigma of a lognormal)
    busy: float = 0.0  # share of first attempts sent to gateway 0, for customers that use all gateways
    shift_s: float = 15.0  # period after which the weights are redrawn
    work_cv: float = 0.8  # coefficient of variation of a request's work
    guess_cv: float = 0.5  # the same of the actual units (in the response) relative to the units requested
    burst: float = 1.0  # factor of the request rate during the burst
    burst_s: tuple[float, float] = (0.0, 0.0)  # start and end of the burst, in seconds of the run


@dataclass(slots=True, frozen=True)
class Customer:
    """One customer: its plan, its set of gateways (consecutive numbers) and its request rate."""

    name: str
    plan: PlanTraffic
    first_gateway: int
    replicas: int
    units_per_s: float  # units per second that it requests


@dataclass(slots=True)
class PlannedRequest:
    """The planned first attempt of a client's request."""

    at_ms: float
    customer: Customer
    request_class: ClassTraffic
    units: float
    actual_units: float
    work_ms: float
    gateway: int
    client_draw: float  # uniform draw on [0, 1) that decides how the client retries


def plan_customers(model: TrafficModel, gateways: int, seed: int) -> list[Customer]:
    """Draw customers until their requests within their quotas reach `per_s` in total."""
    rng = generator(seed, "customers")
    mean_units = (1 + model.most_units) / 2
    customers: list[Customer] = []
    shares = sum(plan.share for plan in model.plans)
    for plan in model.plans:
        target_units_per_s, units_per_s = model.per_s * mean_units * plan.share / shares, 0.0
        while units_per_s < target_units_per_s:
            usage_draw = rng.random()
            if usage_draw < model.heavy:
                rate_share = model.heavy_x
            elif usage_draw < model.heavy + model.full:
                rate_share = rng.uniform(0.85, 1.0)
            else:
                rate_share = model.calm_use * rng.uniform(0.5, 1.5)
            units_per_s += min(rate_share, 1.0) * plan.rate
            first_gateway = int(rng.integers(gateways))
            replicas = min(plan.width, gateways)
            customers.append(
                Customer(f"{len(customers):016x}", plan, first_gateway, replicas, rate_share * plan.rate)
            )
    return customers


def plan_requests(model: TrafficModel, gateways: int, seed: int) -> list[PlannedRequest]:
    """Draw all first attempts of a run, sorted by time."""
    requests: list[PlannedRequest] = []
    shares = np.array([c.share for c in model.classes])
    for customer in plan_customers(model, gateways, seed):
        rng = generator(seed, f"customer.{customer.name}")
        mean_units = (1 + model.most_units) / 2
        # The requests that the burst adds, in seconds of the usual rate.
        burst_extra_s = (model.burst - 1) * (model.burst_s[1] - model.burst_s[0])
        rate = customer.units_per_s / mean_units
        regular_times = rng.random(int(rng.poisson(rate * model.length_s))) * model.length_s
        burst_times = rng.uniform(*model.burst_s, size=int(rng.poisson(rate * max(burst_extra_s, 0.0))))
        times = np.sort(np.concatenate((regular_times, burst_times)))
        count = len(times)
        class_numbers = rng.choice(len(model.classes), size=count, p=shares / shares.sum())
        units = rng.integers(1, model.most_units + 1, size=count)
        sigma = np.sqrt(np.log1p(model.guess_cv**2))
        actual_units = units * np.exp(sigma * rng.standard_normal(count) - sigma**2 / 2)
        sigma = np.sqrt(np.log1p(model.work_cv**2))
        work_factors = np.exp(sigma * rng.standard_normal(count) - sigma**2 / 2)
        client_draws = rng.random(count)
        periods = int(model.length_s / model.shift_s) + 1
        weights = np.exp(model.skew * rng.standard_normal((periods, customer.replicas)))
        cumulative_weights = np.cumsum(weights / weights.sum(axis=1, keepdims=True), axis=1)
        replica_draws = rng.random(count)
        at_busy_gateway = (
            rng.random(count) < model.busy if model.busy and customer.replicas == gateways else None
        )
        for i in range(count):
            request_class = model.classes[int(class_numbers[i])]
            replica = min(
                int(np.searchsorted(cumulative_weights[int(times[i] / model.shift_s)], replica_draws[i])),
                customer.replicas - 1,
            )
            if at_busy_gateway is not None and at_busy_gateway[i]:
                replica = -customer.first_gateway % gateways
            requests.append(
                PlannedRequest(
                    1000 * float(times[i]),
                    customer,
                    request_class,
                    float(units[i]),
                    min(float(actual_units[i]), 4.0 * model.most_units),
                    request_class.work_ms * float(work_factors[i]),
                    (customer.first_gateway + replica) % gateways,
                    float(client_draws[i]),
                )
            )
    requests.sort(key=lambda request: (request.at_ms, request.customer.name))
    return requests
