#!/usr/bin/env python3
"""Processes that die, pause and come back, a partition, and changes in quick succession."""

import signal
import time

import harness
from bare_fleet import PROMISE_SECONDS, START_SECONDS, BareFleet


def lose_watchers(fleet):
    """One watcher is killed and the other one hangs: others take over the watch."""
    watchers = harness.wait_until(lambda: (found := fleet.watchers()) and len(found) == 2 and found, START_SECONDS, "two watchers")
    watchers[0].kill()
    watchers[-1].signal(signal.SIGSTOP)
    rest = [process for process in fleet.processes if process not in watchers]
    fleet.publish()
    fleet.wait_in_force(PROMISE_SECONDS, rest)
    watchers[-1].signal(signal.SIGCONT)
    lost = fleet.processes.index(watchers[0])
    fleet.processes[lost] = fleet.launch(lost)
    fleet.wait_in_force(START_SECONDS)


def refuse_after_pause(fleet):
    """A paused endpoint is refused work until it has heard the fleet again, then adopts what it missed."""
    paused = fleet.processes[4]
    pauses = paused.metric("bilberry_process_pauses_total")
    paused.signal(signal.SIGSTOP)
    fleet.rules["data_centres_out"] = ["dc-0"]
    fleet.publish()
    fleet.wait_in_force(PROMISE_SECONDS, [process for process in fleet.processes if process is not paused])
    time.sleep(3.5)  # Longer than the pause limit: the pause itself, not an event to wait for.
    paused.signal(signal.SIGCONT)
    status, headers, _ = harness.call("POST", paused.address, "/forward/plain/x", "{}", {"X-Bilberry-Service": "plain"})
    reason = {name.lower(): value for name, value in headers.items()}.get("x-bilberry-reason")
    assert status == 503 and reason in ("no-configuration", "data-centre-out"), (status, headers)
    harness.wait_until(lambda: paused.metric("bilberry_process_pauses_total") == pauses + 1, PROMISE_SECONDS, "pause noticed")
    fleet.wait_in_force(PROMISE_SECONDS)


def change_quickly(fleet):
    """Two changes at once, then out and back within a second: the last one is in force everywhere."""
    for _ in range(2):
        fleet.rules["data_centres_out"] = ["dc-0"]
        fleet.publish()
        fleet.rules["data_centres_out"] = []
        fleet.publish()
        fleet.wait_in_force(PROMISE_SECONDS)


def lose_region(fleet):
    """Two regions lose each other, and one the service: it serves on as before and catches up from the other alone."""
    near = [process for index, process in enumerate(fleet.processes) if index % 2 == 0]
    far = [process for process in fleet.processes if process not in near]
    before = fleet.generation
    fleet.cut(["dc-0"], ["dc-1"], from_service=["dc-1"])
    fleet.rules["data_centres_out"] = ["dc-1"]
    fleet.publish()
    fleet.wait_in_force(PROMISE_SECONDS, near)
    wait_for_suspects(fleet, len(near))
    assert all(fleet.held(process) == before for process in far)
    status = harness.call("GET", far[1].address, "/plain/x", headers={"X-Client-Account": "caller"})[0]
    assert status == 200, status
    fleet.cut([], [], from_service=["dc-1"])
    fleet.wait_in_force(PROMISE_SECONDS)
    wait_for_suspects(fleet, 0)


def wait_for_suspects(fleet, count):
    suspects = lambda: [process.metric("bilberry_suspect_vms") for process in fleet.processes]
    harness.wait_until(lambda: set(suspects()) == {count}, START_SECONDS, f"{count} suspects at each process")


def check_order(fleet):
    """No process took over a lower generation than the one before; one that was started again has two runs."""
    for process in fleet.processes:
        lines = [line for line in process.log().splitlines() if "document_adopted" in line and "document=configuration" in line]
        generations = [int(line.split("generation=")[1].split()[0]) for line in lines]
        falls = sum(1 for first, second in zip(generations, generations[1:]) if second <= first)
        starts = process.log().count("authentication_off")
        assert generations and falls <= starts - 1, (process.name, generations)


def main():
    arguments = harness.parse_arguments(__doc__)
    with BareFleet(arguments.build, 8, data_centres=1) as fleet:
        lose_watchers(fleet)
        print("ok  both watchers lost")
        refuse_after_pause(fleet)
        print("ok  pause")
        change_quickly(fleet)
        print("ok  changes in quick succession")
        check_order(fleet)
    with BareFleet(arguments.build, 8, data_centres=2, has_links=True) as fleet:
        wait_for_suspects(fleet, 0)
        lose_region(fleet)
        print("ok  partition between regions, the service on one side")
        check_order(fleet)
    # The watch has to reach one of the two that can read.
    with BareFleet(arguments.build, 6, data_centres=1, cut_off=lambda index: index < 4) as fleet:
        fleet.publish()
        fleet.wait_in_force(PROMISE_SECONDS)
        print("ok  some processes cut off from the service")


if __name__ == "__main__":
    harness.main(main)
