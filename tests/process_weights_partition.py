#!/usr/bin/env python3
"""Regions that lose each other during a spread, a peer that claims all chunks and sends other bytes, a stalled link."""

import http.server
import json
import threading

import harness
from weights_fleet import LinkedFleet

MAX_COPIES_WITH_FAULTS = 4


class CorruptingPeer(http.server.BaseHTTPRequestHandler):
    """Claims every chunk of the version `claim`, and sends zeros of the right size."""

    claim = None

    def do_GET(self):
        body = json.dumps(self.claim).encode() if self.path.startswith("/holdings/") and self.claim else b"\0" * (64 << 10)
        self.send_response(200 if self.claim else 404)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *_):
        pass


def add_corrupting_peer(fleet):
    server = http.server.ThreadingHTTPServer((fleet.host({"data_centre": "sousse-a"}), 0), CorruptingPeer)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    template = fleet.vm("vm-1")
    fleet.inventory["vms"].append({**template, "name": "vm-corrupt", "back_end": "127.0.11.1:9", "address": f"{server.server_address[0]}:{server.server_address[1]}"})
    fleet.rules["placements"][0]["replicas"] += 1
    fleet.publish()
    fleet.publish_live()


def main():
    arguments = harness.parse_arguments(__doc__)
    chunks = 16
    with LinkedFleet(arguments.build, 6, model_bytes=chunks * (64 << 10), chunk_bytes=64 << 10) as fleet:
        fleet.wait_for_replicas(6)
        names = fleet.endpoints()
        add_corrupting_peer(fleet)
        origin = fleet.origin_copies()
        fleet.store.fault(bytes_per_second=1 << 19)
        copies = fleet.received()
        second = fleet.put_model(seed=2)
        CorruptingPeer.claim = {"label": "stable", "digest": second, "age_ms": 60000, "received": 1, "count": chunks, "chunks": "f" * (chunks // 4)}
        harness.wait_until(lambda: fleet.received() > copies + 0.2, 20, "the second version spreads")
        fleet.cut(["sfax-a"], ["tunis-a", "sousse-a"])
        harness.wait_until(lambda: all(fleet.served(name) == second for name in names), 25, "both sides serve the second version")
        assert fleet.origin_copies() - origin <= MAX_COPIES_WITH_FAULTS, fleet.origin_copies() - origin
        assert fleet.sum_metric('bilberry_chunk_fetches_total{result="corrupt",source="peer"}') > 0
        fleet.cut([], [])
        CorruptingPeer.claim = None
        # A seeder's link stalls mid-transfer: what only it holds is brought in again by another.
        origin = fleet.origin_copies()
        copies = fleet.received()
        third = fleet.put_model(seed=3)
        harness.wait_until(lambda: fleet.received() > copies + 0.2, 20, "the third version spreads")
        fleet.fault_link("vm-0", stall=True)
        harness.wait_until(lambda: all(fleet.served(name) == third for name in names), 25, "all serve the third version")
        assert fleet.origin_copies() - origin <= MAX_COPIES_WITH_FAULTS, fleet.origin_copies() - origin


if __name__ == "__main__":
    harness.main(main)
