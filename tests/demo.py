#!/usr/bin/env python3
"""The whole path of both deployments: spread a model, serve, take a data centre out and back, report."""

import concurrent.futures
import sys
import time

import harness

ACCOUNTS = 4


def run(build, deployment):
    out = {"registry": "sousse-a", "spendlens": "eu-central-b"}[deployment]
    with harness.Fleet(build, deployment, store_rate=16 << 20, engine_flags=["--slots=8", "--token_ms=4", "--cold_ms=300", "--cold_slots=2"]) as fleet:
        wanted = {"registry": 9, "spendlens": 12}[deployment]
        spread_seconds = fleet.wait_for_replicas(wanted)
        fleet.wait_for_entries()
        rule = fleet.rules["unrepeatable"][0]
        models = fleet.load_model(9, "--timeout_ms=8000", "--rate=60", "--workers=64", "--max_tokens=8", "--stream", "--seed=1")
        calls = fleet.load_model(9, "--timeout_ms=8000", "--rate=30", "--workers=16", f"--path={rule['path_prefix']}", "--key_prefix=demo-", "--resend=3", "--seed=2")
        time.sleep(3)
        fleet.take_out(out)
        time.sleep(3)
        fleet.bring_back()
        reports = [harness.finish(models), harness.finish(calls)]
        runs = fleet.runs_by_key(rule["service"])
        origin = fleet.store.counts()["bytes_sent"] / fleet.model_bytes
        codes = fleet.stop_daemons()
    return print_report(deployment, out, wanted, spread_seconds, origin, reports, runs, codes)


def print_report(deployment, out, wanted, spread_seconds, origin, reports, runs, codes):
    total = {field: sum(report[field] for report in reports) for field in ("sent", "ok", "lost", "cut", "wrong", "mixed")}
    refused = {}
    for report in reports:
        for reason, count in report["refused"].items():
            refused[reason] = refused.get(reason, 0) + count
    doubled = sum(1 for count in runs.values() if count > 1)
    unclean = {name: code for name, code in codes.items() if code != 0}
    bad = total["lost"] + total["cut"] + total["wrong"] + total["mixed"] + doubled + len(unclean)
    lines = [
        f"deployment          {deployment}",
        f"replicas            {wanted} after {spread_seconds:.2f} s, origin sent {origin:.2f} copies",
        f"data centre         {out} taken out and returned under load",
        f"requests            {total['sent']} sent, {total['ok']} answered",
        f"refused             {refused or 'none'}",
        f"lost, cut off       {total['lost']}, {total['cut']}",
        f"crossed, mixed      {total['wrong']}, {total['mixed']}",
        f"unrepeatable calls  {len(runs)} ran, {doubled} of them doubled",
        f"processes stopped   {len(codes)}, {len(unclean)} of them not clean {unclean or ''}",
        f"first byte          p50 {reports[0]['ttft_ms']['p50']} ms, p95 {reports[0]['ttft_ms']['p95']} ms",
        f"result              {'ok' if bad == 0 else 'FAILED'}",
    ]
    print("\n".join(lines) + "\n", flush=True)
    return 0 if bad == 0 else 1


def main():
    arguments = harness.parse_arguments(__doc__, deployment="")
    names = [arguments.deployment] if arguments.deployment else ["registry", "spendlens"]
    # Side by side, so that both take less than a minute.
    with concurrent.futures.ThreadPoolExecutor(len(names)) as pool:
        return max(pool.map(lambda name: run(arguments.build, name), names))


if __name__ == "__main__":
    sys.exit(harness.main(main))
