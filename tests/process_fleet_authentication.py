#!/usr/bin/env python3
"""Requests between processes are signed; keys are changed process by process without a cut."""

import harness
from bare_fleet import PROMISE_SECONDS, START_SECONDS, BareFleet

OLD = "old-key-0123456789"
NEW = "new-key-0123456789"
STRANGER = "stranger-0123456789"


def keys(signing, accepted=""):
    return [f"--authentication_key={signing}", f"--authentication_key_accepted={accepted}"]


def main():
    arguments = harness.parse_arguments(__doc__)
    with BareFleet(arguments.build, 6, cut_off=lambda index: index > 0, flags=keys(OLD)) as fleet:
        for path in ("/rpc", "/forward/plain/x", "/chunks/sha256:0", "/manifests/x"):
            status = harness.call("POST", fleet.processes[1].address, path, "{}")[0]
            assert status == 403, (path, status)
        assert harness.call("GET", fleet.processes[1].address, "/healthz")[0] == 200
        print("ok  unsigned requests refused")
        for flags in (keys(OLD, NEW), keys(NEW, OLD), keys(NEW)):
            for index in range(6):
                fleet.restart(index, flags=flags)
                fleet.wait_in_force(START_SECONDS, [fleet.processes[index]])
            refused = [process.metric("bilberry_unauthenticated_requests_total") for process in fleet.processes]
            assert sum(refused) == 0, refused
            fleet.publish()
            fleet.wait_in_force(PROMISE_SECONDS)
        print("ok  key changed, configuration in force meanwhile")
        fleet.restart(5, flags=keys(STRANGER))
        harness.wait_until(lambda: sum(process.metric("bilberry_unauthenticated_requests_total") for process in fleet.processes) > 0, 5, "stranger refused")
        assert fleet.held(fleet.processes[5]) == 0
        print("ok  process with another key kept out")


if __name__ == "__main__":
    harness.main(main)
