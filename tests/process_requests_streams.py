#!/usr/bin/env python3
"""Connections cut again and again: each stream goes on elsewhere, however many were cut before it."""

import harness
import process_requests_failures as failures


def main():
    arguments = harness.parse_arguments(__doc__)
    with harness.Fleet(arguments.build, engine_flags=failures.ENGINE_FLAGS) as fleet:
        fleet.wait_for_replicas(9)
        fleet.wait_for_entries()
        failures.cold_turn(fleet)
        for _ in range(2):
            failures.cut_mid_answer(fleet, cuts=4)


if __name__ == "__main__":
    harness.main(main)
