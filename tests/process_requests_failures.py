#!/usr/bin/env python3
"""Endpoints that die, freeze or turn cold under load: every answer is whole, and nothing is lost or crossed."""

import http.client
import json
import signal
import socket
import time

import harness
from harness import call

ENGINE_FLAGS = ["--slots=8", "--token_ms=20", "--cold_ms=100", "--cold_slots=2"]
TOKENS = 25
RETRIED = 'bilberry_retries_total{reason="reply-lost"}'
RESUMED = "bilberry_streams_resumed_total"


def start_load(fleet, seconds, *flags):
    return fleet.load_model(seconds, f"--account={fleet.inventory['callers'][0]['name']}", "--timeout_ms=15000", f"--max_tokens={TOKENS}", *flags)


def total(fleet, metric):
    """Sum of a metric over the entries."""
    return sum(fleet.processes[name].metric(metric) for name in fleet.entries())


def retry_counts(fleet):
    """Each entry's counts of retries and attempts, for a failure's message."""
    prefixes = ("bilberry_retries_total", "bilberry_attempts_total")
    return {name: {key: value for key, value in fleet.processes[name].metrics().items() if key.startswith(prefixes)} for name in fleet.entries()}


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
    assert total(fleet, RESUMED) > 0, "no stream was resumed"


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


def kill_entry(fleet):
    """An entry dies with streams and plain requests in hand; callers that send them again through another one get whole answers."""
    flags = ["--rate=10", "--workers=32", "--resend_lost=3"]
    loads = [start_load(fleet, 4, *flags, "--stream", "--seed=4"), start_load(fleet, 4, *flags, "--seed=5"),
             start_load(fleet, 4, *flags, "--path=/register/lookups", "--seed=6")]
    for name in fleet.endpoints("register"):
        fleet.back_end(name).fault(work_ms=300)
    entry = fleet.entries()[0]
    harness.wait_until(lambda: fleet.processes[entry].metric("bilberry_requests_in_progress") >= 4, 10, "work at the entry")
    fleet.processes[entry].kill()
    for load, what in zip(loads, ("streams", "completions", "plain calls")):
        report = harness.finish(load)
        harness.assert_whole(report, f"entry killed: {what}")
        assert report["resent"] > 0, f"no caller lost its entry: {what}"
    for name in fleet.endpoints("register"):
        fleet.back_end(name).fault(work_ms=2)
    fleet.restart_daemon(entry)
    fleet.wait_for_entries()


def call_fault(back_end, fault):
    """Sets a fault; gives status 0 when the back end ended before its answer was whole."""
    try:
        return call("POST", back_end.control, "/fault", json.dumps(fault), {"Content-Type": "application/json"})
    except http.client.IncompleteRead:
        return 0, {}, b""


def is_struck(process, fault):
    """Whether a request has met the fault: the back end has died of it, or has used it up."""
    if process.process.poll() is not None:
        return True
    body = call_fault(process, {})[2]
    if not body:
        return False  # It has just died, which the next look finds.
    left = json.loads(body)
    return all(left[name] == 0 for name in fault if name != "work_ms") and "work_ms" not in fault


def set_fault(back_end, fault):
    """Sets a fault; a back end that has to crash may meet a request, and die of it, before it has answered this call."""
    status, _, body = call_fault(back_end, fault)
    may_die = any(name.startswith("crash") for name in fault)
    assert status == 200 or (status == 0 and may_die and back_end.process.wait(5) is not None), (back_end.name, status, body)


def back_end_dies(fleet):
    """A register server dies before, during or after the run of repeatable calls, or loses the reply: they are answered whole."""
    for moment, fault in (("before", {"crash_before_run": 1}), ("during", {"work_ms": 300}), ("after", {"crash_after_run": 1}), ("reply lost", {"drop_reply": 1})):
        before = total(fleet, RETRIED)
        load = start_load(fleet, 6, "--rate=40", "--workers=32", "--path=/register/lookups", "--seed=7")
        name = fleet.endpoints("register")[0]
        back_end = fleet.back_end(name)
        # An entry may use an endpoint that was down only some time after its return.
        started = back_end.counts()["started"]
        harness.wait_until(lambda: back_end.counts()["started"] > started, 5, f"{name} gets requests: {moment}")
        set_fault(back_end, fault)
        if moment == "during":
            harness.wait_until(lambda: back_end.counts()["running"] > 0, 5, "a run")
            back_end.kill()
        harness.wait_until(lambda: is_struck(back_end, fault), 5, f"a request meets the fault: {moment}")
        harness.assert_whole(harness.finish(load), f"back end died: {moment}")
        assert total(fleet, RETRIED) > before, f"no reply was lost: back end, {moment}, {retry_counts(fleet)}"
        if moment != "reply lost":
            back_end.process.wait(5)
            fleet.start_back_end(name)
            fleet.publish()
            fleet.wait_for_entries()


def hold_reply(fleet, name, link):
    """Stalls the link while a request runs, and waits until it has finished; false when none ran."""
    link.fault(stall=True)
    counts = fleet.back_end(name).counts()
    link.fault(stall=counts["running"] > 0)
    return counts["running"] > 0 and harness.wait_until(lambda: fleet.back_end(name).counts()["finished"] > counts["finished"], 5, "the run has finished")


def process_dies(fleet):
    """An endpoint's process is killed before the engine has the requests, during their run, or after it with the replies on their way."""
    name = fleet.endpoints(fleet.model_service())[0]
    row, port, running = fleet.vm(name), fleet.processes[name].address.rsplit(":", 1)[1], lambda: fleet.back_end(name).counts()["running"]
    link = fleet.add_link(name)
    fleet.publish()
    for seed, moment in enumerate(("before", "during", "after"), 20):
        before = total(fleet, RETRIED)
        load = start_load(fleet, 3, "--rate=20", "--workers=32", f"--seed={seed}")
        harness.wait_until(running, 10, "work at the endpoint")
        if moment != "during":
            harness.wait_until(lambda: hold_reply(fleet, name, link), 3, "a reply is held")
        if moment == "before":
            time.sleep(0.5)
        fleet.processes[name].kill()
        if moment == "after":
            # What the process had already written lies in the link, and would still reach the entry.
            link.fault(cut=True)
            time.sleep(0.3)
            link.fault(cut=False)
        link.fault(stall=False)
        harness.assert_whole(harness.finish(load), f"endpoint's process died: {moment}")
        assert total(fleet, RETRIED) > before, f"no reply was lost: endpoint's process, {moment}, {retry_counts(fleet)}"
        address = row["address"]
        fleet.start_daemon(name, port)
        row["address"] = address
        harness.wait_until(lambda: fleet.forward(name, "again")[0] == 200, 15, f"{name} serves again")


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


def cut_mid_answer(fleet, cuts=1):
    """Connections to endpoints' processes are cut mid-answer: streams go on elsewhere, other answers are never short."""
    names = [name for name in fleet.replicas() if fleet.vm(name)["data_centre"] == fleet.inventory["data_centres"][1]["name"]]
    links = [fleet.add_link(name) for name in names]
    for link in links:
        link.fault(bytes_per_second=40_000)
    fleet.publish()
    for name in fleet.replicas():
        fleet.back_end(name).fault(token_ms=0.2)
    for metric, allowed, flags in ((RESUMED, (), ("--max_tokens=100", "--stream")), (RETRIED, ("reply-lost",), ("--max_tokens=1500",))):
        before = total(fleet, metric)
        load = start_load(fleet, 5, "--rate=10", "--workers=64", "--seed=8", *flags)
        for done in range(4):
            if done < cuts or total(fleet, metric) == before:
                time.sleep(1)
                cut(links)
        report = harness.finish(load)
        harness.assert_whole(report, f"cut mid-answer: {flags}", allowed)
        assert total(fleet, metric) > before, f"nothing was cut: {flags}"
    for process in links + [fleet.back_end(name) for name in fleet.replicas()]:
        process.fault(token_ms=20, bytes_per_second=0)


def cut(links):
    for link in links:
        link.fault(cut=True)
    time.sleep(0.1)
    for link in links:
        link.fault(cut=False)


def main():
    arguments = harness.parse_arguments(__doc__)
    with harness.Fleet(arguments.build, engine_flags=ENGINE_FLAGS) as fleet:
        fleet.wait_for_replicas(9)
        fleet.wait_for_entries()
        burst(fleet)
        caller_gone(fleet)
        cold_turn(fleet)
        cut_mid_answer(fleet)
        kill_entry(fleet)
        back_end_dies(fleet)
        process_dies(fleet)
        freeze(fleet)
        freeze_all(fleet)
        endless_event(fleet)
        kill_during_streams(fleet)


if __name__ == "__main__":
    harness.main(main)
