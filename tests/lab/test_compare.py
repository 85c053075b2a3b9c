"""Paired figures of two trees."""

from __future__ import annotations

from contextlib import ExitStack
from pathlib import Path

import pytest

from hillmux.lab.compare import interval, paired, tree
from hillmux.lab.measures import Figures
from hillmux.lab.source_trees import TreeError


def figures(served: float, full: float | None = None) -> Figures:
    return Figures(first=10, attempts=9, served_share=served, full_service_s=full)


def test_a_difference_that_every_pair_shows_is_told_apart_from_noise() -> None:
    base = [figures(0.8 + 0.01 * i) for i in range(8)]
    better = {row.name: row for row in paired(base, [figures(f.served_share + 0.05) for f in base])}
    assert better["worth served"].low == pytest.approx(0.05) == better["worth served"].high
    noise = paired(base, [figures(f.served_share + (-0.02, 0.02)[i % 2]) for i, f in enumerate(base)])
    assert noise[0].low < 0 < noise[0].high


def test_a_figure_is_compared_over_the_pairs_that_have_it() -> None:
    rows = {
        r.name: r for r in paired([figures(0.8, 3.0), figures(0.8)], [figures(0.8, 1.0), figures(0.8, 2.0)])
    }
    assert rows["full service, s"].pairs == 1 and rows["full service, s"].low == -2.0
    assert "full service, s" not in {r.name for r in paired([figures(0.8)], [figures(0.8)])}


def test_the_interval_is_the_same_every_time() -> None:
    assert interval([0.1, 0.3, -0.2]) == interval([0.1, 0.3, -0.2])


def test_what_is_no_tree_is_named(tmp_path: Path) -> None:
    with ExitStack() as stack, pytest.raises(TreeError, match="no-such-revision"):
        tree("no-such-revision", stack)
