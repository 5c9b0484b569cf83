#!/usr/bin/env python3
"""Size of a configuration, and processor time to check and to plan it, by VMs, up to the target's 930."""

import json
import pathlib
import resource
import subprocess
import tempfile

import harness

SIZES = [58, 232, 465, 930]
# VMs of the target: 330 entries before 600 endpoints; 250 of the endpoints carry a new model.
ENTRIES_OF = 330 / 930
REPLICAS_OF = 250 / 930
# Largest value that the platform holds.
MAX_DOCUMENT_KIB = 1024
REPEATS = 5


def make_document(size):
    """A deployment of four data centres in two regions with so many VMs."""
    centres = [{"name": f"region-{index // 2}-dc-{index % 2}", "region": f"region-{index // 2}"} for index in range(4)]
    vms = []
    for index in range(size):
        row = {"name": f"{centres[index % 4]['name']}-vm-{index}", "data_centre": centres[index % 4]["name"], "address": f"10.{index % 4}.{index // 250}.{index % 250 + 1}:7000"}
        if index < size * ENTRIES_OF:
            row["role"] = "entry"
        else:
            row.update(service="drafting", back_end=row["address"].replace(":7000", ":8000"), weight_memory_bytes=51539607552, checks_fencing=True, max_concurrency=16, cold_concurrency=2)
        vms.append(row)
    inventory = {"data_centres": centres, "services": [{"name": "drafting", "kind": "model"}],
                 "models": [{"name": "drafter", "label": "stable", "service": "drafting", "size_bytes": 15032385536}], "vms": vms,
                 "callers": [{"name": f"account-{index}"} for index in range(10)], "weight_store": {"address": "10.9.0.1:5000", "region": "region-0"}}
    rules = {"placements": [{"model": "drafter", "replicas": round(size * REPLICAS_OF)}]}
    return json.dumps({"inventory": inventory, "rules": rules}, separators=(",", ":"))


def run_seconds(build, verb, path):
    """Processor time of one run of bilberryctl, the least of some."""
    times = []
    for _ in range(REPEATS):
        before = resource.getrusage(resource.RUSAGE_CHILDREN)
        subprocess.run([f"{build}/bilberryctl", verb, path], stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL, check=True)
        after = resource.getrusage(resource.RUSAGE_CHILDREN)
        times.append(after.ru_utime + after.ru_stime - before.ru_utime - before.ru_stime)
    return min(times)


def main():
    arguments = harness.parse_arguments(__doc__)
    with tempfile.TemporaryDirectory() as folder:
        for size in SIZES:
            path = pathlib.Path(folder) / "document.json"
            path.write_text(make_document(size))
            print(f"document_size_{size} {path.stat().st_size / 1024:.1f} KiB {MAX_DOCUMENT_KIB}")
            print(f"document_check_cpu_{size} {1000 * run_seconds(arguments.build, 'check', str(path)):.1f} ms none")
            print(f"document_plan_cpu_{size} {1000 * run_seconds(arguments.build, 'plan', str(path)):.1f} ms none", flush=True)


if __name__ == "__main__":
    harness.main(main)
