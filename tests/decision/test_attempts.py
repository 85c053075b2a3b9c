"""Attempts: idempotency, retry budget, early time-outs, and host health by their results."""

from __future__ import annotations

import pytest
from conftest import Driver, of_type

from hillmux import interface as api
from hillmux.balancing.outliers import BASE_EJECTION_MS
from hillmux.decision import retries
from hillmux.interface import AttemptResult


def test_keyed_retry_stays_in_its_zone_and_within_the_idempotency_window() -> None:
    d = Driver(servers=4)
    d.handle(api.Request("k", "put", "open", "c", 4000.0))
    pending = d.gateway.pending["k"]
    first = pending.attempts[0].host
    host_in_other_zone = [h for h in d.gateway.hosts.values() if h.zone != first.zone][0]
    assert d.gateway.attempts.select_host(pending) is None  # the first attempt is still open
    pending.attempts[0].open, pending.open_attempts = False, 0
    for _ in range(5):  # in this zone, one host was tried and is loaded; the other zone is free
        d.gateway.load_balancer.request_started(first, 0.0)
    selected = {d.gateway.attempts.select_host(pending) for _ in range(30)}
    assert host_in_other_zone not in selected and {h.zone for h in selected} == {first.zone}
    d.gateway.context.now += 3000
    assert d.gateway.attempts.select_host(pending) is None


def test_host_that_refused_connections_counts_as_warming_up() -> None:
    d = Driver(servers=1)
    request_id, _ = d.request()
    d.end(request_id, AttemptResult.CONNECT_FAILED)
    request_id, out = d.request(after=600)
    assert of_type(out, api.SendAttempt)
    d.end(request_id)
    host = d.gateway.hosts["h0"]
    assert d.gateway.load_balancer.capacity_share(host) < 0.3


@pytest.mark.parametrize(
    ("result", "times", "ejected"),
    [
        (AttemptResult.RESET, 2, False),
        (AttemptResult.RESET, 3, True),
        (AttemptResult.INCOMPLETE_REQUEST, 2, False),
        (AttemptResult.INCOMPLETE_REQUEST, 3, True),
        (AttemptResult.CONNECT_FAILED, 1, True),
        (AttemptResult.STALE_CONNECTION, 9, False),
        (AttemptResult.MALFORMED_RESPONSE, 9, False),
        (AttemptResult.LOCAL_LIMIT, 9, False),
    ],
)
def test_host_is_ejected_only_by_results_that_show_its_failure(
    result: str, times: int, ejected: bool
) -> None:
    """Single resets, stale connections, malformed responses and limits of this gateway eject no host."""
    d = Driver(servers=1, max_attempts=1)
    for _ in range(times):
        request_id, out = d.request()
        assert of_type(out, api.SendAttempt)
        d.end(request_id, result)
    host = d.gateway.hosts["h0"]
    assert (host.connection_refused, host.ejections > 0) == (result == AttemptResult.CONNECT_FAILED, ejected)
    assert host.open_requests == 0 and d.gateway.occupancy.smoothed == 0


def test_local_limit_is_answered_without_a_retry() -> None:
    d = Driver(servers=4)
    request_id, _ = d.request()
    out = d.end(request_id, AttemptResult.LOCAL_LIMIT)
    assert of_type(out, api.Reject) and not of_type(out, api.SendAttempt)


def test_ejected_host_is_used_again_after_its_backoff() -> None:
    d = Driver(servers=4)
    d.sweep()
    host = d.gateway.hosts["h0"]
    d.gateway.load_balancer.eject(host)
    d.gateway.load_balancer.reindex(host)
    used_hosts = {of_type(d.request(after=1)[1], api.SendAttempt)[0].host for _ in range(20)}
    assert "h0" not in used_hosts
    assert of_type(d.request(after=BASE_EJECTION_MS)[1], api.SendAttempt)[0].host == "h0"


def test_retries_stay_within_their_budget() -> None:
    d = Driver(servers=4)
    sends = 0
    for _ in range(300):
        request_id, out = d.request(after=50)
        sends += len(of_type(out, api.SendAttempt))
        for _ in range(4):
            if request_id not in d.gateway.pending:
                break
            sends += len(of_type(d.end(request_id, AttemptResult.QUEUE_FULL), api.SendAttempt))
    assert sends <= 300 * (1 + retries.RETRY_RATIO) + retries.MAX_RETRY_BALANCE + 1


def test_attempt_times_out_early_only_while_responses_get_lost_and_a_retry_is_allowed() -> None:
    d = Driver(servers=8)

    def first_timeout(request_class: str) -> float:
        request_id, out = d.request(request_class, after=100)
        timeout = of_type(out, api.SendAttempt)[0].timeout_ms
        d.end(request_id, took=50)
        return timeout

    assert first_timeout("read") > 900
    for _ in range(4):
        request_id, _ = d.request("pay", after=100)
        d.end(request_id, AttemptResult.TIMED_OUT, took=990)
    assert first_timeout("read") < 600
    assert first_timeout("put") < 600
    assert first_timeout("pay") > 900
    for _ in range(60):
        first_timeout("read")
    assert first_timeout("read") > 900
