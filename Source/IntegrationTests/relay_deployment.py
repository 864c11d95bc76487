"""Relays as real processes before stand-ins of the users' platform."""

import http.client
import json
import os
import pathlib
import random
import subprocess
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "platform" / "tests"))

import standin  # noqa: E402
from ports import free_ports, release_ports  # noqa: E402

PROGRAM = pathlib.Path(os.environ.get("BUILD_DIR", ROOT / "Build")) / "bin" / "laburnumchute"
PORTS = 12
READY_PORT, DIRECTORY_PORT, PEER_PORT, METRICS_PORT = 1, 3, 5, 11


class RelayDeployment:
    """The processes of one deployment."""

    def __init__(
        self,
        folder,
        instances,
        endpoints,
        routes,
        services,
        bounds=None,
        make_endpoint=None,
        memory_mb=300,
        descriptors=2000,
    ):
        """
        @param instances: address and zone of each instance, by name; those of a zone ZONE-a are in
            the region ZONE
        @param endpoints: id, service and zone of each endpoint
        @param bounds: bounds of the settings that differ from the usual ones
        """
        self.folder = folder
        self.instances = instances
        self.zones = {zone: zone.rsplit("-", 1)[0] for _, _, zone in endpoints}
        self.zones.update({zone: zone.rsplit("-", 1)[0] for _, zone in instances.values()})
        self.bounds = bounds or {}
        self.memory_mb = memory_mb
        self.descriptors = descriptors
        self.platform = standin.Platform(endpoints, make_endpoint or standin.Endpoint)
        self.ports = free_ports([ip for ip, _ in instances.values()], PORTS)
        self.processes = {}
        self.platform.publish(1, routes, services)
        for name in instances:
            self.start(name)

    def address(self, name):
        return f"{self.instances[name][0]}:{self.ports}"

    def start(self, name):
        ip, zone = self.instances[name]
        seeds = [seed for seed, _ in self.instances.values()][:1] + ["127.0.0.99"]
        port = self.platform.store.server.port
        settings = standin.settings(
            name, ip, zone, self.zones[zone], self.zones, seeds, port, self.ports
        )
        settings["bounds"].update(self.bounds)
        settings["limits"].update(memoryMb=self.memory_mb, maxFds=self.descriptors)
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings))
        arguments = [str(PROGRAM), "relay", "--config", str(path)]
        arguments += ["--metrics-port", str(self.ports + METRICS_PORT)]
        with open(self.folder / f"{name}.log", "ab") as log:
            self.processes[name] = subprocess.Popen(arguments, stdout=log, stderr=log)

    def get(self, name, port_offset, target):
        connection = http.client.HTTPConnection(
            self.instances[name][0], self.ports + port_offset, timeout=2
        )
        connection.request("GET", target)
        answer = connection.getresponse()
        return answer.status, answer.read()

    def ready(self, name):
        try:
            return self.get(name, READY_PORT, standin.READY_TARGET)[0] == 200
        except OSError:
            return False

    def wait_ready(self):
        end = time.monotonic() + 20
        while time.monotonic() < end:
            if all(self.ready(name) for name in self.processes):
                return
            time.sleep(0.05)
        raise AssertionError("the instances did not get ready")

    def resolve(self, region, zone):
        """The addresses that the directory names, from whichever instance answers."""
        target = standin.DIRECTORY_TARGET.format(region=region, zone=zone)
        for name in random.sample(list(self.instances), len(self.instances)):
            try:
                status, body = self.get(name, DIRECTORY_PORT, target)
            except OSError:
                continue
            if status == 200:
                return json.loads(body)["addresses"]
        return []

    def log_lines(self, name):
        text = (self.folder / f"{name}.log").read_text()
        return [json.loads(line) for line in text.splitlines() if line.startswith("{")]

    def memory(self, name):
        """The largest resident size of an instance so far, in bytes."""
        status = pathlib.Path(f"/proc/{self.processes[name].pid}/status").read_text()
        (line,) = [one for one in status.splitlines() if one.startswith("VmHWM:")]
        return int(line.split()[1]) * 1024

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()
        release_ports(self.ports)
        self.platform.stop()
