"""What gateways hold in leases of a customer's quota while another one refuses it.

A lease is what a gateway has reported to the counter and not used (`hillmux.quotas.lease`). It is looked up
in the modules themselves, since no event tells of it.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from hillmux.interface import RejectReason
from hillmux.lab.virtual.counting import CountingFleet, CountingGateway, Customer

PLAN_NAME: Final = "plan"  # of all customers of `hillmux.lab.virtual.counting`


def leased_units(gateway: CountingGateway, customer: str, window: int) -> float:
    """Units that a gateway has reported in the window of this number, and not used; 0 while a call is out.

    A gateway that is dead holds what it held at its death, until it is started again.
    """
    state = gateway.gateway.quotas.registry.states.get((customer, PLAN_NAME))
    if state is None or state.window != window or state.call_open:
        return 0.0
    return max(state.reported - state.used, 0.0)


def leased_elsewhere(fleet: CountingFleet, refusing: CountingGateway, customer: Customer) -> float:
    """Units of a customer's quota in leases of all gateways but one, in the window that it is in."""
    state = refusing.gateway.quotas.registry.states.get((customer.name, PLAN_NAME))
    if state is None:
        return 0.0
    others = (gateway for gateway in fleet.gateways if gateway is not refusing)
    return sum(leased_units(gateway, customer.name, state.window) for gateway in others)


@dataclass(slots=True)
class StrandedLeases:
    """A watch of refusals by quota (`CountingFleet.refusal_watch`): shares of the burst held elsewhere."""

    fleet: CountingFleet
    rejections: int = 0  # by quota
    total_share: float = 0.0  # bursts, summed over refusals
    max_share: float = 0.0  # bursts, at one refusal

    def record_rejection(self, gateway: CountingGateway, customer: Customer, cause: str) -> None:
        """A gateway has refused a request of a customer."""
        if cause != RejectReason.QUOTA:
            return
        share = leased_elsewhere(self.fleet, gateway, customer) / self.fleet.scenario.burst
        self.rejections += 1
        self.total_share += share
        self.max_share = max(self.max_share, share)
