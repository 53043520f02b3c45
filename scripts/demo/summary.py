#!/usr/bin/env python3
"""Prints what the trainer of the demo saw.

Usage: summary.py FOLDER
"""
import json
import pathlib
import sys

ROWS = [("samples delivered", "delivered"), ("doubled", "doubled"), ("lost", "lost"), ("changed on a repeated pull", "changed"),
        ("not attributed", "unattributed"), ("over the staleness bound", "overBound"), ("oldest staleness, steps", "oldestStaleness"),
        ("trainer idle, seconds", "idleSeconds"), ("whole, seconds", "seconds")]


def main():
    lines = (pathlib.Path(sys.argv[1]) / "trainer.out").read_text().strip().splitlines()
    if not lines:
        print("  the trainer did not finish")
        return
    figures = json.loads(lines[-1])
    for text, key in ROWS:
        print(f"  {text:30} {figures.get(key, '-')}")


if __name__ == "__main__":
    main()
