#!/usr/bin/env python3
"""Weights agents beside engines: named versions are taken whole, from peers before the origin, and spoilt pieces never."""

import time

import harness
import platform_fleet
import platform_standin


def add_service(fleet, origin):
    engine = {"slots": 4, "layers": 4, "chunks": origin.chunks, "chunk-bytes": origin.chunk_bytes, "models": [{"name": origin.model, "warmup-s": 0.1}]}
    fleet.services.append({"name": "writer", "health-path": "/healthz", "max-connections": 50, "cold-s": 0.0, "cold-per-s": 0.0, "engine": engine})
    fleet.services.append({"name": "portal", "origin": origin.address, "zone": "dc-a", "link-mbps": 100, "max-connections": 50})


def list_engine(fleet, name, engine, data_centre):
    report = engine.report()
    fleet.store.put(f"servers/{name}", {"service": "writer", "address": engine.address, "zone": data_centre, "version": "v1", "slots": 4, "state": "ready", "cold-remaining-ms": 0,
                                        "seq-no": 1, "models": report["models"], "layers": report["layers"]})


def main():
    arguments = harness.parse_arguments(__doc__)
    with platform_fleet.Fleet(arguments.build) as fleet:
        origin = platform_standin.Origin()
        fleet.stand_ins.append(origin)
        add_service(fleet, origin)
        fleet.publish()
        engines = [platform_standin.Engine(origin, f"127.0.2.{number}", version=1 if number < 4 else 0) for number in range(1, 5)]
        fleet.stand_ins += engines
        for number, engine in enumerate(engines, 1):
            list_engine(fleet, f"e{number}", engine, "dc-a" if number % 2 else "dc-b")
        entry = fleet.start_entry(1)
        agents = [fleet.start_agent(engine, number, data_centre="dc-a" if number % 2 else "dc-b") for number, engine in enumerate(engines, 1)]

        # 1. An engine that came empty is filled by its neighbour: the origin sends no piece.
        harness.wait_until(lambda: engines[3].version == 1, 10, "the empty engine is filled")
        assert not origin.served, origin.served
        list_engine(fleet, "e4", engines[3], "dc-b")

        # 2. A named version: every engine takes it; the origin sends each piece once, and again where it was spoilt.
        #    Answers that state a huge length end no agent.
        origin.spoilt = {2, 5}
        origin.huge_lengths = 3
        fleet.store.put("op/version/m", {"model": "m", "version": 2})
        harness.wait_until(lambda: all(engine.version == 2 for engine in engines), 20, "all engines have turned")
        assert len(origin.served) <= origin.chunks + 2 + 1, origin.served
        assert origin.huge_lengths == 0 and all(agent.process.poll() is None for agent in agents)
        # Its connections are few, and shared by all agents: none is kept.
        harness.wait_until(lambda: origin.server.open_connections == 0, 2, "no connection to the origin is kept")

        # 3. A piece that turns bad on the stage is not loaded: it is read back and fetched again before the order.
        for number, engine in enumerate(engines, 1):
            list_engine(fleet, f"e{number}", engine, "dc-a" if number % 2 else "dc-b")
        engines[0].stage[3] = b"rotten"
        engines[0].version = 0
        engines[0].born += 1
        harness.wait_until(lambda: engines[0].version == 2, 10, "the restarted engine is filled again")

        # 4. The store is read by entries alone, and agents go on while their entry is away.
        assert not [address for address in fleet.store.callers if address.startswith("127.0.2.")], fleet.store.callers
        entry.kill()
        harness.wait_until(lambda: agents[0].events("entries_lost"), 5, "the entry is missed")
        entry = fleet.start_entry(1, **{key: value for key, value in entry.flags.items() if key.endswith("listen")})
        harness.wait_until(lambda: agents[0].events("entries_regained"), 10, "an entry is back")
        fleet.store.put("op/version/m", {"model": "m", "version": 3})
        harness.wait_until(lambda: all(engine.version == 3 for engine in engines), 20, "all engines have turned again")

        # 5. Of a version that most pieces have arrived of when a newer one is named, the rest is fetched, also while the newer
        #    one can't be had.
        for number, engine in enumerate(engines, 1):
            list_engine(fleet, f"e{number}", engine, "dc-a" if number % 2 else "dc-b")
        origin.delay = 0.4
        origin.away = {5}
        before = len(origin.served)
        fleet.store.put("op/version/m", {"model": "m", "version": 4})
        harness.wait_until(lambda: len(origin.served) - before >= 6, 10, "most pieces are under way")
        fleet.store.put("op/version/m", {"model": "m", "version": 5})
        harness.wait_until(lambda: all(engine.version == 4 for engine in engines), 15, "all engines have the older version")
        origin.away = set()
        harness.wait_until(lambda: all(engine.version == 5 for engine in engines), 20, "all engines have the newer version")

        # 6. An agent whose engine goes while a version arrives fetches no more; the others take its pieces over.
        for number, engine in enumerate(engines, 1):
            list_engine(fleet, f"e{number}", engine, "dc-a" if number % 2 else "dc-b")
        origin.delay = 0.2
        origin.served.clear()
        fleet.store.put("op/version/m", {"model": "m", "version": 6})
        harness.wait_until(lambda: len(origin.served) >= 4, 10, "some pieces are under way")
        gone, engines = engines[1], engines[:1] + engines[2:]
        gone.is_gone = True
        harness.wait_until(lambda: all(engine.version == 6 for engine in engines), 20, "the other engines have the version")
        time.sleep(1.5)
        assert len(origin.served) <= origin.chunks + 4, origin.served
        assert len(agents[1].events("stage_failed")) <= origin.chunks, len(agents[1].events("stage_failed"))

        assert sum(engine.mixed for engine in engines) == 0
        assert all(agent.stop() == 0 for agent in agents)


if __name__ == "__main__":
    harness.main(main)
