"""The HTML page of a run: self-contained, equal for equal records, with the violations."""

from __future__ import annotations

from html.parser import HTMLParser
from typing import Any

from hillmux.lab.checks import Criteria, Verdict, answered
from hillmux.lab.measures import measure
from hillmux.lab.report import Series, page

CRITERIA = Criteria(1000.0, 1500.0, {}, {"p": (10.0, 100.0)})


def record() -> list[dict[str, Any]]:
    events: list[dict[str, Any]] = []
    for i in range(40):
        t, rid = 100.0 * i, f"r{i}"
        first = {"due": t, "plan": "p", "customer": "c", "units": 1.0, "true": 1.0, "worth": 1.0}
        events += [
            {"t": t, "who": "client", "ev": "first", "rid": rid, "aim": 500.0, **first},
            {"t": t, "who": "client", "ev": "wrote", "rid": rid, "gw": "g0"},
            {"t": t + 1, "who": "h0", "ev": "got", "rid": rid, "cold": i > 20, "gw": "g0"},
        ]
        if i != 30:
            timing = {"took": 50.0, "total": 50.0, "status": 200, "wait": 0.0}
            events.append({"t": t + 50, "who": "client", "ev": "answer", "rid": rid, "first": rid, "gw": "g0",
                           "result": "served", **timing})  # fmt: skip
    events.append({"t": 2000.0, "who": "lab", "ev": "fault", "what": "<cut>", "target": "g0>h0", "value": 0})
    return sorted(events, key=lambda e: e["t"])


class ExternalReferences(HTMLParser):
    """Collects the URLs that a page would fetch."""

    def __init__(self) -> None:
        super().__init__()
        self.external_urls: list[str] = []

    def handle_starttag(self, tag: str, attrs: list[tuple[str, str | None]]) -> None:
        urls = [str(v) for k, v in attrs if k in ("src", "href", "xlink:href", "data")]
        self.external_urls += [value for value in urls if not value.startswith("#")]


def test_page_is_self_contained_and_lists_violations() -> None:
    events = record()
    figures = measure(events, 0.0, 5.0, CRITERIA)
    verdicts: list[Verdict] = [answered(events)]
    text = page("day <1>", "x", Series(events, 0.0, 5.0), figures, verdicts, ["served: too little"])
    references = ExternalReferences()
    references.feed(text)
    assert references.external_urls == []
    assert "day &lt;1&gt;" in text and "&lt;cut&gt; (1)" in text and "served: too little" in text
    assert "r30" in text.partition("What was broken")[2]
    assert text == page("day <1>", "x", Series(events, 0.0, 5.0), figures, verdicts, ["served: too little"])


def test_figures_are_calculated_from_the_record() -> None:
    figures = measure(record(), 0.0, 5.0, CRITERIA)
    assert (figures.first, figures.attempts, figures.results) == (40, 40, {"served": 39})
    assert figures.served_share == 39 / 40
    assert [w.offered_weight for w in figures.windows] == [10, 10, 10, 10, 0]
