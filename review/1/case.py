#!/usr/bin/env python3
"""A server in trouble answers one request with bytes that state a huge length, and cuts them off.

Twelve callers with kept channels have requests at a sound server of another service meanwhile. Counted are the callers whose
channel ends without an answer although their request was at the sound server."""

import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import fleet as review  # noqa: E402

CALLERS = 12
ALLOWED_LOSSES = 3
STATED_LENGTH = 999_999_999_999
WORK_SECONDS = 0.8


class ServerInTrouble(review.platform_standin.Endpoint):
    """Answers with a head that states STATED_LENGTH, sends a few bytes of it and closes the connection."""

    def answer(self, call):
        if not review.HAS_TROUBLE:
            super().answer(call)
            return
        request_id = call.headers["Bilberrybarrow-Request-Id"]
        self.requests.append({"id": request_id, "at": time.monotonic()})
        head = f"HTTP/1.1 200 OK\r\nBilberrybarrow-Request-Id: {request_id}\r\nContent-Length: {STATED_LENGTH}\r\n\r\n"
        call.wfile.write(head.encode() + b"x" * 100)
        call.wfile.flush()
        time.sleep(0.2)
        call.close_connection = True


def play(record):
    with review.Fleet() as fleet:
        sound = fleet.add_endpoint("sound", "register", gap=0.02)
        faulty = ServerInTrouble("faulty")
        fleet.stand_ins.append(faulty)
        fleet.list_endpoint(faulty, "drafter")
        fleet.store.put("servers/sound", {"service": "register", "address": sound.address, "zone": "dc-a", "version": "v1", "slots": 16, "state": "ready", "cold-remaining-ms": 0, "seq-no": 1, "born": sound.born})
        fleet.add_route("/register/", "register")
        fleet.add_route("/draft/", "drafter")
        fleet.publish()
        entry = fleet.start_entry(1)
        fleet.wait_ready(entry)
        callers = [review.Caller(entry, f"caller-{number}", record) for number in range(CALLERS)]
        for caller in callers:
            caller.send("/register/")
        time.sleep(review.CONTACT_SECONDS + 0.5)
        sound.gap = WORK_SECONDS
        answers = []
        threads = [threading.Thread(target=lambda caller=caller: answers.append(caller.send("/register/"))) for caller in callers]
        for thread in threads:
            thread.start()
        time.sleep(0.3)
        review.Caller(entry, "caller of the faulty server", record).send("/draft/")
        for thread in threads:
            thread.join()
        ran = {request["id"] for request in sound.requests}
        lost = [answer for answer in answers if answer["is_kept"] and answer["id"] in ran and answer["status"] == 0]
        code = entry.process.poll()
        record.write(f"requests that reached the server in trouble: {len(faulty.requests)}")
        record.write(f"the entry {'runs' if code is None else f'ended by itself with code {code}'}")
        record.write(f"channels that ended without an answer although the request was at the sound server: {len(lost)} of {CALLERS}, allowed are {ALLOWED_LOSSES}")
        return len(lost) <= ALLOWED_LOSSES


review.run_case(FOLDER, play)
