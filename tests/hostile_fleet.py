"""A store, endpoints and one process of bilberrynode for a test with a crowd of hostile callers."""

import contextlib

import harness
import hostile_crowd
import platform_fleet
import platform_standin

# More than the system takes for a connection whose other end doesn't read.
LARGE_ANSWER_BYTES = 6 << 20


class LargeEndpoint(platform_standin.Endpoint):
    """Answers with much: at once or, for a stream, in events of 16 KiB."""

    def answer(self, call):
        headers = [("Bilberrybarrow-Request-Id", call.headers["Bilberrybarrow-Request-Id"]), ("Bilberrybarrow-Instance-Id", self.name), ("Bilberrybarrow-Response-Seal", "seal-" + self.name)]
        if not call.path.startswith("/events/"):
            call.send(200, b"z" * LARGE_ANSWER_BYTES, headers)
            return
        call.send_response(200)
        for name, value in [*headers, ("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")]:
            call.send_header(name, value)
        call.end_headers()
        for number in range(LARGE_ANSWER_BYTES >> 14):
            event = b"id: %d\ndata: %s\n\n" % (number, b"z" * (16 << 10))
            call.wfile.write(b"%x\r\n%s\r\n" % (len(event), event))
        call.wfile.write(b"0\r\n\r\n")


@contextlib.contextmanager
def started_entry(build):
    """A fleet with one entry that has answered, as ordinary callers see it."""
    hostile_crowd.settings()
    with platform_fleet.Fleet(build) as fleet:
        fleet.limits = {"max-header-bytes": 16384, "max-body-bytes": hostile_crowd.BODY_BYTES, "header-timeout-ms": 5000, "idle-timeout-ms": 10000}
        fleet.add_route("/plain/", "plain")
        fleet.add_route("/large/", "large")
        fleet.add_route("/events/", "large", "streaming")
        next(service for service in fleet.services if service["name"] == "large")["max-connections"] = 2 * hostile_crowd.CALLERS
        fleet.publish()
        fleet.add_endpoint("p1", "plain")
        large = LargeEndpoint("l1")
        fleet.stand_ins.append(large)
        fleet.store.put("servers/l1", {"service": "large", "address": large.address, "zone": "dc-a", "version": "v1", "slots": 2 * hostile_crowd.CALLERS, "state": "ready", "cold-remaining-ms": 0, "seq-no": 1, "born": large.born})
        entry = fleet.start_entry()
        fleet.wait_ready(entry)
        harness.wait_until(lambda: is_served(fleet, entry), 10, "the entry serves")
        harness.wait_until(lambda: fleet.call(entry, "/large/")[0] == 200, 10, "the entry knows both endpoints")
        yield fleet, entry


def is_served(fleet, entry, body="hello"):
    return fleet.call(entry, "/plain/", body=body, timeout=3.0)[0] == 200


def ports_of(*addresses):
    return {int(str(address).rsplit(":", 1)[1]) for address in addresses}
