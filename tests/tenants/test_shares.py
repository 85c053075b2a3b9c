"""Shares: guaranteed shares, lending of idle capacity, and the choice of an eviction victim."""

from __future__ import annotations

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from hillmux.tenants import Shares

NAMES = "abcd"


def make_shares(capacity: float = 100, **weights: float) -> Shares:
    shares = Shares(capacity)
    for name, weight in (weights or {"a": 1.0, "b": 1.0}).items():
        shares.register(name, weight)
    return shares


def fill(shares: Shares, tenant: str) -> int:
    count = 0
    while shares.acquire(tenant):
        count += 1
    return count


def test_only_holder_borrows_all_but_the_reserve() -> None:
    shares = make_shares()
    assert fill(shares, "a") == 75


def test_only_registered_tenant_may_hold_the_full_capacity() -> None:
    shares = make_shares(a=1.0)
    assert fill(shares, "a") == 100


def test_new_holder_gets_the_reserve_at_once_and_the_rest_from_the_eviction_victim() -> None:
    shares = make_shares()
    fill(shares, "a")
    assert fill(shares, "b") == 25
    assert shares.eviction_victim("b") == "a"  # it holds 75, and 50 is its guaranteed share
    assert shares.eviction_victim("a") is None  # it exceeds its guaranteed share itself
    while (victim := shares.eviction_victim("b")) is not None:
        shares.release(victim)
        assert shares.acquire("b")
    assert shares.held_by("a") == shares.held_by("b") == 50


def test_guaranteed_shares_follow_the_weights() -> None:
    shares = make_shares(a=3.0, b=1.0)
    shares.acquire("a")
    shares.acquire("b")
    assert (shares.guaranteed_share("a"), shares.guaranteed_share("b")) == (75, 25)
    shares.register("b", 3.0)
    assert (shares.guaranteed_share("a"), shares.guaranteed_share("b")) == (50, 50)


def test_idle_capacity_is_lent_and_held_amounts_stay_until_released() -> None:
    shares = make_shares(a=1.0, b=1.0, c=1.0)
    for name in "abc":
        shares.acquire(name, 10)
    assert shares.acquire("a", 40)  # exceeds its guaranteed third
    assert not shares.acquire("a", 20)  # would use the reserve
    assert shares.acquire("b", 20)
    shares.release("b", 30)
    assert shares.guaranteed_share("a") == 50  # b holds nothing, so a and c are the only holders


def test_charge_beyond_the_capacity_is_held() -> None:
    shares = make_shares()
    shares.charge("a", 130)
    assert shares.total_held == 130 and not shares.acquire("b")
    assert shares.eviction_victim("b") == "a"
    shares.release("a", 130)
    assert shares.total_held == 0 and shares.acquire("b")


def test_release_beyond_the_held_amount_and_unregister_while_holding_are_rejected() -> None:
    shares = make_shares()
    shares.acquire("a", 5)
    with pytest.raises(ValueError, match="releases 6, holds 5.0"):
        shares.release("a", 6)
    with pytest.raises(ValueError, match="still holds 5.0"):
        shares.unregister("a")
    shares.register("a", 1.0)
    assert shares.held_by("a") == 5


def test_new_period_starts_with_nothing_held() -> None:
    shares = make_shares()
    shares.acquire("a", 60)
    shares.start_period()
    assert shares.total_held == shares.held_by("a") == 0
    assert shares.guaranteed_share("b") == 100


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["take", "give", "charge", "weigh", "forget", "turn"]),
        st.sampled_from(NAMES),
        st.integers(1, 40),
    ),
    max_size=120,
)


@seed(20261201)
@settings(max_examples=300, deadline=None, derandomize=True, database=None)
@given(STEPS, st.integers(1, 200))
def test_shares_never_exceed_the_capacity_and_a_tenant_within_its_share_has_room_or_a_victim(
    steps: list[tuple[str, str, int]], capacity: int
) -> None:
    shares, held = make_shares(capacity, **dict.fromkeys(NAMES, 1.0)), dict.fromkeys(NAMES, 0.0)
    charged = False
    for step, name, amount in steps:
        if step == "take":
            within = shares.within_guaranteed_share(name, amount)
            if shares.acquire(name, amount):
                held[name] += amount
            elif (
                within and shares.total_held + amount > capacity and any(held[n] for n in NAMES if n != name)
            ):
                assert shares.eviction_victim(name, amount) not in (None, name)
        elif step == "charge":
            charged = True
            shares.charge(name, amount)
            held[name] += amount
        elif step == "give":
            released = min(float(amount), held[name])
            shares.release(name, released)
            held[name] -= released
        elif step == "weigh":
            shares.register(name, amount / 4)
        elif step == "turn":
            shares.start_period()
            held, charged = dict.fromkeys(NAMES, 0.0), False
        elif not held[name]:
            shares.unregister(name)
            shares.register(name, amount / 4)
        assert shares.total_held == pytest.approx(sum(held.values()))
        assert charged or shares.total_held <= capacity + 1e-6
        assert all(shares.held_by(n) == pytest.approx(held[n]) for n in NAMES)
        holders = [n for n in NAMES if held[n]]
        assert sum(shares.guaranteed_share(n) for n in holders) <= capacity * (1 + 1e-6)
