#!/usr/bin/env python3
"""Client accounts that compete for too little room at two entries of the platform: the large one is found to be beyond its share, and
within it again when the load ends. Where routes have no ranks, nothing of the kind is counted.

What callers get is checked by DemandTableTest; here, that processes count, tell each other and log."""

import threading
import time
import uuid

import harness
import platform_fleet
import platform_standin

SMALL = [f"small-{number}" for number in range(3)]


class SlowEndpoint(platform_standin.Endpoint):
    """One whose answers take a tenth of a second."""

    def answer(self, call):
        time.sleep(0.1)
        super().answer(call)


class Load:
    """Callers that send one request after the other: forty of the large account, two of each small one, half of them to each entry."""

    def __init__(self, fleet, entries, path):
        self.is_over = False
        keys = ["key-of-large"] * 40 + [f"key-of-{name}" for name in SMALL] * 2
        self.threads = [threading.Thread(target=self.run, args=(fleet, entries[number % 2], path, key)) for number, key in enumerate(keys)]

    def run(self, fleet, entry, path, key):
        while not self.is_over:
            fleet.call(entry, path, body=uuid.uuid4().hex, key=key)
            time.sleep(0.05)

    def __enter__(self):
        for thread in self.threads:
            thread.start()

    def __exit__(self, *_):
        self.is_over = True
        for thread in self.threads:
            thread.join()


def accounts_logged(entry, event):
    return {line["account"] for line in entry.events(event)}


def test_ranked_routes(fleet, entries):
    with Load(fleet, entries, "/ranked/"):
        for entry in entries:
            harness.wait_until(lambda: "large" in accounts_logged(entry, "account_beyond_share"), 20, f"{entry.name} finds the large account beyond its share")
            harness.wait_until(lambda: 'bilberry_refusals_beyond_share_total{service="ranked"}' in fleet.metrics(entry), 20, f"{entry.name} refuses requests beyond a share")
    for entry in entries:
        harness.wait_until(lambda: 'bilberry_accounts_beyond_share{service="ranked"} 0' in fleet.metrics(entry), 20, f"{entry.name} finds nobody beyond a share")
        harness.wait_until(lambda: "large" in accounts_logged(entry, "account_within_share"), 20, f"{entry.name} logs that the large account is within its share")


def test_routes_without_ranks(fleet, entries):
    with Load(fleet, entries, "/alike/"):
        for entry in entries:
            harness.wait_until(lambda: any(line["reason"] in ("overloaded", "no_free_place") and line["route"] == "alike" for line in entry.events("request")), 20, f"{entry.name} refuses requests")
        time.sleep(2)
    for entry in entries:
        assert not [line for line in entry.events("account_beyond_share") if line["service"] != "ranked"]
        assert 'service="alike"' not in fleet.metrics(entry)


def main():
    arguments = harness.parse_arguments(__doc__)
    with platform_fleet.Fleet(arguments.build) as fleet:
        fleet.more_accounts = [{"name": name, "api-keys": [f"key-of-{name}"], "allowed-regions": []} for name in ["large", *SMALL]]
        fleet.add_route("/ranked/", "ranked", priority=0)
        fleet.add_route("/ranked/batch/", "ranked", priority=2)
        fleet.add_route("/alike/", "alike")
        fleet.publish()
        for service in ("ranked", "alike"):
            endpoint = SlowEndpoint(f"{service}-1")
            fleet.stand_ins.append(endpoint)
            fleet.list_endpoint(endpoint, service, slots=2)
        entries = [fleet.start_entry(number) for number in (1, 2)]
        for entry in entries:
            fleet.wait_ready(entry)
        for test in (test_ranked_routes, test_routes_without_ranks):
            test(fleet, entries)
            print(test.__name__)


if __name__ == "__main__":
    harness.main(main)
