"""Starts relays as the deploy file does, on loopback addresses, before the project's stand-ins of the
platform's store and runners, and records what callers sent, what they got, and what ran."""

import http.client
import itertools
import json
import os
import pathlib
import subprocess
import sys
import tempfile
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parents[1]
sys.path.insert(0, str(ROOT / "platform" / "tests"))
sys.path.insert(0, str(ROOT / "Source" / "IntegrationTests"))

import standin  # noqa: E402
from ports import free_ports, release_ports  # noqa: E402

PROGRAM = ROOT / "target" / "bin" / "laburnumchute"
PORTS = 12
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

_numbers = itertools.count(1)


def attempt_id():
    return f"{next(_numbers):016x}"


class Record:
    """The record of a run: one line for each thing that was sent, answered or run."""

    def __init__(self, folder):
        self.path = pathlib.Path(folder) / "record.txt"
        self.file = open(self.path, "w")
        self.begin = time.monotonic()
        self.lock = threading.Lock()

    def write(self, *words):
        with self.lock:
            self.file.write(f"{time.monotonic() - self.begin:8.3f} " + " ".join(map(str, words)) + "\n")
            self.file.flush()


class Deployment:
    """Relays of one deployment, each at its own loopback address, with the same ports."""

    def __init__(self, relays, endpoints, make_endpoint=None, limits=None, bounds=None):
        """
        @param relays: address and zone by name; a zone REGION-a is in REGION
        @param endpoints: id, service and zone of each runner
        """
        if not PROGRAM.exists():
            raise FileNotFoundError(PROGRAM)
        self.folder = tempfile.TemporaryDirectory(prefix="review-")
        self.relays = relays
        self.limits = limits or {}
        self.bounds = bounds or {}
        self.zones = {zone: zone.rsplit("-", 1)[0] for _, _, zone in endpoints}
        self.zones.update({zone: zone.rsplit("-", 1)[0] for _, zone in relays.values()})
        self.ports = free_ports([ip for ip, _ in relays.values()], PORTS)
        self.platform = standin.Platform(endpoints, make_endpoint or standin.Endpoint)
        self.processes = {}

    def start_all(self):
        for name in self.relays:
            self.start(name)

    def start(self, name):
        ip, zone = self.relays[name]
        seeds = [seed for seed, _ in self.relays.values()][:3]
        settings = standin.settings(
            name, ip, zone, self.zones[zone], self.zones, seeds,
            self.platform.store.server.port, self.ports,
        )
        settings["limits"].update(self.limits)
        settings["bounds"].update(self.bounds)
        path = pathlib.Path(self.folder.name) / f"{name}.json"
        path.write_text(json.dumps(settings))
        log = open(pathlib.Path(self.folder.name) / f"{name}.log", "ab")
        self.processes[name] = subprocess.Popen(
            [str(PROGRAM), "relay", "--metrics-port", str(self.ports + 11)],
            cwd=ROOT,
            env={
                "PATH": os.environ.get("PATH", ""),
                "HOME": self.folder.name,
                "LANG": "C.UTF-8",
                "LABURNUMCHUTE_CONFIG": str(path),
            },
            stdout=log,
            stderr=log,
        )
        log.close()

    def address(self, name):
        return self.relays[name][0], self.ports

    def ready(self, name):
        try:
            connection = http.client.HTTPConnection(self.relays[name][0], self.ports + 1, timeout=1)
            connection.request("GET", standin.READY_TARGET)
            return connection.getresponse().status == 200
        except OSError:
            return False

    def wait_ready(self):
        end = time.monotonic() + 15
        while time.monotonic() < end:
            if all(self.ready(name) for name in self.relays):
                return
            time.sleep(0.05)
        raise TimeoutError("the relays did not become ready")

    def publish(self, version, routes, services, limits=None):
        configuration = {
            "version": version,
            "routes": routes,
            "services": services,
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 4194304,
                "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000,
                **(limits or {}),
            },
        }
        self.platform.call(self.platform.store.put, "op/config", configuration)

    def log(self, name):
        return (pathlib.Path(self.folder.name) / f"{name}.log").read_text(errors="replace")

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()
        release_ports(self.ports)
        self.platform.stop()
        self.folder.cleanup()


def call(address, method, path, body=b"", headers=None, deadline_ms=8000, connection=None):
    """One attempt of a caller: id, status (None without an answer), headers, body, error."""
    identity = attempt_id()
    own = connection is None
    connection = connection or http.client.HTTPConnection(*address, timeout=deadline_ms / 1000 + 2)
    sent = {"Host": "shop.example", "Attempt-Id": identity, "Deadline-Ms": str(deadline_ms)}
    try:
        connection.request(method, path, body=body or None, headers={**sent, **(headers or {})})
        answer = connection.getresponse()
        return identity, answer.status, dict(answer.getheaders()), answer.read(), ""
    except (OSError, http.client.HTTPException) as error:
        connection.close()
        return identity, None, {}, b"", repr(error)
    finally:
        if own:
            connection.close()
