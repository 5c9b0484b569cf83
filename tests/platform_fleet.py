"""Starts bilberrynode processes against the stand-ins of the platform, each VM on a loopback address of its own."""

import http.client
import json
import pathlib
import signal
import subprocess
import tempfile
import threading
import uuid

import harness
import platform_standin
import test_ports

KEY = "key-of-acme"
HOST = "service.example"


def call_to_the_end(entry, path, last_event_ids=(), budget_ms=4000, upload_bytes=0):
    """One request, unlike any other; gives the status, the body and whether the answer is whole. Status 0 when there was no head."""
    connection = http.client.HTTPConnection(entry.flags["listen"], timeout=10)
    headers = {"Host": HOST, "Bilberrybarrow-Request-Id": uuid.uuid4().hex, "Bilberrybarrow-Deadline-Ms": str(budget_ms), "Authorization": f"Token {KEY}"}
    try:
        body = uuid.uuid4().hex.ljust(upload_bytes, "u")
        connection.putrequest("POST", path, skip_host=True)
        for name, value in [*headers.items(), ("Content-Length", len(body)), *(("Last-Event-Id", value) for value in last_event_ids)]:
            connection.putheader(name, value)
        connection.endheaders(body.encode())
        answer = connection.getresponse()
        body = b""
        try:
            while piece := answer.read1(65536):
                body += piece
            return answer.status, body, True
        except (http.client.IncompleteRead, ConnectionError):
            return answer.status, body, False
    finally:
        connection.close()


class Node:
    """One bilberrynode. Its log lines are read unless `reads_log` is false."""

    def __init__(self, fleet, name, flags, reads_log=True):
        self.name = name
        self.lines = []
        flag_file = pathlib.Path(fleet.folder) / f"{name}.flags"
        flag_file.write_text("# settings of a test\n" + "".join(f"--{key}={value}\n" for key, value in flags.items()))
        self.flags = flags
        self.process = subprocess.Popen([str(pathlib.Path(fleet.build) / "bilberrynode"), f"--flagfile={flag_file}"], stdout=subprocess.PIPE, text=True)
        if reads_log:
            threading.Thread(target=self.read, daemon=True).start()

    def read(self):
        for line in self.process.stdout:
            self.lines.append(json.loads(line))

    def events(self, name):
        return [line for line in list(self.lines) if line["event"] == name]

    def kill(self):
        self.process.kill()
        self.process.wait()

    def stop(self, timeout=15):
        self.process.send_signal(signal.SIGTERM)
        return self.process.wait(timeout)


class Fleet:
    """Store, configuration and processes of one test."""

    def __init__(self, build):
        self.build = build
        self.folder = tempfile.mkdtemp(prefix="bilberry-platform-")
        self.peer_port = test_ports.free_port()
        self.store = platform_standin.Store()
        self.nodes = []
        self.stand_ins = [self.store]
        self.version = 0
        self.routes = []
        self.services = []
        self.keys = [KEY]
        self.more_accounts = []
        self.limits = {"max-header-bytes": 16384, "max-body-bytes": 65536, "header-timeout-ms": 1000, "idle-timeout-ms": 5000}

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for node in self.nodes:
            if node.process.poll() is None:
                node.kill()
        for stand_in in self.stand_ins:
            stand_in.stop()

    def add_route(self, prefix, service, kind="idempotent", **more):
        route = {"name": prefix.strip("/"), "hostname": HOST, "prefix": prefix, "kind": kind, "timeout-ms": 4000, "target-latency-ms": 300, "priority": 1,
                 "service": service, "max-attempts": 2, "allow-anonymous": False, "sticky": False, "can-resume": kind == "streaming", "target-gap-ms": 400, "allowed-regions": []}
        self.routes.append({**route, **more})
        if not any(row["name"] == service for row in self.services):
            self.services.append({"name": service, "health-path": "/healthz", "max-connections": 50, "cold-s": 0.0, "cold-per-s": 0.0})

    def publish(self):
        self.version += 1
        accounts = [{"name": "acme", "api-keys": self.keys, "priority": 1, "allowed-regions": []}, *self.more_accounts]
        self.store.put("op/config", {"version": self.version, "routes": self.routes, "services": self.services, "limits": self.limits, "tenants": accounts})

    def add_endpoint(self, name, service, **how):
        endpoint = platform_standin.Endpoint(name, **how)
        self.stand_ins.append(endpoint)
        self.list_endpoint(endpoint, service)
        return endpoint

    def list_endpoint(self, endpoint, service, state="ready", slots=8):
        self.store.put(f"servers/{endpoint.name}", {"service": service, "address": endpoint.address, "zone": "dc-a", "version": "v1", "slots": slots, "state": state, "cold-remaining-ms": 0, "seq-no": 1, "born": endpoint.born})

    def list_again(self, endpoint, service, earlier):
        """Lists an endpoint that is back, under another name or its earlier one."""
        if endpoint.name != earlier:
            self.store.remove(f"servers/{earlier}")
        self.list_endpoint(endpoint, service)

    def start_entry(self, number=1, reads_log=True, **more):
        ip = f"127.0.1.{number}"
        flags = {"role": "entry", "vm": f"entry-{number}", "data_centre": "dc-a", "data_centres": "dc-a=north,dc-b=south", "listen": f"{ip}:{test_ports.free_port()}", "ready_listen": f"{ip}:{test_ports.free_port()}",
                 "metrics_listen": f"{ip}:{test_ports.free_port()}", "ip": ip, "peer_ports": self.peer_port, "seeds": "127.0.1.1:1,127.0.1.2:1", "store": self.store.address, "repeat_extra": 400, **more}
        node = Node(self, f"entry-{number}", flags, reads_log)
        self.nodes.append(node)
        return node

    def start_agent(self, engine, number, service="writer", data_centre="dc-a", **more):
        ip = f"127.0.2.{number}"
        flags = {"role": "agent", "vm": f"agent-{number}", "data_centre": data_centre, "data_centres": "dc-a=north,dc-b=south", "ip": ip, "peer_ports": self.peer_port, "seeds": "127.0.1.1:1",
                 "engine": engine.address, "service": service, **more}
        node = Node(self, f"agent-{number}", flags)
        self.nodes.append(node)
        return node

    def is_ready(self, node):
        return harness.call("GET", node.flags["ready_listen"], "/bilberrybarrow/ready")[0] == 200

    def wait_ready(self, node):
        harness.wait_until(lambda: self.is_ready(node), 10, f"{node.name} is ready")

    def call(self, node, path, method="POST", body="hello", key=KEY, budget_ms=4000, timeout=10.0, **headers):
        """One request; gives status, headers and body."""
        sent = {"Host": HOST, "Bilberrybarrow-Request-Id": uuid.uuid4().hex, "Bilberrybarrow-Deadline-Ms": str(budget_ms), **headers}
        if key:
            sent["Authorization"] = f"Token {key}"
        return harness.call(method, node.flags["listen"], path, body, sent, timeout)

    def metrics(self, node):
        return harness.call("GET", node.flags["metrics_listen"], "/metrics")[2].decode()
