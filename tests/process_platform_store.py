#!/usr/bin/env python3
"""Entries when the platform's store turns them away, is down, or holds what can't be read."""

import harness
import platform_fleet


def test_unreadable_documents(fleet, first):
    """Each is logged once and counted; the last good one stays."""
    for key, value in (("op/config", b"{"), ("op/config", {"version": 99, "routes": [{"prefix": "x"}]}), ("servers/odd", {"service": 5}), ("op/version/m", b"\xff")):
        before = len(first.events("store_item_unreadable"))
        fleet.store.put(key, value)
        harness.wait_until(lambda: len(first.events("store_item_unreadable")) > before, 3, f"{key} is logged")
        assert len(first.events("store_item_unreadable")) == before + 1
        assert fleet.call(first, "/plain/")[0] == 200
    assert "bilberry_store_unreadable_total 4" in fleet.metrics(first), fleet.metrics(first)
    fleet.store.remove("servers/odd")
    fleet.version = 100
    fleet.publish()
    harness.wait_until(lambda: any(line.get("generation") == 101 for line in first.events("belief_changed")), 3, "a readable one follows")


def test_misspelt_setting(fleet, first):
    """It is logged with the value that is used instead."""
    fleet.routes[0]["kind"] = "idempotentt"
    fleet.publish()
    harness.wait_until(lambda: any("idempotentt" in line["fault"] for line in first.events("configuration_fault")), 3, "the unknown kind is logged")
    fleet.routes[0]["kind"] = "idempotent"
    fleet.publish()


def test_lower_version(fleet, first):
    """A configuration of a lower version changes nothing."""
    routes, fleet.routes, fleet.version = fleet.routes, [], 50
    fleet.publish()
    assert all(fleet.call(first, "/plain/")[0] == 200 for _ in range(10))
    fleet.routes, fleet.version = routes, 101
    fleet.publish()


def test_turned_away(fleet, first, second):
    """An entry that the store turns away lives from its peer: it serves on and learns of a revocation."""
    fleet.store.turns_away = {"127.0.0.1"}
    harness.wait_until(lambda: first.events("store_lost") and second.events("store_lost"), 5, "both entries lose the store")
    harness.wait_until(lambda: fleet.call(first, "/plain/")[0] == 503, 8, "without any news keyed requests are refused")
    assert fleet.call(first, "/open/", key=None)[0] == 200
    assert not fleet.is_ready(first)
    fleet.store.turns_away = set()
    harness.wait_until(lambda: fleet.call(first, "/plain/")[0] == 200, 8, "the store is back")


def test_restart_without_store(fleet, first, second):
    """An entry that starts while the store refuses everyone takes what its peer knows, with its age."""
    first.kill()
    fleet.store.is_down = True
    again = fleet.start_entry(1)
    harness.wait_until(lambda: again.events("took_peers_belief"), 5, "it lives from its peer")
    assert fleet.call(again, "/open/", key=None)[0] == 200
    fleet.store.is_down = False
    fleet.wait_ready(again)
    return again


def test_revocation(fleet, entries):
    """A key that was taken away is refused at all entries within seconds; the other one still serves."""
    fleet.keys = ["another-key"]
    fleet.publish()
    for entry in entries:
        harness.wait_until(lambda: fleet.call(entry, "/plain/")[0] == 401, 3, f"{entry.name} refuses the old key")
        assert fleet.call(entry, "/plain/", key="another-key")[0] == 200


def test_return_from_older_copy(fleet, first, second):
    """The store loses the last seconds: a withdrawn key stays withdrawn and a drained endpoint unused, also at an entry that
    starts in the middle; what is written again holds."""
    leaving = fleet.add_endpoint("p2", "plain")
    harness.wait_until(lambda: fleet.call(first, "/plain/", key="another-key")[2] == b"done by p2", 5, "the second endpoint is used")
    fleet.store.take_copy()
    fleet.keys = ["third-key"]
    fleet.publish()
    fleet.list_endpoint(leaving, "plain", state="draining")
    for entry in (first, second):
        harness.wait_until(lambda: fleet.call(entry, "/plain/", key="another-key")[0] == 401, 3, f"{entry.name} refuses the withdrawn key")
    harness.wait_until(lambda: all(any(line["key"] == "servers/p2" and line["what"] == "endpoint_draining" for line in entry.events("belief_changed")) for entry in (first, second)), 3, "p2 drains")
    leaving.requests.clear()
    fleet.store.return_to_copy()
    harness.wait_until(lambda: first.events("store_lost_changes") and second.events("store_lost_changes"), 5, "both entries see the new era")
    first.kill()
    again = fleet.start_entry(1, **{key: value for key, value in first.flags.items() if key.endswith("listen")})
    harness.wait_until(lambda: fleet.is_ready(again), 10, "the entry that starts in the middle is ready")
    for _ in range(20):
        for entry in (again, second):
            assert fleet.call(entry, "/plain/", key="another-key")[0] in (401, 503)
            assert fleet.call(entry, "/plain/", key="third-key")[0] == 200
    assert not leaving.requests, leaving.requests
    # The operator and the endpoint write again what was lost.
    fleet.version -= 1
    fleet.publish()
    fleet.list_endpoint(leaving, "plain")
    harness.wait_until(lambda: fleet.call(again, "/plain/", key="third-key")[2] == b"done by p2", 5, "an endpoint that writes itself anew is used")
    assert fleet.call(second, "/plain/", key="another-key")[0] == 401
    return again


def main():
    arguments = harness.parse_arguments(__doc__)
    with platform_fleet.Fleet(arguments.build) as fleet:
        fleet.add_route("/plain/", "plain")
        fleet.add_route("/open/", "plain", **{"allow-anonymous": True})
        fleet.publish()
        fleet.add_endpoint("p1", "plain")
        first, second = fleet.start_entry(1), fleet.start_entry(2)
        for entry in (first, second):
            fleet.wait_ready(entry)
        test_unreadable_documents(fleet, first)
        test_lower_version(fleet, first)
        test_misspelt_setting(fleet, first)
        test_turned_away(fleet, first, second)
        first = test_restart_without_store(fleet, first, second)
        test_revocation(fleet, (first, second))
        test_return_from_older_copy(fleet, first, second)


if __name__ == "__main__":
    harness.main(main)
