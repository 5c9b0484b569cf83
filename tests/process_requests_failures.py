#!/usr/bin/env python3
"""Endpoints that die, freeze or turn cold under load: every answer is whole, and nothing is lost or crossed."""

import http.client
import json
import signal
import socket
import time

import harness

ENGINE_FLAGS = ["--slots=8", "--token_ms=20", "--cold_ms=100", "--cold_slots=2"]
TOKENS = 25


def start_load(fleet, seconds, *flags):
    return fleet.load_model(seconds, f"--account={fleet.inventory['callers'][0]['name']}", "--timeout_ms=15000", f"--max_tokens={TOKENS}", *flags)


def busiest(fleet):
    """An endpoint with a request at its engine."""
    def find():
        running = {name: fleet.back_end(name).counts().get("running", 0) for name in fleet.replicas()}
        name = max(running, key=running.get)
        return name if running[name] > 0 else None
    return harness.wait_until(find, 10, "an endpoint at work")


def kill_during_streams(fleet):
    """The endpoint's process, then an engine, die with streams in hand: they go on elsewhere, unbroken for the caller."""
    load = start_load(fleet, 5, "--rate=20", "--workers=32", "--stream", "--seed=1")
    fleet.processes[busiest(fleet)].kill()
    time.sleep(1)
    alive = [name for name in fleet.replicas() if fleet.processes[name].process.poll() is None]
    harness.wait_until(lambda: any(fleet.back_end(name).counts()["running"] for name in alive), 10, "work elsewhere")
    fleet.back_end(max(alive, key=lambda name: fleet.back_end(name).counts()["running"])).kill()
    harness.assert_whole(harness.finish(load), "killed during streams")
    resumed = sum(fleet.processes[name].metric("bilberry_streams_resumed_total") for name in fleet.entries())
    assert resumed > 0, "no stream was resumed"


def freeze(fleet):
    """A frozen endpoint's requests go elsewhere; what it sends when it wakes up reaches nobody."""
    load = start_load(fleet, 6, "--rate=15", "--workers=64", "--stream", "--seed=2")
    name = busiest(fleet)
    fleet.processes[name].signal(signal.SIGSTOP)
    time.sleep(5)
    fleet.processes[name].signal(signal.SIGCONT)
    harness.assert_whole(harness.finish(load), "frozen and woken")


def freeze_all(fleet):
    """All processes are paused at once, as by a stalled host, and wake: what came meanwhile is answered, or refused for load."""
    load = start_load(fleet, 6, "--rate=10", "--workers=64", "--seed=5")
    busiest(fleet)
    names = [name for name in fleet.processes if name not in ("config", "store")]
    for number, seconds in ((signal.SIGSTOP, 3.6), (signal.SIGCONT, 0)):
        for name in names:
            fleet.processes[name].signal(number)
        time.sleep(seconds)
    harness.assert_whole(harness.finish(load), "all frozen and woken", allowed=("overloaded",))


def caller_gone(fleet):
    """A caller that goes away while it waits for the head has its work cancelled."""
    before = sum(fleet.back_end(name).counts()["cancelled"] for name in fleet.replicas())
    host, port = fleet.processes[fleet.entries()[0]].address.split(":")
    body = json.dumps({"model": fleet.inventory["models"][0]["name"], "prompt": "long", "max_tokens": 2000})
    with socket.create_connection((host, int(port))) as connection:
        connection.sendall((f"POST /v1/completions HTTP/1.1\r\nHost: x\r\nX-Client-Account: {fleet.inventory['callers'][0]['name']}\r\n"
                            f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n{body}").encode())
        busiest(fleet)
    harness.wait_until(lambda: sum(fleet.back_end(name).counts()["cancelled"] for name in fleet.replicas()) > before, 5, "the run is cancelled")


def cold_turn(fleet):
    """Engines that turn cold under load get little more until they are warm again; no caller sees it."""
    load = start_load(fleet, 5, "--rate=40", "--workers=64", "--seed=3")
    name = busiest(fleet)
    engine = fleet.back_end(name)
    before = engine.counts()["over_cold_limit"]
    engine.fault(cold=True)
    time.sleep(3)
    over = engine.counts()["over_cold_limit"] - before
    engine.fault(cold=False)
    harness.assert_whole(harness.finish(load), "cold turn")
    # The first refusals are what shows the turn: at most those that were under way to the engine then.
    assert over <= 3, f"{over} requests over the cold limit"
    return over


def burst(fleet):
    """More requests at once than the replicas' first limits hold, with time enough: each is answered."""
    for name in fleet.entries():
        known = f'bilberry_available_endpoints{{model="{fleet.inventory["models"][0]["name"]}"'
        harness.wait_until(lambda: fleet.processes[name].metric(known) == 9, 10, f"{name} knows the replicas")
    report = harness.finish(start_load(fleet, 0.1, "--rate=400", "--workers=64", "--seed=4"))
    harness.assert_whole(report, "burst")


def endless_event(fleet):
    """A stream of one event that does not end is ended with an error event, and without the mark of a whole answer."""
    for name in fleet.replicas():
        fleet.back_end(name).fault(endless_event=True)
    entry = fleet.processes[fleet.entries()[0]]
    try:
        answer = fleet.ask_model(entry.address, stream=True)
        raise AssertionError(f"an answer that looks whole, or none: {answer[0]} {answer[2][:100]}")
    except http.client.IncompleteRead as cut:
        assert cut.partial.startswith(b"event: error\ndata: ") and b"stream-cut" in cut.partial, cut.partial[:100]
    for name in fleet.replicas():
        fleet.back_end(name).fault(endless_event=False)


def main():
    arguments = harness.parse_arguments(__doc__)
    with harness.Fleet(arguments.build, engine_flags=ENGINE_FLAGS) as fleet:
        fleet.wait_for_replicas(9)
        fleet.wait_for_entries()
        burst(fleet)
        caller_gone(fleet)
        cold_turn(fleet)
        freeze(fleet)
        freeze_all(fleet)
        endless_event(fleet)
        kill_during_streams(fleet)


if __name__ == "__main__":
    harness.main(main)
