#!/usr/bin/env python3
"""An entry and a crowd of callers that stop just short of the end of a request and stay open: large bodies, whole and piece by piece,
with a length and in chunks, trailers and heads. The bounds are those of a small VM."""

import functools

import harness
import hostile_crowd
import hostile_fleet

PIECES = ("bodies with a length", "bodies in large chunks")


def test_shape(build, shape, piece):
    with hostile_fleet.started_entry(build) as (fleet, entry):
        with hostile_crowd.Crowd(entry.flags["listen"], hostile_crowd.parts_of(shape), piece) as crowd:
            name = shape if piece > 1 << 16 else shape + ", piece by piece"
            return hostile_crowd.check(name, entry.process, crowd, lambda: hostile_fleet.is_served(fleet, entry), hostile_fleet.ports_of(entry.flags["listen"]))


def test_largest_request_in_calm(build):
    """One request of the largest legal size is served, with a length and in chunks."""
    with hostile_fleet.started_entry(build) as (fleet, entry):
        # A body without a length is sent in chunks.
        for body in (hostile_crowd.TEXT, iter([hostile_crowd.TEXT[:1 << 16]] * (hostile_crowd.BODY_BYTES >> 16))):
            status = fleet.call(entry, "/plain/", body=body)[0]
            assert status == 200, (type(body), status)
            assert len(fleet.stand_ins[1].requests[-1]["body"]) == hostile_crowd.BODY_BYTES
    print("largest request in calm", flush=True)
    return []


def main():
    build = harness.parse_arguments(__doc__).build
    rows = [functools.partial(test_largest_request_in_calm, build)]
    rows += [functools.partial(test_shape, build, shape, 1 << 20) for shape in hostile_crowd.SHAPES]
    rows += [functools.partial(test_shape, build, shape, 8 << 10) for shape in PIECES]
    hostile_crowd.run_rows(rows)


if __name__ == "__main__":
    harness.main(main)
