#!/usr/bin/env python3
"""Engines that lose their model, take orders from others or loaded other bytes; quick changes; a late joiner."""

import json

import harness
from weights_fleet import LinkedFleet


def index(fleet, name):
    return json.loads(harness.call("POST", fleet.back_end(name).address, "/v2/repository/index", "{}")[2])


def order(fleet, name, digest, source, fencing):
    """An order that is not from the process beside the engine."""
    model = fleet.inventory["models"][0]["name"]
    body = json.dumps({"parameters": {"digest": digest, "source": source, "fencing": str(fencing)}})
    return harness.call("POST", fleet.back_end(name).address, f"/v2/repository/models/{model}/load", body)[0]


def restart_engine_mid_copy(fleet):
    fleet.store.fault(bytes_per_second=1 << 19)
    copies = fleet.received()
    second = fleet.put_model(seed=2)
    harness.wait_until(lambda: fleet.received() > copies + 0.2, 20, "the second version spreads")
    fleet.restart_back_end("vm-0")
    harness.wait_until(lambda: fleet.served("vm-0") == fleet.digest, 5, "the engine gets the first version again")
    fleet.store.fault(bytes_per_second=0)
    fleet.wait_for_replicas(6, 20, second)


def change_twice(fleet):
    fleet.put_model(seed=3)
    newest = fleet.put_model(seed=4)
    fleet.wait_for_replicas(6, 20, newest)
    return newest


def foreign_orders(fleet, newest):
    """An engine that ignores numbers and one that checks them are both brought back."""
    other = "sha256:" + "f" * 64
    source = f"http://{fleet.processes['vm-2'].address}/weights/{newest}"
    for name, fencing in (("vm-0", 0), ("vm-1", 1000)):
        fleet.back_end(name).fault(checks_fencing=fencing > 0)
        assert order(fleet, name, other, source, fencing) == 200
        assert fleet.served(name) == other
        harness.wait_until(lambda name=name: fleet.served(name) == newest, 10, f"{name} is reconciled")


def other_bytes(fleet, newest):
    """An engine that says the right digest but loaded other bytes is not served, and loads again."""
    right = index(fleet, "vm-2")[0]["content_sha256"]
    fleet.restart_back_end("vm-1")
    assert order(fleet, "vm-1", newest, f"http://{fleet.store.address}/v2/x/manifests/{newest}", 5000) == 200
    assert index(fleet, "vm-1")[0]["content_sha256"] != right
    harness.wait_until(lambda: [row["content_sha256"] for row in index(fleet, "vm-1") if row["state"] == "READY"] == [right], 10, "the right bytes")


def join_late(fleet, newest):
    sent = fleet.store.counts()["bytes_sent"]
    fleet.processes["vm-5"].kill()
    fleet.restart_back_end("vm-5")
    port = int(fleet.processes["vm-5"].address.rsplit(":", 1)[1])
    link, address = fleet.processes["vm-5.link"], fleet.vm("vm-5")["address"]
    harness.Fleet.start_daemon(fleet, "vm-5", port)
    fleet.vm("vm-5")["address"], fleet.processes["vm-5.link"] = address, link
    fleet.wait_for_replicas(6, 20, newest)
    assert fleet.store.counts()["bytes_sent"] == sent, "a late joiner drew from the origin"


def main():
    arguments = harness.parse_arguments(__doc__)
    with LinkedFleet(arguments.build, 6, model_bytes=1 << 20, chunk_bytes=64 << 10) as fleet:
        fleet.wait_for_replicas(6)
        restart_engine_mid_copy(fleet)
        newest = change_twice(fleet)
        foreign_orders(fleet, newest)
        other_bytes(fleet, newest)
        join_late(fleet, newest)
        assert len(fleet.replicas(newest)) == 6


if __name__ == "__main__":
    harness.main(main)
