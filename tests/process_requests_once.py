#!/usr/bin/env python3
"""A request that may not be repeated runs at most once whatever fails at its endpoint, and `not-run` is never said of one that
ran. Its caller sends it again only after `not-run`."""

import json
import uuid

import harness

PATH = "/register/suspensions"
REGISTER = "register"


def start_fleet(build):
    """The register service only: three endpoints and the entries."""

    def edit(fleet):
        fleet.inventory["vms"] = [row for row in fleet.inventory["vms"] if row.get("role") == "entry" or row["service"] == REGISTER]
        fleet.rules["placements"] = fleet.rules["bursts"] = []

    return harness.Fleet(build, edit=edit)


class Caller:
    """Submits requests and counts their runs; each back end prints a line a run."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.runs = {}
        self.watched = {name: fleet.back_end(name) for name in fleet.endpoints(REGISTER)}

    def submit(self, request, entry=0):
        """One attempt; gives the outcome that the answer states."""
        address = self.fleet.processes[self.fleet.entries()[entry]].address
        headers = {**self.fleet.account(), "Idempotency-Key": request, "X-Request-Timeout-Ms": "1500"}
        _, received, _ = harness.call("POST", address, PATH, json.dumps({"entry": request}), headers, 10.0)
        return received.get("X-Bilberry-Outcome", "lost")

    def run_count(self, request):
        for process in self.watched.values():
            while not process.lines.empty():
                words = process.lines.get().split()
                if words[:1] == ["run"]:
                    self.runs[words[1]] = self.runs.get(words[1], 0) + 1
        return self.runs.get(request, 0)

    def submit_until_settled(self, attempts=6):
        """Sends one request as long as the answers allow it; gives it with its last outcome."""
        request = str(uuid.uuid4())
        for attempt in range(attempts):
            outcome = self.submit(request, attempt % 2)
            assert outcome != "not-run" or self.run_count(request) == 0, request
            if outcome != "not-run":
                break
        assert self.run_count(request) <= 1, (request, self.runs[request])
        return request, outcome


def main():
    arguments = harness.parse_arguments(__doc__)
    with start_fleet(arguments.build) as fleet:
        caller = Caller(fleet)
        harness.wait_until(lambda: caller.submit_until_settled()[1] == "ran", 15, "requests run")
        for fault, runs in (("drop_reply", 1), ("crash_after_run", 1), ("crash_before_run", 0)):
            for back_end in caller.watched.values():
                back_end.fault(**{fault: 1})
            request, outcome = caller.submit_until_settled()
            assert outcome in ("outcome-unknown", "lost"), (fault, outcome)
            harness.wait_until(lambda: caller.run_count(request) >= runs, 5, f"{runs} runs of {request}")
            assert caller.run_count(request) == runs, (fault, caller.run_count(request))
            for name, back_end in caller.watched.items():
                if back_end.process.poll() is None:
                    back_end.fault(**{fault: 0})
                else:
                    fleet.start_back_end(name)
                    caller.watched[name] = fleet.back_end(name)
            fleet.publish()
            harness.wait_until(lambda: caller.submit_until_settled()[1] == "ran", 15, f"requests run after {fault}")
        # A process that is killed beside its back end: what was written there stays written once.
        victim = fleet.endpoints(REGISTER)[0]
        fleet.processes[victim].kill()
        for _ in range(20):
            caller.submit_until_settled()


if __name__ == "__main__":
    harness.main(main)
