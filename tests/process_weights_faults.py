#!/usr/bin/env python3
"""A spread with a seeder killed, a process paused, a stalled and corrupting origin over its rate, and the label replaced.

Live requests run all the while; none may be answered from other weights than a whole published version.
"""

import signal

import harness
from weights_fleet import LinkedFleet

MAX_COPIES_WITH_FAULTS = 4


def main():
    arguments = harness.parse_arguments(__doc__)
    with LinkedFleet(arguments.build, 9, has_entry=True, model_bytes=2 << 20, chunk_bytes=64 << 10, engine_flags=["--token_ms=2"]) as fleet:
        fleet.wait_for_replicas(9)
        fleet.wait_for_entries()
        first = fleet.digest
        fleet.store.fault(bytes_per_second=1 << 20)
        copies, origin = fleet.received(), fleet.origin_copies()
        second = fleet.put_model(seed=2)
        harness.wait_until(lambda: fleet.received() > copies + 1, 20, "the second version spreads")
        # Replaced mid-copy; nobody may have loaded the second one in part.
        third = fleet.put_model(seed=3)
        load = fleet.load(f"--account={fleet.account()['X-Client-Account']}", f"--model={fleet.inventory['models'][0]['name']}", "--rate=30", "--seconds=6",
                          "--workers=32", "--stream", f"--expect_fingerprints={first},{second},{third}")
        harness.wait_until(lambda: f"digest={third}" in fleet.processes["vm-0"].log(), 20, "the third version is noticed")
        fleet.store.fault(corrupt_next=3, stall_next=1, calls_per_second=30)
        fleet.processes["vm-4"].signal(signal.SIGSTOP)
        fleet.processes["vm-3"].kill()
        fleet.back_end("vm-3").kill()
        alive = [name for name in fleet.endpoints() if name not in ("vm-3", "vm-4")]
        harness.wait_until(lambda: all(fleet.served(name) == third for name in alive), 25, "the living serve the third version")
        before = len(fleet.processes["vm-4"].log())
        fleet.processes["vm-4"].signal(signal.SIGCONT)
        harness.wait_until(lambda: fleet.served("vm-4") == third, 20, "the paused process serves the third version")
        orders = [line for line in fleet.processes["vm-4"].log()[before:].splitlines() if "event=load_order" in line]
        assert all(third in line for line in orders), orders
        report = harness.finish(load)
        assert report["ok"] > 0 and report["mixed"] == 0 and report["wrong"] == 0, report
        drawn = fleet.origin_copies() - origin
        assert drawn <= MAX_COPIES_WITH_FAULTS, drawn
        assert fleet.sum_metric('bilberry_chunk_fetches_total{result="corrupt",source="origin"}') > 0
        assert fleet.sum_metric('bilberry_holdings_bytes_total{with="chunk"}') > 0


if __name__ == "__main__":
    harness.main(main)
