#!/usr/bin/env python3
"""A key runs at most once whatever fails at its owner, and `not-run` is never said of a key that ran."""

import time
import uuid
from concurrent.futures import ThreadPoolExecutor

import harness
from keys_fleet import REGISTER, run_tests


def replace_back_end(fleet, name):
    """Starts a crashed back end again and publishes its address."""
    fleet.back_end(name).process.wait(5)
    fleet.gone.append(fleet.back_end(name))
    fleet.start_back_end(name)
    fleet.publish()


def test_repeats(fleet, caller):
    key, minted = caller.run_key()
    first = caller.submit(key, minted, 0)
    second = caller.submit(key, minted, 1)
    assert first[1] == second[1] == "ran" and first[3] == second[3], (first, second)
    caller.check(key)
    reused = caller.submit(key, minted, 1, body='{"other":1}')
    assert (reused[0], reused[2]) == (422, "key-reused"), reused
    other = {"X-Client-Account": fleet.inventory["callers"][1]["name"]}
    foreign = caller.submit(key, minted, 0, body='{"mine":1}', account=other)
    assert foreign[2] != "key-reused" and foreign[3] != first[3], foreign
    for bad, reason in ((None, "key-malformed"), (str(int(time.time() * 1000) + 60_000), "key-minted-ahead")):
        refused = caller.submit(str(uuid.uuid4()), bad)
        assert refused[1:3] == ("not-run", reason), refused


def test_concurrent(_fleet, caller):
    key, minted = caller.mint()
    with ThreadPoolExecutor(8) as pool:
        list(pool.map(lambda number: caller.submit(key, minted, number % 2), range(8)))
    assert caller.submit(key, minted)[1] == "ran", caller.answers[key]
    assert caller.check(key) == 1


def test_back_end_faults(fleet, caller):
    for fault, runs in (("crash_before_run", 0), ("crash_after_run", 1), ("drop_reply", 1)):
        for endpoint in fleet.endpoints(REGISTER):
            fleet.back_end(endpoint).fault(**{fault: 1})
        key, minted = caller.mint()
        for entry in (0, 1, 0):
            answer = caller.submit(key, minted, entry)
            assert answer[1] == "outcome-unknown", (fault, answer)
        harness.wait_until(lambda: caller.run_count(key) >= runs, 5, f"{runs} runs of {key}")
        assert caller.check(key) == runs, (fault, caller.answers[key])
        for endpoint in fleet.endpoints(REGISTER):
            if fleet.back_end(endpoint).process.poll() is not None:
                replace_back_end(fleet, endpoint)
            else:
                fleet.back_end(endpoint).fault(**{fault: 0})
        caller.wait_for_owners()


if __name__ == "__main__":
    harness.main(lambda: run_tests(__doc__, (test_repeats, test_concurrent, test_back_end_faults)))
