"""What the decision module costs a request: by hosts, by customers, and against a revision before.

    python benchmarks/module.py                     # the work tree alone, figures of docs/cost.md
    python benchmarks/module.py --base REVISION     # both in turn, ratios with their 95% interval
    python benchmarks/module.py --base REVISION --plant 0.05    # a twentieth wasted on purpose
    python benchmarks/module.py --svg docs/cost.svg # and the picture

Time within the module, in processes that share one core; small and large, or old and new, in turn within one
run, in blocks of some 20 ms. A core of a shared machine has two paces, 1.6 to 1.8 apart, for seconds each, as
a neighbour uses its other thread: a ratio is that of neighbouring blocks, and a figure in us is that of the
quickest tenth of the blocks, so of a core left alone.
"""

from __future__ import annotations

import argparse
import math
import statistics
from pathlib import Path

from benchmarks.trees import WORSE, Tree, Worker, ratio, worse

HOSTS = [(n, 200) for n in (10, 100, 1000, 5000)]
CUSTOMERS = [(10, n) for n in (200, 20_000, 200_000)]
CORE = 2  # any but the first, where the system's own work is
MOST_SIZE, MOST_US = 1.3, 35.0  # cost of the largest over the smallest; us a request with 10 hosts


def blocks(workers: list[Worker], cases: list[dict[str, float]], count: int) -> list[list[dict[str, float]]]:
    """`count` blocks of each worker's case, in turn there and back; the first warms up."""
    answers: list[list[dict[str, float]]] = [[] for _ in workers]
    for worker, case in zip(workers, cases, strict=True):
        answers[workers.index(worker)].append(worker.play(**case))
    for turn in range(count):
        order = range(len(workers)) if turn % 2 else range(len(workers) - 1, -1, -1)
        for i in order:
            answers[i].append(workers[i].play(**cases[i]))
    return answers


def quick(answers: list[dict[str, float]]) -> float:
    """Us a request in the tenth of the blocks that was quickest."""
    return statistics.quantiles([a["us"] for a in answers[1:]], n=10)[0]


def draw(curves: dict[str, list[tuple[int, float]]], path: Path) -> None:
    """Cost against size as an SVG, sizes on a scale of powers of ten."""
    wide, high, left, low = 640, 320, 60, 270
    most = 1.15 * max(us for curve in curves.values() for _, us in curve)
    top = max(math.log10(n) for curve in curves.values() for n, _ in curve)

    def at(n: int, us: float) -> str:
        return (
            f"{left + (math.log10(n) - 1) / (top - 1) * (wide - left - 130):.0f},{low - us / most * 240:.0f}"
        )

    parts = [
        f'<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 {wide} {high}" font-family="sans-serif" '
        'font-size="12">',
        f'<rect width="{wide}" height="{high}" fill="white"/>',
    ]
    for us in range(0, int(most) + 1, 10):
        y = at(10, us).split(",")[1]
        parts.append(
            f'<path d="M{left},{y}H{wide - 130}" stroke="#ddd"/><text x="{left - 8}" y="{y}" '
            f'text-anchor="end">{us}</text>'
        )
    for power in range(1, int(top) + 1):
        x = at(10**power, 0).split(",")[0]
        parts.append(f'<text x="{x}" y="{low + 18}" text-anchor="middle">{10**power:,}</text>')
    parts.append(f'<text x="{left}" y="16">decision module, us a request</text>')
    parts.append(
        f'<text x="{(left + wide - 130) // 2}" y="{low + 38}" text-anchor="middle">hosts, or customers</text>'
    )
    for (name, curve), colour in zip(curves.items(), ("#1f6fb2", "#c2571a", "#999999"), strict=False):
        points = " ".join(at(n, us) for n, us in curve)
        parts.append(f'<polyline points="{points}" fill="none" stroke="{colour}" stroke-width="2"/>')
        x, y = at(*curve[-1]).split(",")
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
            old, new = blocks(workers, [case, case | {"plant": args.plant}], args.blocks)
            mean, least, most = ratio([(a["us"], b["us"]) for a, b in zip(old[1:], new[1:], strict=True)])
            print(
                f"{hosts:5} hosts {customers:7} customers: {quick(old):7.1f} -> "
                f"{quick(new):7.1f} us, ratio {mean:.3f} "
                f"({least:.3f} to {most:.3f})",
                flush=True,
            )
            missed |= worse(mean, least)
            for worker in workers:
                worker.close()
        for tree in trees:
            tree.close()
        print(f"wanted: at most {WORSE} of before, or within the noise: {'missed' if missed else 'met'}")
        return missed
    tree, missed, curves = Tree(None), False, {}
    for name, sizes in (("hosts", HOSTS), ("customers", CUSTOMERS)):
        workers = [Worker(tree, "module_worker.py", CORE) for _ in sizes]
        cases = [{"hosts": h, "customers": c, "requests": args.requests} for h, c in sizes]
        answers = blocks(workers, cases, args.blocks)
        for worker in workers:
            worker.close()
        costs = [quick(got) for got in answers]
        curves[name] = [(h if name == "hosts" else c, us) for (h, c), us in zip(sizes, costs, strict=True)]
        for (hosts, customers), us, got in zip(sizes, costs, answers, strict=True):
            pairs = [(a["us"], b["us"]) for a, b in zip(answers[0][1:], got[1:], strict=True)]
            mean, least, most = ratio(pairs) if got is not answers[0] else (1.0, 1.0, 1.0)
            print(
                f"{hosts:5} hosts {customers:7} customers: {us:6.1f} us, {mean:.2f} "
                f"({least:.2f} to {most:.2f}) of the first; {got[-1]['events']:.2f} events; "
                f"{got[0]['kb']:.2f} KB a customer",
                flush=True,
            )
            big = (hosts, customers) in ((1000, 200), (10, 200_000))
            missed |= big and mean > MOST_SIZE
            missed |= (hosts, customers) == (10, 200) and us > MOST_US
    if args.svg:
        draw(curves, args.svg)
    print(
        f"wanted: {MOST_US:.0f} us with 10 hosts and 200 customers; 1,000 hosts and 200,000 customers at "
        f"most {MOST_SIZE} of it: {'missed' if missed else 'met'}"
    )
    return missed


if __name__ == "__main__":
    raise SystemExit(main())
