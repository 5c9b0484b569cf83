#!/usr/bin/env python3
"""What the configuration service may answer: nothing, old, other, broken and absurd documents."""

import time

import harness
from bare_fleet import PROMISE_SECONDS, START_SECONDS, BareFleet

SWITCHES_OFF = {"down": False, "stale": False, "serve_index": None, "serve_body": None}


def offered(fleet, result):
    return sum(process.metric(f'bilberry_documents_offered_total{{document="configuration",result="{result}"}}') for process in fleet.processes)


def publish_and_wait(fleet, note):
    fleet.rules["data_centres_out"] = [] if fleet.rules["data_centres_out"] else ["dc-1"]
    fleet.publish()
    fleet.wait_in_force(PROMISE_SECONDS)
    print(f"ok  {note}")


def restart_while_stale(fleet):
    """A process that starts while the service is stale takes the higher document of its peers."""
    fleet.config.fault(stale=True)
    fleet.restart(4)
    fleet.wait_in_force(START_SECONDS, [fleet.processes[4]])
    start = [line for line in fleet.processes[4].log().splitlines() if " started " in line or "event=started" in line][-1]
    assert f"generation={fleet.generation} " in start, start
    fleet.config.fault(stale=False)


def serve(fleet, result, **switches):
    """Serves a faulty answer until it was counted; the document in force stays."""
    before = offered(fleet, result)
    fleet.config.fault(**switches)
    harness.wait_until(lambda: offered(fleet, result) > before, 8, f"{result} counted for {list(switches)}")
    assert all(fleet.held(process) == fleet.generation for process in fleet.processes), switches
    fleet.config.fault(**SWITCHES_OFF)


def count_fetches(fleet):
    return sum(process.metric("bilberry_document_fetches_total") for process in fleet.processes)


def fetch_once(fleet):
    """However many peers announce a document, a process fetches it once."""
    changes = 5
    before = count_fetches(fleet)
    for _ in range(changes):
        publish_and_wait(fleet, "one more change")
    time.sleep(1)  # Two rounds, in which further fetches would follow.
    fetches = count_fetches(fleet) - before
    assert fetches <= changes * len(fleet.processes), f"{fetches} fetches of {changes} changes"


def main():
    arguments = harness.parse_arguments(__doc__)
    # Only the first process reaches the service: all others live on their peers.
    with BareFleet(arguments.build, 9, cut_off=lambda index: index not in (0, 4)) as fleet:
        publish_and_wait(fleet, "one reader is enough for all")
        fetch_once(fleet)
        fleet.publish()
        fleet.wait_in_force(PROMISE_SECONDS, fleet.processes[:1])
        fleet.config.fault(down=True)
        fleet.wait_in_force(PROMISE_SECONDS)
        print("ok  down right after the first read")
        fleet.restart(8)
        fleet.wait_in_force(START_SECONDS, [fleet.processes[8]])
        print("ok  started while the service is down")
        fleet.config.fault(down=False)
        restart_while_stale(fleet)
        publish_and_wait(fleet, "stale, and a start meanwhile")
        text = fleet.document()
        above = fleet.generation + 50
        serve(fleet, "older", serve_index=1)
        serve(fleet, "conflicting", serve_body=text + " ")
        serve(fleet, "invalid", serve_index=above, serve_body=text[:len(text) // 2])
        serve(fleet, "invalid", serve_index=above, serve_body="")
        serve(fleet, "invalid", serve_index=above, serve_body="x" * (1 << 20))
        serve(fleet, "implausible", serve_index=1 << 60)
        calls = fleet.config.counts()["calls"]
        serve(fleet, "invalid", serve_index=above, serve_body="[" * 100000)
        assert fleet.config.counts()["calls"] - calls < 100, "an invalid document is read again and again"
        publish_and_wait(fleet, "lower, other bytes, half, empty, a megabyte, absurd generation, deep nesting")
        fetches = count_fetches(fleet)
        assert fetches < 9 * 17, f"documents are fetched again and again: {fetches}"


if __name__ == "__main__":
    harness.main(main)
