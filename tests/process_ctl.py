#!/usr/bin/env python3
"""bilberryctl against real daemons: check, plan, status, explain and burn, through a data centre that goes out."""

import json
import pathlib
import subprocess

import harness

OUT = "sousse-a"


def ctl(build, *arguments):
    """Runs bilberryctl; gives (exit code, standard output, standard error)."""
    result = subprocess.run([f"{build}/bilberryctl", *arguments], capture_output=True, text=True, timeout=30, check=False)
    return result.returncode, result.stdout, result.stderr


def check_files(build):
    folder = harness.ROOT / "examples" / "registry"
    files = [str(folder / "inventory.json"), str(folder / "rules.json")]
    code, output, error = ctl(build, "check", "--strict", *files)
    assert code == 0 and output.startswith("ok: 17 VMs"), (code, output, error)
    code, output, _ = ctl(build, "plan", "--at=2027-02-06", "--json", *files)
    plan = json.loads(output)
    ramadan = next(burst for burst in plan["bursts"] if burst["name"] == "ramadan")
    # 1 Ramadan 1448 by Umm al-Qura is 8 February 2027; two days of lead.
    assert code == 0 and ramadan == {"name": "ramadan", "active": True, "in_place_from": "2027-02-06", "first_day": "2027-02-08", "last_day": "2027-03-09"}, ramadan
    assert len(plan["placement"]) == 9, plan
    for wrong in (["plan", "--at=2027-02-30", *files], ["check"], ["plan"], ["paint"], ["status"], ["explain", "vm"], ["burn", "--process=x"]):
        code, output, error = ctl(build, *wrong)
        assert code == 2 and output == "" and error, (wrong, code, output, error)
    for verb in ("check", "plan", "status", "explain", "burn"):
        code, output, _ = ctl(build, verb, "--help")
        assert code == 0 and output.startswith(f"bilberryctl {verb}") and "exit codes" in output, output
    code, _, error = ctl(build, "status", "--process=127.0.0.1:1")
    assert code == 3 and "127.0.0.1:1" in error, (code, error)


def check_broken(build, folder):
    """A file with faults: all are printed, with path, value and reason."""
    document = json.loads((harness.ROOT / "examples" / "registry" / "inventory.json").read_text())
    document["vms"][3]["address"] = "nowhere"
    document["callers"][0]["share"] = 0
    path = pathlib.Path(folder) / "broken.json"
    path.write_text(json.dumps(document))
    code, output, error = ctl(build, "check", str(path), str(harness.ROOT / "examples" / "registry" / "rules.json"))
    assert code == 1 and output == "", (code, output)
    assert '$.inventory.vms[3].address: "nowhere": must be IP:port' in error and "$.inventory.callers[0].share: 0: must be an integer" in error, error


def addresses(fleet, names):
    return "--process=" + ",".join(fleet.processes[name].address for name in names)


def agree(fleet, build):
    """The status by VM, once all processes hold one configuration and the first entry has heard of all replicas."""
    names = [row["name"] for row in fleet.inventory["vms"]]
    code, output, error = ctl(build, "status", "--json", addresses(fleet, names))
    assert code in (0, 1), (code, error)
    by_vm = {row["vm"]: row for row in json.loads(output)["processes"]}
    serving = {row["vm"] for row in by_vm[fleet.entries()[0]]["vms"] if row["served"]}
    return by_vm if code == 0 and serving == set(fleet.replicas()) else None


def check_status(fleet, build):
    harness.wait_until(lambda: agree(fleet, build), 15, "one generation everywhere, and all replicas heard of")
    code, output, _ = ctl(build, "status", addresses(fleet, [fleet.entries()[0]]))
    assert code == 0 and "configuration generation" in output and "serves renewal-drafter sha256:" in output, output
    placed = fleet.replicas()[0]
    entry = addresses(fleet, fleet.entries()[:1])
    code, output, _ = ctl(build, "explain", "vm", placed, entry)
    assert code == 0 and f"{placed} carries renewal-drafter" in output, output
    code, output, _ = ctl(build, "explain", "vm", fleet.endpoints("portal")[0], entry)
    assert code == 1 and 'the VM is of service "portal"' in output, output


def check_disagreement(fleet, build):
    """A process that has another generation than the rest is pointed out."""
    with harness.Fleet(fleet.build, "registry", edit=keep_one_entry) as other:
        other.publish()
        entry = other.processes[other.entries()[0]].address
        harness.wait_until(lambda: (other_generation(build, entry) or 0) > 1, 10, "a second generation")
        code, output, _ = ctl(build, "status", f"--process={entry},{fleet.processes[fleet.entries()[0]].address}")
        assert code == 1 and output.count("disagreement: ") >= 2, (code, output)


def other_generation(build, address):
    code, output, _ = ctl(build, "status", "--json", f"--process={address}")
    return json.loads(output)["processes"][0]["configuration_generation"] if code == 0 else None


def keep_one_entry(fleet):
    fleet.inventory["vms"] = fleet.inventory["vms"][:1]
    fleet.rules["placements"] = fleet.rules["bursts"] = []


def check_data_centre(fleet, build):
    """After the data centre is out, explain names it, and an entry still has endpoints."""
    fleet.take_out(OUT)
    entry = addresses(fleet, fleet.entries()[:1])
    states = harness.wait_until(lambda: out_states(build, entry), 10, "the data centre is out at the entry")
    assert {state for _, data_centre, state in states if data_centre != OUT} == {"available"}, states
    code, output, _ = ctl(build, "explain", "request", "--model=renewal-drafter", entry)
    assert code == 0 and "would be accepted" in output, output


def out_states(build, entry):
    _, output, _ = ctl(build, "explain", "request", "--service=register", "--json", entry)
    rows = [(row["vm"], row["data_centre"], row["state"]) for row in json.loads(output)["endpoints"]]
    return rows if ("data-centre-out" in [state for _, data_centre, state in rows if data_centre == OUT]) else None


def check_burn(fleet, build, folder):
    """Good requests, refusals of ours and of the caller's within the long window, each told apart."""
    entries = addresses(fleet, fleet.entries())
    snapshot = str(pathlib.Path(folder) / "snapshot.json")
    code, _, error = ctl(build, "burn", "--interval_ms=100", f"--save={snapshot}", entries)
    assert code in (0, 1), (code, error)
    entry = fleet.processes[fleet.entries()[0]].address
    account = fleet.account()
    for _ in range(20):
        assert harness.call("GET", entry, "/register/x", headers=account)[0] == 200
    for _ in range(3):
        assert harness.call("POST", entry, "/v1/completions", "{", account)[0] == 400
    code, output, error = ctl(build, "burn", "--json", "--interval_ms=100", f"--since={snapshot}", entries)
    report = json.loads(output)
    row = next(row for row in report["rows"] if row["service"] == "register")
    assert row["caller"] == account["X-Client-Account"] and row["objective"] == 0.999, row
    assert row["long"]["good"] + row["long"]["bad"] == 20 and row["short"]["good"] == 0, row
    assert report["unattributed"] == {"bad-request": 3} or report["rows"][0]["long"]["caller_faults"] == {"bad-request": 3}, report
    assert f"data centre {OUT} is out of service" in report["marks"], report["marks"]
    # The service's own faults burn its budget.
    for name in fleet.endpoints("portal"):
        fleet.processes[name].kill()
    for _ in range(5):
        assert harness.call("GET", entry, "/portal/x", headers=account)[0] == 503
    code, output, _ = ctl(build, "burn", "--interval_ms=100", f"--since={snapshot}", entries)
    assert "portal" in output and "worst data centre" in output, output


def main():
    arguments = harness.parse_arguments(__doc__)
    check_files(arguments.build)
    with harness.Fleet(arguments.build) as fleet:
        check_broken(arguments.build, fleet.folder)
        fleet.wait_for_replicas(9)
        fleet.wait_for_entries()
        check_status(fleet, arguments.build)
        check_disagreement(fleet, arguments.build)
        check_data_centre(fleet, arguments.build)
        check_burn(fleet, arguments.build, fleet.folder)


if __name__ == "__main__":
    harness.main(main)
