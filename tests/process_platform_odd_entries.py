#!/usr/bin/env python3
"""Odd entries in the store, in a listing and in a watch: each costs itself only, at entries, at agents and through peers."""

import base64
import json
import time

import harness
import platform_fleet
import platform_standin
import process_platform_weights

DEPTH = 200_000


def nested(depth, opening="[", closing="]"):
    return opening * depth + closing * depth


def usual_record(address="127.0.0.9:9"):
    return {"service": "odd", "address": address, "zone": "dc-a", "version": "v1", "slots": 4, "state": "ready", "cold-remaining-ms": 0, "seq-no": 1, "born": 1, "stage": "both",
            "models": [{"name": "m", "version": 1, "adapters": []}], "layers": [{"from": 0, "target": 4, "version": 1}]}


def odd_records():
    """Texts of records by a name."""
    for name, fields in {"port-high": {"address": "127.0.0.9:70000"}, "port-negative": {"address": "127.0.0.9:-1"}, "port-huge": {"address": "127.0.0.9:99999999999999999999"}, "no-port": {"address": "127.0.0.9"},
                         "slots-huge": {"slots": 2**64 - 1}, "slots-double": {"slots": 1e300}, "slots-null": {"slots": None}, "cold-huge": {"cold-remaining-ms": 1e300}, "cold-negative": {"cold-remaining-ms": -1e300},
                         "born-huge": {"born": 2**64 - 1}, "born-text": {"born": "x"}, "models-number": {"models": 7}, "models-huge": {"models": [{"name": "m", "version": 2**64 - 1}]},
                         "layers-huge": {"layers": [{"from": 0, "target": 2**63, "version": 2**63}]}, "layers-text": {"layers": "x"}, "service-list": {"service": []}, "zone-number": {"zone": 3}, "state-object": {"state": {}}}.items():
        yield name, json.dumps({**usual_record(), **fields})
    yield "nested-array", nested(DEPTH)
    yield "nested-object", '{"a":' * DEPTH + "1" + "}" * DEPTH
    for field in ("models", "layers", "service", "unknown"):
        fields = json.dumps(usual_record())[:-1]
        yield f"nested-{field}", f'{fields},"{field}":{nested(DEPTH)}}}'
        yield f"nested-in-{field}", f'{fields},"{field}":[{{"name":{nested(DEPTH)}}}]}}'
    yield "number-too-large", json.dumps(usual_record()).replace('"slots": 4', '"slots": 1e999')
    yield "no-json", "}{"
    yield "empty", ""
    yield "no-utf8", b"{\"service\":\"\xff\xfe\"}"


def odd_operator_items():
    for key in ("op/version/m", "op/evacuate/dc-z"):
        for name, value in {"nested": '{"version":' + nested(DEPTH) + "}", "huge": '{"version":1e300}', "text": '{"version":"x"}', "none": "null", "too-large": '{"version":99999999999999999999}'}.items():
            yield f"{key}-{name}" if key.startswith("op/version") else key, value


def put_odd_items(fleet, suffix):
    for name, text in odd_records():
        fleet.store.put_text(f"servers/odd-{name}-{suffix}", text)
    for key, text in odd_operator_items():
        fleet.store.put_text(key, text)


def check_served(fleet, nodes):
    for node in nodes:
        assert node.process.poll() is None, f"{node.name} ended by itself with code {node.process.poll()}"
    for entry in nodes[:len(fleet.entries)]:
        harness.wait_until(lambda: fleet.call(entry, "/plain/")[0] == 200, 5, f"{entry.name} serves requests")


def check_followed(fleet, number):
    """The next change of the store is still seen by all entries."""
    endpoint = fleet.add_endpoint(f"later-{number}", "plain")
    for entry in fleet.entries:
        harness.wait_until(lambda: any(line.get("key") == f"servers/{endpoint.name}" for line in entry.events("belief_changed")), 6, f"{entry.name} follows the store")


def test_odd_entries_in_a_watch(fleet):
    put_odd_items(fleet, "watch")
    check_followed(fleet, 1)
    check_served(fleet, [*fleet.entries, *fleet.agents])
    readers = [entry for entry in fleet.entries if entry.events("store_item_unreadable")]
    assert readers, "no line of the log names the odd entries"


def test_odd_entries_in_a_listing(fleet):
    for number in (1, 4):
        entry = fleet.start_entry(number + 4)
        fleet.entries.append(entry)
        fleet.wait_ready(entry)
    check_followed(fleet, 2)
    check_served(fleet, [*fleet.entries, *fleet.agents])


def test_an_odd_item_around_its_value(fleet):
    """The store's own answer has an item that can't be read: the others of the same answer hold."""
    for number, item in enumerate(({"key": "servers/odd-base64", "value": "%%%"}, {"key": 7, "value": ""}, {"key": "servers/odd-revision", "value": "", "revision": 1e300}, 5, {"key": "servers/odd-value", "value": {"a": 1}})):
        fleet.store.put_item(item)
        check_followed(fleet, 10 + number)
    check_served(fleet, [*fleet.entries, *fleet.agents])


def test_weights_are_still_taken(fleet):
    fleet.store.put("op/version/m", {"model": "m", "version": 2})
    harness.wait_until(lambda: fleet.engine.version == 2, 15, "the named version is taken")
    check_served(fleet, [*fleet.entries, *fleet.agents])


def main():
    arguments = harness.parse_arguments(__doc__)
    with platform_fleet.Fleet(arguments.build) as fleet:
        origin = platform_standin.Origin()
        fleet.stand_ins.append(origin)
        process_platform_weights.add_service(fleet, origin)
        fleet.add_route("/plain/", "plain")
        fleet.add_endpoint("plain-0", "plain")
        fleet.publish()
        fleet.engine = platform_standin.Engine(origin, "127.0.2.1", version=1)
        fleet.stand_ins.append(fleet.engine)
        process_platform_weights.list_engine(fleet, "e1", fleet.engine, "dc-a")
        # Two entries read the store, the third one takes changes from them.
        fleet.entries = [fleet.start_entry(number) for number in (1, 2, 3)]
        fleet.agents = [fleet.start_agent(fleet.engine, 1)]
        for entry in fleet.entries:
            fleet.wait_ready(entry)
        time.sleep(1.5)
        for test in (test_odd_entries_in_a_watch, test_odd_entries_in_a_listing, test_an_odd_item_around_its_value, test_weights_are_still_taken):
            test(fleet)
            print(test.__name__, flush=True)


if __name__ == "__main__":
    harness.main(main)
