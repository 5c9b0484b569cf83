"""Starts the project's processes on loopback for the cases of this review, and records what they do.

The stand-ins of tests/ serve as the platform's store, the endpoints and the engines. The processes are those of the deploy
file, with its templates of settings.
"""

import http.client
import json
import os
import pathlib
import re
import signal
import sys
import threading
import time
import uuid

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "tests"))

import harness  # noqa: E402
import platform_fleet  # noqa: E402
import platform_standin  # noqa: E402

BROKEN, HELD, COULD_NOT_RUN = 1, 0, 2
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CONTACT_SECONDS = 3.0
DRAIN_SECONDS = 2.0

# Settings of the deployment accord-reg, by the names that the templates use.
SETTINGS = {
    "limits.max-fds": "4200", "limits.link-mbps": "7.6", "bounds.drain-timeout-ms": "2000", "bounds.grace-s": "8",
    "bounds.revoke-ms": "5000", "bounds.fail-closed": "true", "bounds.retry-budget-ratio": "0.2", "bounds.budget-extra": "100",
    "bounds.budget-window-s": "10", "bounds.cold-over": "1.5", "bounds.cold-slack": "5", "bounds.version_ms": "8000", "bounds.contact-ms": "3000",
}


def fixed_settings(template):
    """The settings of a template of the deploy file that don't depend on the machine."""
    settings = {}
    for line in (ROOT / "deploy" / template).read_text().splitlines():
        match = re.fullmatch(r"--(\w+)=\{\{([\w.-]+)\}\}", line)
        if match and match[2] in SETTINGS:
            settings[match[1]] = SETTINGS[match[2]]
    return settings


class Fleet(platform_fleet.Fleet):
    """A fleet of the tests that runs the programs of the deploy file with its settings. `tenants` maps names to keys."""

    def __init__(self, tenants=None):
        super().__init__(ROOT / "target")
        self.tenants = tenants or {"acme": platform_fleet.KEY}

    def publish(self):
        self.version += 1
        limits = {"max-header-bytes": 16384, "max-body-bytes": 65536, "header-timeout-ms": 1000, "idle-timeout-ms": 5000}
        tenants = [{"name": name, "api-keys": [key], "priority": 1, "allowed-regions": []} for name, key in self.tenants.items()]
        self.store.put("op/config", {"version": self.version, "routes": self.routes, "services": self.services, "limits": limits, "tenants": tenants})

    def start_entry(self, number=1, **more):
        return super().start_entry(number, **{**fixed_settings("entry.flags"), **more})

    def start_agent(self, engine, number, **more):
        return super().start_agent(engine, number, **{**fixed_settings("agent.flags"), **more})


class Record:
    """Writes record.txt beside the script: one line for each thing that was sent, answered or run."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w")
        self.lock = threading.Lock()
        self.start = time.monotonic()

    def write(self, text):
        with self.lock:
            self.file.write(f"{time.monotonic() - self.start:8.3f} s  {text}\n")
            self.file.flush()


class Caller:
    """A client that keeps its connection for many requests."""

    def __init__(self, node, name, record):
        self.node = node
        self.name = name
        self.record = record
        self.connection = None
        self.sent = 0

    def send(self, path, body="hello", budget_ms=4000, key=platform_fleet.KEY, request_id=None, **headers):
        """One request; gives the status and the body, or 0 and the kind of failure. `is_kept` tells whether the connection had
        carried an answer before."""
        request_id = request_id or uuid.uuid4().hex
        is_kept = self.connection is not None
        if not is_kept:
            host, port = self.node.flags["listen"].split(":")
            self.connection = http.client.HTTPConnection(host, int(port), timeout=budget_ms / 1000 + 2)
        sent = {"Host": platform_fleet.HOST, "Bilberrybarrow-Request-Id": request_id, "Bilberrybarrow-Deadline-Ms": str(budget_ms), "Authorization": f"Token {key}", **headers}
        self.record.write(f"{self.name} sends {request_id} to {self.node.name}{' on a kept channel' if is_kept else ''}: POST {path}")
        begun = time.monotonic()
        try:
            self.connection.request("POST", path, body, sent)
            answer = self.connection.getresponse()
            status, text = answer.status, answer.read()
            if answer.will_close:
                self.close()
        except (OSError, http.client.HTTPException) as error:
            self.close()
            status, text = 0, type(error).__name__.encode()
        self.record.write(f"{self.name} gets {status or 'a closed channel'} for {request_id}: {text[:60]!r}")
        return {"id": request_id, "status": status, "body": text, "is_kept": is_kept, "begun": begun, "ended": time.monotonic()}

    def close(self):
        if self.connection:
            self.connection.close()
        self.connection = None


def run_case(folder, play):
    """Runs `play(record)`, which gives whether the rule held, and ends with the exit code of a script."""
    record = Record(folder)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit("stopped"))  # Leaves the blocks that end the processes.
    record.write("with the disruption" if HAS_TROUBLE else "without the disruption")
    code = COULD_NOT_RUN
    try:
        code = HELD if play(record) else BROKEN
    except (Exception, SystemExit) as error:  # noqa: BLE001 - whatever keeps the case from running is reported as such
        record.write(f"the case could not run: {type(error).__name__}: {error}")
    record.write({BROKEN: "the rule was broken", HELD: "the rule held", COULD_NOT_RUN: "the case could not run"}[code])
    sys.stdout.flush()
    os._exit(code)
