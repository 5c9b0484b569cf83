#!/usr/bin/env python3
"""An endpoint of the platform as a process of its own: prints its address and its start as JSON, and runs until it is ended."""

import argparse
import json
import os
import signal
import sys

import platform_standin


class EndpointProcess(platform_standin.Endpoint):
    """Ends itself by SIGKILL where the stand-in would play a crash; with `is_paused_after_answer`, stops itself by SIGSTOP when the
    connection of its first answer has ended."""

    def __init__(self, name, events, is_paused_after_answer):
        self.is_paused_after_answer = is_paused_after_answer
        super().__init__(name, events=events)
        self.crash_delay = 0.05

    def crash(self):
        os.kill(os.getpid(), signal.SIGKILL)

    def answer(self, call):
        super().answer(call)
        if self.is_paused_after_answer and call.close_connection:
            self.is_paused_after_answer = False
            call.hang_up()
            os.kill(os.getpid(), signal.SIGSTOP)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--name", required=True)
    parser.add_argument("--events", type=int, default=0)
    parser.add_argument("--killed-after", type=int, help="events, or -1 for a moment within a plain body")
    parser.add_argument("--paused", action="store_true")
    arguments = parser.parse_args()
    endpoint = EndpointProcess(arguments.name, arguments.events, arguments.paused)
    if arguments.killed_after is not None:
        endpoint.faults = [("no length, killed", arguments.killed_after)]
    elif arguments.paused:
        endpoint.faults = ["no length"]
    print(json.dumps({"address": endpoint.address, "born": endpoint.born}), flush=True)
    sys.stdin.read()


if __name__ == "__main__":
    main()
