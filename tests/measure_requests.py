#!/usr/bin/env python3
"""Requests: goodput under overload, fairness, attempts and added latency, beside a simple policy in the same run; and
service before, while and after a data centre is out.

The simple policy (round robin, three attempts, no admission limit) is the daemon's own, set by --simple_request_policy.
--only=added, --only=change or --only=overload runs one part.
"""

import json
import statistics
import time

import harness

SLOTS = 4
TOKEN_MS = 10
TOKENS = 20
SECONDS = 5
TIMEOUT_MS = 1500
SMALL_ACCOUNTS = 9
OUT = "sousse-a"
CHANGE_RATE = 60
# The ramp of return takes ten seconds.
PHASE_SECONDS = {"before": 8, "during": 8, "after": 12}


def edit(fleet):
    """Ten accounts with equal shares."""
    fleet.inventory["callers"] = [{"name": f"account-{index}", "share": 1} for index in range(SMALL_ACCOUNTS + 1)]


def capacity(fleet):
    """Requests a second that the engines can finish."""
    return len(fleet.replicas()) * SLOTS / (TOKENS * TOKEN_MS / 1000)


def totals(fleet, metric):
    return sum(fleet.processes[name].metric(metric) for name in fleet.entries())


def over_cold(fleet):
    return sum(fleet.back_end(name).counts()["over_cold_limit"] for name in fleet.endpoints(fleet.model_service()))


def overload(fleet, factor, policy):
    """Offers a multiple of the capacity, four fifths of it from one account; gives the share of the capacity that was answered."""
    rate = capacity(fleet) * factor
    attempts = totals(fleet, "bilberry_attempts_total")
    accounts = ",".join(["account-0:36"] + [f"account-{index}:1" for index in range(1, SMALL_ACCOUNTS + 1)])
    load = fleet.load(f"--account={accounts}", f"--seconds={SECONDS}", f"--timeout_ms={TIMEOUT_MS}", f"--rate={rate}", "--workers=400",
                      f"--max_tokens={TOKENS}", f"--model={fleet.inventory['models'][0]['name']}", "--seed=5")
    report = harness.finish(load, 90)
    attempts = totals(fleet, "bilberry_attempts_total") - attempts
    goodput = report["ok"] / SECONDS / min(rate, capacity(fleet))
    print(f"requests_goodput_{policy}_{factor}x {goodput:.3f} share_of_capacity {'>=0.95' if policy == 'own' else '-'}")
    print(f"requests_attempts_{policy}_{factor}x {attempts / report['sent']:.3f} attempts_per_request {'<=1.1' if policy == 'own' else '-'}")
    print(f"requests_latency_p99_{policy}_{factor}x {report['latency_ms']['p99']} ms -")
    print(f"requests_lost_cut_crossed_{policy}_{factor}x {report['lost'] + report['cut'] + report['wrong'] + report['mixed']} count {'0' if policy == 'own' else '-'}")
    if factor == 3:
        # Each account's fair share is a tenth of the capacity, or all that it sends when that is less.
        small = [account for name, account in report["per_account"].items() if name != "account-0"]
        fair = min(capacity(fleet) * SECONDS / (SMALL_ACCOUNTS + 1), min(account["sent"] for account in small))
        print(f"requests_smallest_share_{policy}_3x {min(account['ok'] for account in small) / fair:.3f} of_fair_share {'>=0.9' if policy == 'own' else '-'}")


def added_latency(fleet):
    """One request at a time: time through the system less the time straight to an engine."""
    entry = fleet.processes[fleet.entries()[0]].address
    engine = fleet.back_end(fleet.replicas()[0]).address
    body = json.dumps({"model": fleet.inventory["models"][0]["name"], "prompt": "hello", "max_tokens": 1})
    headers = {**fleet.account(), "Content-Type": "application/json"}

    def measure(address):
        start = time.monotonic()
        assert harness.call("POST", address, "/v1/completions", body, headers)[0] == 200
        return (time.monotonic() - start) * 1000

    through, straight = zip(*[(measure(entry), measure(engine)) for _ in range(200)])
    base = statistics.median(straight)
    print(f"requests_added_p50 {statistics.median(through) - base:.2f} ms -")
    print(f"requests_added_p99 {statistics.quantiles(through, n=100)[98] - base:.2f} ms <=5")


def data_centre_change(fleet):
    """A load for each phase; the change comes half a second after the phase's load has started."""
    changes = {"before": lambda: None, "during": lambda: fleet.take_out(OUT), "after": fleet.bring_back}
    first_bytes = {}
    for seed, (phase, seconds) in enumerate(PHASE_SECONDS.items(), 11):
        load = fleet.load_model(seconds, "--timeout_ms=10000", f"--rate={CHANGE_RATE}", "--workers=128", f"--max_tokens={TOKENS}", "--stream", f"--seed={seed}")
        time.sleep(0.5)
        changes[phase]()
        report = harness.finish(load)
        first_bytes[phase] = report["ttft_ms"]
        print(f"requests_change_answered_{phase} {report['ok'] / report['sent']:.4f} share 1")
        print(f"requests_change_refused_{phase} {sum(report['refused'].values())} count 0")
        print(f"requests_change_lost_cut_crossed_{phase} {report['lost'] + report['cut'] + report['wrong'] + report['mixed']} count 0")
        for share in ("p50", "p95", "p99"):
            target = "<=1.2" if (phase, share) == ("during", "p95") else "-"
            print(f"requests_change_first_byte_{share}_{phase} {first_bytes[phase][share]} ms -")
            print(f"requests_change_first_byte_{share}_{phase}_ratio {first_bytes[phase][share] / first_bytes['before'][share]:.2f} of_before {target}", flush=True)


def run(build, policy, daemon_flags, only):
    flags = [f"--slots={SLOTS}", f"--token_ms={TOKEN_MS}", "--cold_ms=300", "--cold_slots=2"]
    with harness.Fleet(build, engine_flags=flags, daemon_flags=daemon_flags, edit=edit) as fleet:
        fleet.wait_for_replicas(9)
        fleet.wait_for_entries()
        if policy == "own" and only in ("", "added"):
            added_latency(fleet)
        if policy == "own" and only in ("", "change"):
            data_centre_change(fleet)
        for factor in (0.5, 1, 2, 3) if only in ("", "overload") else ():
            overload(fleet, factor, policy)
        print(f"requests_over_cold_limit_{policy} {over_cold(fleet)} count {'0' if policy == 'own' else '-'}")


def main():
    arguments = harness.parse_arguments(__doc__, only="")
    run(arguments.build, "own", [], arguments.only)
    if arguments.only in ("", "overload"):
        run(arguments.build, "simple", ["--simple_request_policy=true"], arguments.only)


if __name__ == "__main__":
    harness.main(main)
