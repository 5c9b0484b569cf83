#!/usr/bin/env python3
"""Logs and metrics of an entry: a reader that stops reading slows no request and costs no memory; drops are counted; a reload
changes bounds; three kinds of failed request can be told apart from their id alone."""

import json
import pathlib
import signal
import subprocess
import tempfile
import time
from concurrent.futures import ThreadPoolExecutor

import harness
import platform_fleet


def memory_kib(node):
    status = pathlib.Path(f"/proc/{node.process.pid}/status").read_text()
    return int(next(line.split()[1] for line in status.splitlines() if line.startswith("VmRSS")))


def lines_of(node, request):
    return [line for line in node.lines if line.get("request") == request]


def ctl(fleet, *arguments, text=""):
    """Runs bilberryctl; gives (exit code, standard output, standard error)."""
    result = subprocess.run([f"{fleet.build}/bilberryctl", *arguments], input=text, capture_output=True, text=True, timeout=30, check=False)
    return result.returncode, result.stdout, result.stderr


def explain(fleet, request):
    """The account of a request from the logs of all processes, as an engineer gets it."""
    log = "".join(json.dumps(line) + "\n" for node in fleet.nodes for line in list(node.lines))
    code, account, error = ctl(fleet, "explain", request, text=log)
    assert code == 0, (code, error)
    return account


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


def test_log_does_not_go_silent_after_dropped_lines(fleet):
    entry = fleet.start_entry(3, log_lines_per_second=20)
    fleet.wait_ready(entry)
    harness.wait_until(lambda: fleet.call(entry, "/plain/")[0] == 200, 5, "it serves")
    for _ in range(60):
        fleet.call(entry, "/plain/")
    time.sleep(1.2)
    assert fleet.call(entry, "/plain/", **{"Bilberrybarrow-Request-Id": "after"})[0] == 200
    harness.wait_until(lambda: lines_of(entry, "after"), 3, "a line is written after dropped ones")
    assert entry.events("log_lines_dropped")
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
    account = explain(fleet, "walk1")
    assert "no endpoint had a free place" in account and "0 attempts that may have run and 0 that have not" in account, account


def test_cut_in_mid_stream(fleet, entry):
    fleet.stream.faults = ["cut"]
    assert fleet.call(entry, "/cut/", **{"Bilberrybarrow-Request-Id": "walk2"})[0] == 0
    harness.wait_until(lambda: len(lines_of(entry, "walk2")) == 2, 2, "its lines are written")
    attempt, last = lines_of(entry, "walk2")
    assert (attempt["event"], attempt["endpoint"], attempt["result"]) == ("attempt_failed", "s1", "lost"), attempt
    assert (last["outcome"], last["reason"]) == ("cut_off", "lost"), last
    account = explain(fleet, "walk2")
    assert "attempt at s1 failed" in account and "cut_off" in account and "1 attempts that may have run" in account, account


def test_lost_while_the_store_was_away(fleet, entry):
    fleet.store.is_down = True
    harness.wait_until(lambda: fleet.call(entry, "/plain/", **{"Bilberrybarrow-Request-Id": "walk3"})[0] == 503, 10, "keyed requests are refused")
    harness.wait_until(lambda: lines_of(entry, "walk3") and lines_of(entry, "walk3")[-1]["reason"] == "revocations_unknown", 2, "its line is written")
    lost = entry.events("store_lost")
    assert lost and lost[-1]["time_ms"] < lines_of(entry, "walk3")[-1]["time_ms"]
    account = explain(fleet, "walk3")
    assert "revocations_unknown: the store was not heard for too long" in account and "store_lost" in account, account
    fleet.store.is_down = False
    harness.wait_until(lambda: entry.events("store_regained"), 5, "the store is back")


def test_status_and_burn(fleet, entry):
    address = entry.flags["metrics_listen"]
    code, output, error = ctl(fleet, "status", f"--metrics={address}")
    assert code == 0 and "entry" in output and "refused/no_free_place 1" in output and "cut_off/lost 1" in output, (code, output, error)
    rows = json.loads(ctl(fleet, "status", "--json", f"--metrics={address}")[1])
    assert rows[0]["memory_bytes"] > 1e6 and rows[0]["processor_seconds"] > 0 and rows[0]["in_progress"] == 0, rows
    with tempfile.TemporaryDirectory() as folder:
        page = pathlib.Path(folder) / "earlier"
        page.write_text(fleet.metrics(entry))
        assert [fleet.call(entry, "/plain/")[0] for _ in range(20)] == [200] * 20
        code, output, error = ctl(fleet, "burn", f"--metrics={address}", f"--earlier={page}")
        assert code == 0 and "20 good, 0 bad" in output, (code, output, error)
        assert fleet.call(entry, "/empty/")[0] == 503
        code, output, error = ctl(fleet, "burn", "--objective=0.99", f"--metrics={address}", f"--earlier={page}")
        assert code == 1 and "20 good, 1 bad, burn rate 4.76" in output and "refused/no_free_place 1" in output, (code, output, error)
    assert ctl(fleet, "status", "--metrics=127.0.0.1:1")[0] == 3
    assert ctl(fleet, "burn", "--metrics=/nowhere/page")[0] == 3
    assert ctl(fleet, "burn", "--objective=1", f"--metrics={address}")[0] == 2
    assert ctl(fleet, "explain", "nobody", text="{}\n")[0] == 1


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
        test_log_does_not_go_silent_after_dropped_lines(fleet)
        entry = fleet.start_entry(2)
        fleet.wait_ready(entry)
        time.sleep(0.5)
        for test in (test_reload, test_refused_before_any_endpoint, test_cut_in_mid_stream, test_lost_while_the_store_was_away, test_status_and_burn):
            test(fleet, entry)
            print(test.__name__, flush=True)


if __name__ == "__main__":
    harness.main(main)
