#!/usr/bin/env python3
"""All machines lose power at once. When they are back, the first manifests that the origin sends have one wrong digest.

Compared are the shares of requests served before the fault and from the recovery time after it on."""

import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import fleet as review  # noqa: E402

PATH = "/write/"
SERVICE = "writer"
MODEL = "m"
ENGINES = 4
SPOILT_MANIFESTS = 2
SPOILT_PIECE = 3
HEARTBEAT_SECONDS = 1.2
DOWN_SECONDS = 1.0
RECOVERY_SECONDS = 12
REQUESTS = 60
SECONDS_BETWEEN_REQUESTS = 0.1
LEAST_SHARE = 0.25


class Origin(review.platform_standin.Origin):
    """Spoils the digest of one piece in the next `spoilt_manifests` manifests; later ones are right."""

    spoilt_manifests = 0

    def answer(self, call):
        if call.path.startswith("/bilberrybarrow/manifest/") and self.spoilt_manifests > 0:
            self.spoilt_manifests -= 1
            send = call.send
            call.send = lambda status, body=b"", headers=(): send(status, self.spoil(body), headers)
        super().answer(call)

    def spoil(self, manifest):
        digests = list(manifest["digests"])
        digests[SPOILT_PIECE] = "0" + digests[SPOILT_PIECE][:-1]
        return {**manifest, "digests": digests}


class Engine(review.platform_standin.Engine):
    """A model engine that also runs requests, unless it holds no weights."""

    def __init__(self, origin, number):
        self.number = number
        self.name = f"{SERVICE}-{number}-1"
        self.ran = []
        super().__init__(origin, f"127.0.2.{number}", version=1, model=MODEL)

    def lose_power(self):
        """It is back as a new boot that holds neither layers nor staged pieces."""
        self.version = 0
        self.stage = {}
        self.orders = 0
        self.born = int(time.time() * 1000)
        self.name = f"{SERVICE}-{self.number}-2"

    def answer(self, call):
        if not call.path.startswith(PATH):
            super().answer(call)
            return
        request_id = call.headers["Bilberrybarrow-Request-Id"]
        headers = [("Bilberrybarrow-Request-Id", request_id)]
        is_meant = call.headers.get("Bilberrybarrow-Expect-Instance") == self.name
        expected = call.headers.get("Bilberrybarrow-Expect-Version")
        if not is_meant or self.version == 0 or (expected and int(expected) != self.version):
            call.send(421, b"", [*headers, ("Bilberrybarrow-Instance-Id", self.name)])
            return
        self.ran.append(request_id)
        call.send(200, b"done", [*headers, ("Bilberrybarrow-Response-Seal", "seal"), ("Bilberrybarrow-Weights-Version", self.version)])


def list_engine(fleet, engine):
    report = engine.report()
    fleet.store.put(f"servers/{engine.name}", {"service": SERVICE, "address": engine.address, "zone": "dc-a", "version": "v1", "slots": 4, "state": "ready", "cold-remaining-ms": 0, "seq-no": 1,
                                               "stage": "both", "models": report["models"], "layers": report["layers"], "born": engine.born})


def keep_alive(fleet, engines, is_dark):
    """Writes the engines' entries each heartbeat, unless they are without power."""
    while True:
        time.sleep(HEARTBEAT_SECONDS)
        for engine in engines if not is_dark.is_set() else ():
            list_engine(fleet, engine)


def share_served(entries, record):
    callers = [review.Caller(entry, f"caller of {entry.name}", record) for entry in entries]
    served = 0
    for number in range(REQUESTS):
        answer = callers[number % len(callers)].send(PATH, f"request {number}", budget_ms=2000, **{"Bilberrybarrow-Model": MODEL})
        served += answer["status"] == 200
        time.sleep(SECONDS_BETWEEN_REQUESTS)
    return served / REQUESTS


def start_processes(fleet, engines):
    entries = [fleet.start_entry(number) for number in (1, 2)]
    agents = [fleet.start_agent(engine, engine.number) for engine in engines]
    return entries, agents


def play(record):
    with review.Fleet() as fleet:
        origin = Origin(model=MODEL)
        fleet.stand_ins.append(origin)
        fleet.add_route(PATH, SERVICE)
        fleet.services[0]["engine"] = {"slots": 4, "layers": 4, "chunks": origin.chunks, "chunk-bytes": origin.chunk_bytes, "models": [{"name": MODEL, "warmup-s": 0.1}]}
        fleet.services.append({"name": "portal", "origin": origin.address, "zone": "dc-a", "link-mbps": 9.9, "max-connections": 48})
        fleet.publish()
        engines = [Engine(origin, number) for number in range(1, ENGINES + 1)]
        fleet.stand_ins += engines
        for engine in engines:
            list_engine(fleet, engine)
        entries, agents = start_processes(fleet, engines)
        is_dark = threading.Event()
        threading.Thread(target=keep_alive, args=(fleet, engines, is_dark), daemon=True).start()
        for entry in entries:
            fleet.wait_ready(entry)
        time.sleep(review.CONTACT_SECONDS)
        before = share_served(entries, record)
        record.write(f"served before the fault: {before:.2f} of {REQUESTS}")
        is_dark.set()
        for node in [*entries, *agents]:
            node.kill()
        for engine in engines:
            fleet.store.remove(f"servers/{engine.name}")
            engine.lose_power()
        record.write("all machines have lost power")
        time.sleep(DOWN_SECONDS)
        origin.spoilt_manifests = SPOILT_MANIFESTS if review.HAS_TROUBLE else 0
        is_dark.clear()
        for engine in engines:
            list_engine(fleet, engine)
        entries, agents = start_processes(fleet, engines)
        record.write("all machines are back")
        time.sleep(RECOVERY_SECONDS + 0.5)
        after = share_served(entries, record)
        fetched = sum(number == SPOILT_PIECE for _, number in origin.served)
        record.write(f"spoilt manifests that the origin sent: {SPOILT_MANIFESTS - origin.spoilt_manifests if review.HAS_TROUBLE else 0}; the piece with the wrong digest was fetched from it {fetched} times")
        record.write(f"versions that the engines hold: {[engine.version for engine in engines]}")
        record.write(f"served from {RECOVERY_SECONDS} s after the fault on: {after:.2f} of {REQUESTS}, {before:.2f} before; a quarter is due")
        return before < LEAST_SHARE or after >= LEAST_SHARE


review.run_case(FOLDER, play)
