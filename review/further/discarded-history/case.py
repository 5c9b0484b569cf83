#!/usr/bin/env python3
"""The store discards its history right after it has removed the entry of a server that leaves without a word.

Two of the three entries of the data centre read the store and list it anew; the third takes changes from them. Counted are the
requests that reach the server later than the drain time after its removal, sent later than the contact time after the
disruption."""

import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent.parent))

import fleet as review  # noqa: E402

PATH = "/portal/"
SERVICE = "portal"
SECONDS_BETWEEN_WRITES = 0.3  # Of all servers together, each of which writes every 1.2 s.
STEP_SECONDS = 0.03
REQUESTS = 12
SECONDS_THAT_IT_SERVES_ON = 8


class Store(review.platform_standin.Store):
    """A store that can discard its history: watches from earlier revisions get 410."""

    def __init__(self):
        self.first_revision = 0
        super().__init__()

    def discard_history(self):
        with self.changed:
            self.first_revision = self.revision
            self.events.clear()

    def answer_watch(self, call, prefix, after, wait):
        if after < self.first_revision:
            self.reply(call, 410, {})
        else:
            super().answer_watch(call, prefix, after, wait)


class Heartbeats:
    """Writes the entries of the servers that stay, one after the other, from a thread of its own."""

    def __init__(self, fleet, servers):
        self.fleet = fleet
        self.servers = servers
        self.number = 0
        self.stop = threading.Event()
        self.thread = None

    def write(self):
        self.number += 1
        server, service = self.servers[self.number % len(self.servers)]
        self.fleet.list_endpoint(server, service)

    def run(self):
        while not self.stop.wait(SECONDS_BETWEEN_WRITES):
            self.write()

    def begin(self):
        self.stop.clear()
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def end(self):
        self.stop.set()
        self.thread.join()


def reads_store(entry):
    """Whether the entry calls the store itself, by its log."""
    changes = [line["event"] for line in entry.lines if line["event"] in ("store_reading_begun", "store_reading_ended")]
    return not changes or changes[-1] == "store_reading_begun"


def play(record):
    with review.Fleet() as fleet:
        fleet.store.stop()
        fleet.store = Store()
        fleet.stand_ins.append(fleet.store)
        fleet.add_route(PATH, SERVICE)
        fleet.publish()
        leaving, staying = [fleet.add_endpoint(f"portal-{number}", SERVICE, gap=0.01) for number in range(2)]
        others = [fleet.add_endpoint(f"register-{number}", "register") for number in range(3)]
        entries = [fleet.start_entry(number) for number in (1, 2, 3)]
        for entry in entries:
            fleet.wait_ready(entry)
        heartbeats = Heartbeats(fleet, [(staying, SERVICE), *((server, "register") for server in others)])
        heartbeats.begin()
        time.sleep(review.CONTACT_SECONDS + 3)
        callers = {entry.name: review.Caller(entry, f"caller of {entry.name}", record) for entry in entries}
        for entry in entries:
            for _ in range(4):
                callers[entry.name].send(PATH)
            record.write(f"{entry.name} {'reads the store' if reads_store(entry) else 'takes changes from other entries'}")
        heartbeats.end()
        time.sleep(SECONDS_BETWEEN_WRITES)
        # The watches that wait are answered now, so that those who read the store pause for a moment.
        heartbeats.write()
        time.sleep(STEP_SECONDS)
        leaving.leaves = True
        fleet.store.remove(f"servers/{leaving.name}")
        removed_at = time.monotonic()
        record.write(f"the store has removed the entry of {leaving.name}, which serves on for {SECONDS_THAT_IT_SERVES_ON} s")
        time.sleep(STEP_SECONDS)
        if review.HAS_TROUBLE:
            fleet.store.discard_history()
            record.write("the store has discarded its history")
        heartbeats.begin()
        time.sleep(review.CONTACT_SECONDS + 1.5)
        for _ in range(REQUESTS):
            for entry in entries:
                callers[entry.name].send(PATH)
        heartbeats.end()
        if time.monotonic() > removed_at + SECONDS_THAT_IT_SERVES_ON:
            raise RuntimeError("the machine is too slow: the server has ended")
        late = [request for request in leaving.requests if request["at"] > removed_at + review.DRAIN_SECONDS]
        for request in late:
            record.write(f"{leaving.name} ran {request['id']} {request['at'] - removed_at:.3f} s after its removal")
        record.write(f"requests that reached {leaving.name} later than {review.DRAIN_SECONDS} s after its removal: {len(late)}, allowed are none")
        return not late


review.run_case(FOLDER, play)
