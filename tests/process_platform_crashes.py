#!/usr/bin/env python3
"""A request that crashes each endpoint that runs it, where there is hardly any other traffic: after the third crash no entry sends
it on. Requests that are lost for other reasons are never refused for it."""

import itertools
import threading
import time
import uuid

import harness
import platform_fleet

CRASHING_BODY = "the request that crashes"
LONGEST_NEWS_SECONDS = 0.5
ENTRIES = 2


def start_service(fleet, name, count, **how):
    """A service with a route of its own, whose endpoints crash by CRASHING_BODY."""
    fleet.add_route(f"/{name}/", name)
    fleet.publish()
    endpoints = [fleet.add_endpoint(f"{name}-{number}", name) for number in range(count)]
    for endpoint in endpoints:
        endpoint.crashing_bodies.add(CRASHING_BODY)
        endpoint.on_restart = lambda restarted, earlier: fleet.list_again(restarted, name, earlier)
        for attribute, value in how.items():
            setattr(endpoint, attribute, value)
    return endpoints


def arrivals(endpoints, since=0.0):
    """When endpoints received the crashing request."""
    return sorted(request["at"] for endpoint in endpoints for request in list(endpoint.requests) if request["body"].decode() == CRASHING_BODY and request["at"] >= since)


def crashes(endpoints):
    return sorted(at for endpoint in endpoints for at in endpoint.crashes)


def wait_all_known(fleet, entries, path, endpoints):
    names = {f"servers/{endpoint.name}" for endpoint in endpoints}
    for entry in entries:
        harness.wait_until(lambda: names <= {line.get("key") for line in entry.events("belief_changed")}, 10, "all endpoints are known")
        harness.wait_until(lambda: fleet.call(entry, path)[0] == 200, 10, "the route is served")


def check_that_request_is_refused(fleet, entries, name, endpoints):
    """Sends the crashing request through the entries in turn, with pauses in which crashed endpoints come back."""
    path = f"/{name}/"
    wait_all_known(fleet, entries, path, endpoints)
    for number in range(8):
        fleet.call(entries[number % len(entries)], path, body=CRASHING_BODY)
        time.sleep(0.8)
    times = crashes(endpoints)
    assert len(times) >= 3, times
    late = arrivals(endpoints, times[2] + LONGEST_NEWS_SECONDS)
    print(f"{name}: {len(times)} crashes, {len(late)} arrivals later", flush=True)
    assert not late, (len(late), len(times))
    for entry in entries:
        assert fleet.call(entry, path)[0] == 200


def test_a_request_alone_at_its_endpoint_is_refused_after_three_crashes(fleet, entries):
    fleet.check = start_service(fleet, "check", 3, downtime=0.6)
    check_that_request_is_refused(fleet, entries, "check", fleet.check)


def test_an_entry_that_starts_refuses_the_request(fleet, _):
    entry = fleet.start_entry(3)
    fleet.wait_ready(entry)
    wait_all_known(fleet, [entry], "/check/", [])
    began = time.monotonic()
    for _ in range(3):
        fleet.call(entry, "/check/", body=CRASHING_BODY)
    late = arrivals(fleet.check, began)
    entry.stop()
    assert not late, len(late)


def test_endpoints_that_come_back_under_their_name_count_again(fleet, entries):
    check_that_request_is_refused(fleet, entries, "pair", start_service(fleet, "pair", 2, downtime=0.6, keeps_name=True))


def test_requests_that_sound_endpoints_lose_are_not_refused(fleet, entries):
    """Connections that end without an answer, on endpoints that live: the same request each time, in groups of six."""
    endpoints = start_service(fleet, "lossy", 4)
    wait_all_known(fleet, entries, "/lossy/", endpoints)
    body = f"sound request {uuid.uuid4().hex}"
    for entry in itertools.islice(itertools.cycle(entries), 8):
        for endpoint in endpoints:
            endpoint.faults = 6 * ["hang up"]
        callers = [threading.Thread(target=fleet.call, args=(entry, "/lossy/"), kwargs={"body": body}) for _ in range(6)]
        for caller in callers:
            caller.start()
        for caller in callers:
            caller.join()
        time.sleep(0.3)
    for endpoint in endpoints:
        endpoint.faults = []
    lost = sum(len(entry.events("attempt_failed")) for entry in entries)
    assert lost >= 40, lost
    for entry in entries:
        refused = [line for line in entry.events("request") if line["route"] == "lossy" and line["reason"] == "crashes_endpoints"]
        assert not refused, len(refused)
        harness.wait_until(lambda: fleet.call(entry, "/lossy/", body=body)[0] == 200, 5, "the sound request is served")


def main():
    arguments = harness.parse_arguments(__doc__)
    with platform_fleet.Fleet(arguments.build) as fleet:
        fleet.add_route("/other/", "other")
        fleet.add_endpoint("other-0", "other")
        fleet.publish()
        entries = [fleet.start_entry(number) for number in range(1, ENTRIES + 1)]
        for entry in entries:
            fleet.wait_ready(entry)
        time.sleep(1.0)
        for test in (test_a_request_alone_at_its_endpoint_is_refused_after_three_crashes, test_an_entry_that_starts_refuses_the_request,
                     test_endpoints_that_come_back_under_their_name_count_again, test_requests_that_sound_endpoints_lose_are_not_refused):
            test(fleet, entries)
            print(test.__name__, flush=True)


if __name__ == "__main__":
    harness.main(main)
