#!/usr/bin/env python3
"""Endpoints whose answers have a head that is no HTTP: no caller of an entry gets such an answer or a part of it, also not from a second try or
a stream that is resumed. Heads that look odd and are sound are passed on."""

import functools
import itertools

import bare_server
import harness
import malformed_heads
import platform_fleet

EVENTS = [b"id: %d\ndata: token\n\n" % number for number in range(8)]
BEGUN_EVENTS = 4
STREAMS = ("/stream/", "/fixed/")
# Kinds of requests: the path, and whether the answer is to a second run, which goes on with a stream that was cut.
KINDS = (("/plain/", False), ("/once/", False), ("/stream/", False), ("/stream/", True), ("/fixed/", False))


def write_answer(endpoint, path, framing, status_line, field_line, connection, request):
    """The answer of an endpoint that has read the whole request; a stream that is resumed goes on as it should."""
    bare_server.read_body(connection, request)
    last = request.field("Last-Event-Id")
    text = b"".join(EVENTS[int(last) + 1 if last else 0:]) if path in STREAMS else b"done"
    kind = "Content-Type: text/event-stream" if path in STREAMS else "Content-Type: text/plain"
    framing_line, body = malformed_heads.FRAMINGS[framing](text)
    lines = [kind, "Good: 1", *([field_line] if field_line is not None else []), "After: 1", framing_line]
    connection.sendall(endpoint.head(request, *lines, status=status_line) + body)
    return framing != "no length"


def play(fleet, entry, path, framing, is_resumed, status_line="HTTP/1.1 200 OK", field_line=None):
    """One request, which all endpoints answer alike."""
    for endpoint in fleet.endpoints_of[path]:
        answer = functools.partial(write_answer, endpoint, path, framing, status_line, field_line)
        endpoint.answer = functools.partial(bare_server.cut_first_run, endpoint, EVENTS[:BEGUN_EVENTS], answer) if is_resumed else answer
        endpoint.requests.clear()
    status, body, is_whole = platform_fleet.call_to_the_end(entry, path)
    return status, body, is_whole, sum(len(endpoint.requests) for endpoint in fleet.endpoints_of[path])


def whole_body(path):
    return b"".join(EVENTS) if path in STREAMS else b"done"


def is_right(path, is_resumed, status, body, is_whole, sent):
    """A failure that says truly that the request may have run or, of a stream that has begun, its beginning, visibly cut."""
    if path == "/once/" and sent != 1:
        return False
    if is_resumed:
        return (status, body, is_whole) == (200, b"".join(EVENTS[:BEGUN_EVENTS]), False)
    return status == 502 and is_whole and sent >= 1


def test_malformed(fleet, entry, what, heads):
    """Each head with each kind of request, and with each framing for some of these."""
    wrong = tries = 0
    for head, (path, is_resumed) in itertools.product(heads, KINDS):
        framing = list(malformed_heads.FRAMINGS)[tries % len(malformed_heads.FRAMINGS)]
        play_row = functools.partial(play, fleet, entry, path, framing, is_resumed, **head)
        status, body, is_whole, sent = bare_server.play_until_sent(play_row, 2 if is_resumed else 1, f"{path} gets {head}")
        tries += 1
        if not is_right(path, is_resumed, status, body, is_whole, sent):
            wrong += 1
            print(f"{path} {'resumed ' if is_resumed else ''}{framing} {head}: {status} {body[-40:]!r}, whole {is_whole}, sent {sent}", flush=True)
        harness.wait_until(lambda: play(fleet, entry, path, "length", False)[0] == 200, 10, f"{path} is served again")
    assert wrong == 0, f"{wrong} of {tries} answers with {what}"
    print(f"{tries} answers with {what}", flush=True)


def test_sound(fleet, entry):
    heads = [{"status_line": line} for line in malformed_heads.SOUND_STATUS_LINES] + [{"field_line": line} for line in malformed_heads.SOUND_FIELD_LINES]
    for (path, is_resumed), framing, head in itertools.product(KINDS, malformed_heads.FRAMINGS, heads):
        # HTTP/1.0 has no chunks.
        if framing == "chunks" and head.get("status_line", "").startswith("HTTP/1.0"):
            continue
        status, body, is_whole, _ = play(fleet, entry, path, framing, is_resumed, **head)
        assert (status, body, is_whole) == (200, whole_body(path), True), (path, is_resumed, framing, head, status, body, is_whole, entry.events("attempt_failed")[-2:])


def main():
    arguments = harness.parse_arguments(__doc__)
    with platform_fleet.Fleet(arguments.build) as fleet:
        fleet.add_route("/plain/", "plain")
        fleet.add_route("/once/", "once", "non_idempotent")
        fleet.add_route("/stream/", "stream", "streaming")
        fleet.add_route("/fixed/", "fixed", "streaming", **{"can-resume": False})
        fleet.publish()
        fleet.endpoints_of = bare_server.add_endpoints(fleet, [path for path, _ in KINDS])
        entry = fleet.start_entry(repeat_extra=1_000_000)
        fleet.wait_ready(entry)
        harness.wait_until(lambda: len([line for line in entry.events("belief_changed") if line["what"] == "endpoint_listed"]) >= 24, 10, "all endpoints are known")
        test_sound(fleet, entry)
        test_malformed(fleet, entry, "a status that is none", [{"status_line": line} for line in malformed_heads.STATUS_LINES])
        test_malformed(fleet, entry, "a line that is no header", [{"field_line": line} for line in malformed_heads.FIELD_LINES])
        test_malformed(fleet, entry, "a line that begins with a blank", [{"field_line": line} for line in malformed_heads.FOLDED_LINES])
        assert entry.process.poll() is None, f"the entry ended by itself with code {entry.process.poll()}"


if __name__ == "__main__":
    harness.main(main)
