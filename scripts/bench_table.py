#!/usr/bin/env python3
"""Prints the figures of benchmark lines as a table.

Usage: bench_table.py build/bench/NAME...   (each read from NAME.json)
"""
import json
import pathlib
import sys


def rows(path):
    text = pathlib.Path(path + ".json").read_text().strip()
    if not text:
        yield (pathlib.Path(path).name, "(no result)", "", "", "")
        return
    line = json.loads(text.splitlines()[-1])
    for name, figure in line["figures"].items():
        state = "" if "met" not in figure else ("met" if figure["met"] else "MISSED")
        baselines = ", ".join(f"{key} {value:.4g}" for key, value in figure.get("baseline", {}).items())
        yield (line["bench"], name, f"{figure['value']:.5g} {figure['unit']}", f"{figure.get('target', '')} {state}".strip(), baselines)


def main():
    table = [("benchmark", "figure", "value", "target", "baselines")] + [row for path in sys.argv[1:] for row in rows(path)]
    widths = [max(len(row[column]) for row in table) for column in range(4)]
    for row in table:
        print("  ".join(cell.ljust(width) for cell, width in zip(row, widths)) + "  " + row[4])


if __name__ == "__main__":
    main()
