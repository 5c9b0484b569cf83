#!/usr/bin/env python3
"""Endpoints that answer a long upload at once, without a length, and reset the connection while it is still being written: no caller of an
entry gets a part of such an answer as a whole one. Answers of the same kind that are sound stay whole."""

import functools
import itertools
import socket
import time

import bare_server
import harness
import platform_fleet

UPLOADS = (1 << 20, 6 << 20)
EVENTS = [b"id: %d\ndata: token\n\n" % number for number in range(12)]
BEGUN_EVENTS = 4
STREAMS = ("/stream/", "/fixed/")
# Kinds of requests: the path, and whether the answer is to a second run, which goes on with a stream that was cut.
KINDS = (("/plain/", False), ("/once/", False), ("/stream/", False), ("/stream/", True), ("/fixed/", False))


def part_of_body(path, size, last_event_id=""):
    """Whole events for a stream, so that nothing in the body tells that it has been broken off."""
    return b"".join(EVENTS[int(last_event_id) + 1 if last_event_id else 0:]) if path in STREAMS else b"b" * size


def part_of_answer(endpoint, path, size, request, *lines):
    kind = "text/event-stream" if path in STREAMS else "text/plain"
    return endpoint.head(request, "Content-Type: " + kind, *lines) + part_of_body(path, size, request.field("Last-Event-Id"))


# Broken answers: each begins while the upload is being written, and its connection is reset before the upload has ended.


def reset_after(delay, endpoint, path, size, connection, request):
    bare_server.answer_and_reset(connection, part_of_answer(endpoint, path, size, request), delay)


def reset_after_reading(endpoint, path, size, connection, request):
    left = 200_000
    while left > 0:
        left -= len(connection.recv(min(left, 65536)))
    reset_after(0, endpoint, path, size, connection, request)


def close_with_unread_bytes(endpoint, path, size, connection, request):
    """The system resets a connection that is closed so."""
    connection.sendall(part_of_answer(endpoint, path, size, request))
    time.sleep(0.05)


def end_and_reset_after(delay, endpoint, path, size, connection, request):
    """Ends its own side first, so that the entry reads an end before the reset."""
    connection.sendall(part_of_answer(endpoint, path, size, request))
    connection.shutdown(socket.SHUT_WR)
    time.sleep(delay)
    bare_server.reset(connection)


BROKEN = {
    "reset at once": functools.partial(reset_after, 0),
    "reset after 10 ms": functools.partial(reset_after, 0.01),
    "reset after 150 ms": functools.partial(reset_after, 0.15),
    "reset after reading 200 kB": reset_after_reading,
    "closed with unread bytes": close_with_unread_bytes,
    "ended and reset after 10 ms": functools.partial(end_and_reset_after, 0.01),
    "ended and reset after 150 ms": functools.partial(end_and_reset_after, 0.15),
}


# Sound answers.


def end_and_read_on(endpoint, path, size, connection, request):
    """An early answer: the endpoint ends its side in order and reads the rest of the upload."""
    connection.sendall(part_of_answer(endpoint, path, size, request))
    connection.shutdown(socket.SHUT_WR)
    time.sleep(0.1)
    bare_server.read_body(connection, request)


def read_and_end(endpoint, path, size, connection, request):
    bare_server.read_body(connection, request)
    connection.sendall(part_of_answer(endpoint, path, size, request))


def answer_early_with_length(endpoint, path, size, connection, request):
    length = len(part_of_body(path, size, request.field("Last-Event-Id")))
    connection.sendall(part_of_answer(endpoint, path, size, request, f"Content-Length: {length}"))
    bare_server.read_body(connection, request)


SOUND = {"ends its side and reads on": end_and_read_on, "reads, answers and closes": read_and_end, "early, with a length": answer_early_with_length}


def play(fleet, entry, path, answer, size, upload_bytes, is_resumed=False):
    """One upload; gives the status, the body, whether it is whole, and how often it was sent to an endpoint."""
    endpoints = fleet.endpoints_of[path]
    for endpoint in endpoints:
        own_answer = functools.partial(answer, endpoint, path, size)
        endpoint.answer = functools.partial(bare_server.cut_first_run, endpoint, EVENTS[:BEGUN_EVENTS], own_answer) if is_resumed else own_answer
        endpoint.requests.clear()
    status, body, is_whole = platform_fleet.call_to_the_end(entry, path, budget_ms=8000, upload_bytes=upload_bytes)
    return status, body, is_whole, sum(len(endpoint.requests) for endpoint in endpoints)


def restore(fleet, entry, path):
    """Sound answers, until the entry sends to the endpoints again."""
    harness.wait_until(lambda: play(fleet, entry, path, read_and_end, 400, 0)[0] == 200, 10, f"{path} is served again")


def test_broken_answers(fleet, entry):
    wrong = tries = 0
    for (path, is_resumed), size, upload_bytes in itertools.product(KINDS, (400, 60_000), UPLOADS):
        for name, answer in BROKEN.items():
            play_row = functools.partial(play, fleet, entry, path, answer, size, upload_bytes, is_resumed)
            status, body, is_whole, sent = bare_server.play_until_sent(play_row, 2 if is_resumed else 1, f"{path} gets {name}")
            restore(fleet, entry, path)
            tries += 1
            # A stream that has begun is cut visibly; nothing else of an answer arrives, and no promise that the request has not run.
            is_cut_stream = path in STREAMS and status == 200 and not is_whole and b"".join(EVENTS).startswith(body)
            if is_cut_stream or (status in (502, 504) and not is_resumed):
                assert sent == 1 or path != "/once/", (path, name, sent)
                continue
            wrong += 1
            print(f"{path} {'resumed ' if is_resumed else ''}{name}, {size} bytes, upload of {upload_bytes}: {status} {len(body)} bytes, whole {is_whole}, sent {sent}", flush=True)
    assert wrong == 0, f"{wrong} of {tries} broken answers"
    print(f"{tries} broken answers", flush=True)


def test_sound_answers(fleet, entry):
    for (path, is_resumed), size, upload_bytes in itertools.product(KINDS, (400, 60_000), (0, *UPLOADS)):
        for name, answer in SOUND.items():
            play_row = functools.partial(play, fleet, entry, path, answer, size, upload_bytes, is_resumed)
            status, body, is_whole, sent = bare_server.play_until_sent(play_row, 2 if is_resumed else 1, f"{path} gets {name}")
            expected = (200, part_of_body(path, size), True, 2 if is_resumed else 1)
            assert (status, body, is_whole, sent) == expected, (path, is_resumed, name, size, upload_bytes, status, len(body), is_whole, sent, entry.events("attempt_failed")[-2:])


def main():
    arguments = harness.parse_arguments(__doc__)
    with platform_fleet.Fleet(arguments.build) as fleet:
        fleet.limits["max-body-bytes"] = 8 << 20
        fleet.add_route("/plain/", "plain", **{"timeout-ms": 8000})
        fleet.add_route("/once/", "once", "non_idempotent", **{"timeout-ms": 8000})
        fleet.add_route("/stream/", "stream", "streaming", **{"timeout-ms": 8000})
        fleet.add_route("/fixed/", "fixed", "streaming", **{"can-resume": False, "timeout-ms": 8000})
        fleet.publish()
        fleet.endpoints_of = bare_server.add_endpoints(fleet, [path for path, _ in KINDS], receive_buffer=bare_server.SMALL_BUFFER)
        entry = fleet.start_entry(repeat_extra=1_000_000)
        fleet.wait_ready(entry)
        harness.wait_until(lambda: len([line for line in entry.events("belief_changed") if line["what"] == "endpoint_listed"]) >= 24, 10, "all endpoints are known")
        for test in (test_sound_answers, test_broken_answers):
            begin = time.monotonic()
            test(fleet, entry)
            assert entry.process.poll() is None, f"the entry ended by itself with code {entry.process.poll()}"
            print(f"{test.__name__} {time.monotonic() - begin:.1f} s", flush=True)


if __name__ == "__main__":
    harness.main(main)
