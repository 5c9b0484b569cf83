#!/usr/bin/env python3
"""One request crashes each server that begins to run it, at a service with little traffic, and comes again every few seconds.

Counted are its arrivals at servers later than the contact time after the third crash. Sound callers send a request now and
then meanwhile."""

import pathlib
import random
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import fleet as review  # noqa: E402

PATH = "/check/"
CRASHING_BODY = "the request that crashes servers"
SECONDS = 32
SECONDS_BETWEEN_CRASHING_REQUESTS = 4
SECONDS_BETWEEN_SOUND_REQUESTS = 3.0
DOWNTIME_SECONDS = 2.0
WORK_SECONDS = 0.06
ALLOWED_RETRIES = 3


class CrashingServer(review.platform_standin.Endpoint):
    """Crashes soon after it has begun the request with CRASHING_BODY; it is back later under a new id."""

    def answer(self, call):
        is_meant = call.headers.get("Bilberrybarrow-Expect-Instance") == self.name
        crashes = review.HAS_TROUBLE and is_meant and call.body.decode() == CRASHING_BODY
        if not crashes:
            super().answer(call)
            return
        self.requests.append({"id": call.headers["Bilberrybarrow-Request-Id"], "body": call.body, "at": time.monotonic()})
        time.sleep(WORK_SECONDS)
        call.close_connection = True
        self.crash()


def send_sound_requests(entries, record, end, answers):
    dice = random.Random(20261205)
    callers = [review.Caller(entry, "sound caller", record) for entry in entries]
    number = 0
    while time.monotonic() < end:
        number += 1
        answers.append(dice.choice(callers).send(PATH, f"sound request {number}", budget_ms=1000))
        time.sleep(dice.uniform(0.5, 1.5) * SECONDS_BETWEEN_SOUND_REQUESTS)


def play(record):
    with review.Fleet() as fleet:
        fleet.add_route(PATH, "register", **{"timeout-ms": 1000, "target-latency-ms": 100})
        fleet.publish()
        servers = []
        for number in range(3):
            server = CrashingServer(f"register-{number}", gap=WORK_SECONDS)
            server.downtime = DOWNTIME_SECONDS
            server.on_restart = lambda restarted, earlier: fleet.list_again(restarted, "register", earlier)
            fleet.stand_ins.append(server)
            fleet.list_endpoint(server, "register")
            servers.append(server)
        entries = [fleet.start_entry(number) for number in (1, 2)]
        for entry in entries:
            fleet.wait_ready(entry)
        time.sleep(review.CONTACT_SECONDS + 0.5)
        end = time.monotonic() + SECONDS
        sound = []
        thread = threading.Thread(target=send_sound_requests, args=(entries, record, end, sound))
        thread.start()
        number = 0
        while time.monotonic() < end:
            number += 1
            review.Caller(entries[number % 2], "caller of the crashing request", record).send(PATH, CRASHING_BODY, budget_ms=1000)
            time.sleep(SECONDS_BETWEEN_CRASHING_REQUESTS)
        thread.join()
        arrivals = sorted(request["at"] for server in servers for request in server.requests if request["body"].decode() == CRASHING_BODY)
        crashes = sorted(at for server in servers for at in server.crashes)
        for at in crashes:
            record.write(f"a server crashed at {at - record.start:.3f} s")
        served = sum(answer["status"] == 200 for answer in sound)
        record.write(f"sound requests: {len(sound)}, of which served: {served}; crashes: {len(crashes)}")
        if len(crashes) < 3:
            record.write("fewer than three crashes")
            return True
        late = [at for at in arrivals if at > crashes[2] + review.CONTACT_SECONDS]
        record.write(f"arrivals of the crashing request later than {review.CONTACT_SECONDS} s after the third crash: {len(late)}, allowed are {ALLOWED_RETRIES}")
        return len(late) <= ALLOWED_RETRIES


review.run_case(FOLDER, play)
