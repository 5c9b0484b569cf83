#!/usr/bin/env python3
"""Works out docs/CAPACITY.md's figures at the target sizes from the figures that `make measure` wrote.

Prints one `name value unit` a line; a figure whose slope was not measured is left out.
"""

import pathlib

import harness

ENTRIES = 330
ENDPOINTS = 600
VMS = ENTRIES + ENDPOINTS
REQUESTS = 2900
TOKENS = 1.2e6
TOKEN_SECONDS = 0.050
CHANGES_A_DAY = 310
SECONDS_A_DAY = 86400
# What each loss leaves to the remaining nodes, as a factor.
LOSSES = {"peak": 1.0, "data_centre_lost": 4 / 3, "region_lost": 2.0}


def read_figures(path):
    """The lines `name value unit target` as {name: value}."""
    figures = {}
    for line in pathlib.Path(path).read_text().splitlines():
        words = line.split()
        if len(words) >= 3:
            figures[words[0]] = float(words[1])
    return figures


def role_lines(figures, role, nodes, factor):
    """Load, processor time, streams, threads and memory of one node of a role."""
    requests = REQUESTS / nodes * factor
    tokens = TOKENS / nodes * factor
    streams = tokens * TOKEN_SECONDS
    cpu = requests * figures[f"cpu_{role}_per_request"] + tokens * figures[f"cpu_{role}_per_token"]
    # A stream's own memory, and that of the connection's thread, which was started before it in the measurement.
    stream_memory = figures[f"memory_{role}_per_stream"] + (figures["memory_entry_per_idle_connection"] if role == "entry" else 0)
    yield "requests", requests, "requests/s"
    yield "tokens", tokens, "tokens/s"
    yield "cpu", cpu / 1e4, "percent"
    yield "streams", streams, "streams"
    yield "bytes_each_way", tokens * figures["bytes_per_token"] / 1e3, "KB/s"
    yield "memory", figures[f"idle_memory_{role}"] + streams * stream_memory / 1024, "MiB"


def main():
    arguments = harness.parse_arguments(__doc__, figures=str(harness.ROOT / "measure-output" / "figures.txt"))
    figures = read_figures(arguments.figures)
    for loss, factor in LOSSES.items():
        for role, nodes in (("entry", ENTRIES), ("endpoint", ENDPOINTS)):
            for name, value, unit in role_lines(figures, role, nodes, factor):
                print(f"{role}_{loss}_{name} {value:.1f} {unit}")
    idle = figures["cpu_entry_per_idle_connection"]
    print(f"entry_idle_connections_of_one_core {100 / idle:.0f} connections")
    print(f"document_bytes_a_process {figures['document_size_930'] * 1.024 * CHANGES_A_DAY / SECONDS_A_DAY:.2f} KB/s")
    print(f"document_largest {1024 / figures['document_size_930'] * VMS:.0f} VMs")
    parse = (figures["document_check_cpu_930"] - figures["document_check_cpu_58"]) / (VMS - 58)
    print(f"document_parse_a_change {parse * VMS:.1f} ms")


if __name__ == "__main__":
    harness.main(main)
