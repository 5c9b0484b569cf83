#!/usr/bin/env python3
"""Broken answers on the way through bilberryd, from a back end to the process beside it and from there to an entry, and such answers to
bilberryctl: none reaches a caller as an answer, in part or whole. Sound ones are passed on."""

import http.client
import itertools
import json
import socket
import subprocess
import time
import uuid

import bare_server
import harness
import malformed_heads

UPLOAD_BYTES = 6 << 20
TEXT = b"x" * 400


class Group(harness.ProcessGroup):
    """An entry, a process beside an endpoint and its back end. The back end answers as `answer` says where `at` is "back end"; where it
    is "endpoint", what stands between the entry and the process answers forwarded requests itself."""

    def start(self):
        self.at = None
        self.answer = None
        self.back_end = bare_server.BareServer(self.answer_at_back_end, "127.0.8.1", bare_server.SMALL_BUFFER)
        self.middle = bare_server.BareServer(self.answer_in_the_middle, "127.0.8.4", bare_server.SMALL_BUFFER)
        self.config = self.standin("config", "config", harness.STORE_HOST)
        folder = harness.ROOT / "examples" / "registry"
        inventory = json.loads((folder / "inventory.json").read_text())
        rules = json.loads((folder / "rules.json").read_text())
        endpoint_row = next(row for row in inventory["vms"] if row.get("service") == "register")
        entry_row = next(row for row in inventory["vms"] if row.get("role") == "entry")
        endpoint_row["back_end"] = self.back_end.address
        self.entry = self.daemon(entry_row, "127.0.8.2:0", self.config.address, [])
        entry_row["address"] = self.entry.address
        self.endpoint = self.daemon(endpoint_row, "127.0.8.3:0", self.config.address, [self.entry.address])
        endpoint_row["address"] = self.middle.address
        inventory["vms"] = [entry_row, endpoint_row]
        self.put(harness.CONFIGURATION_KEY, json.dumps({"inventory": inventory, "rules": rules}))
        self.put(harness.LIVE_KEY, json.dumps({"vms": [{"vm": row["name"], "state": "live"} for row in inventory["vms"]]}))
        self.account = inventory["callers"][0]["name"]
        self.path = next(row["path_prefix"] for row in inventory["services"] if row["name"] == "register") + "/x"
        self.runs = 0

    def close(self):
        super().close()
        self.back_end.stop()
        self.middle.stop()

    def answer_at_back_end(self, connection, request):
        if self.at != "back end" or request.path != self.path:
            bare_server.read_body(connection, request)
            connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone")
            return True
        self.runs += 1
        return self.answer(connection, request, [])

    def answer_in_the_middle(self, connection, request):
        if self.at != "endpoint" or not request.path.startswith("/forward/"):
            bare_server.relay(connection, request, self.endpoint.address)
            return False
        self.runs += 1
        return self.answer(connection, request, ["X-Bilberry-Attempt: " + request.field("X-Bilberry-Attempt"), "X-Bilberry-Outcome: ran", "X-Bilberry-Load: 0/8"])

    def call(self, upload_bytes=0, timeout_ms=4000):
        """One request, unlike any other; gives the status, the stated outcome, the body and whether the answer is whole."""
        connection = http.client.HTTPConnection(self.entry.address, timeout=10)
        body = uuid.uuid4().hex.ljust(upload_bytes, "u")
        try:
            connection.request("POST", self.path, body, {"X-Client-Account": self.account, "X-Request-Timeout-Ms": str(timeout_ms), "Content-Type": "application/octet-stream"})
            answer = connection.getresponse()
            text = b""
            try:
                while piece := answer.read1(65536):
                    text += piece
                return answer.status, answer.getheader("X-Bilberry-Outcome"), text, True
            except (http.client.IncompleteRead, ConnectionError):
                return answer.status, answer.getheader("X-Bilberry-Outcome"), text, False
        except (http.client.HTTPException, OSError) as error:
            return 0, "", repr(error).encode(), False
        finally:
            connection.close()

    def serve_again(self):
        self.at = None
        harness.wait_until(lambda: self.call()[0] == 200, 15, "requests are served")


def head(lines, status_line="HTTP/1.1 200 OK"):
    return "\r\n".join([status_line, *lines, "", ""]).encode("latin-1")


def answer_with(framing, status_line="HTTP/1.1 200 OK", field_line=None, content_type="text/plain"):
    """An answer after the whole request."""
    framing_line, body = malformed_heads.FRAMINGS[framing](TEXT)

    def answer(connection, request, lines):
        bare_server.read_body(connection, request)
        odd_lines = [field_line] if field_line is not None else []
        connection.sendall(head([*lines, "Content-Type: " + content_type, "Good: 1", *odd_lines, "After: 1", framing_line], status_line) + body)
        return framing != "no length"
    return answer


def reset_during_request(delay, ends_first):
    def answer(connection, request, lines):
        connection.sendall(head([*lines, "Content-Type: text/plain"]) + TEXT)
        if ends_first:
            connection.shutdown(socket.SHUT_WR)
        time.sleep(delay)
        bare_server.reset(connection)
    return answer


def answer_early(connection, request, lines):
    """A sound answer: its sender ends its side in order and reads on."""
    connection.sendall(head([*lines, "Content-Type: text/plain"]) + TEXT)
    connection.shutdown(socket.SHUT_WR)
    bare_server.read_body(connection, request)


def reset_after_answer(connection, request, lines):
    bare_server.read_body(connection, request)
    connection.sendall(head([*lines, "Content-Type: text/plain"]) + TEXT)
    time.sleep(0.05)
    bare_server.reset(connection)


def cut_chunks(connection, request, lines):
    """The line between two chunks is none."""
    bare_server.read_body(connection, request)
    connection.sendall(head([*lines, "Content-Type: text/plain", "Transfer-Encoding: chunked"]) + b"4\r\nabcdXX\r\n4\r\nefgh\r\n0\r\n\r\n")


def broken_answers():
    """Name, answer and bytes of the request of each."""
    heads = [{"status_line": line} for line in malformed_heads.STATUS_LINES] + [{"field_line": line} for line in malformed_heads.FIELD_LINES + malformed_heads.FOLDED_LINES]
    for number, odd in enumerate(heads):
        framing = list(malformed_heads.FRAMINGS)[number % len(malformed_heads.FRAMINGS)]
        yield f"{odd} {framing}", answer_with(framing, **odd), 0
    for delay, ends_first in itertools.product((0, 0.01, 0.15), (False, True)):
        yield f"reset after {delay} s of the upload, ends first {ends_first}", reset_during_request(delay, ends_first), UPLOAD_BYTES
    yield "reset after an answer without a length", reset_after_answer, 0
    yield "chunks with a broken line between them", cut_chunks, 0


def test_broken_answers(group):
    wrong = []
    rows = list(itertools.product(("back end", "endpoint"), broken_answers()))
    for at, (name, answer, upload_bytes) in rows:
        group.at, group.answer, group.runs = at, answer, 0
        status, outcome, text, is_whole = group.call(upload_bytes=upload_bytes)
        # Either a failure that doesn't say that the request has not run, or an answer that is visibly cut.
        is_right = group.runs >= 1 and outcome != "not-run" and (status >= 500 or (status == 200 and not is_whole))
        if not is_right:
            wrong.append((at, name, status, outcome, text[:40], is_whole, group.runs))
            print(*wrong[-1], flush=True)
        group.serve_again()
    assert not wrong, f"{len(wrong)} of {len(rows)} broken answers"
    print(f"{len(rows)} broken answers", flush=True)


def sound_answers():
    heads = [{"status_line": line} for line in malformed_heads.SOUND_STATUS_LINES] + [{"field_line": line} for line in malformed_heads.SOUND_FIELD_LINES]
    for framing, odd in itertools.product(malformed_heads.FRAMINGS, heads):
        # HTTP/1.0 has no chunks.
        if framing != "chunks" or "1.0" not in odd.get("status_line", ""):
            yield f"{odd} {framing}", answer_with(framing, **odd), 0
    for framing in malformed_heads.FRAMINGS:
        yield f"upload {framing}", answer_with(framing), UPLOAD_BYTES
        yield f"stream {framing}", answer_with(framing, content_type="text/event-stream"), 0
    yield "early", answer_early, UPLOAD_BYTES


def test_sound_answers(group):
    wrong = []
    rows = list(itertools.product(("back end", "endpoint"), sound_answers()))
    for at, (name, answer, upload_bytes) in rows:
        group.at, group.answer, group.runs = at, answer, 0
        result = group.call(upload_bytes=upload_bytes)
        if (*result, group.runs) != (200, "ran", TEXT, True, 1):
            wrong.append((at, name, *result[:2], result[2][:40], result[3], group.runs))
            print(*wrong[-1], flush=True)
            group.serve_again()
    assert not wrong, f"{len(wrong)} of {len(rows)} sound answers"
    print(f"{len(rows)} sound answers", flush=True)


def answer_never(connection, request, lines):
    bare_server.read_body(connection, request)
    time.sleep(3)


def test_silence_ends_in_time(group):
    """Also on a new connection, whose connect timeout isn't added."""
    for at in ("back end", "endpoint"):
        group.at, group.answer = at, answer_never
        begin = time.monotonic()
        status, outcome, _, _ = group.call(timeout_ms=1000)
        assert status >= 500 and outcome != "not-run" and time.monotonic() - begin < 1.25, (at, status, outcome, time.monotonic() - begin)
        group.serve_again()


def test_ctl(group):
    """An answer with a page of metrics that is broken is no page; a sound one is read."""
    global TEXT
    page, TEXT = TEXT, b"# TYPE bilberry_requests_total counter\nbilberry_requests_total{outcome=\"answered\",reason=\"\"} 3\n"
    wrong = []
    rows = [(row, False) for row in broken_answers() if row[2] == 0] + [(row, True) for row in sound_answers() if row[2] == 0]
    for (name, answer, _), is_sound in rows:
        server = bare_server.BareServer(lambda connection, request, answer=answer: answer(connection, request, []))
        result = subprocess.run([str(group.build / "bilberryctl"), "status", f"--metrics={server.address}"], capture_output=True, text=True, timeout=30, check=False)
        server.stop()
        is_right = result.returncode == 0 and result.stdout if is_sound else result.returncode == 3 and not result.stdout and server.address in result.stderr
        if not is_right:
            wrong.append((name, is_sound, result.returncode, result.stdout[:60], result.stderr[:60]))
            print("bilberryctl", *wrong[-1], flush=True)
    TEXT = page
    assert not wrong, f"{len(wrong)} of {len(rows)} answers to bilberryctl"
    print(f"{len(rows)} answers to bilberryctl", flush=True)


def main():
    arguments = harness.parse_arguments(__doc__)
    with Group(arguments.build) as group:
        group.serve_again()
        failures = []
        for test in (test_sound_answers, test_broken_answers, test_silence_ends_in_time, test_ctl):
            try:
                test(group)
            except AssertionError as error:
                failures.append(str(error))
        assert group.entry.process.poll() is None and group.endpoint.process.poll() is None, "a process ended by itself"
        assert not failures, failures


if __name__ == "__main__":
    harness.main(main)
