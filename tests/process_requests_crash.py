#!/usr/bin/env python3
"""A request that crashes each engine that runs it harms two at most, through whichever entry it is sent again."""

import json

import harness

POISON = "crash me now"


def main():
    arguments = harness.parse_arguments(__doc__)
    with harness.Fleet(arguments.build) as fleet:
        fleet.wait_for_replicas(9)
        fleet.wait_for_entries()
        engines = [fleet.back_end(name) for name in fleet.endpoints(fleet.model_service())]
        for engine in engines:
            engine.fault(crash_on=POISON)
        addresses = [fleet.processes[name].address for name in fleet.entries()]
        answers = []
        for number in range(8):
            status, headers, body = fleet.ask_model(addresses[number % len(addresses)], POISON)
            answers.append((status, headers.get("X-Bilberry-Outcome"), json.loads(body or b"{}").get("reason")))
        crashed = [engine.name for engine in engines if engine.process.poll() is not None]
        assert 1 <= len(crashed) <= 2, (crashed, answers)
        assert answers[-len(addresses):] == [(422, "final", "crashed-endpoints")] * len(addresses), answers
        for address in addresses:
            harness.wait_until(lambda: fleet.ask_model(address, "another prompt")[0] == 200, 10, "other requests run on")


if __name__ == "__main__":
    harness.main(main)
