"""A run as one page that needs nothing else: curves over time with the faults as bands, and the verdicts."""

from __future__ import annotations

import html
from collections import Counter, defaultdict
from collections.abc import Iterable
from io import StringIO

import matplotlib

matplotlib.use("svg")

from matplotlib.axes import Axes
from matplotlib.figure import Figure

from hillmux.lab.checks import Event, Verdict
from hillmux.lab.measures import Figures
from hillmux.recovery.full_service import p99

BAND_FAULTS = frozenset(("fault", "kill", "term", "stop"))
BAND_S = 0.5  # how wide a fault without an end is drawn
RESULTS = ("served", "refused", "failed", "reset", "refused_dial", "late")
PAGE = """<!doctype html><html lang="en"><meta charset="utf-8"><title>{title}</title>
<style>body{{font:15px/1.5 sans-serif;max-width:72em;margin:2em auto;padding:0 1em}}
table{{border-collapse:collapse}}td,th{{border:1px solid #bbb;padding:.2em .6em;text-align:left}}
.broken{{background:#fbb}}.held{{background:#dfd}}pre{{background:#f4f4f4;padding:1em;overflow:auto}}
svg{{width:100%;height:auto}}</style><h1>{title}</h1><p>{about}</p>{body}</html>
"""


class Series:
    """What a record shows by the second."""

    def __init__(self, events: Iterable[Event], t0: float, length_s: float) -> None:
        self.seconds = int(length_s) + 1
        self.results: dict[str, Counter[int]] = defaultdict(Counter)
        self.by_gateway: dict[str, Counter[int]] = defaultdict(Counter)
        self.took: dict[int, list[float]] = defaultdict(list)
        self.dials: Counter[int] = Counter()
        self.counted: Counter[int] = Counter()
        self.cold: Counter[int] = Counter()
        self.faults: Counter[tuple[float, str]] = Counter()
        for event in events:
            at_s = (event["t"] - t0) / 1000
            second = int(at_s)
            if not 0 <= at_s < self.seconds:
                continue
            match event["ev"]:
                case "answer":
                    self.results[event["result"]][second] += 1
                    if event["result"] == "served":
                        self.by_gateway[event["gw"]][second] += 1
                        self.took[second].append(event["total"])
                case "dial":
                    self.dials[second] += 1
                case "count":
                    self.counted[second] += 1
                case "got":
                    self.cold[second] += event["cold"]
                case kind if kind in BAND_FAULTS:
                    self.faults[round(at_s * 2) / 2, str(event.get("what", kind))] += 1

    def line(self, counts: Counter[int]) -> list[int]:
        """A count for each second."""
        return [counts[s] for s in range(self.seconds)]


def _bands(axes: Axes, series: Series) -> None:
    for (at, _), count in series.faults.items():
        axes.axvspan(at, at + BAND_S, color="tab:red", alpha=min(0.08 + 0.02 * count, 0.3), lw=0)


def figure(series: Series, figures: Figures) -> str:
    """The curves, as SVG."""
    drawn = Figure(figsize=(11, 15), layout="constrained")
    plots = drawn.subplots(5, 1, sharex=True)
    seconds = range(series.seconds)
    names = [name for name in RESULTS if series.results[name]]
    plots[0].stackplot(seconds, *(series.line(series.results[name]) for name in names), labels=names)
    plots[0].set_ylabel("tries ended a second")
    plots[0].legend(loc="upper right", ncols=3)
    shares = [w.served_share() for w in figures.windows]
    plots[1].plot(range(len(shares)), shares)
    plots[1].set_ylim(0, 1.05)
    plots[1].set_ylabel("worth served in time")
    for counts in series.by_gateway.values():
        plots[2].plot(seconds, series.line(counts), lw=0.7, alpha=0.6)
    plots[2].set_ylabel("served a second, by gateway")
    plots[3].plot(seconds, [p99(series.took[s]) for s in seconds], label="p99")
    plots[3].plot(
        seconds, [sorted(t)[len(t) // 2] if (t := series.took[s]) else 0 for s in seconds], label="p50"
    )
    plots[3].set_ylabel("latency, ms")
    plots[3].legend(loc="upper right")
    for counts, label in (
        (series.dials, "dials"),
        (series.counted, "counter calls"),
        (series.cold, "to cold hosts"),
    ):
        plots[4].plot(seconds, series.line(counts), label=label)
    plots[4].set_ylabel("a second, over all")
    plots[4].set_xlabel("seconds")
    plots[4].legend(loc="upper right")
    for axes in plots:
        _bands(axes, series)
    out = StringIO()
    with matplotlib.rc_context({"svg.hashsalt": "hillmux"}):  # the same picture for the same record
        drawn.savefig(out, format="svg", metadata={"Date": None})
    return out.getvalue().partition("<svg")[1] + out.getvalue().partition("<svg")[2]


def page(title: str, about: str, series: Series, figures: Figures, verdicts: list[Verdict],
         unmet_requirements: list[str]) -> str:  # fmt: skip
    """The whole page."""
    rows = "".join(
        f'<tr class="{v.status()}"><td>{v.rule}<td>{v.status()}<td>{v.exercised}<td>{v.broken}'
        for v in verdicts
    )
    faults = "".join(
        f"<li>{at:g} s: {html.escape(what)} ({count})" for (at, what), count in sorted(series.faults.items())
    )
    chains = "".join(
        f"<h3>{v.rule}</h3><pre>{html.escape(chr(10).join(map(str, v.chains[0])))}</pre>"
        for v in verdicts
        if v.chains
    )
    missed = "".join(f"<li>{html.escape(text)}" for text in unmet_requirements)
    body = (
        f"<table><tr><th>rule<th>says<th>judged<th>broken{rows}</table>"
        f"<p>Worth served in time {figures.served_share:.3f}; attempts a first try "
        f"{figures.attempts_per_request():.2f}; p99 {figures.p99_ms:.0f} ms; dials {figures.dials}; "
        f"counter calls {figures.counter_calls}; hosts that fell {figures.fell}; "
        f"memory {figures.memory_mb:.0f} MB at most.</p>"
        f"{f'<h2>Not met</h2><ul>{missed}</ul>' if missed else ''}{figure(series, figures)}"
        f"<h2>Faults</h2><ul>{faults}</ul>{f'<h2>What was broken</h2>{chains}' if chains else ''}"
    )
    return PAGE.format(title=html.escape(title), about=html.escape(about), body=body)
