#!/usr/bin/env python3
"""Spread of a version over N endpoint processes in three regions, beside two baselines; live requests during a spread.

The origin sends four copies a window and each VM's link (a relay in front of its process) two. Receiving is not paced.
"""

import time

import harness
from weights_fleet import LinkedFleet, start_without_model

WINDOW_SECONDS = 8.0
MODEL_BYTES = 4 << 20
CHUNK_BYTES = 64 << 10
SIZES = (8, 16, 32)
STRATEGIES = ("peers", "tree", "origin")
LIVE_SECONDS = 8


def paced_fleet(build, count, strategy="peers", window=WINDOW_SECONDS, live_share="", **others):
    flags = [f"--weight_strategy={strategy}"] + ([f"--weight_live_share={live_share}"] if live_share else [])
    return LinkedFleet(build, count, link_rate=int(2 * MODEL_BYTES / window), model_bytes=MODEL_BYTES, chunk_bytes=CHUNK_BYTES,
                       store_rate=int(4 * MODEL_BYTES / window), daemon_flags=flags, **others)


def spread(build, count, strategy, window):
    """Gives the time from publication until all serve over T/2, origin copies, and the most copies a region received."""
    fleet = paced_fleet(build, count, strategy, window)
    try:
        start_without_model(fleet)
        digest = fleet.put_model()
        seconds = fleet.wait_for_replicas(count, 180, digest)
        return seconds / (window / 2), fleet.store.counts()["bytes_sent"] / MODEL_BYTES, max(fleet.crossings().values())
    finally:
        fleet.close()


def live_requests(build, share):
    """Latency of live requests without and with a spread; answers from other weights than whole published ones."""
    upload_share, _, live_share = share.partition("/")
    with paced_fleet(build, 8, has_entry=True, upload_share=float(upload_share), live_share=live_share, engine_flags=["--slots=16", "--token_ms=10", "--prefill_ms=20"]) as fleet:
        fleet.wait_for_replicas(8, 60)
        fleet.wait_for_entries()
        first = fleet.digest
        common = [f"--account={fleet.account()['X-Client-Account']}", f"--seconds={LIVE_SECONDS}", "--rate=40", "--workers=64", "--max_tokens=16",
                  "--stream", f"--model={fleet.inventory['models'][0]['name']}", "--timeout_ms=8000"]
        quiet = harness.finish(fleet.load(*common, f"--expect_fingerprints={first}", "--seed=1"))
        second = fleet.put_model(seed=2)
        busy_load = fleet.load(*common, f"--expect_fingerprints={first},{second}", "--seed=2")
        seconds = fleet.wait_for_replicas(8, 60, second)
        return quiet, harness.finish(busy_load), seconds


def print_live(build, share):
    """Weights may use `share` of each VM's link; with A/B, A of it and A times B while live requests are in progress."""
    quiet, busy, seconds = live_requests(build, share)
    prefix = f"weights_live_share_{share}"
    for name in ("p50", "p95"):
        print(f"{prefix}_first_byte_{name} {busy['ttft_ms'][name] / max(quiet['ttft_ms'][name], 0.1):.2f} ratio <=1.2")
        print(f"{prefix}_latency_{name} {busy['latency_ms'][name] / max(quiet['latency_ms'][name], 0.1):.2f} ratio <=1.2")
    print(f"{prefix}_spread {seconds / (WINDOW_SECONDS / 2):.2f} x(T/2) -")
    print(f"{prefix}_mixed {quiet['mixed'] + busy['mixed']} answers 0")
    print(f"{prefix}_lost {busy['lost'] + busy['cut'] + busy['wrong']} answers 0", flush=True)


def main():
    arguments = harness.parse_arguments(__doc__, sizes=",".join(map(str, SIZES)), strategies=",".join(STRATEGIES), live_shares="0.95,0.95/1,0.7/1",
                                        window=WINDOW_SECONDS)
    for count in map(int, filter(None, arguments.sizes.split(","))):
        for strategy in arguments.strategies.split(","):
            started = time.monotonic()
            ratio, origin, crossed = spread(arguments.build, count, strategy, arguments.window)
            targets = ("<=1.5", "<=1.5", "<=1.2") if strategy == "peers" else ("-", "-", "-")
            print(f"weights_{strategy}_{count}_time {ratio:.2f} x(T/2) {targets[0]}")
            print(f"weights_{strategy}_{count}_origin {origin:.2f} copies {targets[1]}")
            # The baselines do not tell regions apart.
            if strategy == "peers":
                print(f"weights_{strategy}_{count}_crossing {crossed:.2f} copies {targets[2]}", flush=True)
            assert time.monotonic() - started < 240
    for share in filter(None, arguments.live_shares.split(",")):
        print_live(arguments.build, share)


if __name__ == "__main__":
    harness.main(main)
