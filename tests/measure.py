#!/usr/bin/env python3
"""Runs every tests/measure_*.py and writes their lines, `name value unit target`, to one file."""

import pathlib
import subprocess
import sys

import harness


def main():
    arguments = harness.parse_arguments(__doc__, output=str(harness.ROOT / "measure-output" / "figures.txt"), only="")
    output = pathlib.Path(arguments.output)
    output.parent.mkdir(exist_ok=True)
    lines = []
    failed = []
    for script in sorted((harness.ROOT / "tests").glob("measure_*.py")):
        if arguments.only and arguments.only not in script.name:
            continue
        result = subprocess.run([sys.executable, str(script), "--build", arguments.build], stdout=subprocess.PIPE, text=True, check=False)
        print(result.stdout, end="", flush=True)
        lines += result.stdout.splitlines()
        if result.returncode != 0:
            failed.append(script.name)
    output.write_text("\n".join(lines) + "\n")
    print(f"measure: {len(lines)} figures in {output.name}, scripts failed: {failed or 'none'}")
    return 1 if failed else 0


if __name__ == "__main__":
    harness.main(main)
