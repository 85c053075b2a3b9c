"""Guards at a small size: tenants awake cost the same each, an answer to `vars` grows with classes alone."""

from __future__ import annotations

import json

import pytest

from benchmarks.capacity import awake, operator_figures
from benchmarks.capacity.probes import PROBES
from hillmux.admin.commands import END_OF_METRICS, Verb, respond


def test_a_woken_tenant_has_served_each_of_its_customers() -> None:
    gateway = awake.woken(1)
    assert gateway.load_balancer.host_set.available_count == 1
    assert not gateway.is_quiescent()  # its customers' use still counts: it would not be put away


@pytest.mark.parametrize("name", ["tenants.awake", "operator.figures"])
def test_probes_measure_what_they_declare(name: str) -> None:
    probe = PROBES[name]
    values = probe.measure(probe.small, 1)
    assert set(values) == set(probe.figures)
    assert all(value >= 0 for value in values.values())


def test_an_answer_is_a_line_of_json_with_all_classes() -> None:
    told = respond(Verb.VARS.encode(), operator_figures.Operated(3, 1)).decode().splitlines()
    assert told[1:] == [END_OF_METRICS]
    assert len(json.loads(told[0])["passed"]) == 3


def test_an_answer_grows_by_the_same_for_each_class() -> None:
    sizes = [
        operator_figures.measure(classes, 1)["operator.figures.bytes_per_gateway"] for classes in (3, 30, 100)
    ]
    assert 50 < (sizes[1] - sizes[0]) / 27 < 120
    assert 50 < (sizes[2] - sizes[1]) / 70 < 120
