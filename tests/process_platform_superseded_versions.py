#!/usr/bin/env python3
"""A version that is superseded while it is fetched is skipped; an engine without weights takes it while the newer one can't be had."""

import json
import time

import harness
import platform_fleet
import platform_standin

VERSION_MS = 20000


class RecordingEngine(platform_standin.Engine):
    """Keeps the versions that it was ordered to load."""

    def __init__(self, origin, host, version):
        self.ordered = []
        super().__init__(origin, host, version)

    def answer(self, call):
        if call.path == "/bilberrybarrow/order":
            self.ordered.append(json.loads(call.body)["version"])
        super().answer(call)


class RecordingOrigin(platform_standin.Origin):
    """Sends no pieces while `is_without_pieces`; keeps the times at which it was asked for them then."""

    def __init__(self, chunks):
        self.is_without_pieces = False
        self.asked_at = []
        super().__init__(chunks=chunks)

    def answer(self, call):
        if self.is_without_pieces and call.path.startswith("/bilberrybarrow/piece/"):
            self.asked_at.append(time.monotonic())
            call.hang_up()
            return
        super().answer(call)


def list_engines(fleet, engines):
    for number, engine in enumerate(engines, 1):
        report = engine.report()
        fleet.store.put(f"servers/e{number}", {"service": "writer", "address": engine.address, "zone": "dc-a", "version": "v1", "slots": 4, "state": "ready", "cold-remaining-ms": 0, "seq-no": 1,
                                               "models": report["models"], "layers": report["layers"]})


def start_fleet(build, versions, chunks=8):
    """An entry, and engines that have the versions; zero: none."""
    fleet = platform_fleet.Fleet(build)
    origin = RecordingOrigin(chunks)
    fleet.stand_ins.append(origin)
    engine = {"slots": 4, "layers": 4, "chunks": origin.chunks, "chunk-bytes": origin.chunk_bytes, "models": [{"name": origin.model, "warmup-s": 0.1}]}
    fleet.services.append({"name": "writer", "health-path": "/healthz", "max-connections": 50, "cold-s": 0.0, "cold-per-s": 0.0, "engine": engine})
    fleet.services.append({"name": "portal", "origin": origin.address, "zone": "dc-a", "link-mbps": 100, "max-connections": 50})
    fleet.publish()
    engines = [RecordingEngine(origin, f"127.0.2.{number}", version) for number, version in enumerate(versions, 1)]
    fleet.stand_ins += engines
    list_engines(fleet, engines)
    fleet.start_entry(1, version_ms=VERSION_MS)
    return fleet, origin, engines


def start_agent(fleet, engine, number, **flags):
    agent = fleet.start_agent(engine, number, version_ms=VERSION_MS, **flags)
    harness.wait_until(lambda: agent.events("engine_found"), 10, "the agent has found its engine")
    return agent


def name_version(fleet, version):
    fleet.store.put("op/version/m", {"model": "m", "version": version})


def test_superseded_version_is_skipped(build):
    fleet, origin, engines = start_fleet(build, [1, 1, 1])
    with fleet:
        agents = [start_agent(fleet, engine, number) for number, engine in enumerate(engines, 1)]
        origin.delay = 0.4
        name_version(fleet, 2)
        harness.wait_until(lambda: len(origin.served) >= origin.chunks, 10, "most pieces have been fetched")
        name_version(fleet, 3)
        harness.wait_until(lambda: all(engine.version == 3 for engine in engines), 2 * VERSION_MS / 1000, "all engines have the newest version")
        assert all(set(engine.ordered) == {3} for engine in engines), [engine.ordered for engine in engines]
        assert all(agent.events("weights_skipped") for agent in agents), "each agent tells which version it skipped"
        assert sum(engine.mixed for engine in engines) == 0


def test_engine_without_weights_takes_a_superseded_version(build):
    fleet, origin, engines = start_fleet(build, [1, 1, 0])
    with fleet:
        for number in (1, 2):
            start_agent(fleet, engines[number - 1], number)
        origin.delay = 0.4
        origin.away = {3}
        name_version(fleet, 2)
        agent = start_agent(fleet, engines[2], 3)
        harness.wait_until(lambda: agent.events("weights_begun") and len(origin.served) >= 6, 10, "most pieces are under way")
        name_version(fleet, 3)
        harness.wait_until(lambda: engines[2].version == 2, VERSION_MS / 2000, "the engine without weights has the older version")
        assert engines[0].version == engines[1].version == 1, "the other engines serve on"
        origin.away = set()
        harness.wait_until(lambda: all(engine.version == 3 for engine in engines), 2 * VERSION_MS / 1000, "all engines have the newest version")
        assert all(set(engine.ordered) == {3} for engine in engines[:2]), [engine.ordered for engine in engines]
        assert sum(engine.mixed for engine in engines) == 0


def test_origin_is_asked_again_while_peers_hold_requests(build):
    """It has no pieces for a time. Agents hold each other's requests meanwhile; those to the origin go on, and each piece leaves it once."""
    # Each agent asks the origin for one piece, and the others for theirs.
    fleet, origin, engines = start_fleet(build, [1, 1, 1, 1], chunks=4)
    with fleet:
        # The link lets two pieces be on their way to an agent at a time.
        agents = [start_agent(fleet, engine, number, link_megabits=0.25) for number, engine in enumerate(engines, 1)]
        origin.is_without_pieces = True
        name_version(fleet, 2)
        harness.wait_until(lambda: all(agent.events("weights_begun") for agent in agents), 10, "all agents have the manifest of version 2")
        name_version(fleet, 3)
        harness.wait_until(lambda: all(agent.events("weights_begun")[-1]["version"] == 3 for agent in agents), 10, "all agents have that of version 3")
        origin.asked_at[:] = [time.monotonic()]
        time.sleep(6)
        asked_at = [*origin.asked_at, time.monotonic()]
        origin.is_without_pieces = False
        harness.wait_until(lambda: all(engine.version == 3 for engine in engines), VERSION_MS / 1000, "all engines have the newest version")
        longest_gap = max(later - earlier for earlier, later in zip(asked_at, asked_at[1:]))
        assert longest_gap < 1.0, f"for {longest_gap:.2f} s no agent asked the origin"
        assert len(origin.served) == origin.chunks, origin.served
        assert sum(engine.mixed for engine in engines) == 0


def main():
    arguments = harness.parse_arguments(__doc__)
    tests = [test for name, test in globals().items() if name.startswith("test_")]
    for test in tests:
        test(arguments.build)
        print(test.__name__, "passed", flush=True)


if __name__ == "__main__":
    harness.main(main)
