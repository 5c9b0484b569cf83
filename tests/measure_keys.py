#!/usr/bin/env python3
"""What keys cost and keep: runs doubled and lost and unknown outcomes under failures, keyed against unkeyed latency.

Prints one `name value unit target` a line; --only=TEXT runs the failures with TEXT in their name.
"""

import signal
import time

import harness
from keys_fleet import PATH, REGISTER, Caller, count_runs, start_fleet

SECONDS = 6
RATE = 40


def start_load(fleet, prefix, *flags):
    account = fleet.inventory["callers"][0]["name"]
    key = [f"--key_prefix={prefix}"] if prefix else []
    return fleet.load(f"--rate={RATE}", f"--seconds={SECONDS}", f"--path={PATH}", f"--account={account}", "--timeout_ms=1500", *key, *flags)


def owner_killed(fleet):
    name = fleet.endpoints(REGISTER)[0]
    fleet.processes[name].kill()
    time.sleep(1)
    fleet.restart_daemon(name)


def owner_frozen(fleet):
    name = fleet.endpoints(REGISTER)[1]
    fleet.processes[name].signal(signal.SIGSTOP)
    time.sleep(4.5)
    fleet.processes[name].signal(signal.SIGCONT)


def data_centre_out(fleet):
    fleet.take_out(fleet.vm(fleet.endpoints(REGISTER)[0])["data_centre"])
    time.sleep(2)
    fleet.bring_back()


def replies_dropped(fleet):
    for name in fleet.endpoints(REGISTER):
        fleet.back_end(name).fault(drop_reply=5)


def measure_failure(fleet, name, fail):
    prefix = f"m-{name}"
    load = start_load(fleet, prefix)
    time.sleep(SECONDS / 6)
    fail(fleet)
    report = harness.finish(load)
    runs = count_runs(fleet, prefix)
    doubled = sum(count - 1 for count in runs.values())
    unknown = report["outcome"].get("outcome-unknown", 0)
    print(f"keys_doubled_{name} {doubled} runs 0")
    print(f"keys_answered_without_run_{name} {max(0, report['ok'] - len(runs))} requests 0")
    print(f"keys_sent_{name} {report['sent']} requests -")
    print(f"keys_answered_share_{name} {report['ok'] / max(1, report['sent']):.4f} share -")
    print(f"keys_unknown_answers_{name} {unknown} answers -", flush=True)


def measure_cost(fleet):
    """Keyed and unkeyed loads beside each other, so that both see the same machine."""
    loads = [start_load(fleet, prefix, "--workers=4") for prefix in ("m-cost", "")]
    keyed, unkeyed = [harness.finish(load)["latency_ms"] for load in loads]
    for quantile in ("p50", "p99"):
        print(f"keys_latency_ratio_{quantile} {keyed[quantile] / unkeyed[quantile]:.3f} keyed/unkeyed -")
        print(f"keys_latency_keyed_{quantile} {keyed[quantile]:.2f} ms -", flush=True)


def main():
    arguments = harness.parse_arguments(__doc__, only="")
    with start_fleet(arguments.build) as fleet:
        caller = Caller(fleet)
        caller.wait_for_owners()
        if not arguments.only:
            measure_cost(fleet)
        failures = {"without_failure": lambda _: None, "owner_killed": owner_killed, "owner_frozen": owner_frozen, "replies_dropped": replies_dropped, "data_centre_out": data_centre_out}
        for name, fail in failures.items():
            if arguments.only not in name:
                continue
            caller.wait_for_owners()
            measure_failure(fleet, name, fail)


if __name__ == "__main__":
    harness.main(main)
