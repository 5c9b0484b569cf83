#!/usr/bin/env python3
"""Answers of endpoints that end with their connection or short of their stated length, through an entry of the platform."""

import http.client
import uuid

import harness
import platform_fleet


def call(fleet, entry, path):
    """One request; gives the status, the body and whether the answer is whole. Status 0 when there was no head."""
    connection = http.client.HTTPConnection(entry.flags["listen"], timeout=10)
    headers = {"Host": platform_fleet.HOST, "Bilberrybarrow-Request-Id": uuid.uuid4().hex, "Bilberrybarrow-Deadline-Ms": "4000", "Authorization": f"Token {platform_fleet.KEY}"}
    try:
        connection.request("POST", path, "hello", headers)
        answer = connection.getresponse()
        body = b""
        try:
            while piece := answer.read1(65536):
                body += piece
            return answer.status, body, True
        except (http.client.IncompleteRead, ConnectionError):
            return answer.status, body, False
    finally:
        connection.close()


def test_plain_answers(fleet, entry):
    """By kind of request and ending: the status, and how often endpoints saw the request."""
    for path, fault, status, sends in (("/plain/", "no length", 200, 1), ("/once/", "no length", 200, 1), ("/plain/", "no length, reset", 200, 2), ("/once/", "no length, reset", 502, 1), ("/plain/", "huge length", 200, 2), ("/once/", "huge length", 502, 1)):
        for endpoint in fleet.plain:
            endpoint.requests.clear()
        fleet.plain[0].faults = fleet.plain[1].faults = [fault]
        got, body, is_whole = call(fleet, entry, path)
        seen = sum(len(endpoint.requests) for endpoint in fleet.plain)
        assert (got, seen, is_whole) == (status, sends, True), (path, fault, got, seen, is_whole)
        assert status != 200 or body.startswith(b"done by"), body


def test_streams(fleet, entry):
    """A whole stream is passed on as whole; one that is broken off is resumed, or looks broken to the caller."""
    whole = b"".join(b"id: %d\ndata: token\n\n" % number for number in range(12))
    rows = (("/stream/", "no length", True, 1), ("/stream/", "no length, cut", True, 2), ("/stream/", "no length, reset", True, 2), ("/fixed/", "no length", True, 1), ("/fixed/", "no length, cut", False, 1), ("/stream/", "huge length", True, 2))
    for path, fault, wanted, sends in rows:
        for endpoint in fleet.stream:
            endpoint.requests.clear()
        fleet.stream[0].faults = fleet.stream[1].faults = [fault]
        status, body, is_whole = call(fleet, entry, path)
        seen = sum(len(endpoint.requests) for endpoint in fleet.stream)
        assert (status, is_whole, seen) == (200, wanted, sends), (path, fault, status, is_whole, seen)
        assert body == whole if wanted else whole.startswith(body) and body.endswith(b"\n\n"), (path, fault, body)


def test_begun_streams_are_joined_only_with_what_goes_on_with_them(fleet, entry):
    """A stream breaks off, and the endpoint that is to resume it answers otherwise: the caller gets whole events and a visible end."""
    whole = b"".join(b"id: %d\ndata: token\n\n" % number for number in range(12))
    event = b"id: 6\ndata: other\n\n"
    rows = ((404, "text/plain", b"no such model"), (404, "text/event-stream", event), (204, "text/event-stream", b""), (400, "text/plain", b""), (500, "text/plain", b"failed"), (503, "text/plain", b""),
            (200, "text/plain", b""), (200, "application/json", event), (201, "text/event-stream", event))
    for answer in rows:
        for endpoint in fleet.stream:
            endpoint.resumed_answer = answer
        harness.wait_until(lambda: call(fleet, entry, "/stream/")[2], 5, "whole streams are served")
        fleet.stream[0].faults = fleet.stream[1].faults = ["cut"]
        status, body, is_whole = call(fleet, entry, "/stream/")
        assert status == 200 and not is_whole, (answer, status, is_whole, body)
        assert whole.startswith(body) and body.endswith(b"\n\n"), (answer, body)
    for endpoint in fleet.stream:
        endpoint.resumed_answer = None


def main():
    arguments = harness.parse_arguments(__doc__)
    with platform_fleet.Fleet(arguments.build) as fleet:
        fleet.add_route("/plain/", "plain")
        fleet.add_route("/once/", "plain", "non_idempotent")
        fleet.add_route("/stream/", "stream", "streaming")
        fleet.add_route("/fixed/", "stream", "streaming", **{"can-resume": False})
        fleet.publish()
        fleet.plain = [fleet.add_endpoint(f"p{number}", "plain") for number in range(2)]
        fleet.stream = [fleet.add_endpoint(f"s{number}", "stream", events=12) for number in range(2)]
        entry = fleet.start_entry()
        fleet.wait_ready(entry)
        harness.wait_until(lambda: fleet.call(entry, "/stream/")[0] == 200 and len([line for line in entry.events("belief_changed") if line["what"] == "endpoint_listed"]) >= 4, 10, "all endpoints are known")
        for test in (test_plain_answers, test_streams, test_begun_streams_are_joined_only_with_what_goes_on_with_them):
            test(fleet, entry)
            assert entry.process.poll() is None, f"the entry ended by itself with code {entry.process.poll()}"
            print(test.__name__, flush=True)


if __name__ == "__main__":
    harness.main(main)
