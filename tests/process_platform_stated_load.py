#!/usr/bin/env python3
"""Endpoints that state with their answers how long work takes there, in all forms, through entries of the platform."""

import time

import harness
import platform_fleet

# Time after which a statement no longer counts.
STALE_SECONDS = 0.8


def add_service(fleet, name, loads):
    """A service of its own, with a route and an endpoint that states each of the loads; gives its endpoints."""
    fleet.add_route(f"/{name}/", name)
    fleet.publish()
    endpoints = [fleet.add_endpoint(f"{name}-{number}", name) for number in range(len(loads))]
    for endpoint, load in zip(endpoints, loads):
        endpoint.load = load
    return endpoints


def wait_used(fleet, entry, name, endpoint):
    """Sends requests through the entry until the endpoint has got one."""
    endpoint.requests.clear()
    harness.wait_until(lambda: fleet.call(entry, f"/{name}/")[0] == 200 and endpoint.requests, 5, f"{endpoint.name} is used")


def metric(fleet, entry, name):
    return sum(float(line.rsplit(" ", 1)[1]) for line in fleet.metrics(entry).splitlines() if line.startswith(name))


def count_sends(fleet, entry, name, endpoint, requests=20):
    endpoint.requests.clear()
    begun = time.monotonic()
    for _ in range(requests):
        assert fleet.call(entry, f"/{name}/")[0] == 200
    return len(endpoint.requests), time.monotonic() - begun


def test_slow_endpoint_is_left_until_its_statement_is_old(fleet, entries):
    """While an endpoint states that work takes eight times as long, another one gets the requests; not for longer."""
    slow, _ = add_service(fleet, "slow", ("1,0,8,800", "1,0,8,100"))
    wait_used(fleet, entries[0], "slow", slow)
    sends, seconds = count_sends(fleet, entries[0], "slow", slow)
    print(f"requests at the slow endpoint: {sends} of 20 within {seconds:.2f} s", flush=True)
    assert sends <= 1 + seconds / STALE_SECONDS, (sends, seconds)
    slow.load = "1,0,8,100"
    time.sleep(STALE_SECONDS)
    wait_used(fleet, entries[0], "slow", slow)
    sends, _ = count_sends(fleet, entries[0], "slow", slow)
    assert sends > 2, sends


def test_odd_loads_cost_no_request(fleet, entries):
    """Loads that can't be read are counted, and logged about once a second; the endpoint serves on."""
    odd, = add_service(fleet, "odd", ("1,0,8",))
    wait_used(fleet, entries[0], "odd", odd)
    begun = time.monotonic()
    before = metric(fleet, entries[0], "bilberry_loads_unreadable_total")
    for load in ("1,0", "1,0,8,fast", "1,0,8,0", "-1,0,8,100", "1,0,8,1e9", ",,,"):
        odd.load = load
        assert all(fleet.call(entries[0], "/odd/")[0] == 200 for _ in range(3)), load
    counted = metric(fleet, entries[0], "bilberry_loads_unreadable_total") - before
    harness.wait_until(lambda: entries[0].events("load_unreadable"), 3, "an unreadable load is logged")
    lines = len(entries[0].events("load_unreadable"))
    assert counted == 18 and lines <= 2 + time.monotonic() - begun, (counted, lines)
    odd.load = "1,0,8,100,7,8,9"
    assert fleet.call(entries[0], "/odd/")[0] == 200
    assert metric(fleet, entries[0], "bilberry_loads_unreadable_total") - before == counted


def test_peers_hear_of_a_slow_endpoint(fleet, entries):
    """An entry that has sent an endpoint nothing knows from its peer that it is slow."""
    slow, = add_service(fleet, "told", ("1,0,8,800",))
    wait_used(fleet, entries[0], "told", slow)

    def is_known_at_peer():
        assert fleet.call(entries[0], "/told/")[0] == 200
        return metric(fleet, entries[1], "bilberry_endpoints_stated_slow") >= 1

    harness.wait_until(is_known_at_peer, 5, "the peer knows that the endpoint is slow")
    time.sleep(STALE_SECONDS + 0.4)
    assert metric(fleet, entries[1], "bilberry_endpoints_stated_slow") == 0


TESTS = (test_slow_endpoint_is_left_until_its_statement_is_old, test_odd_loads_cost_no_request, test_peers_hear_of_a_slow_endpoint)


def main():
    arguments = harness.parse_arguments(__doc__)
    with platform_fleet.Fleet(arguments.build) as fleet:
        fleet.publish()
        entries = [fleet.start_entry(number) for number in (1, 2)]
        add_service(fleet, "first", ("1,0,8",))
        for entry in entries:
            fleet.wait_ready(entry)
        for test in TESTS:
            test(fleet, entries)
            print(test.__name__, flush=True)


if __name__ == "__main__":
    harness.main(main)
