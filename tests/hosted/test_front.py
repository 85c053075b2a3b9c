"""Routing, validation and responses of the hosted service, as a client sees them."""

from __future__ import annotations

import json

import pytest
from conftest import Seen, on_loop
from fakes.hosted import Hosted, request, serve, status


def test_requests_reach_only_the_hosts_of_their_tenant() -> None:
    async def scenario() -> None:
        async with Hosted("a", "b") as rig:
            # Two tenants, with equal partner names and request ids.
            a_answer = await rig.fetch(request("a", "/api/p1?x=1", X_Request_Id="same"))
            b_answer = await rig.fetch(request("b", "/api/p1", X_Request_Id="same"))
            assert (status(a_answer), a_answer.body, status(b_answer)) == (200, b"ok", 200)
            (seen,) = rig.hosts["a"].seen
            assert seen.line == "GET /api/p1?x=1 HTTP/1.1"
            assert seen.headers["host"] == "a.example"
            assert (seen.headers["x-request-id"], seen.headers["x-partner"], seen.headers["x-class"]) == (
                "same",
                "p1",
                "read",
            )
            assert len(rig.hosts["b"].seen) == 1
            assert [rig.service.record(n).stats.units for n in "ab"] == [1, 1]

    on_loop(scenario)


def test_request_ids_are_unique_per_tenant() -> None:
    async def scenario() -> None:
        async with Hosted("a", "b", behave=lambda seen: None) as rig:
            clients = [await rig.connect() for _ in range(3)]
            for client, tenant in zip(clients, "aba", strict=True):
                client.writer.write(request(tenant, X_Request_Id="same"))
                await client.writer.drain()
                if client is not clients[2]:
                    await rig.wait_until(lambda tenant=tenant: rig.hosts[tenant].seen)
            assert status(await clients[2].read()) == 409
            assert [len(rig.hosts[n].seen) for n in "ab"] == [1, 1]

    on_loop(scenario)


@pytest.mark.parametrize(
    ("data", "wanted"),
    [
        (request(host=""), 400),
        (request(host="a.example\r\nHost: a.example"), 400),
        (request(host="a.example\r\nhost: b.example"), 400),
        (request(host="A.EXAMPLE"), 200),
        (request(host="a.example:8080"), 200),
        (request(host="a.example."), 200),
        (request(host="[::1]"), 404),
        (request(host="a b"), 400),
        (request(host="c.example"), 404),
        (request(target="http://a.example/api/p1", host="b.example"), 200),
        (request(target="http://c.example/api/p1"), 404),
        (request(target="http://a.example/api/p1", host=""), 400),
        (request(target="/api/../api/p1"), 400),
        (request(target="/api/%2e%2E/p1"), 400),
        (request(target="//api/p1"), 400),
        (request(target="/api%2fp1"), 400),
        (request(target="/%61pi/p1"), 200),
        (request(target="/other/p1"), 404),
        (request(method="DELETE", target="/api/p1"), 405),
        (request(method="POST", target="/api/book/p1"), 400),  # the class requires a key
        (request(method="POST", target="/api/book/p1", Idempotency_Key="k"), 200),
        (request(method="POST", target="/api/pay/p1"), 200),
        (request(X_Deadline="soon"), 400),
        (request(X_Deadline="900m", Quota_Info="units=2,spread=1,first=0"), 200),
        (request(Quota_Info="units=0,spread=1,first=0"), 400),
        (request(target="/api/"), 400),  # no partner
        (request(version="1.0", host=""), 404),  # there is no wildcard tenant
        (request(version="1.0"), 200),
    ],
)
def test_host_and_target_have_one_interpretation(data: bytes, wanted: int) -> None:
    async def scenario() -> None:
        async with Hosted("a", "b") as rig:
            answer = await rig.fetch(data)
            assert status(answer) == wanted
            assert not rig.hosts["b"].seen
            assert len(rig.hosts["a"].seen) == (wanted == 200)
            if wanted != 200:
                problem = json.loads(answer.body)
                assert problem["status"] == wanted and problem["detail"]

    on_loop(scenario)


def test_wildcard_tenant_receives_requests_for_unclaimed_hosts() -> None:
    async def scenario() -> None:
        rig = Hosted("a", "any")
        rig.per_tenant = {"any": {"host_names": ["*"]}}
        async with rig:
            assert await rig.status(request(host="c.example")) == 200
            assert await rig.status(request(host="", version="1.0")) == 200
            assert await rig.status(request("a")) == 200
            assert [len(rig.hosts[n].seen) for n in ("a", "any")] == [1, 2]

    on_loop(scenario)


def test_connection_stays_usable_after_404_and_405() -> None:
    async def scenario() -> None:
        async with Hosted("a", "b") as rig:
            client = await rig.connect()
            client.writer.write(
                request("none") + request("a", "/other") + request("a", "/api/p", "PUT") + request("b")
            )
            assert [status(await client.read()) for _ in range(4)] == [404, 404, 405, 200]

    on_loop(scenario)


def test_partner_without_a_plan_is_rejected() -> None:
    async def scenario() -> None:
        rig = Hosted("a", "b")
        rig.per_tenant = {
            "a": {"default_plan": "", "partners": {"p1": {"plan": "small"}}},
            "b": {"partner_header": "X-Partner"},
        }
        async with rig:
            assert await rig.status(request("a", "/api/p1")) == 200
            assert await rig.status(request("a", "/api/p2")) == 404
            assert await rig.status(request("b", "/api/p1")) == 400
            assert await rig.status(request("b", "/api/p1", X_Partner="of b")) == 400
            assert await rig.status(request("b", "/api/p1", X_Partner="p9")) == 200
            assert rig.hosts["b"].seen[0].headers["x-partner"] == "p9"

    on_loop(scenario)


def test_quotas_of_equal_partner_names_are_separate_per_tenant() -> None:
    async def scenario() -> None:
        rig = Hosted("a", "b")
        rig.per_tenant = {name: {"default_plan": "small"} for name in "ab"}
        async with rig:
            rig.service.resources.clock._offset += 3600  # gives both tenants an hour's allowance
            client = await rig.connect()
            statuses: dict[str, list[int]] = {"a": [], "b": []}
            for _ in range(20):
                statuses["a"].append(status(await client.fetch(request("a"))))
            for _ in range(3):
                statuses["b"].append(status(await client.fetch(request("b"))))
            assert set(statuses["a"]) == {200, 429}
            assert statuses["b"] == [200, 200, 200]
            assert rig.service.record("a").stats.refused == {"quota": statuses["a"].count(429)}
            answer = await client.fetch(request("a"))
            assert float(answer.headers["retry-after"]) > 0
            assert json.loads(answer.body)["detail"] == "quota"

    on_loop(scenario)


def test_requests_go_only_to_the_pool_of_their_route() -> None:
    async def scenario() -> None:
        rig = Hosted("a", "b")
        async with rig:
            rig.apply(
                "a",
                a={
                    "pools": {
                        "main": {"hosts": [{"id": "m", "address": f"127.0.0.1:{rig.hosts['a'].port}"}]},
                        "spare": {"hosts": [{"id": "s", "address": f"127.0.0.1:{rig.hosts['b'].port}"}]},
                        "none": {},
                    },
                    "routes": [
                        {"name": "m", "prefix": "/api", "pool": "main", "class": "read"},
                        {"name": "s", "prefix": "/spare", "pool": "spare", "class": "read"},
                        {"name": "n", "prefix": "/none", "pool": "none", "class": "read"},
                    ],
                },
            )
            for path, expected_status in (("/api/p", 200), ("/spare/p", 200), ("/none/p", 503)):
                for _ in range(5):
                    assert await rig.status(request("a", path)) == expected_status
            assert {s.line.split()[1] for s in rig.hosts["a"].seen} == {"/api/p"}
            assert {s.line.split()[1] for s in rig.hosts["b"].seen} == {"/spare/p"}
            assert rig.service.record("a").stats.refused == {"no_host": 5}

    on_loop(scenario)


def test_raising_module_of_one_tenant_affects_no_other() -> None:
    async def scenario() -> None:
        async with Hosted("a", "b") as rig:
            core = rig.service.core("a")
            handle = core.decision_module.handle

            def raising_handle(now: float, event: object) -> object:
                if type(event).__name__ in ("Request", "TimerFired"):
                    raise RuntimeError("broken")
                return handle(now, event)

            core.decision_module.handle = raising_handle
            client = await rig.connect()
            for _ in range(5):
                assert status(await client.fetch(request("a"))) == 500
                assert status(await client.fetch(request("b"))) == 200
            await rig.wait_until(lambda: core.stats.faults > 6)  # its timer is repeated after each fault
            core.decision_module.handle = handle
            assert status(await client.fetch(request("a"))) == 200
            assert core.open_request_count() == 0 and rig.service.resources.open_requests.total_held == 0
            assert not rig.service.record("b").stats.faults

    on_loop(scenario)


def test_request_is_answered_if_the_module_raises_on_its_outcome() -> None:
    async def scenario() -> None:
        def reject(seen: Seen) -> bytes:
            return b"HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"

        async with Hosted("a", behave=reject) as rig:
            core = rig.service.core("a")
            handle = core.decision_module.handle

            def raising_handle(now: float, event: object) -> object:
                if type(event).__name__ == "AttemptEnded":
                    raise RuntimeError("broken")
                return handle(now, event)

            core.decision_module.handle = raising_handle
            assert await rig.status(request("a")) == 502
            assert core.open_request_count() == 0

    on_loop(scenario)


def test_draining_tenant_rejects_new_requests_and_completes_open_ones() -> None:
    async def scenario() -> None:
        async with Hosted("a", "b", behave=lambda seen: None) as rig:
            client = await rig.open_request(request("a"))
            rig.apply("a", "b", a={"state": "draining"})
            answer = await rig.fetch(request("a"))
            assert status(answer) == 503 and json.loads(answer.body)["detail"] == "draining"
            rig.hosts["a"].seen[0].writer.write(serve(rig.hosts["a"].seen[0]))
            assert status(await client.read()) == 200

    on_loop(scenario)


def test_end_to_end_headers_are_forwarded_both_ways() -> None:
    async def scenario() -> None:
        def created(seen: Seen) -> bytes:
            return (
                b"HTTP/1.1 201 X\r\nContent-Type: application/json\r\nLocation: /api/9\r\nSet-Cookie: a=1\r\n"
                b"Set-Cookie: b=2\r\nBilled-Units: 1\r\nKeep-Alive: timeout=5\r\nContent-Length: 2\r\n\r\n{}"
            )

        async with Hosted("a", behave=created) as rig:
            client = await rig.connect()
            client.writer.write(
                request(
                    "a",
                    "/api/pay/p",
                    "POST",
                    body="{}",
                    Content_Type="application/json",
                    Authorization="Bearer x",
                    Accept="application/json",
                    X_Secret="s",
                    Connection="keep-alive, x-secret",
                    X_Class="pay-less",
                    X_Partner="other",
                    X_Forwarded_For="192.0.2.1",
                )
            )
            head = (await client.reader.readuntil(b"\r\n\r\n")).decode()
            assert head.startswith("HTTP/1.1 201 ")
            assert "Location: /api/9\r\n" in head and head.count("Set-Cookie: ") == 2
            assert "Billed-Units" not in head and "Keep-Alive" not in head
            assert head.count("Content-Length") == head.count("Content-Type") == 1
            headers = rig.hosts["a"].seen[0].headers
            assert headers["authorization"] == "Bearer x" and headers["accept"] == "application/json"
            assert "x-secret" not in headers and "connection" not in headers
            assert (headers["x-class"], headers["x-partner"]) == ("pay", "p")
            assert headers["via"] == "1.1 hillmux" and headers["x-forwarded-for"] == "127.0.0.1"

    on_loop(scenario)


@pytest.mark.parametrize("code", [204, 301, 404, 409, 422])
def test_response_that_the_tenant_defines_is_forwarded_without_a_retry(code: int) -> None:
    async def scenario() -> None:
        length = b"" if code == 204 else b"Content-Length: 2\r\n"
        body = b"" if code == 204 else b"no"

        async with Hosted(
            "a", behave=lambda seen: b"HTTP/1.1 %d X\r\n%b\r\n%b" % (code, length, body)
        ) as rig:
            client = await rig.connect()
            for _ in range(3):  # the connection to the host stays usable
                answer = await client.fetch(request("a"))
                assert (status(answer), answer.body) == (code, body)
                assert ("content-length" in answer.headers) == (code != 204)
            assert len(rig.hosts["a"].seen) == 3
            assert rig.service.record("a").stats.served == 3

    on_loop(scenario)


def test_method_not_allowed_lists_the_allowed_methods() -> None:
    async def scenario() -> None:
        async with Hosted("a") as rig:
            client = await rig.connect()
            answer = await client.fetch(request("a", "/api/x", "PUT"))
            assert (status(answer), answer.headers["allow"]) == (405, "GET")
            assert "allow" not in (await client.fetch(request("a"))).headers

    on_loop(scenario)


def test_retry_after_is_in_whole_seconds() -> None:
    async def scenario() -> None:
        rig = Hosted("a")
        rig.per_tenant = {"a": {"default_plan": "small"}}
        async with rig:
            client = await rig.connect()
            while status(answer := await client.fetch(request("a"))) != 429:
                pass
            assert answer.headers["retry-after"].isdigit() and int(answer.headers["retry-after"]) >= 1

    on_loop(scenario)


def test_framing_error_is_described_in_the_response() -> None:
    async def scenario() -> None:
        async with Hosted("a") as rig:
            duplicate = await rig.fetch(request("a", host="a.example\r\nHost: a.example"))
            assert (status(duplicate), json.loads(duplicate.body)["detail"]) == (400, "a header came twice")
            too_long = await rig.fetch(request("a", "/api/pay/p", "POST").replace(b": 0\r\n", b": 99999\r\n"))
            assert status(too_long) == 413 and json.loads(too_long.body)["detail"] == "Content-Length"
            no_http = await rig.fetch(b"\x16\x03\x01\r\n\r\n")
            assert status(no_http) == 400 and "HTTP/1.1" in json.loads(no_http.body)["detail"]

    on_loop(scenario)


def test_internal_error_is_answered_500_and_affects_no_other_request() -> None:
    async def scenario() -> None:
        async with Hosted("a", "b") as rig:
            record = rig.service.record
            rig.service.record = lambda name: 1 / 0 if name == "a" else record(name)
            client = await rig.connect()
            client.writer.write(request("a") + request("b"))
            assert [status(await client.read()) for _ in range(2)] == [500, 200]

    on_loop(scenario)


def test_trailers_are_not_forwarded_as_headers() -> None:
    """Guards against trailers that are held without a bound, and that a host takes for headers."""

    async def scenario() -> None:
        async with Hosted("a") as rig:
            data = request("a", "/api/pay/p", "POST", Transfer_Encoding="chunked")
            data = data.replace(b"Content-Length: 0\r\n", b"") + b"1\r\nx\r\n0\r\nX-Role: admin\r\n\r\n"
            assert await rig.status(data) == 200
            assert "x-role" not in rig.hosts["a"].seen[0].headers

    on_loop(scenario)


@pytest.mark.parametrize("fields, wanted", [(500, 200), (2000, 400)])
def test_number_of_header_fields_is_bounded(fields: int, wanted: int) -> None:
    """Guards against heads of a few kilobytes that hold thousands of objects."""

    async def scenario() -> None:
        async with Hosted("a") as rig:
            headers = {f"x{i}": "" for i in range(fields)}
            assert await rig.status(request("a", **headers)) == wanted

    on_loop(scenario)
