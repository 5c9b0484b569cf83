#!/usr/bin/env python3
"""The store, the origin of weights and an engine whose answers have a head that is no HTTP: entries and agents take nothing from such an
answer, and go on once answers are sound again."""

import time
import types

import bare_server
import harness
import platform_fleet
import platform_standin
from process_platform_weights import add_service, list_engine

# What would have happened by then if the answers were taken.
TIME_TO_TAKE = 1.5


def with_status_000(answer):
    return b"HTTP/1.1 000 Broken" + answer[answer.index(b"\r\n"):]


def with_line(line):
    """Changes an answer so that the line follows its first header."""
    def change(answer):
        status_line, header, rest = answer.split(b"\r\n", 2)
        return b"\r\n".join([status_line, header, line, rest])
    return change


CHANGES = {"status 000": with_status_000, "a blank in a name": with_line(b"Bad Name: x"), "a control byte in a name": with_line(b"Bad\x01Name: x"), "a line that begins with a blank": with_line(b" x: y")}


class Middle(bare_server.BareServer):
    """Stands before a stand-in, and changes its answers where `change` is set."""

    def __init__(self, target, host="127.0.0.1"):
        super().__init__(self.pass_on, host)
        self.target = target
        self.change = None

    def pass_on(self, connection, request):
        # As it is when the answer is sent: a watch that waits answers later.
        bare_server.relay(connection, request, self.target.address, lambda answer: self.change(answer) if self.change else answer)
        return False


def test_store(fleet, store):
    """An entry that can read nothing doesn't count as ready."""
    store.change = with_status_000
    entry = fleet.start_entry(1, store=store.address)
    harness.wait_until(lambda: store.requests, 10, "the entry reads the store")
    for name, store.change in CHANGES.items():
        store.requests.clear()
        time.sleep(TIME_TO_TAKE)
        assert store.requests and not fleet.is_ready(entry), name
    store.change = None
    fleet.wait_ready(entry)
    return entry


def test_versions(fleet, source, what, engine):
    """A named version isn't taken while the answers of one source are broken, and is afterwards."""
    for name, change in CHANGES.items():
        source.change = change
        source.requests.clear()
        version = engine.version + 1
        fleet.store.put("op/version/m", {"model": "m", "version": version})
        time.sleep(TIME_TO_TAKE)
        assert source.requests and engine.version == version - 1, (what, name, len(source.requests), engine.version)
        source.change = None
        harness.wait_until(lambda: engine.version == version, 20, f"the engine has turned after {name} from the {what}")
        list_engine(fleet, "e", engine, "dc-a")


def main():
    arguments = harness.parse_arguments(__doc__)
    with platform_fleet.Fleet(arguments.build) as fleet:
        origin = platform_standin.Origin()
        engine = platform_standin.Engine(origin, "127.0.2.1", version=1)
        store, before_origin, before_engine = Middle(fleet.store), Middle(origin), Middle(engine, "127.0.2.1")
        fleet.stand_ins += [origin, engine, store, before_origin, before_engine]
        add_service(fleet, types.SimpleNamespace(address=before_origin.address, model=origin.model, chunks=origin.chunks, chunk_bytes=origin.chunk_bytes))
        fleet.publish()
        list_engine(fleet, "e", engine, "dc-a")
        entry = test_store(fleet, store)
        print("test_store", flush=True)
        agent = fleet.start_agent(before_engine, 1)
        for source, what in ((before_origin, "origin"), (before_engine, "engine")):
            test_versions(fleet, source, what, engine)
            print(f"test_versions {what}", flush=True)
        assert engine.mixed == 0
        assert entry.process.poll() is None and agent.process.poll() is None


if __name__ == "__main__":
    harness.main(main)
