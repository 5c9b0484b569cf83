#!/usr/bin/env python3
"""One part of a prompt crashes each server that begins an answer on it. Requests with it share their key and their first part
with the sound requests of one small tenant of ten.

Compared are the shares of that tenant's sound requests that begin at a server at their first attempt, before the first crash
and from twice the contact time after the fifth crash (the last, if there are fewer), while requests with the crashing part
still come."""

import pathlib
import random
import sys
import threading
import time
import uuid

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import fleet as review  # noqa: E402

PATH = "/brief/"
SERVICE = "drafter"
CRASHING_PART = "bad1"
TENANTS = {f"tenant-{number}": f"key-{number}" for number in range(10)}
FIRST_PARTS = {name: f"c{number}" for number, name in enumerate(TENANTS)}
TENANT = "tenant-0"  # Whose requests may have the crashing part.
SERVERS = 11
DOWNTIME_SECONDS = 2.5
SECONDS_BEFORE = 40
SECONDS_WITH_CRASHES = 48
SECONDS_BETWEEN_SOUND_REQUESTS = 1.6  # Of the tenant.
OTHERS_PER_SECOND = 12  # Sound requests of the other tenants.
SECONDS_BETWEEN_GROUPS = 2.0
REQUESTS_IN_GROUP = 3  # Users who ask at once about the same document, which holds the crashing part.
EVENT_GAP_SECONDS = 0.02
LEAST_REQUESTS = 20


class Load:
    """Sound requests of all first parts, and requests with the crashing part once `has_crashing`."""

    def __init__(self, entries, record):
        self.entries = entries
        self.record = record
        self.random = random.Random(20261205)
        self.has_crashing = False
        self.is_over = False
        self.sound = []
        self.threads = [threading.Thread(target=self.repeat, args=how, daemon=True) for how in (
            (lambda: SECONDS_BETWEEN_SOUND_REQUESTS * self.random.uniform(0.8, 1.2), lambda: self.send_sound(TENANT)),
            (lambda: self.random.expovariate(OTHERS_PER_SECOND), lambda: self.send_sound(self.random.choice(list(TENANTS)[1:]))),
            (lambda: SECONDS_BETWEEN_GROUPS, self.send_crashing_group))]

    def repeat(self, pause, send):
        while not self.is_over:
            time.sleep(pause())
            threading.Thread(target=send, daemon=True).start()

    def send_sound(self, tenant):
        parts = f"{FIRST_PARTS[tenant]}:40,a{self.random.randrange(30)}:300,{uuid.uuid4().hex[:8]}:500"
        answer = self.send(f"sound caller of {tenant}", tenant, parts)
        if tenant == TENANT:
            self.sound.append(answer)

    def send_crashing_group(self):
        for _ in range(REQUESTS_IN_GROUP if self.has_crashing else 0):
            parts = f"{FIRST_PARTS[TENANT]}:40,{CRASHING_PART}:300,{uuid.uuid4().hex[:8]}:500"
            threading.Thread(target=self.send, args=(f"crashing caller of {TENANT}", TENANT, parts), daemon=True).start()

    def send(self, name, tenant, parts):
        caller = review.Caller(self.random.choice(self.entries), name, self.record)
        answer = caller.send(PATH, uuid.uuid4().hex, budget_ms=6000, key=TENANTS[tenant], **{"Bilberrybarrow-Prompt-Prefix": parts})
        caller.close()
        return answer


def share_begun(answers, ran, start, end):
    """How many of the requests that were sent in that time began at a server, and their number."""
    sent = [answer for answer in answers if start <= answer["begun"] < end]
    return sum(answer["id"] in ran for answer in sent), len(sent)


def play(record):
    with review.Fleet(TENANTS) as fleet:
        fleet.add_route(PATH, SERVICE, "streaming", **{"timeout-ms": 6000, "target-latency-ms": 400})
        fleet.publish()
        servers = [fleet.add_endpoint(f"{SERVICE}-{number}", SERVICE, events=12, gap=EVENT_GAP_SECONDS) for number in range(SERVERS)]
        for server in servers:
            server.downtime = DOWNTIME_SECONDS
            server.on_restart = lambda restarted, earlier: fleet.list_again(restarted, SERVICE, earlier)
            if review.HAS_TROUBLE:
                server.crashing_parts.add(CRASHING_PART)
        entries = [fleet.start_entry(number) for number in (1, 2, 3)]
        for entry in entries:
            fleet.wait_ready(entry)
        time.sleep(review.CONTACT_SECONDS + 0.5)
        load = Load(entries, record)
        began = time.monotonic()
        for thread in load.threads:
            thread.start()
        time.sleep(SECONDS_BEFORE)
        crashing_from = time.monotonic()
        load.has_crashing = True
        time.sleep(SECONDS_WITH_CRASHES)
        crashing_until = time.monotonic()
        load.is_over = True
        time.sleep(2)
        ran = {request["id"] for server in servers for request in list(server.requests)}
        crashes = sorted(at for server in servers for at in server.crashes)
        for at in crashes:
            record.write(f"a server crashed at {at - record.start:.3f} s")
        last = (crashes[4] if len(crashes) >= 5 else crashes[-1]) if crashes else crashing_from
        before, sent_before = share_begun(load.sound, ran, began, crashing_from)
        after, sent_after = share_begun(load.sound, ran, last + 2 * review.CONTACT_SECONDS, crashing_until)
        record.write(f"sound requests of {TENANT} that began at a server: {before} of {sent_before} before, {after} of {sent_after} from {2 * review.CONTACT_SECONDS} s after the last of {min(len(crashes), 5)} crashes on")
        if min(sent_before, sent_after) < LEAST_REQUESTS:
            raise RuntimeError("too few sound requests")
        return after / sent_after >= 0.5 * before / sent_before


review.run_case(FOLDER, play)
