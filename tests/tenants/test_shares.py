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
        made.know(name, weight)
    return made


def fill(ledger: Shares, tenant: str) -> int:
    count = 0
    while ledger.take(tenant):
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
    assert ledger.victim("b") == "a"  # 75 held, 50 its own
    assert ledger.victim("a") is None  # it is beyond its own: nobody gives for it
    while (victim := ledger.victim("b")) is not None:
        ledger.give(victim)
        assert ledger.take("b")
    assert ledger.holds("a") == ledger.holds("b") == 50


def test_weights_decide_what_is_whose() -> None:
    ledger = shares(a=3.0, b=1.0)
    ledger.take("a")
    ledger.take("b")
    assert (ledger.entitled("a"), ledger.entitled("b")) == (75, 25)
    ledger.know("b", 3.0)
    assert (ledger.entitled("a"), ledger.entitled("b")) == (50, 50)


def test_what_is_idle_is_lent_and_what_is_held_stays_until_given() -> None:
    ledger = shares(a=1.0, b=1.0, c=1.0)
    for name in "abc":
        ledger.take(name, 10)
    assert ledger.take("a", 40)  # beyond its third
    assert not ledger.take("a", 20)  # into the reserve
    assert ledger.take("b", 20)
    ledger.give("b", 30)
    assert ledger.entitled("a") == 50  # b holds nothing: two are left


def test_a_charge_that_cannot_be_refused_is_held_all_the_same() -> None:
    ledger = shares()
    ledger.charge("a", 130)
    assert ledger.held == 130 and not ledger.take("b")
    assert ledger.victim("b") == "a"
    ledger.give("a", 130)
    assert ledger.held == 0 and ledger.take("b")


def test_nobody_gives_back_more_than_it_holds_nor_goes_while_it_holds() -> None:
    ledger = shares()
    ledger.take("a", 5)
    with pytest.raises(ValueError, match="gives back 6, holds 5.0"):
        ledger.give("a", 6)
    with pytest.raises(ValueError, match="still holds 5.0"):
        ledger.forget("a")
    ledger.know("a", 1.0)
    assert ledger.holds("a") == 5


def test_a_turn_begins_with_nothing_held() -> None:
    ledger = shares()
    ledger.take("a", 60)
    ledger.turn()
    assert ledger.held == ledger.holds("a") == 0
    assert ledger.entitled("b") == 100


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
            within = ledger.within(name, amount)
            if ledger.take(name, amount):
                held[name] += amount
            elif within and ledger.held + amount > whole and any(held[n] for n in NAMES if n != name):
                assert ledger.victim(name, amount) not in (None, name)
        elif step == "charge":
            charged = True
            ledger.charge(name, amount)
            held[name] += amount
        elif step == "give":
            part = min(float(amount), held[name])
            ledger.give(name, part)
            held[name] -= part
        elif step == "weigh":
            ledger.know(name, amount / 4)
        elif step == "turn":
            ledger.turn()
            held, charged = dict.fromkeys(NAMES, 0.0), False
        elif not held[name]:
            ledger.forget(name)
            ledger.know(name, amount / 4)
        assert ledger.held == pytest.approx(sum(held.values()))
        assert charged or ledger.held <= whole + 1e-6
        assert all(ledger.holds(n) == pytest.approx(held[n]) for n in NAMES)
        holders = [n for n in NAMES if held[n]]
        assert sum(ledger.entitled(n) for n in holders) <= whole * (1 + 1e-6)
