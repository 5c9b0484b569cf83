#!/usr/bin/env python3
"""Manifests with a wrong digest: agents fetch them anew, past peers that hold them, and at a bounded rate while the origin goes on
sending them."""

import time

import harness
import platform_fleet
import platform_standin
import process_platform_weights

ENGINES = 4
LONGEST_RECOVERY_SECONDS = 8
WRONG_PIECE = 3


class Origin(platform_standin.Origin):
    """Sends the next `wrong_manifests` manifests with a change by `spoil`; counts the manifests that it sent."""

    wrong_manifests = 0
    sent_manifests = 0

    def spoil(self, manifest):
        digests = list(manifest["digests"])
        digests[WRONG_PIECE] = "0" + digests[WRONG_PIECE][:-1]
        return {**manifest, "digests": digests}

    def answer(self, call):
        if call.path.startswith("/bilberrybarrow/manifest/"):
            self.sent_manifests += 1
            if self.wrong_manifests > 0:
                self.wrong_manifests -= 1
                send = call.send
                call.send = lambda status, body=b"", headers=(): send(status, self.spoil(body), headers)
        super().answer(call)


def list_engines(fleet):
    for number, engine in enumerate(fleet.engines, 1):
        process_platform_weights.list_engine(fleet, f"e{number}", engine, "dc-a")


def name_version(fleet, version):
    list_engines(fleet)
    fleet.origin.sent_manifests = 0
    fleet.origin.served.clear()
    fleet.store.put("op/version/m", {"model": "m", "version": version})


def wait_taken(fleet, version, what):
    harness.wait_until(lambda: all(engine.version == version for engine in fleet.engines), LONGEST_RECOVERY_SECONDS, what)


def test_engines_that_hold_nothing_are_filled_in_spite_of_wrong_manifests(fleet):
    fleet.origin.wrong_manifests = 2
    fleet.agents = [fleet.start_agent(engine, number) for number, engine in enumerate(fleet.engines, 1)]
    wait_taken(fleet, 1, "all engines are filled")


def test_a_named_version_is_taken_in_spite_of_wrong_manifests(fleet):
    for version, count in ((2, 1), (3, 2)):
        fleet.origin.wrong_manifests = count
        name_version(fleet, version)
        wait_taken(fleet, version, f"all engines have version {version} after {count} wrong manifests")


def test_a_manifest_with_other_sizes_is_refused(fleet):
    usual = fleet.origin.spoil
    for version, change in ((4, lambda manifest: {**manifest, "digests": manifest["digests"][:-1]}), (5, lambda manifest: {**manifest, "chunk-bytes": 1})):
        fleet.origin.spoil = change
        fleet.origin.wrong_manifests = 2
        name_version(fleet, version)
        wait_taken(fleet, version, f"all engines have version {version}")
    fleet.origin.spoil = usual


def test_an_origin_that_goes_on_lying_is_asked_at_a_bounded_rate(fleet):
    fleet.origin.wrong_manifests = 1_000_000
    name_version(fleet, 6)
    time.sleep(10)
    pieces = sum(number == WRONG_PIECE for _, number in fleet.origin.served)
    print(f"in 10 s: {fleet.origin.sent_manifests} manifests and {pieces} times the piece", flush=True)
    assert all(engine.version == 5 for engine in fleet.engines)
    # In the mean an agent asks for neither more than once a second.
    assert fleet.origin.sent_manifests <= 10 * ENGINES, fleet.origin.sent_manifests
    assert pieces <= 10 * ENGINES, pieces
    fleet.origin.wrong_manifests = 0
    wait_taken(fleet, 6, "all engines have the version once the origin sends right manifests")


def main():
    arguments = harness.parse_arguments(__doc__)
    with platform_fleet.Fleet(arguments.build) as fleet:
        fleet.origin = Origin()
        fleet.stand_ins.append(fleet.origin)
        process_platform_weights.add_service(fleet, fleet.origin)
        fleet.publish()
        fleet.engines = [platform_standin.Engine(fleet.origin, f"127.0.2.{number}") for number in range(1, ENGINES + 1)]
        fleet.stand_ins += fleet.engines
        list_engines(fleet)
        entry = fleet.start_entry(1)
        fleet.wait_ready(entry)
        for test in (test_engines_that_hold_nothing_are_filled_in_spite_of_wrong_manifests, test_a_named_version_is_taken_in_spite_of_wrong_manifests,
                     test_a_manifest_with_other_sizes_is_refused, test_an_origin_that_goes_on_lying_is_asked_at_a_bounded_rate):
            test(fleet)
            print(test.__name__, flush=True)
        assert sum(engine.mixed for engine in fleet.engines) == 0
        assert all(agent.stop() == 0 for agent in fleet.agents)


if __name__ == "__main__":
    harness.main(main)
