#!/usr/bin/env python3
"""Figures of the fleet state at growing sizes: spread of a configuration, calls, bytes, processor time, memory."""

import math
import os
import signal
import time

import harness
from bare_fleet import BareFleet

CHANGES = 6
TARGET_SIZE = 930
STEADY_SECONDS = 10
SIGNING_SIZE = 8
SIGNING_TURNS = 3
FLAGS = ["--gossip_ms=500", "--http_threads=16"]
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")


def process_seconds(pid):
    with open(f"/proc/{pid}/stat", encoding="ascii") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS


def resident_bytes(pid):
    with open(f"/proc/{pid}/status", encoding="ascii") as file:
        return next(int(line.split()[1]) * 1024 for line in file if line.startswith("VmRSS"))


def percentile(values, share):
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, math.ceil(share * len(ordered)) - 1)]


def spread(fleet, is_down):
    """Publishes some changes; gives the times of all processes and of the last of each change."""
    every, last = [], []
    for _ in range(CHANGES):
        fleet.rules["data_centres_out"] = [] if fleet.rules["data_centres_out"] else ["dc-1"]
        at = time.time()
        fleet.publish()
        if is_down:
            harness.wait_until(lambda: any(fleet.held(process) >= fleet.generation for process in fleet.processes[:8]), 10, "first read")
            fleet.config.fault(down=True)
        fleet.wait_in_force(20)
        times = [fleet.adopted_at(process) - at for process in fleet.processes]
        every += times
        last.append(max(times))
        fleet.config.fault(down=False)
        time.sleep(1)
    return every, last


def steady(fleet):
    """Calls a second to the service, and the means of bytes a second, share of a core and memory a process."""
    def totals():
        return (time.monotonic(), fleet.config.counts()["calls"], sum(process.metric("bilberry_control_bytes_total") for process in fleet.processes),
                sum(process_seconds(process.process.pid) for process in fleet.processes))
    before = totals()
    time.sleep(STEADY_SECONDS)
    after = totals()
    seconds, calls, sent, busy = (second - first for first, second in zip(before, after))
    count = len(fleet.processes)
    resident = max(resident_bytes(process.process.pid) for process in fleet.processes)
    return {"service_calls": calls / seconds, "control_bytes": sent / seconds / count, "core_share": 100 * busy / seconds / count, "resident": resident}


def notice_killed(fleet):
    """Time until all others have dropped a killed process's row from those heard lately."""
    victim = fleet.processes[-1]
    at = time.monotonic()
    victim.signal(signal.SIGKILL)
    suspects = 'bilberry_suspect_vms'
    harness.wait_until(lambda: all(process.metric(suspects) >= 1 for process in fleet.processes[:-1]), 20, "suspicion everywhere")
    return time.monotonic() - at


def exchange_cost(build, flags):
    """Processor time of the whole fleet an exchange, in microseconds; the rounds are short, so that little else counts."""
    with BareFleet(build, SIGNING_SIZE, data_centres=4, flags=["--gossip_ms=50", "--http_threads=16", *flags]) as fleet:
        time.sleep(2)

        def totals():
            return (sum(process_seconds(process.process.pid) for process in fleet.processes),
                    sum(process.metric("bilberry_exchanges_total") for process in fleet.processes))
        before = totals()
        time.sleep(STEADY_SECONDS)
        busy, exchanges = (second - first for first, second in zip(before, totals()))
        return 1e6 * busy / exchanges


def print_signing(build):
    """The cost of an exchange with and without keys, in turn; both its messages, one of which is signed and checked."""
    for turn in range(SIGNING_TURNS):
        plain = exchange_cost(build, [])
        signed = exchange_cost(build, [f"--authentication_key={'k' * 32}"])
        print(f"fleet_exchange_unsigned_{turn} {plain:.0f} us -")
        print(f"fleet_exchange_signed_{turn} {signed:.0f} us -", flush=True)


def main():
    arguments = harness.parse_arguments(__doc__, sizes="8,32,128")
    sizes = [int(size) for size in arguments.sizes.split(",")]
    results = {}
    for size in sizes:
        with BareFleet(arguments.build, size, data_centres=4, flags=FLAGS) as fleet:
            time.sleep(5)
            results[size] = steady(fleet)
            for name, is_down in (("", False), ("_service_down", True)):
                every, last = spread(fleet, is_down)
                print(f"fleet_in_force_p99{name}_{size} {percentile(every, 0.99):.2f} s 4")
                print(f"fleet_in_force_last{name}_{size} {max(last):.2f} s 4")
                results[size][f"last{name}"] = percentile(last, 0.5)
            print(f"fleet_killed_noticed_{size} {notice_killed(fleet):.2f} s 10", flush=True)
        figures = results[size]
        print(f"fleet_service_calls_{size} {figures['service_calls']:.1f} calls/s 2000")
        print(f"fleet_control_bytes_{size} {figures['control_bytes'] / 1000:.2f} KB/s 25")
        print(f"fleet_core_share_{size} {figures['core_share']:.2f} % 2.1")
        print(f"fleet_resident_max_{size} {figures['resident'] / 1e6:.1f} MB 128", flush=True)
    print_slopes(results, sizes[0], sizes[-1])
    print_signing(arguments.build)


def print_slopes(results, small, large):
    """The slope between the smallest and the largest size, and the value on that line at the target size.

    For the bytes the line does not hold above 256 processes, where digests no longer cover the whole fleet; see
    MembershipTest/controlBytesOfTheTargetFleet…, which works them out from the messages.
    """
    if small == large:
        return
    units = {"service_calls": ("calls/s", 1, 2000), "control_bytes": ("KB/s", 1000, 25), "core_share": ("%", 1, 2.1), "resident": ("MB", 1e6, 128)}
    for name, (unit, scale, target) in units.items():
        slope = (results[large][name] - results[small][name]) / (large - small)
        at_target = results[large][name] + slope * (TARGET_SIZE - large)
        print(f"fleet_{name}_slope {slope / scale:.5f} {unit}/process -")
        print(f"fleet_{name}_line_at_{TARGET_SIZE} {at_target / scale:.2f} {unit} {target}")
    growth = results[large]["last"] / max(results[small]["last"], 0.01)
    print(f"fleet_in_force_growth {growth:.2f} x {math.log(large) / math.log(small):.2f}")


if __name__ == "__main__":
    harness.main(main)
