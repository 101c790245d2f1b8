#!/usr/bin/env python3
"""Runs a bench scenario on processes and prints one JSON object for each figure."""

import argparse
import importlib
import sys

from deployment import ROOT
from figures import Figures

SCENARIOS = ("path", "control", "faults", "capacity")


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("scenario", choices=SCENARIOS)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1, help="repeat with this many seeds, from --seed on")
    parser.add_argument("--out", help="also write the figures to this file")
    parser.add_argument("--base-port", type=int, default=21000)
    parser.add_argument("--build", default=str(ROOT / "build"))
    arguments = parser.parse_args()
    scenario = importlib.import_module(f"bench_{arguments.scenario}")
    missed = []
    for seed in range(arguments.seed, arguments.seed + arguments.seeds):
        figures = Figures(arguments.scenario, seed, arguments.out)
        scenario.run(figures, arguments.base_port, arguments.build, ROOT / "build" / "bench")
        missed += figures.missed
    if missed:
        print(f"targets missed: {', '.join(missed)}", file=sys.stderr)
    return 0


if __name__ == "__main__":
    sys.exit(main())
