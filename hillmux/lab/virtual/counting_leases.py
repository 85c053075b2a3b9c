"""Units that gateways hold in leases of a customer's quota while another gateway rejects its requests.

A lease consists of the units that a gateway has reported to the counter and not used yet
(`hillmux.quotas.lease`). It is read from the state of the decision modules, since no event contains it.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from hillmux.interface import RejectReason
from hillmux.lab.virtual.counting import CountingFleet, CountingGateway, Customer

PLAN_NAME: Final = "plan"  # plan of all customers in `hillmux.lab.virtual.counting`


def leased_units(gateway: CountingGateway, customer: str, window: int) -> float:
    """Return the units that a gateway has reported in a window and not used; 0 while a call is in flight.

    Args:
        gateway: A gateway. A killed one still counts, with its units at that time, until it is restarted.
        customer: The customer's name.
        window: The number of the window.
    """
    state = gateway.gateway.quotas.registry.states.get((customer, PLAN_NAME))
    if state is None or state.window != window or state.call_open:
        return 0.0
    return max(state.reported - state.used, 0.0)


def leased_elsewhere(fleet: CountingFleet, rejecting: CountingGateway, customer: Customer) -> float:
    """Return a customer's units leased by gateways other than `rejecting`, in the latter's current window."""
    state = rejecting.gateway.quotas.registry.states.get((customer.name, PLAN_NAME))
    if state is None:
        return 0.0
    others = (gateway for gateway in fleet.gateways if gateway is not rejecting)
    return sum(leased_units(gateway, customer.name, state.window) for gateway in others)


@dataclass(slots=True)
class StrandedLeases:
    """Sums up units leased elsewhere at each rejection by quota (a `CountingFleet.rejection_observer`).

    Shares are relative to the burst of the customer's plan.
    """

    fleet: CountingFleet
    rejections: int = 0  # rejections by quota
    total_share: float = 0.0  # sum over all rejections by quota
    max_share: float = 0.0  # largest share at one rejection

    def record_rejection(self, gateway: CountingGateway, customer: Customer, reason: str) -> None:
        """Record a rejection; rejections for reasons other than the quota are ignored."""
        if reason != RejectReason.QUOTA:
            return
        share = leased_elsewhere(self.fleet, gateway, customer) / self.fleet.scenario.burst
        self.rejections += 1
        self.total_share += share
        self.max_share = max(self.max_share, share)
