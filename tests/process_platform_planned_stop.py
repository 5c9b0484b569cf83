#!/usr/bin/env python3
"""A planned stop of an entry in calm: each request that it has read gets a complete answer, or its stream a visible end."""

import http.client
import socket
import threading
import time
import uuid

import harness
import platform_fleet

GRACE_S = 8.0
TAKEN_S = 2.3
RUN_S = 60.0
BUDGET_MS = 20_000
NEVER = 1000.0


class Caller:
    """One request on a thread of its own, sent `delay` seconds after it is made, on a new connection or a kept one. With `upload` its
    body ends that many seconds after its head, or never; with `version` "HTTP/1.0" an answer may end with its connection."""

    def __init__(self, entry, path, delay=0.0, upload=0.0, version="HTTP/1.1", connection=None):
        self.entry = entry
        self.path = path
        self.delay = delay
        self.upload = upload
        self.version = version
        self.request_id = uuid.uuid4().hex
        self.connection = connection
        self.status = 0
        self.headers = {}
        self.body = b""
        self.is_whole = False
        self.fault = None
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def open(self):
        host, port = self.entry.flags["listen"].rsplit(":", 1)
        return socket.create_connection((host, int(port)), timeout=15)

    def run(self):
        time.sleep(self.delay)
        try:
            self.connection = self.connection or self.open()
            self.connection.settimeout(15)
            body = b"x" * 2000
            head = f"POST {self.path} {self.version}\r\nHost: {platform_fleet.HOST}\r\nAuthorization: Token {platform_fleet.KEY}\r\nBilberrybarrow-Request-Id: {self.request_id}\r\nBilberrybarrow-Deadline-Ms: {BUDGET_MS}\r\nContent-Length: {len(body)}\r\n\r\n"
            self.connection.sendall(head.encode() + body[:1000])
            if self.upload < NEVER:
                time.sleep(self.upload)
                self.connection.sendall(body[1000:])
            answer = http.client.HTTPResponse(self.connection, method="POST")
            answer.begin()
            self.status, self.headers = answer.status, dict(answer.headers)
            while piece := answer.read1(65536):
                self.body += piece
            self.is_whole = True
        except (OSError, http.client.HTTPException) as error:
            self.fault = repr(error)
        self.ended_at = time.monotonic()

    def __repr__(self):
        return f"{self.version} {self.path} sent {self.delay:.2f} s after SIGTERM, body {self.upload} s later: {self.status} {self.headers.get('Retry-After')} {self.body[:60]!r} whole {self.is_whole} {self.fault}"


def start_fleet(fleet):
    """Routes to endpoints that begin no answer or don't end a stream before the entry has to exit."""
    longer = {"timeout-ms": 30_000, "target-latency-ms": 1500}
    fleet.add_route("/quick/", "quick", **longer)
    fleet.add_route("/once/", "stuck", "non_idempotent", **longer)
    fleet.add_route("/repeatable/", "stuck", **{**longer, "max-attempts": 20})
    fleet.add_route("/late/", "late", **{**longer, "target-latency-ms": 4000})
    fleet.add_route("/stream/", "streams", "streaming", **longer)
    fleet.add_route("/queued/", "narrow", "non_idempotent", **{**longer, "target-latency-ms": 20_000})
    fleet.publish()
    fleet.by_service = {}
    for service, how in (("quick", {}), ("stuck", {"gap": RUN_S}), ("late", {"gap": RUN_S}), ("streams", {"events": 200, "gap": 0.3}), ("narrow", {"gap": RUN_S})):
        fleet.by_service[service] = [fleet.add_endpoint(f"{service}-{number}", service, **how) for number in range(1 if service == "narrow" else 2)]
    entry = fleet.start_entry(stop_grace_s=GRACE_S)
    fleet.wait_ready(entry)
    harness.wait_until(lambda: len([line for line in entry.events("belief_changed") if line["what"] == "endpoint_listed"]) >= 9, 10, "all endpoints are known")
    assert fleet.call(entry, "/quick/")[0] == 200
    return entry


def requests_of(fleet, caller):
    return [request for endpoints in fleet.by_service.values() for endpoint in endpoints for request in list(endpoint.requests) if request["id"] == caller.request_id]


def faults_of(fleet, caller, stopped_at):
    """What is wrong with the end of a request that the entry has read."""
    requests = requests_of(fleet, caller)
    if caller.path == "/stream/" and caller.status == 200:
        return [] if caller.body and not caller.is_whole else ["a cut stream looks whole"]
    if not caller.is_whole or caller.status not in (200, 502, 503, 504):
        return [f"a request that was read got no answer, sent {len(requests)} times"]
    faults = []
    if caller.status == 503 and requests:
        faults.append("not run was said of a request that was sent")
    if caller.status == 503 and caller.ended_at > stopped_at and not (0 < float(caller.headers["Retry-After"]) <= 0.5 and caller.headers.get("Connection") == "close"):
        faults.append("a refusal of a stopping entry keeps its caller")
    if caller.path == "/quick/" and caller.delay <= TAKEN_S and caller.upload == 0 and caller.status != 200:
        faults.append("a request that has time to be answered was refused")
    if caller.path in ("/once/", "/queued/") and len(requests) > 1:
        faults.append("a request that may run once was sent again")
    for request in requests:
        left = float(request["headers"]["Bilberrybarrow-Deadline-Ms"]) / 1000
        if request["at"] > stopped_at and request["at"] + left > stopped_at + GRACE_S:
            faults.append(f"sent {request['at'] - stopped_at:.2f} s after SIGTERM with {left:.2f} s left")
    return faults


def test_requests_are_answered_before_the_exit(fleet, entry):
    """Requests sent before and after SIGTERM that can't end before the entry has to exit."""
    kept = [Caller(entry, "/quick/") for _ in range(2)]
    unused = [kept[0].open() for _ in range(2)]
    for caller in kept:
        caller.thread.join(5)
        assert caller.status == 200, caller
    paths = ("/once/", "/repeatable/", "/late/", "/stream/")
    callers = [Caller(entry, path) for path in paths for _ in range(3)]
    callers += [Caller(entry, "/queued/") for _ in range(40)]
    callers += [Caller(entry, "/stream/", version="HTTP/1.0")]
    time.sleep(0.5)
    entry.process.send_signal(harness.signal.SIGTERM)
    stopped_at = time.monotonic()
    callers += [Caller(entry, path, delay) for path in (*paths, "/quick/") for delay in (0.2, 1.5, 2.3)]
    callers += [Caller(entry, "/quick/", 2.3, connection=kept[0].connection), Caller(entry, "/once/", 2.3, connection=unused[0])]
    callers += [Caller(entry, "/quick/", 1.0, upload) for upload in (0.5, 3.0, 5.5, NEVER)]
    callers += [Caller(entry, "/once/", 2.0, upload) for upload in (0.3, 4.0)]
    code = entry.process.wait(GRACE_S + 5)
    ended_after = time.monotonic() - stopped_at
    assert code == 0 and ended_after <= GRACE_S, (code, ended_after)
    faults = []
    for caller in callers:
        caller.thread.join(5)
        faults += [(fault, caller) for fault in faults_of(fleet, caller, stopped_at)]
    assert not faults, "\n".join([f"{len(faults)} of {len(callers)} requests", *map(str, faults)])
    print(f"ended {ended_after:.2f} s after SIGTERM")


def test_answers_are_written_by_an_entry_that_is_paused_while_they_become_due(fleet, entry):
    """The entry is stopped by SIGSTOP from before its answers are due until after it would exit, within its grace period."""
    harness.wait_until(lambda: fleet.call(entry, "/quick/")[0] == 200, 5, "requests are served")
    callers = [Caller(entry, "/once/") for _ in range(3)]
    time.sleep(0.5)
    entry.process.send_signal(harness.signal.SIGTERM)
    time.sleep(0.8 * GRACE_S)
    entry.process.send_signal(harness.signal.SIGSTOP)
    time.sleep(0.15 * GRACE_S)
    entry.process.send_signal(harness.signal.SIGCONT)
    assert entry.process.wait(5) == 0
    for caller in callers:
        caller.thread.join(5)
        assert caller.is_whole and caller.status == 504, caller


def main():
    arguments = harness.parse_arguments(__doc__)
    with platform_fleet.Fleet(arguments.build) as fleet:
        entry = start_fleet(fleet)
        test_requests_are_answered_before_the_exit(fleet, entry)
        print("test_requests_are_answered_before_the_exit", flush=True)
        late_entry = fleet.start_entry(2, stop_grace_s=GRACE_S)
        fleet.wait_ready(late_entry)
        test_answers_are_written_by_an_entry_that_is_paused_while_they_become_due(fleet, late_entry)
        print("test_answers_are_written_by_an_entry_that_is_paused_while_they_become_due", flush=True)


if __name__ == "__main__":
    harness.main(main)
