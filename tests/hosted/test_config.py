"""The configuration file: what is accepted, and how all its errors are reported at once."""

from __future__ import annotations

import copy
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest
from conftest import ROOT
from fakes.tenants import table, tables

from hillmux.hosted.config import ConfigFaultsError, check_files, load, load_hosts, parse
from hillmux.tenants.model import scope_of


def errors_in(raw: dict[str, Any]) -> list[str]:
    with pytest.raises(ConfigFaultsError) as caught:
        parse(raw, "f.toml", Path("."))
    return [str(fault) for fault in caught.value.faults]


def changed(path: str, value: Any) -> dict[str, Any]:
    """The tables of two tenants with one field changed; None removes the field."""
    raw = copy.deepcopy(tables(table("a", 9001), table("b", 9002)))
    *parents, last = path.split(".")
    node: Any = raw
    for part in parents:
        node = node[int(part)] if isinstance(node, list) else node.setdefault(part, {})
    if value is None:
        del node[last]
    else:
        node[last] = value
    return raw


@pytest.mark.parametrize(
    ("path", "value", "at", "found", "expected"),
    [
        ("listeners", None, "listeners", "", "is missing"),
        ("listeners.0.address", "127.0.0.1", "listeners[0].address", "'127.0.0.1'", "HOST:PORT"),
        ("listeners.0.address", "127.0.0.1:70000", "listeners[0].address", "'127.0.0.1:70000'", "0 to 65535"),
        ("more", 1, "more", "1", "no field of this name"),
        ("limits.sockets", 5, "limits.sockets", "5", "greater than or equal to 128"),
        ("limits.sockets", "many", "limits.sockets", "'many'", "integer"),
        ("gateway.number", 3, "gateway.number", "3", "0 to 0"),
        ("tenants.1.id", "B_!", "tenants[1] (B_!).id", "'B_!'", "lower-case letters"),
        ("tenants.1.id", None, "tenants[1].id", "", "is missing"),
        ("tenants.0.host_names", [], "tenants[0] (a).host_names", "[]", "at least 1 item"),
        ("tenants.0.host_names", ["a b"], "tenants[0] (a).host_names[0]", "'a b'", "a host name"),
        (
            "tenants.0.path_prefixes",
            ["/x/../y"],
            "tenants[0] (a).path_prefixes[0]",
            "'/x/../y'",
            "dot segment",
        ),
        ("tenants.0.state", "removed", "tenants[0] (a).state", "'removed'", "'active' or 'draining'"),
        ("tenants.0.share", 0, "tenants[0] (a).share", "0", "0.01"),
        ("tenants.0.default_plan", "gold", "tenants[0] (a).default_plan", "'gold'", "one of small, team"),
        ("tenants.0.default_plan", "", "tenants[0] (a).partners", "none", "either"),
        (
            "tenants.0.partners",
            {"p": {"plan": "gold"}},
            "tenants[0] (a).partners.p.plan",
            "'gold'",
            "small, team",
        ),
        (
            "tenants.0.pools.main.hosts.0.address",
            "x",
            "tenants[0] (a).pools.main.hosts[0].address",
            "'x'",
            "HOST:PORT",
        ),
        (
            "tenants.0.pools.main.hosts_file",
            "h",
            "tenants[0] (a).pools.main",
            "hosts and hosts_file",
            "one of them",
        ),
        ("tenants.0.routes.0.class", "write", "tenants[0] (a).routes[0].class", "'write'", "book, pay, read"),
        ("tenants.0.routes.0.pool", "more", "tenants[0] (a).routes[0].pool", "'more'", "one of main"),
        (
            "tenants.0.routes.0.methods",
            ["POST"],
            "tenants[0] (a).routes[0].methods",
            "'POST'",
            "GET: class 'read' is safe",
        ),
        (
            "tenants.0.routes.0.methods",
            ["HEAD"],
            "tenants[0] (a).routes[0].methods[0]",
            "'HEAD'",
            "'GET', 'POST'",
        ),
        (
            "tenants.0.routes.0.headers",
            {"a b": "c"},
            "tenants[0] (a).routes[0].headers.a b",
            "'a b'",
            "a header's name",
        ),
        (
            "tenants.0.path_prefixes",
            ["/v1"],
            "tenants[0] (a).routes[0].prefix",
            "'/api'",
            "path_prefixes /v1",
        ),
        ("tenants.0.routes.1.prefix", "/api", "", "", ""),
        (
            "tenants.0.plans",
            {"team": {"rate": -1}},
            "tenants[0] (a).plans.team.rate",
            "-1",
            "greater than or equal to 0",
        ),
        ("classes.read.effect", "none", "classes.read.effect", "'none'", "'safe', 'keyed' or 'unsafe'"),
        ("classes.read.aim_ms", 0, "classes.read.aim_ms", "0", "greater than 0"),
        ("classes.read.aim_ms", float("nan"), "classes.read.aim_ms", "nan", "finite"),
    ],
)
def test_error_names_file_field_found_and_expected(
    path: str, value: Any, at: str, found: str, expected: str
) -> None:
    if not at:  # a valid configuration
        parse(changed(path, value), "f.toml", Path("."))
        return
    lines = [line for line in errors_in(changed(path, value)) if line.startswith(f"f.toml: {at}: ")]
    assert lines, errors_in(changed(path, value))
    assert found in lines[0] and expected in lines[0]


def test_all_errors_are_reported_at_once() -> None:
    raw = changed("tenants.0.share", -1)
    raw["tenants"][1]["routes"][0]["class"] = "write"
    raw["tenants"][1]["default_plan"] = "gold"
    raw["limits"] = {"sockets": 1}
    lines = errors_in(raw)
    assert any("tenants[0] (a).share" in line for line in lines)
    assert any("limits.sockets" in line for line in lines)
    del raw["limits"]
    lines = errors_in(raw)
    assert len(lines) == 3


@pytest.mark.parametrize(
    ("change", "text"),
    [
        ({"host_names": ["a.example"]}, "ambiguous: both claim host 'a.example'"),
        ({"id": "a"}, "two tenants of one id"),
        ({"pools": {"main": {"hosts": [{"id": "x", "address": "127.0.0.1:9001"}]}}}, "both list the host"),
    ],
)
def test_conflicting_tenants_are_rejected_with_both_names(change: dict[str, Any], text: str) -> None:
    raw = tables(table("a", 9001), table("b", 9002, **change))
    lines = [line for line in errors_in(raw) if text in line]
    assert lines and "'a'" in lines[0]


def test_ambiguous_routes_are_rejected_with_both_names() -> None:
    raw = changed("tenants.0.routes.0.name", "first")
    raw["tenants"][0]["routes"].append({"name": "again", "prefix": "/api/", "pool": "main", "class": "read"})
    (error,) = errors_in(raw)
    assert "'first' and 'again'" in error and "tenants[0] (a).routes" in error


def test_counter_scope_has_a_fixed_length() -> None:
    scopes = {scope_of(f"{'x' * 60}{i}") for i in range(2000)}
    assert len(scopes) == 2000 and {len(s) for s in scopes} == {22}
    # the longest name that a module gives a count: customer, plan number, window number
    assert len(f"{scope_of('a')}.{'f' * 16}.9999.{'9' * 13}") <= 64


def test_example_configuration_is_valid() -> None:
    config = load(ROOT / "examples" / "one-tenant.toml")
    assert [t.id for t in config.tenants] == ["kartuli"]
    servers, addresses = load_hosts(ROOT / "examples" / "hosts.toml", "nodes")
    assert [s.pool for s in servers] == ["nodes", "nodes"] and dict(addresses)["node-1"] == (
        "127.0.0.1",
        9001,
    )


def test_hosts_file_with_a_duplicate_id_is_rejected(tmp_path: Path) -> None:
    path = tmp_path / "hosts.toml"
    path.write_text('[[hosts]]\nid="x"\naddress="127.0.0.1:1"\n' * 2)
    with pytest.raises(ConfigFaultsError, match=r"hosts\[1\].id: found 'x' again"):
        load_hosts(path, "main")


def test_fleet_of_several_gateways_requires_a_shared_counter() -> None:
    raw = changed("gateway", {"fleet_size": 2})
    (error,) = errors_in(raw)
    assert error.startswith("f.toml: counter.address: is missing")
    raw["counter"] = {"address": "127.0.0.1:6400"}
    assert parse(raw, "f.toml", Path(".")).fleet_size == 2


def test_check_validates_hosts_files(tmp_path: Path) -> None:
    (tmp_path / "a.toml").write_text('[[hosts]]\nid="x"\naddress="127.0.0.1:9002"\n')
    (tmp_path / "c.toml").write_text('[[hosts]]\nid="x"\n')
    raw = tables(
        table("a", pools={"main": {"hosts_file": "a.toml"}}),
        table("b", 9002),
        table("c", pools={"main": {"hosts_file": "c.toml"}}),
    )
    errors = check_files(parse(raw, "f.toml", tmp_path))
    assert len(errors) == 2
    assert "found 127.0.0.1:9002, which is a host of tenant 'b'" in errors[0]
    assert "hosts[0].address: is missing" in errors[1]


def hillmux(*arguments: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "hillmux.cli", *arguments],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=30,
        check=False,
    )


def test_check_reports_all_errors_and_exits_with_2(tmp_path: Path) -> None:
    path = tmp_path / "bad.toml"
    path.write_text('[[tenants]]\nid = "A"\n')
    for arguments in (("check", str(path)), ("serve", "--config", str(path))):
        result = hillmux(*arguments)
        assert result.returncode == 2
        lines = result.stderr.splitlines()
        assert f"{path}: listeners: is missing" in lines
        assert any("tenants[0] (A).id: found 'A', expected 1 to 63" in line for line in lines)
        assert any("tenants[0] (A).routes: is missing" in line for line in lines)
    path.write_text("[[[")
    assert hillmux("check", str(path)).returncode == 2
    result = hillmux("check", str(tmp_path / "none.toml"))
    assert result.returncode == 2 and "cannot be read" in result.stderr
    assert hillmux("check", "examples/one-tenant.toml").returncode == 0


def test_help_of_each_command_has_an_example() -> None:
    for command in ("serve", "check", "counter", "demo"):
        result = hillmux(command, "--help")
        assert result.returncode == 0 and f"Example: hillmux {command}" in result.stdout


def test_invalid_listen_address_exits_with_2() -> None:
    result = hillmux("counter", "--listen", "127.0.0.1")
    assert result.returncode == 2 and "HOST:PORT" in result.stderr


def test_platform_gateway_imports_nothing_of_the_hosted_service() -> None:
    # pathlib alone (with fnmatch, ntpath and urllib) would use half a megabyte in each platform gateway.
    code = (
        "import sys; before = set(sys.modules); import hillmux.__main__, hillmux.simulator.adapter; "
        "print(sorted(m for m in set(sys.modules) - before if m.split('.')[0] in "
        "('click', 'pydantic', 'rich', 'tomli', 'tomllib', 'pathlib', 'secrets') or m.startswith(("
        "'hillmux.hosted', 'hillmux.tenants', 'hillmux.counter', 'hillmux.demo', 'hillmux.cli'))))"
    )
    result = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, timeout=30, check=True
    )
    assert result.stdout.strip() == "[]"
