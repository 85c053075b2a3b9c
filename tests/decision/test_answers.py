"""Each request gets one final answer in time, whatever happens to its attempts."""

from __future__ import annotations

import dataclasses
import random

import pytest
from conftest import Driver, make_endpoint, of_type, settings

from hillmux import interface as api
from hillmux.decision.gateway import Gateway
from hillmux.interface import NEVER_EXECUTED, AttemptResult, HostStatus, ListKind


@dataclasses.dataclass
class SentAttempt:
    """An attempt that the gateway has sent."""

    host: str
    sent_at: float
    may_have_run: bool = True
    open: bool = True


def count_answers(d: Driver, request_id: str, served: set[str]) -> int:
    finals = sum(1 for _, a in d.log if isinstance(a, api.Reject | api.Fail) and a.request_id == request_id)
    return finals + (request_id in served)


@pytest.mark.parametrize("seed", range(8))
@pytest.mark.parametrize("hedging", [False, True])
def test_random_events_keep_the_rules_on_answers_idempotency_and_draining(seed: int, hedging: bool) -> None:
    rng = random.Random(seed)
    d = Driver(servers=6, seed=seed, hedging_allowed=hedging)
    gateway, served, open_attempts = d.gateway, set(), {}
    results = [
        AttemptResult.OK,
        AttemptResult.ERROR,
        AttemptResult.QUEUE_FULL,
        AttemptResult.TIMED_OUT,
        AttemptResult.CONNECT_FAILED,
        AttemptResult.RESET,
    ]
    class_names: dict[str, str] = {}
    attempts: dict[str, list[SentAttempt]] = {}
    status = {f"h{i}": HostStatus.UP for i in range(6)}

    def handle_actions(out: list[api.Action]) -> None:
        for action in out:
            if isinstance(action, api.SendAttempt):
                class_name = class_names[action.request_id]
                earlier = attempts.setdefault(action.request_id, [])
                possible_runs = [attempt for attempt in earlier if attempt.may_have_run]
                assert status[action.host] == HostStatus.UP, "sent to a drained host"
                assert count_answers(d, action.request_id, served) == 0, "sent after the final answer"
                assert action.timeout_ms > 0
                assert hedging or not any(attempt.open for attempt in earlier)
                assert class_name != "pay" or not possible_runs, "unsafe sent twice"
                if class_name == "put" and possible_runs:
                    zone = {f"h{i}": "ab"[i % 2] for i in range(6)}
                    assert all(zone[attempt.host] == zone[action.host] for attempt in possible_runs)
                    assert d.now - possible_runs[0].sent_at < 3000
                earlier.append(SentAttempt(action.host, d.now))
                open_attempts[(action.request_id, len(earlier) - 1)] = d.now + action.timeout_ms
            elif isinstance(action, api.Reject):
                class_name = class_names[action.request_id]
                earlier = attempts.get(action.request_id, [])
                assert class_name == "read" or not any(attempt.may_have_run for attempt in earlier)

    for step in range(700):
        d.now += rng.expovariate(1 / 15)
        if rng.random() < 0.5:
            class_name = rng.choice(["read", "put", "pay"])
            class_names[f"r{d.serial + 1}"] = class_name
            handle_actions(d.request(class_name, left=rng.choice([5, 400, 4000]))[1])
        due = sorted(k for k, t in open_attempts.items() if t <= d.now)
        candidates = due or (sorted(open_attempts) if rng.random() < 0.6 else [])
        if candidates:
            key = candidates[0] if due else rng.choice(candidates)
            del open_attempts[key]
            result = AttemptResult.TIMED_OUT if due else rng.choice(results)
            attempt = attempts[key[0]][key[1]]
            attempt.may_have_run, attempt.open = result not in NEVER_EXECUTED, False
            answered = count_answers(d, key[0], served) > 0
            if result == AttemptResult.OK and not answered:
                served.add(key[0])
            final = answered or result == AttemptResult.OK
            handle_actions(
                d.handle(
                    api.AttemptEnded(key[0], key[1], attempt.host, result, d.now - attempt.sent_at, final)
                )
            )
        if step % 40 == 0:
            name = rng.choice(sorted(status))
            status[name] = rng.choice([HostStatus.UP, HostStatus.DRAINING])
            handle_actions(
                d.handle(
                    api.EndpointList(ListKind.CHANGES, (make_endpoint(int(name[1:]), status=status[name]),))
                )
            )
        handle_actions(d.handle(api.TimerFired("sweep")))
    while open_attempts:
        key = min(open_attempts)
        del open_attempts[key]
        attempt = attempts[key[0]][key[1]]
        attempt.may_have_run, attempt.open = True, False
        handle_actions(
            d.handle(
                api.AttemptEnded(
                    key[0],
                    key[1],
                    attempt.host,
                    AttemptResult.TIMED_OUT,
                    1000,
                    count_answers(d, key[0], served) > 0,
                ),
                1,
            )
        )
    assert all(count_answers(d, request_id, served) == 1 for request_id in class_names)
    assert not gateway.pending


def test_request_that_cannot_be_served_is_rejected_once() -> None:
    d = Driver(servers=0)
    assert len(of_type(d.request()[1], api.Reject)) == 1
    d = Driver()
    assert len(of_type(d.request(cls="unknown")[1], api.Reject)) == 1
    assert len(of_type(d.request(plan="unknown")[1], api.Reject)) == 1
    assert len(of_type(d.request(left=0)[1], api.Reject)) == 1
    assert len(of_type(d.request(left=-5)[1], api.Reject)) == 1


def test_late_and_unknown_events_are_ignored() -> None:
    d = Driver()
    request_id, _ = d.request()
    d.end(request_id)
    assert d.end(request_id) == []
    assert d.handle(api.AttemptEnded("nobody", 0, "h0", AttemptResult.OK, 5, True)) == []
    assert d.handle(api.CounterReply("no.such", AttemptResult.OK, 5)) == []
    assert d.handle(api.TimerFired("of an earlier life")) == []
    assert d.handle(api.ClientDisconnected("nobody")) == []


def test_error_names_the_event_or_the_setting() -> None:
    d = Driver()
    # The first text is raised by the Python source, the second by the compiled module.
    with pytest.raises(TypeError, match="not an event|object expected; got str"):
        d.handle("hello")
    for changes, field in [
        ({"classes": ()}, "classes"),
        ({"gateway_index": 3}, "me"),
        ({"fleet_size": 0}, "fleet_size"),
        ({"plans": (api.Plan("p", rate=-1),)}, "rate"),
    ]:
        with pytest.raises(ValueError, match=field):
            Gateway(settings(**changes), 1)


def test_client_retry_is_rejected_once_its_latency_objective_has_passed() -> None:
    d = Driver()
    for _ in range(50):
        d.end(d.request(left=3900, after=10)[0])
    assert of_type(
        d.request(left=2500)[1], api.Reject
    )  # 1500 ms have passed, the latency objective is 1000 ms
    in_time = of_type(d.request(left=3500)[1], api.SendAttempt)[0]  # 500 ms have passed
    assert in_time.timeout_ms <= 500


def test_clients_that_set_their_own_deadlines_are_not_rejected_as_late() -> None:
    d = Driver()
    rng = random.Random(3)
    for _ in range(200):
        request_id, out = d.request(left=rng.uniform(1000, 4000), after=10)
        assert of_type(out, api.SendAttempt)
        d.end(request_id)


def test_rejection_says_when_to_retry() -> None:
    d = Driver(servers=0)
    (rejected,) = of_type(d.request()[1], api.Reject)
    assert 0 < rejected.retry_after_ms <= 2000
    d = Driver(servers=1, max_attempts=1)
    request_id, _ = d.request()
    (rejected,) = of_type(d.end(request_id, AttemptResult.QUEUE_FULL), api.Reject)
    assert 0 < rejected.retry_after_ms <= 2000
