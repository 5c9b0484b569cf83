#!/usr/bin/env python3
"""An entry of the own interface (bilberryd) and the crowd of hostile callers."""

import functools
import os

import harness
import hostile_crowd

SHAPES = ("trailers without end", "one trailer without end", "chunk extension without end", "bodies with a length", "bodies in large chunks", "bodies in very small chunks", "heads that stop short")


class Group(harness.ProcessGroup):
    def start(self):
        pass


def test_shape(build, shape):
    os.environ["FLAGS_request_memory_bytes"] = str(hostile_crowd.MEMORY_MB << 18)
    with Group(build) as group:
        back_end = group.standin("plain", "plain", "127.0.8.1", "--name=register", "--work_ms=2")
        service = group.config = group.standin("config", "config", harness.STORE_HOST)
        folder = harness.ROOT / "examples" / "registry"
        inventory = harness.json.loads((folder / "inventory.json").read_text())
        rules = harness.json.loads((folder / "rules.json").read_text())
        endpoint_row = next(row for row in inventory["vms"] if row.get("service") == "register")
        entry_row = next(row for row in inventory["vms"] if row.get("role") == "entry")
        endpoint_row["back_end"] = back_end.address
        entry = group.daemon(entry_row, "127.0.8.2:0", service.address, [], "--http_threads=128")
        entry_row["address"] = entry.address
        endpoint = group.daemon(endpoint_row, "127.0.8.3:0", service.address, [entry.address])
        endpoint_row["address"] = endpoint.address
        inventory["vms"] = [entry_row, endpoint_row]
        group.put(harness.CONFIGURATION_KEY, harness.json.dumps({"inventory": inventory, "rules": rules}))
        group.put(harness.LIVE_KEY, harness.json.dumps({"vms": [{"vm": row["name"], "state": "live"} for row in inventory["vms"]]}))
        path = next(row["path_prefix"] for row in inventory["services"] if row["name"] == "register") + "/health"
        ask = lambda: harness.call("GET", entry.address, path, headers={"X-Client-Account": inventory["callers"][0]["name"]}, timeout=3.0)[0] == 200
        harness.wait_until(ask, 15, "the entry serves")
        with hostile_crowd.Crowd(entry.address, hostile_crowd.parts_of(shape, path)) as crowd:
            return hostile_crowd.check(f"bilberryd: {shape}", entry.process, crowd, ask)


def main():
    build = harness.parse_arguments(__doc__).build
    hostile_crowd.run_rows([functools.partial(test_shape, build, shape) for shape in SHAPES])


if __name__ == "__main__":
    harness.main(main)
