#!/usr/bin/env python3
"""What callers of an entry see of a stream that is cut: those whose answers have chunks, and those of HTTP/1.0, whose answers end with
their connection."""

import socket
import time
import uuid

import harness
import platform_fleet

EVENTS = 40
WHOLE = b"".join(b"id: %d\ndata: token\n\n" % number for number in range(EVENTS))
LARGE_EVENTS = b"".join(b"id: %d\ndata: %s\n\n" % (number, b"x" * 200_000) for number in range(40))


def open_stream(entry, version, path="/fixed/", receive_buffer=None):
    host, port = entry.flags["listen"].rsplit(":", 1)
    caller = socket.socket()
    if receive_buffer:
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
    caller.settimeout(10)
    caller.connect((host, int(port)))
    body = uuid.uuid4().hex
    head = f"POST {path} HTTP/{version}\r\nHost: {platform_fleet.HOST}\r\nBilberrybarrow-Request-Id: {uuid.uuid4().hex}\r\nBilberrybarrow-Deadline-Ms: 9000\r\nAuthorization: Token {platform_fleet.KEY}\r\nContent-Length: {len(body)}\r\n\r\n{body}"
    caller.sendall(head.encode())
    return caller


def read_until(caller, text):
    received = b""
    while text not in received:
        piece = caller.recv(65536)
        assert piece, received
        received += piece
    return received


def read_to_end(caller, version, received=b""):
    """All bytes, and whether the answer looks whole to its caller: it ends with the last chunk or, with HTTP/1.0, not by a reset."""
    try:
        while not (version == "1.1" and received.endswith(b"0\r\n\r\n")):
            piece = caller.recv(65536)
            if not piece:
                return received, version == "1.0"
            received += piece
        return received, True
    except ConnectionResetError:
        return received, False
    finally:
        caller.close()


def set_endpoints(fleet, gap, *faults):
    """The pause between events, and the faults of the next runs, whichever endpoints they reach."""
    faults = list(faults)
    for endpoint in fleet.streams:
        endpoint.gap = gap
        endpoint.faults = faults


def test_whole_streams_look_whole(fleet, entry):
    set_endpoints(fleet, 0.0)
    for version in ("1.0", "1.1"):
        received, is_whole = read_to_end(open_stream(entry, version), version)
        assert is_whole and received.count(b"data: token") == EVENTS, (version, received)
        assert version == "1.1" or received.endswith(b"\r\n\r\n" + WHOLE), received


def test_streams_that_their_endpoint_breaks_off_look_cut(fleet, entry):
    set_endpoints(fleet, 0.0)
    for version in ("1.0", "1.1"):
        set_endpoints(fleet, 0.0, "cut")
        received, is_whole = read_to_end(open_stream(entry, version), version)
        assert not is_whole, (version, received)


def test_streams_to_slow_callers_look_cut_while_bytes_are_queued(fleet, entry):
    for version in ("1.0", "1.1"):
        set_endpoints(fleet, 0.0, ("events", LARGE_EVENTS, True))
        caller = open_stream(entry, version, receive_buffer=4096)
        received = read_until(caller, b"id: 0\n")
        time.sleep(0.5)
        received, is_whole = read_to_end(caller, version, received)
        assert not is_whole and received.count(b"id: ") <= 40, (version, len(received))


def test_streams_to_callers_that_pause_look_whole_only_if_they_are(fleet, entry):
    """Events wait for the caller when their run ends, and for so long that another run takes its place."""
    for version, pause, is_cut in (("1.0", 1.0, True), ("1.1", 1.0, True), ("1.0", 2.5, False), ("1.1", 2.5, False)):
        set_endpoints(fleet, 0.0, ("events", LARGE_EVENTS, is_cut))
        caller = open_stream(entry, version, "/stream/", receive_buffer=4096)
        received = read_until(caller, b"id: 0\n")
        time.sleep(pause)
        received, is_whole = read_to_end(caller, version, received)
        assert not is_whole or received.count(b"x" * 200_000) == EVENTS, (version, pause, len(received))


def check_end_of_entry(fleet, number, end):
    """Streams are open when the entry ends."""
    set_endpoints(fleet, 0.3)
    entry = fleet.start_entry(number, stop_grace_s=2)
    fleet.wait_ready(entry)
    callers = [(version, open_stream(entry, version)) for version in ("1.0", "1.1")]
    begun = [read_until(caller, b"id: 1\n") for _, caller in callers]
    end(entry)
    for (version, caller), received in zip(callers, begun):
        received, is_whole = read_to_end(caller, version, received)
        assert not is_whole, (version, received[-60:])


def test_streams_of_an_entry_whose_grace_is_over_look_cut(fleet, _):
    check_end_of_entry(fleet, 2, lambda entry: entry.process.terminate())


def test_streams_of_a_killed_entry_look_cut(fleet, _):
    check_end_of_entry(fleet, 3, lambda entry: entry.process.kill())


def main():
    arguments = harness.parse_arguments(__doc__)
    with platform_fleet.Fleet(arguments.build) as fleet:
        fleet.add_route("/fixed/", "stream", "streaming", **{"can-resume": False, "timeout-ms": 20000})
        fleet.add_route("/stream/", "stream", "streaming", **{"timeout-ms": 20000})
        fleet.publish()
        fleet.streams = [fleet.add_endpoint(f"s{number}", "stream", events=EVENTS) for number in range(8)]
        entry = fleet.start_entry()
        fleet.wait_ready(entry)
        for test in (test_whole_streams_look_whole, test_streams_that_their_endpoint_breaks_off_look_cut, test_streams_to_slow_callers_look_cut_while_bytes_are_queued, test_streams_to_callers_that_pause_look_whole_only_if_they_are,
                     test_streams_of_an_entry_whose_grace_is_over_look_cut, test_streams_of_a_killed_entry_look_cut):
            test(fleet, entry)
            assert entry.process.poll() is None, f"the entry ended by itself with code {entry.process.poll()}"
            print(test.__name__, flush=True)


if __name__ == "__main__":
    harness.main(main)
