#!/usr/bin/env python3
"""An agent whose load orders are late, lost or repeated: no layer is taken from pieces that had been spoilt for long."""

import concurrent.futures
import json
import signal
import time
import urllib.parse

import harness
import platform_fleet
import platform_standin

# The rule: a piece may have been spoilt for so long when the engine takes it.
MAX_SPOILT_S = 3.0


class WatchedEngine(platform_standin.Engine):
    """Knows of each piece since when it doesn't fit, and notes for each order that it accepts the longest such time.

    `on_read` is called with the number of each read of the stage before it is answered; `order_delays` are taken one an order, before
    it is taken in, and `lost_answers` says how many orders get no answer. Orders that load nothing get 200."""

    def __init__(self, *how, **more):
        self.history = {}
        self.accepted = []
        self.reads = 0
        self.on_read = None
        self.order_delays = []
        self.lost_answers = 0
        super().__init__(*how, **more)
        for number, data in list(self.stage.items()):
            self.put(number, data)

    def put(self, number, data):
        with self.lock:
            self.stage[number] = data
            self.history.setdefault(number, []).append((time.monotonic(), data))

    def spoilt_for(self, version, now):
        """The longest time for which a piece has not been that of the version."""
        longest = 0.0
        for number in range(self.origin.chunks):
            since = None
            for at, data in self.history.get(number, [(0.0, b"")]):
                is_sound = data == self.origin.piece(version, number)
                since = None if is_sound else since if since is not None else at
            longest = max(longest, now - since if since is not None else 0.0)
        return longest

    def crash(self):
        """Ends and starts: the layers are gone, the stage is kept."""
        self.version = 0
        self.orders = 0
        self.born += 1

    def answer(self, call):
        path, _, query = call.path.partition("?")
        query = dict(urllib.parse.parse_qsl(query))
        if path.startswith("/bilberrybarrow/stage-put/"):
            self.put(int(query["chunk-count"]), call.body)
            call.send(200, {})
        elif path.startswith("/bilberrybarrow/stage-get/"):
            with self.lock:
                self.reads += 1
                number = self.reads
                data = self.stage.get(int(query["chunk-count"]))
            if self.on_read:
                self.on_read(number)
            call.send(200 if data is not None else 404, data or b"")
        elif path == "/bilberrybarrow/order":
            self.answer_order(call, json.loads(call.body)["version"])
        else:
            super().answer(call)

    def answer_order(self, call, version):
        time.sleep(self.order_delays.pop(0) if self.order_delays else 0.0)
        if version == self.version:
            call.send(200, {})
            return
        now = time.monotonic()
        spoilt_for = self.spoilt_for(version, now)
        with self.lock:
            self.orders += 1
            self.version = version
            self.accepted.append(spoilt_for)
        if self.lost_answers > 0:
            self.lost_answers -= 1
            call.hang_up()
            return
        call.send(202, {})


class Bed:
    """One engine that has just started, with version 1 on its stage, its agent and an entry."""

    def __init__(self, build, pieces=8):
        self.fleet = platform_fleet.Fleet(build)
        self.origin = platform_standin.Origin(chunks=pieces)
        self.engine = WatchedEngine(self.origin, "127.0.2.1", version=1)
        self.engine.crash()
        self.fleet.stand_ins += [self.origin, self.engine]
        engine = {"slots": 4, "layers": 4, "chunks": pieces, "chunk-bytes": self.origin.chunk_bytes, "models": [{"name": self.origin.model, "warmup-s": 0.1}]}
        self.fleet.services.append({"name": "writer", "health-path": "/healthz", "max-connections": 50, "cold-s": 0.0, "cold-per-s": 0.0, "engine": engine})
        self.fleet.services.append({"name": "portal", "origin": self.origin.address, "zone": "dc-a", "link-mbps": 100, "max-connections": 50})
        self.fleet.publish()
        self.list_engine()
        self.entry = self.fleet.start_entry(1)

    def list_engine(self):
        report = self.engine.report()
        self.fleet.store.put("servers/e1", {"service": "writer", "address": self.engine.address, "zone": "dc-a", "version": "v1", "slots": 4, "state": "ready", "cold-remaining-ms": 0,
                                            "seq-no": 1, "models": report["models"], "layers": report["layers"], "born": self.engine.born})

    def start_agent(self):
        self.agent = self.fleet.start_agent(self.engine, 1)
        return self.agent

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.fleet.__exit__()

    def check_orders(self):
        harness.wait_until(lambda: self.engine.accepted and self.engine.version == 1, 10, "the engine has its layers")
        time.sleep(0.5)
        longest = max(self.engine.accepted)
        assert longest <= MAX_SPOILT_S, f"an order was accepted with a piece spoilt for {longest:.2f} s"


def agent_paused_between_read_and_order(build):
    with Bed(build) as bed:
        def pause(number):
            if number != 2 * bed.origin.chunks:
                return
            bed.agent.process.send_signal(signal.SIGSTOP)
            bed.engine.put(3, b"rotten")
        bed.engine.on_read = pause
        bed.start_agent()
        harness.wait_until(lambda: bed.engine.reads >= 2 * bed.origin.chunks, 10, "the pieces are read back")
        time.sleep(4.5)
        bed.agent.process.send_signal(signal.SIGCONT)
        bed.check_orders()


def lost_answer(build):
    with Bed(build) as bed:
        bed.engine.lost_answers = 1
        bed.start_agent()
        bed.check_orders()


def engine_restarted_between_reads(build):
    with Bed(build) as bed:
        def restart(number):
            if number != 2 * bed.origin.chunks - 1:
                return
            bed.engine.put(3, b"rotten")
            bed.engine.crash()
            time.sleep(1.9)
        bed.engine.on_read = restart
        bed.start_agent()
        bed.check_orders()


ROWS = [agent_paused_between_read_and_order, lost_answer, engine_restarted_between_reads]


def main():
    arguments = harness.parse_arguments(__doc__)
    with concurrent.futures.ThreadPoolExecutor(len(ROWS)) as pool:
        plays = {row.__name__: pool.submit(row, arguments.build) for row in ROWS}
    failures = {name: play.exception() for name, play in plays.items() if play.exception()}
    for name, failure in failures.items():
        print(f"{name}: {failure!r}")
    assert not failures, f"{len(failures)} of {len(ROWS)} rows"


if __name__ == "__main__":
    harness.main(main)
