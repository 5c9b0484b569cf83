#!/usr/bin/env python3
"""An endpoint that takes a request and doesn't answer: where the operators allow it, a request that may be repeated is sent to a
second endpoint, whose answer the caller gets. Others never are."""

import harness
import platform_fleet

ENDPOINTS = 3
USUAL_REQUESTS = 60


def start_service(fleet, name, kind, **how):
    fleet.add_route(f"/{name}/", name, kind, **{"can-resume": kind == "streaming"})
    endpoints = [fleet.add_endpoint(f"{name}-{number}", name, **how) for number in range(ENDPOINTS)]
    fleet.publish()
    return endpoints


def arrivals(endpoints, body):
    return [endpoint.name for endpoint in endpoints for request in list(endpoint.requests) if request["body"].decode() == body]


def events_of(entry, name, body_id):
    return [line for line in entry.events(name) if line["request"] == body_id]


def send_to_mute_endpoints(fleet, entry, name, endpoints):
    """A request that the first endpoint never answers; gives its id, the answer and the endpoints that got it."""
    for _ in range(USUAL_REQUESTS):
        assert fleet.call(entry, f"/{name}/", body="usual")[0] == 200
    for endpoint in endpoints:
        endpoint.faults = ["silent"]
    request_id = f"mute-{name}-{entry.name}"
    answer = fleet.call(entry, f"/{name}/", body=request_id, **{"Bilberrybarrow-Request-Id": request_id})
    reached = arrivals(endpoints, request_id)
    for endpoint in endpoints:
        endpoint.faults = []
    return request_id, answer, reached


def test_a_late_answer_is_asked_of_a_second_endpoint(fleet, entry, name, endpoints):
    # Only the first of the two stays mute.
    for _ in range(USUAL_REQUESTS):
        assert fleet.call(entry, f"/{name}/", body="usual")[0] == 200
    asked = None
    for attempt in range(20):
        mute = endpoints[0]
        mute.faults = ["silent"]
        request_id = f"late-{name}-{attempt}"
        status, _, body = fleet.call(entry, f"/{name}/", body=request_id, **{"Bilberrybarrow-Request-Id": request_id})
        reached = arrivals(endpoints, request_id)
        assert status == 200, (status, reached)
        if mute.name in reached:
            asked = request_id, body, reached
            break
    mute.faults = []
    assert asked, "no request reached the mute endpoint"
    request_id, body, reached = asked
    assert len(reached) == 2 and len(set(reached)) == 2, reached
    harness.wait_until(lambda: events_of(entry, "request", request_id), 5, "the request is logged")
    assert events_of(entry, "request_hedged", request_id), "the request wasn't hedged"
    assert not events_of(entry, "attempt_failed", request_id), "an attempt failed before the hedge"
    if name == "reads":
        assert body.decode() != f"done by {mute.name}", body
    else:
        assert body.count(b"data: token") == 3, body


def test_a_request_that_may_run_once_is_not_hedged(fleet, entry, name, endpoints):
    request_id, (status, _, _), reached = send_to_mute_endpoints(fleet, entry, name, endpoints)
    assert len(reached) == 1, reached
    assert status in (502, 504), status
    harness.wait_until(lambda: events_of(entry, "request", request_id), 5, "the request is logged")
    assert not events_of(entry, "request_hedged", request_id)


def test_nothing_is_hedged_by_default(fleet, entry, name, endpoints):
    request_id, _, _ = send_to_mute_endpoints(fleet, entry, name, endpoints)
    harness.wait_until(lambda: events_of(entry, "request", request_id), 5, "the request is logged")
    assert not events_of(entry, "request_hedged", request_id)


def main():
    arguments = harness.parse_arguments(__doc__)
    with platform_fleet.Fleet(arguments.build) as fleet:
        reads = start_service(fleet, "reads", "idempotent")
        streams = start_service(fleet, "streams", "streaming", events=3)
        writes = start_service(fleet, "writes", "non_idempotent")
        entry = fleet.start_entry(1, hedge_share=0.2)
        plain = fleet.start_entry(2)
        for node in (entry, plain):
            fleet.wait_ready(node)
            for name in ("reads", "streams", "writes"):
                harness.wait_until(lambda name=name, node=node: fleet.call(node, f"/{name}/")[0] == 200, 10, f"{name} is served")
        test_a_late_answer_is_asked_of_a_second_endpoint(fleet, entry, "reads", reads)
        test_a_late_answer_is_asked_of_a_second_endpoint(fleet, entry, "streams", streams)
        test_a_request_that_may_run_once_is_not_hedged(fleet, entry, "writes", writes)
        test_nothing_is_hedged_by_default(fleet, plain, "reads", reads)
        assert "bilberry_hedges_total" in fleet.metrics(entry)


if __name__ == "__main__":
    harness.main(main)
