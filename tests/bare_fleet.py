"""Daemons and a configuration service without back ends: for what the processes know of each other."""

import json
import time

import harness

PROMISE_SECONDS = 4.0
START_SECONDS = 10.0
DEAD_ADDRESS = "127.0.9.9:1"
SERVICE_HOST = "127.0.9.1"


class BareFleet(harness.ProcessGroup):
    """`size` daemons, a third of them entries, evenly in the data centres. Use it as a context manager.

    With links, the daemons reach the service and each other through links, which cut() cuts, and the endpoints
    have a back end.
    """

    def __init__(self, build, size, data_centres=3, cut_off=lambda index: False, flags=(), has_links=False):
        super().__init__(build)
        self.flags = list(flags)
        self.cut_off = cut_off
        self.processes = []
        names = [f"dc-{index}" for index in range(data_centres)]
        self.inventory = {
            "data_centres": [{"name": name, "region": f"region-{index % 2}"} for index, name in enumerate(names)],
            "services": [{"name": "plain", "kind": "plain", "path_prefix": "/plain"}],
            "models": [], "callers": [{"name": "caller", "share": 1}],
            "weight_store": {"address": DEAD_ADDRESS, "region": "region-0"},
            "vms": [self._row(index, names[index % data_centres]) for index in range(size)],
        }
        self.rules = {"placements": [], "bursts": [], "unrepeatable": [], "services": [], "data_centres_out": [], "vms_leaving": []}
        self.has_links = has_links
        self.links = {}

    @staticmethod
    def _row(index, data_centre):
        row = {"name": f"vm-{index}", "data_centre": data_centre, "address": ""}
        if index % 3 == 0:
            return {**row, "role": "entry"}
        return {**row, "service": "plain", "back_end": DEAD_ADDRESS}

    def start(self):
        self.config = self.standin("config", "config", SERVICE_HOST)
        self.service = self.start_link("config", SERVICE_HOST, self.config) if self.has_links else self.config
        if self.has_links:
            back_end = self.standin("plain", "plain", SERVICE_HOST, "--name=plain")
            for row in self.inventory["vms"]:
                row.update({"back_end": back_end.address} if "service" in row else {})
        for index in range(len(self.inventory["vms"])):
            self.processes.append(self.launch(index))
        self.publish()
        self.wait_in_force(START_SECONDS)

    def start_link(self, name, host, target):
        self.links[name] = super().start_link(name, host, target)
        return self.links[name]

    def cut(self, data_centres, others, from_service):
        """Cuts the links between processes of the first and of the other data centres, and of the last to the service."""
        foes = {**{name: others for name in data_centres}, **{name: data_centres for name in others}}
        cut_from = {row["name"]: foes.get(row["data_centre"], []) for row in self.inventory["vms"]}
        cut_from["config"] = from_service
        for name, link in self.links.items():
            link.fault(cut_from=[self.host(foe) for foe in cut_from[name]])

    @staticmethod
    def host(data_centre):
        return f"127.0.{10 + int(data_centre.rsplit('-', 1)[1])}.1"

    def launch(self, index, flags=None, peers=None):
        row = self.inventory["vms"][index]
        service = DEAD_ADDRESS if self.cut_off(index) else self.service.address
        seeds = [other["address"] for other in self.inventory["vms"][:3] if other["address"] and other is not row] if peers is None else peers
        host = self.host(row["data_centre"])
        listen = self.processes[index].address if index < len(self.processes) else f"{host}:0"
        process = self.daemon(row, listen, service, seeds, "--http_threads=16", *(self.flags if flags is None else flags))
        if not row["address"]:
            row["address"] = (self.start_link(row["name"], host, process) if self.has_links else process).address
        return process

    def restart(self, index, **options):
        self.processes[index].kill()
        self.processes[index] = self.launch(index, **options)

    def document(self):
        return json.dumps({"inventory": self.inventory, "rules": self.rules})

    def publish(self):
        self.put(harness.CONFIGURATION_KEY, self.document())
        self.generation = int(harness.call("GET", self.config.address, harness.CONFIGURATION_KEY)[1].get("X-Consul-Index", 0)) or self.generation + 1

    def held(self, process):
        """The generation in force at a process, 0 for none."""
        if harness.call("GET", process.address, "/readyz", timeout=1)[0] != 200:
            return 0
        return process.metrics().get('bilberry_document_generation{document="configuration"}', 0)

    def adopted_at(self, process):
        """Wall-clock time at which a process adopted the configuration that it holds."""
        return process.metrics()['bilberry_document_adopted_time_seconds{document="configuration"}']

    def wait_in_force(self, seconds=PROMISE_SECONDS, processes=None, generation=None):
        """Waits until the generation is in force at all these processes; gives the time of each in order."""
        waiting = list(processes or self.processes)
        times = []
        end = time.monotonic() + seconds
        while waiting:
            assert time.monotonic() < end, f"not within {seconds} s: {[process.name for process in waiting]} {waiting[0].log()[-600:]}"
            for process in list(waiting):
                if self.held(process) >= (generation or self.generation):
                    waiting.remove(process)
                    times.append(time.monotonic())
            time.sleep(0.01)
        return times

    def watchers(self):
        """Processes that read the service lately."""
        before = [process.metric("bilberry_configuration_reads_total") for process in self.processes]
        time.sleep(2.5)
        return [process for process, count in zip(self.processes, before) if process.metric("bilberry_configuration_reads_total") > count]
