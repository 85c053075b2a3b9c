"""Awake tenants and the `vars` response at small sizes: probes run, and the response grows with classes."""

from __future__ import annotations

import json

import pytest

from benchmarks.capacity import awake, operator_figures
from benchmarks.capacity.probes import PROBES
from hillmux.admin.commands import END_OF_METRICS, Verb, respond


def test_awake_tenant_remembers_its_host_and_customers() -> None:
    gateway = awake.wake_tenant(1)
    assert gateway.load_balancer.host_set.available_count == 1
    assert not gateway.is_quiescent()  # the customers' usage still counts, so the tenant must stay awake


@pytest.mark.parametrize("name", ["tenants.awake", "operator.figures"])
def test_probe_measures_all_declared_figures(name: str) -> None:
    probe = PROBES[name]
    values = probe.measure(probe.small, 1)
    assert set(values) == set(probe.figures)
    assert all(value >= 0 for value in values.values())


def test_vars_response_is_one_json_line_with_all_classes() -> None:
    lines = respond(Verb.VARS.encode(), operator_figures.OperatedGateway(3, 1)).decode().splitlines()
    assert lines[1:] == [END_OF_METRICS]
    assert len(json.loads(lines[0])["passed"]) == 3


def test_vars_response_grows_linearly_with_classes() -> None:
    sizes = [
        operator_figures.measure(classes, 1)["operator.figures.bytes_per_gateway"] for classes in (3, 30, 100)
    ]
    assert 50 < (sizes[1] - sizes[0]) / 27 < 120
    assert 50 < (sizes[2] - sizes[1]) / 70 < 120
