#!/usr/bin/env python3
"""No request begins on superseded weights later than the bound after the newer version was named, whatever delays an entry or a request."""

import os
import signal
import threading
import time

import harness
import platform_fleet
import platform_standin
import slow_link

BOUND = 5.0


class ModelServer(platform_standin.Endpoint):
    """An engine's part for requests. It begins each one at once, on the weights that it has then."""

    def __init__(self, name, version):
        self.version = version
        self.begun = []
        super().__init__(name)

    def answer(self, call):
        expected = call.headers.get("Bilberrybarrow-Expect-Version")
        if expected and int(expected) != self.version:
            call.send(421, b"", [("Bilberrybarrow-Request-Id", call.headers["Bilberrybarrow-Request-Id"]), ("Bilberrybarrow-Instance-Id", self.name)])
            return
        self.begun.append((time.monotonic(), self.version))
        super().answer(call)

    def last_begun_on(self, version):
        return max((at for at, begun_on in self.begun if begun_on == version), default=0.0)


class Callers:
    """Callers that send a request each 50 ms until they are stopped."""

    def __init__(self, fleet, entry):
        self.is_stopped = False
        self.statuses = []
        self.threads = []
        self.sender = threading.Thread(target=self.send_all, args=(fleet, entry))
        self.sender.start()

    def send_all(self, fleet, entry):
        def send():
            self.statuses.append(fleet.call(entry, "/write/", budget_ms=3000, **{"Bilberrybarrow-Model": "m"})[0])

        while not self.is_stopped:
            self.threads.append(threading.Thread(target=send))
            self.threads[-1].start()
            time.sleep(0.05)

    def stop(self):
        self.is_stopped = True
        self.sender.join()
        for thread in self.threads:
            thread.join()


def list_engine(fleet, engine, address, version):
    fleet.store.put(f"servers/{engine.name}", {"service": "writer", "address": address, "zone": "dc-a", "version": "v1", "slots": 8, "state": "ready", "cold-remaining-ms": 0, "seq-no": 1,
                                               "models": [{"name": "m", "version": version, "adapters": []}], "layers": [{"from": 0, "target": 4, "version": version}]})


def name_version(fleet, version):
    fleet.store.put("op/version/m", {"model": "m", "version": version})


def start_fleet(build, engines, number=1, **flags):
    """A fleet of one entry and the engines; `engines` are pairs of an engine and the address at which it is listed."""
    fleet = platform_fleet.Fleet(build)
    fleet.add_route("/write/", "writer", "non_idempotent")
    fleet.services[-1]["engine"] = {"slots": 8, "layers": 4, "chunks": 8, "chunk-bytes": 4096, "models": [{"name": "m", "warmup-s": 0.1}]}
    fleet.publish()
    for engine, address in engines:
        fleet.stand_ins.append(engine)
        list_engine(fleet, engine, address, engine.version)
    entry = fleet.start_entry(number, version_ms=int(1000 * BOUND), **flags)
    fleet.wait_ready(entry)
    harness.wait_until(lambda: fleet.call(entry, "/write/", **{"Bilberrybarrow-Model": "m"})[0] == 200, 5, "the engines are used")
    return fleet, entry


def check_bound(engine, named_at):
    begun_after = engine.last_begun_on(1) - named_at
    assert begun_after <= BOUND, f"a request began on version 1, {begun_after:.3f} s after version 2 was named; the bound is {BOUND} s"
    return begun_after


def test_entry_that_stood_still_while_a_version_was_named(build):
    engine = ModelServer("e1", 1)
    fleet, entry = start_fleet(build, [(engine, engine.address)])
    with fleet:
        os.kill(entry.process.pid, signal.SIGSTOP)
        named_at = time.monotonic()
        name_version(fleet, 2)
        time.sleep(BOUND / 2)
        os.kill(entry.process.pid, signal.SIGCONT)
        callers = Callers(fleet, entry)
        time.sleep(BOUND)
        callers.stop()
        check_bound(engine, named_at)


def test_entry_that_the_store_turned_away_while_a_version_was_named(build):
    engine = ModelServer("e1", 1)
    fleet, entry = start_fleet(build, [(engine, engine.address)], revocation_ms=60000)
    with fleet:
        callers = Callers(fleet, entry)
        fleet.store.is_down = True
        time.sleep(1.5)
        named_at = time.monotonic()
        name_version(fleet, 2)
        time.sleep(BOUND / 2)
        fleet.store.is_down = False
        time.sleep(BOUND)
        callers.stop()
        check_bound(engine, named_at)


def test_entry_that_starts_after_a_version_was_named(build):
    engine = ModelServer("e1", 1)
    fleet, entry = start_fleet(build, [(engine, engine.address)])
    with fleet:
        named_at = time.monotonic()
        name_version(fleet, 2)
        time.sleep(BOUND / 2)
        entry.kill()
        restarted = fleet.start_entry(1, version_ms=int(1000 * BOUND), contact_ms=3000)
        fleet.wait_ready(restarted)
        callers = Callers(fleet, restarted)
        time.sleep(BOUND)
        callers.stop()
        check_bound(engine, named_at)


def test_engine_behind_a_slow_link(build):
    engine = ModelServer("e1", 1)
    link = slow_link.SlowLink(engine.address)
    fleet, entry = start_fleet(build, [(engine, link.address)])
    with fleet:
        fleet.stand_ins.append(link)
        named_at = time.monotonic()
        name_version(fleet, 2)
        link.delay = 2.8
        callers = Callers(fleet, entry)
        time.sleep(BOUND + 2)
        callers.stop()
        begun_after = check_bound(engine, named_at)
        assert begun_after > 1.0, "the engine was used after the version was named"


def test_engine_that_returned_to_the_older_weights(build):
    """It had switched, by the list of endpoints, and serves the older weights again, which the list doesn't show yet."""
    engine = ModelServer("e1", 1)
    fleet, entry = start_fleet(build, [(engine, engine.address)])
    with fleet:
        named_at = time.monotonic()
        name_version(fleet, 2)
        engine.version = 2
        list_engine(fleet, engine, engine.address, 2)
        callers = Callers(fleet, entry)
        time.sleep(BOUND / 2)
        engine.version = 1
        time.sleep(BOUND)
        callers.stop()
        assert engine.last_begun_on(2) > named_at, "the newer weights were used"
        check_bound(engine, named_at)


def main():
    arguments = harness.parse_arguments(__doc__)
    tests = [test for name, test in globals().items() if name.startswith("test_")]
    failures = []
    for test in tests:
        try:
            test(arguments.build)
            print(test.__name__, "passed", flush=True)
        except AssertionError as error:
            failures.append(test.__name__)
            print(test.__name__, "FAILED:", error, flush=True)
    assert not failures, failures


if __name__ == "__main__":
    harness.main(main)
