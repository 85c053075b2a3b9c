"""Paired comparison of the figures of two source trees."""

from __future__ import annotations

from contextlib import ExitStack
from pathlib import Path

import pytest

from hillmux.lab.compare import compare_paired, confidence_interval, source_tree
from hillmux.lab.measures import Figures
from hillmux.lab.source_trees import TreeError


def figures(served_share: float, full_service_s: float | None = None) -> Figures:
    return Figures(first=10, attempts=9, served_share=served_share, full_service_s=full_service_s)


def test_consistent_difference_is_distinguished_from_noise() -> None:
    base = [figures(0.8 + 0.01 * i) for i in range(8)]
    better = {row.name: row for row in compare_paired(base, [figures(f.served_share + 0.05) for f in base])}
    assert better["worth served"].low == pytest.approx(0.05) == better["worth served"].high
    noise = compare_paired(base, [figures(f.served_share + (-0.02, 0.02)[i % 2]) for i, f in enumerate(base)])
    assert noise[0].low < 0 < noise[0].high


def test_figure_is_compared_over_the_pairs_that_have_it() -> None:
    rows = {
        r.name: r
        for r in compare_paired([figures(0.8, 3.0), figures(0.8)], [figures(0.8, 1.0), figures(0.8, 2.0)])
    }
    assert rows["full service, s"].pairs == 1 and rows["full service, s"].low == -2.0
    assert "full service, s" not in {r.name for r in compare_paired([figures(0.8)], [figures(0.8)])}


def test_confidence_interval_is_reproducible() -> None:
    assert confidence_interval([0.1, 0.3, -0.2]) == confidence_interval([0.1, 0.3, -0.2])


def test_error_names_a_text_that_is_no_source_tree(tmp_path: Path) -> None:
    with ExitStack() as stack, pytest.raises(TreeError, match="no-such-revision"):
        source_tree("no-such-revision", stack)
