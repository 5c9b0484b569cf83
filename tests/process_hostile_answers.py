#!/usr/bin/env python3
"""An entry and a crowd of callers that don't read their answers, or that open connections and send nothing."""

import functools

import harness
import hostile_crowd
import hostile_fleet

PIPELINED_REQUESTS = 100
# Connections that send nothing, in two waves: twice as many as the process has descriptors.
IDLE_CALLERS = 2 * hostile_crowd.MAX_DESCRIPTORS


LARGE_ANSWER_CALLERS = 40


def requests_for(path, count, callers=hostile_crowd.CALLERS):
    return [[b"".join(hostile_crowd.head(path, "GET", number=number * count + i) for i in range(count))] for number in range(callers)]


def test_unread_answers(build, name, path, count, in_waves=False):
    with hostile_fleet.started_entry(build) as (fleet, entry):
        with hostile_crowd.Crowd(entry.flags["listen"], requests_for(path, count, LARGE_ANSWER_CALLERS if in_waves else hostile_crowd.CALLERS), reads=False) as crowd:
            return hostile_crowd.check(name, entry.process, crowd, lambda: hostile_fleet.is_served(fleet, entry), hostile_fleet.ports_of(entry.flags["listen"]), in_waves)


def test_idle_connections(build):
    with hostile_fleet.started_entry(build) as (fleet, entry):
        with hostile_crowd.Crowd(entry.flags["listen"], [[] for _ in range(IDLE_CALLERS)]) as crowd:
            return hostile_crowd.check("idle connections", entry.process, crowd, lambda: hostile_fleet.is_served(fleet, entry))


def main():
    build = harness.parse_arguments(__doc__).build
    hostile_crowd.run_rows([
        functools.partial(test_unread_answers, build, "pipelined requests whose answers aren't read", "/plain/", PIPELINED_REQUESTS),
        functools.partial(test_unread_answers, build, "large answers that aren't read", "/large/", 1, in_waves=True),
        functools.partial(test_unread_answers, build, "streams that aren't read", "/events/", 1),
        functools.partial(test_idle_connections, build),
    ])


if __name__ == "__main__":
    harness.main(main)
