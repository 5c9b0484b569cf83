#!/usr/bin/env python3
"""A data centre is taken out and returned, processes are stopped, all under load: no request fails or is cut off."""

import json
import signal
import threading
import time

import harness

OUT = "sousse-a"
LAST_NEW_REQUEST_SECONDS = 3


class StaleEntry(threading.Thread):
    """Sends requests straight to an endpoint's process, as an entry would that has not heard of any change."""

    def __init__(self, fleet, endpoint):
        super().__init__(daemon=True)
        self.fleet = fleet
        self.endpoint = endpoint
        self.ends = False
        self.ran = []
        self.refused = []

    def run(self):
        while not self.ends:
            status, reason, *_ = self.fleet.forward(self.endpoint, "stale")
            (self.ran if status == 200 else self.refused).append((time.monotonic(), reason))
            time.sleep(0.02)


def started(fleet, data_centre):
    names = [name for name in fleet.endpoints(fleet.model_service()) if fleet.vm(name)["data_centre"] == data_centre]
    return sum(fleet.back_end(name).counts()["started"] for name in names)


def start_load(fleet, seconds, seed):
    return fleet.load_model(seconds, "--timeout_ms=10000", "--rate=60", "--workers=48", "--max_tokens=10", "--stream", f"--seed={seed}")


def take_out_and_return(fleet):
    load = start_load(fleet, 10, 1)
    stale = StaleEntry(fleet, f"{OUT}-draft-1")
    stale.start()
    harness.wait_until(lambda: started(fleet, OUT) > 20 and stale.ran, 10, "load in the data centre")
    taken_out_at = time.monotonic()
    fleet.take_out(OUT)
    time.sleep(LAST_NEW_REQUEST_SECONDS)
    count = started(fleet, OUT)
    time.sleep(1.5)
    assert started(fleet, OUT) == count, "new work after the data centre was taken out"
    last = max(when for when, _ in stale.ran) - taken_out_at
    assert last <= LAST_NEW_REQUEST_SECONDS, f"a stale entry's last request ran after {last:.2f} s"
    assert stale.refused[-1][1] == "data-centre-out", stale.refused[-1]
    fleet.bring_back()
    harness.wait_until(lambda: started(fleet, OUT) > count, 10, "work returns")
    stale.ends = True
    harness.assert_whole(harness.finish(load), "data centre out and back")


def change_after_choice(fleet):
    """Requests of an entry that chose under the old configuration are refused as not run, and the engine has no run of them."""
    name = f"{OUT}-draft-1"
    for document, field, value, status, reason in ((fleet.rules, "data_centres_out", [OUT], 503, "data-centre-out"),
                                                   (fleet.rules, "vms_leaving", [name], 503, "leaving"),
                                                   (fleet.vm(name), "service", "portal", 404, "unknown-service")):
        before, document[field] = document[field], value
        fleet.publish()
        harness.wait_until(lambda: fleet.forward(name, "probe")[1] == reason, 4, f"{name} refuses with {reason}")
        prompts = [f"late-{reason}-{index}" for index in range(20)]
        answers = {fleet.forward(name, prompt)[:3] for prompt in prompts}
        assert answers == {(status, reason, "not-run")}, answers
        assert fleet.runs_of(name, prompts) == 0, f"ran after {reason}"
        document[field] = before
        fleet.publish()
        harness.wait_until(lambda: fleet.forward(name, "probe")[0] == 200, 15, f"{name} serves again after {reason}")


def change_label(fleet):
    """While a label's version changes, an endpoint answers by the old version, then by the new one; a refused request has not run."""
    name, model = f"{OUT}-draft-1", fleet.inventory["models"][0]
    old, model["label"] = fleet.digest, "next"
    fleet.digest = fleet.put_model(seed=2)
    fleet.publish()
    versions = [old]
    for index in range(1000):
        prompt = f"label-{index}"
        status, reason, outcome, text = fleet.forward(name, prompt)
        if status != 200:
            assert (reason, outcome, fleet.runs_of(name, [prompt])) == ("version-not-ready", "not-run", 0), (status, reason, outcome)
            continue
        version = json.loads(text)["system_fingerprint"]
        assert version in (versions[-1], fleet.digest), f"answered by {version} after {versions[-1]}"
        versions.append(version)
        if versions[-20:] == [fleet.digest] * 20:
            return
        time.sleep(0.01)
    raise AssertionError(f"{name} does not serve the new version")


def stop_under_load(fleet):
    """SIGTERM of an endpoint's process under load cuts nothing off; its exit code says so."""
    load = start_load(fleet, 4, 2)
    name = f"{OUT}-draft-2"
    harness.wait_until(lambda: fleet.back_end(name).counts()["running"] > 0, 10, "work at the endpoint")
    assert fleet.processes[name].stop() == 0
    harness.assert_whole(harness.finish(load), "endpoint stopped")


def stop_entry(fleet):
    """SIGTERM of an entry with streams in hand: they all end whole."""
    entry = fleet.entries()[0]
    load = start_load(fleet, 3, 3)
    harness.wait_until(lambda: fleet.processes[entry].metric("bilberry_requests_in_progress") > 0, 10, "work at the entry")
    fleet.processes[entry].signal(signal.SIGTERM)
    # The load generator does not take an entry out, as the balancer would: its new connections are lost, not cut.
    harness.assert_whole(harness.finish(load), "entry stopped", allowed=("lost",))
    assert fleet.processes[entry].process.wait(30) == 0


def main():
    arguments = harness.parse_arguments(__doc__)
    with harness.Fleet(arguments.build, engine_flags=["--slots=8", "--token_ms=10", "--cold_ms=100", "--cold_slots=2"]) as fleet:
        fleet.wait_for_replicas(9)
        fleet.wait_for_entries()
        take_out_and_return(fleet)
        change_after_choice(fleet)
        change_label(fleet)
        stop_under_load(fleet)
        stop_entry(fleet)


if __name__ == "__main__":
    harness.main(main)
