"""How well servers are chosen, by the work tree and by a revision before it, on simulated unequal hosts.

python benchmarks/choice.py --base REVISION     # figures for docs/cost.md
"""

from __future__ import annotations

import argparse
import concurrent.futures
import statistics

from benchmarks.trees import Tree, Worker

CASES = [
    ("even", 10, 1),
    ("even", 100, 10),
    ("nominal", 10, 1),
    ("nominal", 100, 10),
    ("slow", 10, 1),
    ("slow", 100, 10),
    ("half", 10, 1),
    ("half", 100, 10),
    ("slow", 1000, 10),
]
FIGURES = ("open_p99", "open_worst", "mean_ms", "p99_ms")


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--base", required=True, help="the revision to compare with")
    parser.add_argument("--requests", type=int, default=10_000)
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--processes", type=int, default=6)
    args = parser.parse_args()
    trees = [Tree(args.base), Tree(None)]

    def run_case(tree: Tree, kind: str, hosts: int, gateways: int, seed: int) -> dict[str, float]:
        worker = Worker(tree, "choice_worker.py")
        try:
            case = {
                "hosts": hosts,
                "gateways": gateways,
                "requests": args.requests,
                "kind": kind,
                "seed": seed,
            }
            return worker.play(**case, kind=kind, seed=seed)
        finally:
            worker.close()

    print(f"{'hosts':>5} {'gateways':>8}  kind     " + "".join(f"{f:>22}" for f in FIGURES))
    with concurrent.futures.ThreadPoolExecutor(args.processes) as pool:
        futures = {
            (tree.name, case): [pool.submit(run_case, tree, *case, seed) for seed in range(args.seeds)]
            for case in CASES
            for tree in trees
        }
        for case in CASES:
            cells = []
            for figure in FIGURES:
                old, new = (
                    statistics.median(f.result()[figure] for f in futures[(tree.name, case)])
                    for tree in trees
                )
                cells.append(f"{old:8.2f} -> {new:8.2f}")
            print(f"{case[1]:5} {case[2]:8}  {case[0]:8} " + "".join(f"{c:>22}" for c in cells), flush=True)
    for tree in trees:
        tree.close()
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
