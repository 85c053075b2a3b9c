"""What the decision module costs a request: by hosts, by customers, and against a revision before.

    python benchmarks/module.py                     # the work tree alone, for the figures of docs/cost.md
    python benchmarks/module.py --base REVISION     # compares both; ratios with their 95% interval
    python benchmarks/module.py --base REVISION --plant 0.05    # wastes 5% on purpose in the work tree
    python benchmarks/module.py --svg docs/cost.svg # also writes the chart

Measures time within the module, in processes that share one core. Small and large cases, or old and new
revisions, alternate within one run in blocks of some 20 ms. A core of a shared machine has two speeds, a
factor of 1.6 to 1.8 apart, for seconds at a time, depending on the load of its other hardware thread. A ratio
therefore compares adjacent blocks, and a figure in us is the upper bound of the fastest tenth of the blocks,
which ran on an undisturbed core.
"""

from __future__ import annotations

import argparse
import math
import statistics
from pathlib import Path

from benchmarks.trees import MAX_MEAN_RATIO, Tree, Worker, is_regression, ratio

HOSTS = [(n, 200) for n in (10, 100, 1000, 5000)]
CUSTOMERS = [(10, n) for n in (200, 20_000, 200_000)]
CORE = 2  # any core except the first, which also runs the system's own tasks
# Bounds on the cost of the largest case relative to the smallest, and of a request with 10 hosts.
MAX_SIZE_RATIO, MAX_REQUEST_US = 1.3, 35.0


def run_blocks(
    workers: list[Worker], cases: list[dict[str, float]], count: int
) -> list[list[dict[str, float]]]:
    """Run `count` blocks of each worker's case, alternating the workers' order; returns answers by worker.

    The first answer of each worker comes from an additional warm-up block.
    """
    answers: list[list[dict[str, float]]] = [[] for _ in workers]
    for worker, case in zip(workers, cases, strict=True):
        answers[workers.index(worker)].append(worker.play(**case))
    for turn in range(count):
        indices = range(len(workers)) if turn % 2 else range(len(workers) - 1, -1, -1)
        for i in indices:
            answers[i].append(workers[i].play(**cases[i]))
    return answers


def quickest_us(answers: list[dict[str, float]]) -> float:
    """Time per request that the fastest tenth of the blocks does not exceed, in us, without the warm-up."""
    return statistics.quantiles([a["us"] for a in answers[1:]], n=10)[0]


def write_svg(curves: dict[str, list[tuple[int, float]]], path: Path) -> None:
    """Write a chart of cost by size as an SVG, with a logarithmic axis of sizes."""
    width, height, left, bottom = 640, 320, 60, 270
    max_us = 1.15 * max(us for curve in curves.values() for _, us in curve)
    max_power = max(math.log10(n) for curve in curves.values() for n, _ in curve)

    def svg_point(n: int, us: float) -> str:
        return (
            f"{left + (math.log10(n) - 1) / (max_power - 1) * (width - left - 130):.0f},"
            f"{bottom - us / max_us * 240:.0f}"
        )

    parts = [
        f'<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 {width} {height}" font-family="sans-serif" '
        'font-size="12">',
        f'<rect width="{width}" height="{height}" fill="white"/>',
    ]
    for us in range(0, int(max_us) + 1, 10):
        y = svg_point(10, us).split(",")[1]
        parts.append(
            f'<path d="M{left},{y}H{width - 130}" stroke="#ddd"/><text x="{left - 8}" y="{y}" '
            f'text-anchor="end">{us}</text>'
        )
    for power in range(1, int(max_power) + 1):
        x = svg_point(10**power, 0).split(",")[0]
        parts.append(f'<text x="{x}" y="{bottom + 18}" text-anchor="middle">{10**power:,}</text>')
    parts.append(f'<text x="{left}" y="16">decision module, us a request</text>')
    parts.append(
        f'<text x="{(left + width - 130) // 2}" y="{bottom + 38}" text-anchor="middle">'
        "hosts, or customers</text>"
    )
    for (name, curve), colour in zip(curves.items(), ("#1f6fb2", "#c2571a", "#999999"), strict=False):
        points = " ".join(svg_point(n, us) for n, us in curve)
        parts.append(f'<polyline points="{points}" fill="none" stroke="{colour}" stroke-width="2"/>')
        x, y = svg_point(*curve[-1]).split(",")
        parts.append(f'<text x="{int(x) + 8}" y="{y}" fill="{colour}">{name}</text>')
    path.write_text("\n".join([*parts, "</svg>\n"]))


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--base", help="a revision to compare with")
    parser.add_argument("--blocks", type=int, default=60)
    parser.add_argument("--requests", type=int, default=500, help="for each block")
    parser.add_argument("--plant", type=float, default=0.0, help="part of the cost to waste in the work tree")
    parser.add_argument("--svg", type=Path)
    args = parser.parse_args()
    if args.base:
        trees, missed = [Tree(args.base), Tree(None)], False
        for hosts, customers in (HOSTS[0], HOSTS[2], CUSTOMERS[2]):
            workers = [Worker(tree, "module_worker.py", CORE) for tree in trees]
            case = {"hosts": hosts, "customers": customers, "requests": args.requests}
            old, new = run_blocks(workers, [case, case | {"plant": args.plant}], args.blocks)
            mean, lower, upper = ratio([(a["us"], b["us"]) for a, b in zip(old[1:], new[1:], strict=True)])
            print(
                f"{hosts:5} hosts {customers:7} customers: {quickest_us(old):7.1f} -> "
                f"{quickest_us(new):7.1f} us, ratio {mean:.3f} "
                f"({lower:.3f} to {upper:.3f})",
                flush=True,
            )
            missed |= is_regression(mean, lower)
            for worker in workers:
                worker.close()
        for tree in trees:
            tree.close()
        print(
            f"wanted: at most {MAX_MEAN_RATIO} of before, or within the noise: "
            f"{'missed' if missed else 'met'}"
        )
        return missed
    tree, missed, curves = Tree(None), False, {}
    for name, sizes in (("hosts", HOSTS), ("customers", CUSTOMERS)):
        workers = [Worker(tree, "module_worker.py", CORE) for _ in sizes]
        cases = [{"hosts": h, "customers": c, "requests": args.requests} for h, c in sizes]
        answers = run_blocks(workers, cases, args.blocks)
        for worker in workers:
            worker.close()
        costs = [quickest_us(case_answers) for case_answers in answers]
        curves[name] = [(h if name == "hosts" else c, us) for (h, c), us in zip(sizes, costs, strict=True)]
        for (hosts, customers), us, case_answers in zip(sizes, costs, answers, strict=True):
            pairs = [(a["us"], b["us"]) for a, b in zip(answers[0][1:], case_answers[1:], strict=True)]
            mean, lower, upper = ratio(pairs) if case_answers is not answers[0] else (1.0, 1.0, 1.0)
            print(
                f"{hosts:5} hosts {customers:7} customers: {us:6.1f} us, {mean:.2f} "
                f"({lower:.2f} to {upper:.2f}) of the first; {case_answers[-1]['events']:.2f} events; "
                f"{case_answers[0]['kb']:.2f} KB a customer",
                flush=True,
            )
            is_large_case = (hosts, customers) in ((1000, 200), (10, 200_000))
            missed |= is_large_case and mean > MAX_SIZE_RATIO
            missed |= (hosts, customers) == (10, 200) and us > MAX_REQUEST_US
    if args.svg:
        write_svg(curves, args.svg)
    print(
        f"wanted: {MAX_REQUEST_US:.0f} us with 10 hosts and 200 customers; 1,000 hosts and 200,000 customers "
        f"at most {MAX_SIZE_RATIO} of it: {'missed' if missed else 'met'}"
    )
    return missed


if __name__ == "__main__":
    raise SystemExit(main())
