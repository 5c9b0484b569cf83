#!/usr/bin/env python3
"""The crowd of hostile callers at the ports that a process has besides the callers': readiness, metrics and peers of an entry, peers and
metrics of an agent."""

import functools

import harness
import hostile_crowd
import hostile_fleet
import platform_fleet
import test_ports

SHAPES = ("trailers without end", "bodies with a length", "bodies in large chunks", "heads that stop short")


def test_entry_port(build, port, shape):
    with hostile_fleet.started_entry(build) as (fleet, entry):
        addresses = {"readiness": entry.flags["ready_listen"], "metrics": entry.flags["metrics_listen"], "peers": f"{entry.flags['ip']}:{fleet.peer_port}"}
        with hostile_crowd.Crowd(addresses[port], hostile_crowd.parts_of(shape, "/metrics")) as crowd:
            ask = lambda: hostile_fleet.is_served(fleet, entry) and fleet.is_ready(entry) and fleet.metrics(entry)
            return hostile_crowd.check(f"entry's {port}: {shape}", entry.process, crowd, ask, hostile_fleet.ports_of(addresses[port]))


def test_agent_port(build, port, shape):
    with hostile_fleet.started_entry(build) as (fleet, _):
        engine = fleet.add_endpoint("e1", "writer")
        agent = fleet.start_agent(engine, 1, metrics_listen=f"127.0.2.1:{test_ports.free_port()}")
        harness.wait_until(lambda: fleet.metrics(agent), 10, "the agent serves")
        addresses = {"metrics": agent.flags["metrics_listen"], "peers": f"127.0.2.1:{fleet.peer_port}"}
        with hostile_crowd.Crowd(addresses[port], hostile_crowd.parts_of(shape, "/metrics")) as crowd:
            return hostile_crowd.check(f"agent's {port}: {shape}", agent.process, crowd, lambda: fleet.metrics(agent), hostile_fleet.ports_of(addresses[port]))


def main():
    build = harness.parse_arguments(__doc__).build
    rows = [functools.partial(test_entry_port, build, port, shape) for port in ("readiness", "metrics", "peers") for shape in SHAPES]
    rows += [functools.partial(test_agent_port, build, port, shape) for port in ("peers", "metrics") for shape in SHAPES]
    hostile_crowd.run_rows(rows)


if __name__ == "__main__":
    harness.main(main)
