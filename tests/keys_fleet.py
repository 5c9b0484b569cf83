"""Keyed requests for process-level tests: a caller that counts the runs of each key, and a fleet of the register."""

import json
import time
import uuid

import harness

PATH = "/register/suspensions"
REGISTER = "register"
KEY_SLOTS = 64
STEADY_SECONDS = 3


class Caller:
    """Submits keyed requests through any entry and counts the runs of each key at the back ends."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.runs = {}
        self.answers = {}

    def mint(self):
        return str(uuid.uuid4()), str(int(time.time() * 1000))

    def submit(self, key, minted, entry=0, body="{}", timeout=10.0, account=None, **headers):
        address = self.fleet.processes[self.fleet.entries()[entry]].address
        headers = {**(account or self.fleet.account()), "Idempotency-Key": key, "X-Request-Timeout-Ms": "1500", **headers}
        if minted:
            headers["Idempotency-Key-Minted"] = minted
        status, received, text = harness.call("POST", address, PATH, body, headers, timeout)
        outcome = received.get("X-Bilberry-Outcome", "lost")
        reason = json.loads(text).get("reason", "") if text.startswith(b"{") else ""
        self.answers.setdefault(key, []).append(outcome)
        return status, outcome, reason, text

    def submit_until(self, is_awaited, key, minted, entry=0, seconds=5):
        """Sends the key again until an answer is the awaited one; gives that answer."""
        end = time.monotonic() + seconds
        answer = self.submit(key, minted, entry)
        while not is_awaited(answer):
            assert time.monotonic() < end, (key, self.answers[key], answer)
            time.sleep(0.02)
            answer = self.submit(key, minted, entry)
        return answer

    def run_count(self, key):
        """Runs of the key over all back ends, also those that have gone: each prints a line a run."""
        for name in self.fleet.endpoints(REGISTER):
            for process in [self.fleet.back_end(name), *self.fleet.gone]:
                while not process.lines.empty():
                    words = process.lines.get().split()
                    if words[:1] == ["run"]:
                        self.runs[words[1]] = self.runs.get(words[1], 0) + 1
        return self.runs.get(key, 0)

    def check(self, key):
        """At most one run; none after `not-run` was the last word, one after `ran`."""
        if "ran" in self.answers[key]:
            harness.wait_until(lambda: self.run_count(key), 5, f"the run of {key} is printed: {self.answers[key]}")
        count = self.run_count(key)
        assert count <= 1, (key, count, self.answers[key])
        if "not-run" in self.answers[key]:
            last = len(self.answers[key]) - 1 - self.answers[key][::-1].index("not-run")
            assert "ran" not in self.answers[key][:last], (key, self.answers[key])
        if self.answers[key][-1] == "not-run":
            assert count == 0, (key, count, self.answers[key])
        return count

    def run_key(self, entry=0, seconds=15):
        """Submits keys until one runs; gives it with its mint time."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            key, minted = self.mint()
            if self.submit(key, minted, entry)[1] == "ran":
                self.check(key)
                return key, minted
            self.check(key)
            time.sleep(0.1)
        raise AssertionError(f"no key ran within {seconds} s: {self.answers[key]}")

    def wait_for_owners(self, seconds=20):
        """Waits until every slot has had an owner for so long that fresh keys run, whichever slot they fall into, and
        until no slot moves any more to an endpoint that started later."""
        names = self.fleet.endpoints(REGISTER)
        steady = {"held": None, "since": 0.0}

        def are_steady():
            held = [self.fleet.processes[name].metric("bilberry_key_slots_held") for name in names]
            if held != steady["held"]:
                steady.update(held=held, since=time.monotonic())
            return sum(held) == KEY_SLOTS and min(held) > 0 and time.monotonic() - steady["since"] > STEADY_SECONDS

        harness.wait_until(are_steady, seconds, "all slots are held and stay where they are")
        in_a_row = 0
        while in_a_row < 2 * KEY_SLOTS:
            key, minted = self.mint()
            in_a_row = in_a_row + 1 if self.submit(key, minted)[1] == "ran" else 0
            self.check(key)

    def owner(self, key):
        """The endpoint whose back end ran the key."""
        for name in self.fleet.endpoints(REGISTER):
            if key in self.fleet.back_end(name).counts().get("runs_by_key", {}):
                return name
        raise AssertionError(f"{key} ran nowhere")


def count_runs(fleet, prefix):
    """Runs of each key of a load over all back ends."""
    return {key: count for key, count in fleet.runs_by_key(REGISTER).items() if key.startswith(prefix)}


def start_fleet(build):
    """The register service only: three endpoints and the entries."""

    def edit(fleet):
        fleet.inventory["vms"] = [row for row in fleet.inventory["vms"] if row.get("role") == "entry" or row["service"] == REGISTER]
        fleet.rules["placements"] = fleet.rules["bursts"] = []

    fleet = harness.Fleet(build, edit=edit)
    fleet.gone = []
    return fleet


def run_tests(description, tests):
    """Runs the tests on one fleet, each once every slot has an owner; --only=TEXT runs those with TEXT in their name."""
    arguments = harness.parse_arguments(description, only="")
    with start_fleet(arguments.build) as fleet:
        caller = Caller(fleet)
        for test in tests:
            if arguments.only in test.__name__:
                start = time.monotonic()
                caller.wait_for_owners()
                test(fleet, caller)
                print(f"{test.__name__} {time.monotonic() - start:.1f} s", flush=True)
