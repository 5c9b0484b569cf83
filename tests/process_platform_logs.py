#!/usr/bin/env python3
"""Logs and metrics of an entry: a reader that stops reading slows no request and costs no memory; drops are counted; a reload
changes bounds; three kinds of failed request can be told apart from their id alone."""

import pathlib
import signal
import time
from concurrent.futures import ThreadPoolExecutor

import harness
import platform_fleet


def memory_kib(node):
    status = pathlib.Path(f"/proc/{node.process.pid}/status").read_text()
    return int(next(line.split()[1] for line in status.splitlines() if line.startswith("VmRSS")))


def lines_of(node, request):
    return [line for line in node.lines if line.get("request") == request]


def test_reader_that_stops(fleet):
    entry = fleet.start_entry(1, reads_log=False, log_lines_per_second=100000)
    fleet.wait_ready(entry)
    harness.wait_until(lambda: fleet.call(entry, "/plain/")[0] == 200, 5, "it serves")
    before = memory_kib(entry)
    with ThreadPoolExecutor(8) as pool:
        statuses = list(pool.map(lambda _: fleet.call(entry, "/plain/", timeout=2.0)[0], range(4000)))
    assert statuses.count(200) == len(statuses), statuses.count(200)
    assert memory_kib(entry) - before < 8 * 1024, (before, memory_kib(entry))
    text = fleet.metrics(entry)
    dropped = float(next(line.split()[1] for line in text.splitlines() if line.startswith("bilberry_log_lines_dropped ")))
    assert dropped > 0, text
    entry.kill()


def test_reload(fleet, entry):
    path = pathlib.Path(fleet.folder) / f"{entry.name}.flags"
    text = path.read_text()
    path.write_text(text + "--repeat_ratio=wrong\n")
    entry.process.send_signal(signal.SIGHUP)
    harness.wait_until(lambda: entry.events("reload_refused"), 3, "a wrong file is refused")
    path.write_text(text + "--repeat_ratio=0.1\n")
    entry.process.send_signal(signal.SIGHUP)
    harness.wait_until(lambda: entry.events("reloaded"), 3, "a right one is taken")
    assert fleet.call(entry, "/plain/")[0] == 200


def test_refused_before_any_endpoint(fleet, entry):
    status = fleet.call(entry, "/empty/", **{"Bilberrybarrow-Request-Id": "walk1"})[0]
    assert status == 503
    harness.wait_until(lambda: lines_of(entry, "walk1"), 2, "its line is written")
    line = lines_of(entry, "walk1")[-1]
    assert (line["outcome"], line["runs"], line["reason"]) == ("refused", 0, "no_free_place"), line
    assert not any(change.get("what") == "endpoint_listed" and "empty" in change["key"] for change in entry.events("belief_changed"))


def test_cut_in_mid_stream(fleet, entry):
    fleet.stream.faults = ["cut"]
    assert fleet.call(entry, "/cut/", **{"Bilberrybarrow-Request-Id": "walk2"})[0] == 0
    harness.wait_until(lambda: len(lines_of(entry, "walk2")) == 2, 2, "its lines are written")
    attempt, last = lines_of(entry, "walk2")
    assert (attempt["event"], attempt["endpoint"], attempt["result"]) == ("attempt_failed", "s1", "lost"), attempt
    assert (last["outcome"], last["reason"]) == ("cut_off", "lost"), last


def test_lost_while_the_store_was_away(fleet, entry):
    fleet.store.is_down = True
    harness.wait_until(lambda: fleet.call(entry, "/plain/", **{"Bilberrybarrow-Request-Id": "walk3"})[0] == 503, 10, "keyed requests are refused")
    harness.wait_until(lambda: lines_of(entry, "walk3") and lines_of(entry, "walk3")[-1]["reason"] == "revocations_unknown", 2, "its line is written")
    lost = entry.events("store_lost")
    assert lost and lost[-1]["time_ms"] < lines_of(entry, "walk3")[-1]["time_ms"]
    fleet.store.is_down = False
    harness.wait_until(lambda: entry.events("store_regained"), 5, "the store is back")


def main():
    arguments = harness.parse_arguments(__doc__)
    with platform_fleet.Fleet(arguments.build) as fleet:
        fleet.add_route("/plain/", "plain")
        fleet.add_route("/empty/", "empty")
        fleet.add_route("/cut/", "stream", "streaming", **{"can-resume": False})
        fleet.publish()
        fleet.add_endpoint("p1", "plain")
        fleet.stream = fleet.add_endpoint("s1", "stream", events=12)
        test_reader_that_stops(fleet)
        entry = fleet.start_entry(2)
        fleet.wait_ready(entry)
        time.sleep(0.5)
        for test in (test_reload, test_refused_before_any_endpoint, test_cut_in_mid_stream, test_lost_while_the_store_was_away):
            test(fleet, entry)
            print(test.__name__, flush=True)


if __name__ == "__main__":
    harness.main(main)
