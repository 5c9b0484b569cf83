#!/usr/bin/env python3
"""`bilberryctl route` says where an entry would send a request, agrees with what happens to the next requests, and sends nothing."""

import json
import subprocess

import harness
import platform_fleet


def ask(arguments, entry, *words):
    done = subprocess.run([f"{arguments.build}/bilberryctl", "route", f"--metrics={entry.flags['metrics_listen']}", *words], capture_output=True, text=True, timeout=20)
    return done.returncode, done.stdout, done.stderr


def ask_json(arguments, entry, *words):
    code, output, error = ask(arguments, entry, "--json", *words)
    assert output, error
    return code, json.loads(output)


def test_it_agrees_with_what_happens(arguments, fleet, entry, endpoints):
    draining, *others = endpoints
    fleet.list_endpoint(draining, "reads", state="draining")
    harness.wait_until(lambda: any(row["exclusion"] == "draining" for row in ask_json(arguments, entry, "--account=acme", platform_fleet.HOST, "/reads/")[1]["candidates"]), 5, "the draining endpoint is known")
    for endpoint in endpoints:
        endpoint.requests.clear()
    code, report = ask_json(arguments, entry, "--account=acme", platform_fleet.HOST, "/reads/")
    assert code == 0 and report["outcome"] == "sent", report
    usable = {row["endpoint"] for row in report["candidates"] if row["exclusion"] == "none"}
    assert usable == {endpoint.name for endpoint in others}, report
    assert report["chosen"] in usable and report["service"] == "reads" and report["route"] == "reads", report
    assert not any(endpoint.requests for endpoint in endpoints), "the question was sent to an endpoint"
    for _ in range(100):
        assert fleet.call(entry, "/reads/")[0] == 200
    reached = {endpoint.name for endpoint in endpoints if endpoint.requests}
    assert reached <= usable, (reached, usable)


def test_refusals_are_foreseen(arguments, fleet, entry):
    rows = [(("--account=acme", platform_fleet.HOST, "/nowhere/"), "/nowhere/", 404, platform_fleet.KEY), ((platform_fleet.HOST, "/reads/"), "/reads/", 401, None)]
    for words, path, status, key in rows:
        code, report = ask_json(arguments, entry, *words)
        assert code == 1 and report["outcome"] == "refused" and report["status"] == status, report
        assert fleet.call(entry, path, key=key)[0] == status


def test_bad_questions(arguments, entry):
    rows = [(("--account=nobody", platform_fleet.HOST, "/reads/"), "nobody"), ((platform_fleet.HOST,), "HOST and PATH"), ((platform_fleet.HOST, "reads"), "path"), (("--parts=xyz", platform_fleet.HOST, "/reads/"), "parts")]
    for words, named in rows:
        code, _, error = ask(arguments, entry, *words)
        assert code == 2 and named in error, (words, code, error)
    done = subprocess.run([f"{arguments.build}/bilberryctl", "route", "--metrics=127.0.0.1:1", platform_fleet.HOST, "/reads/"], capture_output=True, text=True, timeout=20)
    assert done.returncode == 3, done


def test_the_text_shows_no_key(arguments, entry):
    code, output, _ = ask(arguments, entry, "--account=acme", platform_fleet.HOST, "/reads/")
    assert code == 0 and "sent at once" in output and platform_fleet.KEY not in output, output
    print(output, flush=True)


def main():
    arguments = harness.parse_arguments(__doc__)
    with platform_fleet.Fleet(arguments.build) as fleet:
        fleet.add_route("/reads/", "reads")
        endpoints = [fleet.add_endpoint(f"reads-{number}", "reads") for number in range(4)]
        fleet.publish()
        entry = fleet.start_entry()
        fleet.wait_ready(entry)
        harness.wait_until(lambda: len(ask_json(arguments, entry, "--account=acme", platform_fleet.HOST, "/reads/")[1]["candidates"]) == 4, 10, "all endpoints are known")
        test_it_agrees_with_what_happens(arguments, fleet, entry, endpoints)
        test_refusals_are_foreseen(arguments, fleet, entry)
        test_bad_questions(arguments, entry)
        test_the_text_shows_no_key(arguments, entry)


if __name__ == "__main__":
    harness.main(main)
