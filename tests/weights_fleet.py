"""Many endpoints of one model, each behind a link of its own that paces and cuts."""

import json

import harness
import test_ports


class LinkedFleet(harness.Fleet):
    """N endpoints of one model, each behind a link of its own, and perhaps one entry."""

    def __init__(self, build, count, link_rate=0, upload_share=0.95, has_entry=False, daemon_flags=(), **others):
        self.count = count
        self.has_entry = has_entry
        self.link_rate = link_rate
        flags = ["--http_threads=256", f"--weight_upload_bytes_per_second={int(link_rate * upload_share)}", *daemon_flags]
        super().__init__(build, daemon_flags=flags, edit=LinkedFleet.shape, **others)

    def shape(self):
        centres = [row["name"] for row in self.inventory["data_centres"]]
        template = next(row for row in self.inventory["vms"] if row.get("service") == "drafting")
        vms = [row for row in self.inventory["vms"] if row.get("role") == "entry"][:1 if self.has_entry else 0]
        for i in range(self.count):
            vms.append({**template, "name": f"vm-{i}", "data_centre": centres[i % len(centres)]})
        self.inventory["vms"] = vms
        self.inventory["services"] = [row for row in self.inventory["services"] if row["kind"] == "model"]
        self.rules["services"] = [row for row in self.rules["services"] if row["service"] == "drafting"]
        self.rules["unrepeatable"] = []
        self.rules["bursts"] = []
        self.rules["placements"] = [{"model": self.inventory["models"][0]["name"], "replicas": self.count, "survive_data_centre_loss": False}]

    def start_daemon(self, name, listen_port=0):
        row = self.vm(name)
        process = super().start_daemon(name, listen_port or test_ports.free_port())
        if row.get("role") != "entry":
            link = self.standin(f"{name}.link", "link", self.host(row), f"--target={process.address}", f"--bytes_per_second={self.link_rate}")
            row["address"] = link.address
            link.control = link.lines.get(timeout=10).split()[1]
        return process

    def cut(self, data_centres, others):
        """Cuts the links between the VMs of the first data centres and those of the others, both ways."""
        for row in self.inventory["vms"]:
            link = self.processes.get(f"{row['name']}.link")
            foes = others if row["data_centre"] in data_centres else data_centres
            prefixes = [self.host({"data_centre": name}).rsplit(".", 1)[0] + "." for name in foes]
            if link:
                self.fault_link(row["name"], cut_from=prefixes)

    def fault_link(self, name, **switches):
        control = self.processes[f"{name}.link"].control
        assert harness.call("POST", control, "/fault", json.dumps(switches))[0] == 200

    def restart_back_end(self, name):
        """Kills the engine beside an endpoint and starts an empty one at its address."""
        row = self.vm(name)
        self.back_end(name).kill()
        checks = "true" if row.get("checks_fencing") else "false"
        self.add(f"{name}.backend", self.build / "standin", "--kind=engine", f"--listen={row['back_end']}", f"--checks_fencing={checks}",
                 *self.engine_flags)

    def received(self):
        """Chunk bytes that all endpoints received, in copies of the model."""
        return self.sum_metric("bilberry_chunk_bytes_total") / self.model_bytes

    def origin_copies(self):
        return self.store.counts()["bytes_sent"] / self.model_bytes

    def sum_metric(self, prefix):
        return sum(self.processes[name].metric(prefix) for name in self.endpoints() if name in self.processes)

    def crossings(self):
        """Copies that each region but the origin's received from elsewhere."""
        received = {}
        for row in self.inventory["vms"]:
            if row["data_centre"] != self.inventory["data_centres"][0]["name"] and row.get("role") != "entry":
                process = self.processes[row["name"]]
                crossed = process.metric('bilberry_chunk_bytes_total{source="region"}') + process.metric('bilberry_chunk_bytes_total{source="origin"}')
                received[row["data_centre"]] = received.get(row["data_centre"], 0) + crossed / self.model_bytes
        return received


def start_without_model(fleet):
    """Starts everything, but publishes no version yet."""
    fleet.put_model = lambda *_: None
    fleet.start()
    del fleet.put_model
    for name in fleet.endpoints():
        harness.wait_until(lambda name=name: harness.call("GET", fleet.processes[name].address, "/readyz")[0] == 200, 20, f"{name} ready")
