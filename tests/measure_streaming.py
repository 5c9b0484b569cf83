#!/usr/bin/env python3
"""Processor time and memory of an entry and of an endpoint's process, as slopes by requests, tokens and open streams.

Prints one `name value unit target` a line. Times come from /proc/PID/stat of the processes started here; each slope
has its standard error in a line of its own (`…_spread`).
"""

import os
import socket
import time

import harness

WINDOW_SECONDS = 4.0
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
# Requests a second and tokens a request of each point.
POINTS = [(5, 4), (20, 4), (40, 4), (60, 4), (5, 64), (10, 128), (20, 64), (20, 128)]
TOKEN_SECONDS = 0.005
OPEN_STREAMS = [0, 32, 96, 192]
# Kept connections without a request; servers close them after five seconds.
IDLE_CONNECTIONS = [0, 64, 128, 256]
IDLE_WINDOW_SECONDS = 3.0
# The share of a core that control may take, in percent.
CONTROL_CPU_TARGET = 2.1
CONTROL_MEMORY_TARGET = 128


def cpu_seconds(pid):
    """Processor time of a process, its ended threads included."""
    with open(f"/proc/{pid}/stat", encoding="ascii") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def status_kib(pid, field):
    """A field of /proc/PID/status, in KiB or as a count."""
    with open(f"/proc/{pid}/status", encoding="ascii") as file:
        return next(int(line.split()[1]) for line in file if line.startswith(field + ":"))


def solve(matrix, vector):
    """Solves a small linear system by elimination with pivots."""
    size = len(vector)
    rows = [list(row) + [vector[index]] for index, row in enumerate(matrix)]
    for column in range(size):
        pivot = max(range(column, size), key=lambda row: abs(rows[row][column]))
        rows[column], rows[pivot] = rows[pivot], rows[column]
        rows[column] = [value / rows[column][column] for value in rows[column]]
        for row in range(size):
            if row != column:
                factor = rows[row][column]
                rows[row] = [value - factor * base for value, base in zip(rows[row], rows[column])]
    return [row[size] for row in rows]


def fit(inputs, outputs):
    """Least squares; gives the coefficients and their standard errors."""
    size = len(inputs[0])
    normal = [[sum(row[i] * row[j] for row in inputs) for j in range(size)] for i in range(size)]
    target = [sum(row[i] * output for row, output in zip(inputs, outputs)) for i in range(size)]
    slopes = solve(normal, target)
    residuals = [output - sum(slope * value for slope, value in zip(slopes, row)) for row, output in zip(inputs, outputs)]
    variance = sum(value * value for value in residuals) / max(1, len(inputs) - size)
    inverse = [solve(normal, [1.0 if row == column else 0.0 for row in range(size)]) for column in range(size)]
    return slopes, [(variance * inverse[index][index]) ** 0.5 for index in range(size)]


def print_slope(name, inputs, outputs, unit, index=1, factor=1, digits=1):
    """Prints a coefficient of the fit and its standard error."""
    slopes, errors = fit(inputs, outputs)
    print(f"{name} {factor * slopes[index]:.{digits}f} {unit} none")
    print(f"{name}_spread {factor * errors[index]:.{digits}f} {unit} none", flush=True)


def edit(fleet):
    """One entry and one endpoint of the model, with room for many streams."""
    vms = fleet.inventory["vms"]
    entry = next(row for row in vms if row.get("role") == "entry")
    engine = next(row for row in vms if row.get("service") == fleet.model_service() and row["data_centre"] == entry["data_centre"])
    engine["max_concurrency"] = engine["cold_concurrency"] = 1000
    fleet.inventory["vms"] = [entry, engine]
    fleet.rules["placements"] = [{"model": fleet.inventory["models"][0]["name"], "replicas": 1, "survive_data_centre_loss": False}]
    fleet.rules["bursts"] = []


def open_fleet(arguments):
    return harness.Fleet(arguments.build, model_bytes=1 << 20, edit=edit, daemon_flags=["--http_threads=512"],
                         engine_flags=["--slots=1000", f"--token_ms={1000 * TOKEN_SECONDS:.0f}", "--cold_ms=0", "--cold_slots=1000"])


def start_load(fleet, seconds, *flags):
    return fleet.load_model(seconds, f"--account={fleet.inventory['callers'][0]['name']}", "--stream", "--timeout_ms=60000", *flags)


def roles(fleet):
    """The daemons' processes by role."""
    return {"entry": fleet.processes[fleet.entries()[0]].process.pid, "endpoint": fleet.processes[fleet.endpoints()[0]].process.pid}


def answered(fleet):
    return fleet.processes[fleet.entries()[0]].metric("bilberry_requests_answered_total")


def measure_point(fleet, rate, tokens):
    """Processor seconds a second of each role, with the request rate that was reached."""
    # As many callers' connections as are in use at a time, so that idle ones take no part.
    workers = 4 + round(2 * rate * (tokens * TOKEN_SECONDS + 0.02))
    load = start_load(fleet, WINDOW_SECONDS + 3, f"--rate={rate}", f"--workers={workers}", f"--max_tokens={tokens}")
    # The streams of one answer's length are open before the window starts.
    start_count = answered(fleet)
    harness.wait_until(lambda: answered(fleet) - start_count >= rate, 10, "the load has started")
    pids = roles(fleet)
    before = {role: cpu_seconds(pid) for role, pid in pids.items()}
    count, start = answered(fleet), time.monotonic()
    time.sleep(WINDOW_SECONDS)
    elapsed = time.monotonic() - start
    used = {role: (cpu_seconds(pid) - before[role]) / elapsed for role, pid in pids.items()}
    reached = (answered(fleet) - count) / elapsed
    report = harness.finish(load)
    assert report["ok"] == report["sent"], report
    return reached, used


def measure_idle(fleet):
    pids = roles(fleet)
    before = {role: cpu_seconds(pid) for role, pid in pids.items()}
    time.sleep(WINDOW_SECONDS)
    for role, pid in pids.items():
        share = 100 * (cpu_seconds(pid) - before[role]) / WINDOW_SECONDS
        print(f"idle_cpu_{role} {share:.2f} percent {CONTROL_CPU_TARGET}", flush=True)
        print(f"idle_memory_{role} {status_kib(pid, 'VmRSS') / 1024:.1f} MiB {CONTROL_MEMORY_TARGET}", flush=True)


def measure_processor_time(fleet):
    inputs, outputs = [], {"entry": [], "endpoint": []}
    for rate, tokens in POINTS:
        reached, used = measure_point(fleet, rate, tokens)
        inputs.append((1.0, reached, reached * tokens))
        for role, value in used.items():
            outputs[role].append(value)
            print(f"cpu_{role}_at_{rate}_requests_{tokens}_tokens {100 * value:.1f} percent none", flush=True)
    for role, values in outputs.items():
        print_slope(f"cpu_{role}_per_request", inputs, values, "us", factor=1e6, digits=0)
        print_slope(f"cpu_{role}_per_token", inputs, values, "us", index=2, factor=1e6)


def measure_stream_memory(fleet):
    """Memory and threads by open streams, one load after the other, each larger than the last."""
    inputs, outputs = [], {"entry": [], "endpoint": []}
    threads = {"entry": [], "endpoint": []}
    for count in OPEN_STREAMS:
        load = start_load(fleet, 1, "--rate=0", f"--workers={count}", "--max_tokens=600") if count else None
        if load:
            in_progress = fleet.processes[fleet.entries()[0]]
            harness.wait_until(lambda: in_progress.metric("bilberry_requests_in_progress") >= count, 20, f"{count} open streams")
        inputs.append((1.0, float(count)))
        for role, pid in roles(fleet).items():
            outputs[role].append(status_kib(pid, "VmRSS"))
            threads[role].append(status_kib(pid, "Threads"))
        if load:
            assert harness.finish(load)["cut"] == 0
    for role, values in outputs.items():
        print_slope(f"memory_{role}_per_stream", inputs, values, "KiB")
        print(f"threads_{role}_per_stream {fit(inputs, threads[role])[0][1]:.2f} threads none", flush=True)


def measure_idle_connections(fleet):
    """Processor time and memory that a kept connection without a request costs at the entry."""
    pid = roles(fleet)["entry"]
    host, port = fleet.processes[fleet.entries()[0]].address.rsplit(":", 1)
    inputs, outputs, memory = [], [], []
    for count in IDLE_CONNECTIONS:
        connections = [socket.create_connection((host, int(port))) for _ in range(count)]
        for connection in connections:
            connection.sendall(b"GET /healthz HTTP/1.1\r\nHost: entry\r\n\r\n")
        for connection in connections:
            connection.recv(4096)
        before, start = cpu_seconds(pid), time.monotonic()
        time.sleep(IDLE_WINDOW_SECONDS)
        inputs.append((1.0, float(count)))
        outputs.append((cpu_seconds(pid) - before) / (time.monotonic() - start))
        memory.append(status_kib(pid, "VmRSS"))
        for connection in connections:
            connection.close()
    print_slope("cpu_entry_per_idle_connection", inputs, outputs, "percent", factor=100, digits=4)
    print_slope("memory_entry_per_idle_connection", inputs, memory, "KiB")


def measure_token_bytes(fleet):
    """Bytes of an answer by its tokens, as the stand-in engine writes them."""
    address = fleet.processes[fleet.entries()[0]].address
    inputs = [(1.0, float(tokens)) for tokens in (10, 50, 100)]
    outputs = [len(fleet.ask_model(address, max_tokens=int(row[1]), stream=True)[2]) for row in inputs]
    print(f"bytes_per_token {fit(inputs, outputs)[0][1]:.0f} bytes none", flush=True)


def main():
    arguments = harness.parse_arguments(__doc__)
    with open_fleet(arguments) as fleet:
        fleet.wait_for_replicas(1)
        harness.wait_until(lambda: fleet.ask_model(fleet.processes[fleet.entries()[0]].address)[0] == 200, 10, "an answer")
        measure_token_bytes(fleet)
        measure_idle(fleet)
        measure_idle_connections(fleet)
        measure_processor_time(fleet)
        measure_stream_memory(fleet)


if __name__ == "__main__":
    harness.main(main)
