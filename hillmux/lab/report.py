"""A run as one self-contained HTML page: curves over time with the faults as bands, and the verdicts."""

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
BAND_WIDTH_S = 0.5  # width of a fault's band
RESULTS = ("served", "refused", "failed", "reset", "refused_dial", "late")
PAGE = """<!doctype html><html lang="en"><meta charset="utf-8"><title>{title}</title>
<style>body{{font:15px/1.5 sans-serif;max-width:72em;margin:2em auto;padding:0 1em}}
table{{border-collapse:collapse}}td,th{{border:1px solid #bbb;padding:.2em .6em;text-align:left}}
.broken{{background:#fbb}}.held{{background:#dfd}}pre{{background:#f4f4f4;padding:1em;overflow:auto}}
svg{{width:100%;height:auto}}</style><h1>{title}</h1><p>{about}</p>{body}</html>
"""


class Series:
    """Figures of a record, by second from the start of the run."""

    def __init__(self, events: Iterable[Event], t0: float, length_s: float) -> None:
        self.seconds = int(length_s) + 1
        self.results: dict[str, Counter[int]] = defaultdict(Counter)
        self.by_gateway: dict[str, Counter[int]] = defaultdict(Counter)
        self.latencies_ms: dict[int, list[float]] = defaultdict(list)
        self.dials: Counter[int] = Counter()
        self.counter_calls: Counter[int] = Counter()
        self.cold_attempts: Counter[int] = Counter()
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
                        self.latencies_ms[second].append(event["total"])
                case "dial":
                    self.dials[second] += 1
                case "count":
                    self.counter_calls[second] += 1
                case "got":
                    self.cold_attempts[second] += event["cold"]
                case kind if kind in BAND_FAULTS:
                    self.faults[round(at_s * 2) / 2, str(event.get("what", kind))] += 1

    def line(self, counts: Counter[int]) -> list[int]:
        """Return the count of each second."""
        return [counts[s] for s in range(self.seconds)]


def _bands(axes: Axes, series: Series) -> None:
    for (at_s, _), count in series.faults.items():
        axes.axvspan(at_s, at_s + BAND_WIDTH_S, color="tab:red", alpha=min(0.08 + 0.02 * count, 0.3), lw=0)


def figure(series: Series, figures: Figures) -> str:
    """Draw the curves and return them as SVG."""
    plot_figure = Figure(figsize=(11, 15), layout="constrained")
    plots = plot_figure.subplots(5, 1, sharex=True)
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
    plots[3].plot(seconds, [p99(series.latencies_ms[s]) for s in seconds], label="p99")
    plots[3].plot(
        seconds,
        [sorted(t)[len(t) // 2] if (t := series.latencies_ms[s]) else 0 for s in seconds],
        label="p50",
    )
    plots[3].set_ylabel("latency, ms")
    plots[3].legend(loc="upper right")
    for counts, label in (
        (series.dials, "dials"),
        (series.counter_calls, "counter calls"),
        (series.cold_attempts, "to cold hosts"),
    ):
        plots[4].plot(seconds, series.line(counts), label=label)
    plots[4].set_ylabel("a second, over all")
    plots[4].set_xlabel("seconds")
    plots[4].legend(loc="upper right")
    for axes in plots:
        _bands(axes, series)
    out = StringIO()
    with matplotlib.rc_context({"svg.hashsalt": "hillmux"}):  # equal records give equal pictures
        plot_figure.savefig(out, format="svg", metadata={"Date": None})
    return out.getvalue().partition("<svg")[1] + out.getvalue().partition("<svg")[2]


def page(title: str, about: str, series: Series, figures: Figures, verdicts: list[Verdict],
         unmet_requirements: list[str]) -> str:  # fmt: skip
    """Return the HTML page of a run."""
    rows = "".join(
        f'<tr class="{v.status()}"><td>{v.rule}<td>{v.status()}<td>{v.exercised}<td>{v.broken}'
        for v in verdicts
    )
    faults = "".join(
        f"<li>{at_s:g} s: {html.escape(what)} ({count})"
        for (at_s, what), count in sorted(series.faults.items())
    )
    chains = "".join(
        f"<h3>{v.rule}</h3><pre>{html.escape(chr(10).join(map(str, v.chains[0])))}</pre>"
        for v in verdicts
        if v.chains
    )
    unmet_items = "".join(f"<li>{html.escape(text)}" for text in unmet_requirements)
    body = (
        f"<table><tr><th>rule<th>says<th>judged<th>broken{rows}</table>"
        f"<p>Worth served in time {figures.served_share:.3f}; attempts a first try "
        f"{figures.attempts_per_request():.2f}; p99 {figures.p99_ms:.0f} ms; dials {figures.dials}; "
        f"counter calls {figures.counter_calls}; hosts that fell {figures.fell}; "
        f"memory {figures.memory_mb:.0f} MB at most.</p>"
        f"{f'<h2>Not met</h2><ul>{unmet_items}</ul>' if unmet_items else ''}{figure(series, figures)}"
        f"<h2>Faults</h2><ul>{faults}</ul>{f'<h2>What was broken</h2>{chains}' if chains else ''}"
    )
    return PAGE.format(title=html.escape(title), about=html.escape(about), body=body)
