"""Shares: what each tenant may hold, what is lent, and who has to give."""

from __future__ import annotations

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from hillmux.tenants import Shares

NAMES = "abcd"


def shares(whole: float = 100, **weights: float) -> Shares:
    made = Shares(whole)
    for name, weight in (weights or {"a": 1.0, "b": 1.0}).items():
        made.register(name, weight)
    return made


def fill(ledger: Shares, tenant: str) -> int:
    count = 0
    while ledger.acquire(tenant):
        count += 1
    return count


def test_one_that_is_alone_borrows_all_but_the_reserve() -> None:
    ledger = shares()
    assert fill(ledger, "a") == 75


def test_one_that_is_the_only_one_known_has_the_whole() -> None:
    ledger = shares(a=1.0)
    assert fill(ledger, "a") == 100


def test_a_newcomer_finds_the_reserve_at_once_and_the_rest_by_a_victim() -> None:
    ledger = shares()
    fill(ledger, "a")
    assert fill(ledger, "b") == 25
    assert ledger.eviction_victim("b") == "a"  # 75 held, 50 its own
    assert ledger.eviction_victim("a") is None  # it is beyond its own: nobody gives for it
    while (victim := ledger.eviction_victim("b")) is not None:
        ledger.release(victim)
        assert ledger.acquire("b")
    assert ledger.held_by("a") == ledger.held_by("b") == 50


def test_weights_decide_what_is_whose() -> None:
    ledger = shares(a=3.0, b=1.0)
    ledger.acquire("a")
    ledger.acquire("b")
    assert (ledger.guaranteed_share("a"), ledger.guaranteed_share("b")) == (75, 25)
    ledger.register("b", 3.0)
    assert (ledger.guaranteed_share("a"), ledger.guaranteed_share("b")) == (50, 50)


def test_what_is_idle_is_lent_and_what_is_held_stays_until_given() -> None:
    ledger = shares(a=1.0, b=1.0, c=1.0)
    for name in "abc":
        ledger.acquire(name, 10)
    assert ledger.acquire("a", 40)  # beyond its third
    assert not ledger.acquire("a", 20)  # into the reserve
    assert ledger.acquire("b", 20)
    ledger.release("b", 30)
    assert ledger.guaranteed_share("a") == 50  # b holds nothing: two are left


def test_a_charge_that_cannot_be_refused_is_held_all_the_same() -> None:
    ledger = shares()
    ledger.charge("a", 130)
    assert ledger.total_held == 130 and not ledger.acquire("b")
    assert ledger.eviction_victim("b") == "a"
    ledger.release("a", 130)
    assert ledger.total_held == 0 and ledger.acquire("b")


def test_nobody_gives_back_more_than_it_holds_nor_goes_while_it_holds() -> None:
    ledger = shares()
    ledger.acquire("a", 5)
    with pytest.raises(ValueError, match="releases 6, holds 5.0"):
        ledger.release("a", 6)
    with pytest.raises(ValueError, match="still holds 5.0"):
        ledger.unregister("a")
    ledger.register("a", 1.0)
    assert ledger.held_by("a") == 5


def test_a_turn_begins_with_nothing_held() -> None:
    ledger = shares()
    ledger.acquire("a", 60)
    ledger.start_period()
    assert ledger.total_held == ledger.held_by("a") == 0
    assert ledger.guaranteed_share("b") == 100


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
def test_shares_never_sum_above_the_whole_and_a_tenant_within_its_own_has_room_or_a_victim(
    steps: list[tuple[str, str, int]], whole: int
) -> None:
    ledger, held = shares(whole, **dict.fromkeys(NAMES, 1.0)), dict.fromkeys(NAMES, 0.0)
    charged = False
    for step, name, amount in steps:
        if step == "take":
            within = ledger.within_guaranteed_share(name, amount)
            if ledger.acquire(name, amount):
                held[name] += amount
            elif within and ledger.total_held + amount > whole and any(held[n] for n in NAMES if n != name):
                assert ledger.eviction_victim(name, amount) not in (None, name)
        elif step == "charge":
            charged = True
            ledger.charge(name, amount)
            held[name] += amount
        elif step == "give":
            part = min(float(amount), held[name])
            ledger.release(name, part)
            held[name] -= part
        elif step == "weigh":
            ledger.register(name, amount / 4)
        elif step == "turn":
            ledger.start_period()
            held, charged = dict.fromkeys(NAMES, 0.0), False
        elif not held[name]:
            ledger.unregister(name)
            ledger.register(name, amount / 4)
        assert ledger.total_held == pytest.approx(sum(held.values()))
        assert charged or ledger.total_held <= whole + 1e-6
        assert all(ledger.held_by(n) == pytest.approx(held[n]) for n in NAMES)
        holders = [n for n in NAMES if held[n]]
        assert sum(ledger.guaranteed_share(n) for n in holders) <= whole * (1 + 1e-6)
