#!/usr/bin/env python3
"""Prints what the callers and the trainer of the demo saw.

Usage: summary.py FOLDER
"""
import json
import pathlib
import sys

TRAINER_ROWS = [("samples delivered", "delivered"), ("doubled", "doubled"), ("lost", "lost"), ("changed on a repeated pull", "changed"),
                ("not attributed", "unattributed"), ("over the staleness bound", "overBound"), ("oldest staleness, steps", "oldestStaleness"),
                ("mean staleness, steps", "meanStaleness"), ("trainer idle, seconds", "idleSeconds"), ("first step after, seconds", "firstWaitSeconds"),
                ("whole, seconds", "seconds")]
LOADS = ["quiet", "faults", "drain"]
PROMISES = ["runTwice", "falseNotRun", "lost", "doubled", "crossed", "cut"]


def last_json(path):
    lines = path.read_text().strip().splitlines() if path.exists() else []
    return json.loads(lines[-1]) if lines else None


def print_callers(folder):
    print(f"  {'load':8}{'caller':10}{'asked':>8}{'done':>8}{'not run':>9}{'unknown':>9}{'p50 ms':>9}{'p99 ms':>9}")
    for name in LOADS:
        report = last_json(folder / f"load-{name}.out")
        if report is None:
            print(f"  {name:8}did not finish")
            continue
        for kind, row in report["kinds"].items():
            print(f"  {name:8}{kind:10}{row['operations']:8}{row['done']:8}{row['notRun']:9}{row['unknown']:9}{row['p50Ms']:9.1f}{row['p99Ms']:9.1f}")
        print(f"  {name:8}" + ", ".join(f"{promise} {report[promise]}" for promise in PROMISES))


def print_trainer(folder):
    figures = last_json(folder / "trainer.out")
    if figures is None:
        print("  the trainer did not finish")
        return
    for text, key in TRAINER_ROWS:
        value = figures.get(key, "-")
        print(f"  {text:30} {value:.2f}" if isinstance(value, float) else f"  {text:30} {value}")


def main():
    folder = pathlib.Path(sys.argv[1])
    print_callers(folder)
    print_trainer(folder)


if __name__ == "__main__":
    main()
