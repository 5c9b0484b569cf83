#!/usr/bin/env python3
"""The thin whole path: weights arrive, a model request and a plain one are answered through each entry."""

import json

import harness


def main():
    arguments = harness.parse_arguments(__doc__)
    with harness.Fleet(arguments.build) as fleet:
        fleet.wait_for_replicas(9)
        for name in set(fleet.endpoints()) - set(fleet.endpoints(fleet.model_service())):
            started = fleet.back_end(name).counts()["started"]
            assert started == 0, f"{name}: a plain service got {started} requests that no caller sent"
        fleet.wait_for_entries()
        for name in fleet.entries():
            status, headers, body = fleet.ask_model(fleet.processes[name].address, max_tokens=5)
            answer = json.loads(body)
            assert status == 200, (status, body)
            assert headers["X-Bilberry-Outcome"] == "ran", headers
            assert answer["system_fingerprint"] == fleet.digest, answer
            assert len(answer["choices"][0]["text"].split()) == 5, answer
        refused = harness.call("GET", fleet.processes[fleet.entries()[0]].address, "/register/x")
        assert refused[0] == 401 and json.loads(refused[2])["outcome"] == "not-run", refused
        codes = fleet.stop_daemons()
        assert set(codes.values()) == {0}, codes


if __name__ == "__main__":
    harness.main(main)
