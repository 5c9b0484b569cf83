#!/usr/bin/env python3
"""A key runs at most once when the process that owns it is killed, frozen, or taken out with its data centre, and when an entry is killed."""

import signal
import time
from concurrent.futures import ThreadPoolExecutor

import harness
from keys_fleet import PATH, REGISTER, count_runs, run_tests

# A silent owner's report expires (10 s), its lease runs out (4 s), and an attempt at it may be under way (2.5 s).
TAKE_OVER_SECONDS = 20
# Keys that ran, and twice as many that wait, when a data centre is taken out.
MINTED_BEFORE = 24
# Requests at an entry that is killed, and how long each takes.
KEYS_IN_PROGRESS = 8
WORK_MS = 800


def test_owner_restarts(fleet, caller):
    key, minted = caller.run_key()
    name = caller.owner(key)
    before = caller.mint()
    fleet.processes[name].kill()
    for entry in (0, 1):
        answer = caller.submit(key, minted, entry)
        assert answer[1] == "outcome-unknown", ("a key that ran", answer)
        # It may fall into a slot of another endpoint, where it runs, once.
        answer = caller.submit(*before, entry)
        assert answer[1] in ("outcome-unknown", "ran"), answer
    fleet.restart_daemon(name)
    # Another endpoint or the restarted one takes the slot over; neither can vouch for the old keys.
    end = time.monotonic() + 8
    while time.monotonic() < end:
        answer = caller.submit(key, minted, 1)
        assert answer[1] == "outcome-unknown", ("a key that ran", answer)
        if answer[2] == "not-vouched":
            break
        time.sleep(0.1)
    assert answer[2] == "not-vouched", answer
    caller.check(key)
    caller.check(before[0])
    caller.run_key()


def has_run(answer):
    return answer[1] == "ran"


def runs_at(fleet, name):
    """The keys that an endpoint's back end has run."""
    return set(fleet.back_end(name).counts().get("runs_by_key", {}))


def test_owner_frozen(fleet, caller):
    """Woken with requests in hand past every timeout, the process sends none of them."""
    owned = caller.run_key()
    name = caller.owner(owned[0])
    frozen = fleet.processes[name]
    frozen.signal(signal.SIGSTOP)
    keys = [caller.mint() for _ in range(6)]
    with ThreadPoolExecutor(len(keys)) as pool:
        list(pool.map(lambda number: caller.submit(*keys[number], number % 2), range(len(keys))))
    caller.submit_until(lambda answer: answer[2] == "not-vouched", *owned, 1, TAKE_OVER_SECONDS)
    ran_there = runs_at(fleet, name)
    frozen.signal(signal.SIGCONT)
    # The owner is back and answers from its table.
    caller.submit_until(has_run, *owned, seconds=10)
    for key, minted in keys:
        for entry in (0, 1):
            caller.submit(key, minted, entry)
        caller.check(key)
    late = (runs_at(fleet, name) - ran_there) & {key for key, _ in keys}
    assert not late, (late, [caller.answers[key] for key in late])
    caller.check(owned[0])


def check_minted_before(caller, ran, waiting):
    """Keys that ran give the same answer again, and those minted and not sent run now: no tenure's start is between."""
    for number, (key, (minted, body)) in enumerate(ran.items()):
        assert caller.submit_until(has_run, key, minted, number % 2)[3] == body, key
    for number, (key, minted) in enumerate(waiting):
        caller.submit_until(has_run, key, minted, number % 2)
    for key in [*ran, *(key for key, _ in waiting)]:
        assert caller.check(key) == 1, (key, caller.answers[key])


def test_data_centre_out(fleet, caller):
    """Planned changes of owners, there and back, under load: old keys stay vouched for."""
    ran = {}
    for number in range(MINTED_BEFORE):
        key, minted = caller.run_key(number % 2)
        ran[key] = (minted, caller.submit(key, minted)[3])
    waiting = [caller.mint() for _ in range(2 * MINTED_BEFORE)]
    load = fleet.load("--rate=20", "--seconds=8", f"--path={PATH}", f"--account={fleet.inventory['callers'][0]['name']}", "--key_prefix=out-", "--resend=3")
    out = next(row["data_centre"] for row in fleet.inventory["vms"] if row["name"] == caller.owner(next(iter(ran))))
    fleet.take_out(out)
    time.sleep(2)
    check_minted_before(caller, ran, waiting[:MINTED_BEFORE])
    fleet.bring_back()
    time.sleep(2)
    check_minted_before(caller, ran, waiting[MINTED_BEFORE:])
    report = harness.finish(load)
    runs = count_runs(fleet, "out-")
    assert all(count == 1 for count in runs.values()), runs
    assert report["lost"] == report["wrong"] == 0 and report["ok"] <= len(runs), report
    print(f"load {report['ok']}/{report['sent']} answered, refused {report['refused']}")


def test_entry_killed(fleet, caller):
    """Callers of an entry that is killed with their requests in progress send again through another one."""
    for endpoint in fleet.endpoints(REGISTER):
        fleet.back_end(endpoint).fault(work_ms=WORK_MS)
    keys = [caller.mint() for _ in range(KEYS_IN_PROGRESS)]
    name = fleet.entries()[1]
    with ThreadPoolExecutor(len(keys)) as pool:
        answers = pool.map(lambda key: caller.submit(*key, 1), keys)
        time.sleep(WORK_MS / 2000)
        fleet.processes[name].kill()
    assert [outcome for _, outcome, *_ in answers].count("lost") >= KEYS_IN_PROGRESS // 2, caller.answers
    for endpoint in fleet.endpoints(REGISTER):
        fleet.back_end(endpoint).fault(work_ms=0)
    for key, minted in keys:
        caller.submit_until(has_run, key, minted)
        assert caller.check(key) == 1, (key, caller.answers[key])
    fleet.restart_daemon(name)


if __name__ == "__main__":
    harness.main(lambda: run_tests(__doc__, (test_owner_restarts, test_owner_frozen, test_data_centre_out, test_entry_killed)))
