"""Instances as real processes before stand-ins that fail on demand, and the paths between them."""

import asyncio
import dataclasses
import json
import os
import pathlib
import random
import signal
import subprocess
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "platform" / "tests"))

import standin  # noqa: E402
from faulty_endpoint import POLL, FaultyEndpoint  # noqa: E402
from ports import free_ports, release_ports  # noqa: E402

PROGRAM = pathlib.Path(os.environ.get("BUILD_DIR", ROOT / "Build")) / "bin" / "laburnumchute"
REGIONS = ("north", "central", "south")
ZONES = {f"{region}-a": region for region in REGIONS}
SERVICES = ("model", "desk")
MODELS_PER_REGION = 3
DESKS_PER_REGION = 2
GOSSIP_PORT, PEER_PORT, PORTS = 4, 5, 12
#: Seconds from SIGTERM until a process would be killed, and how much longer it is waited for.
GRACE = 8.0
LATE_END = 2.0
#: Seconds between two looks at the memory of the processes.
MEMORY_INTERVAL = 0.2


def describe_process(pid):
    """Its state, where it waits in the kernel and the processor time it has used."""
    folder = pathlib.Path(f"/proc/{pid}")
    try:
        fields = (folder / "stat").read_text().rpartition(")")[2].split()
        waits_in = (folder / "wchan").read_text()
    except OSError as error:
        return str(error)
    used = (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
    return f"state {fields[0]}, waits in {waits_in}, {used:.2f} s of processor time"


@dataclasses.dataclass
class Stop:
    """A process that was asked to end."""

    instance: str
    at: float
    ended: float = None
    """None if it did not end by itself."""
    status: int = None
    found: str = ""
    """What a process that had to be killed was doing."""


@dataclasses.dataclass
class Extras:
    """What a play has beside the usual endpoints and routes."""

    make_endpoint: type = FaultyEndpoint
    routes: tuple = ()
    services: tuple = ()
    endpoints: tuple = ()
    """Service and zone of each."""
    memory_mb: int = 300
    model_slots: int = 8


class GossipPath(asyncio.DatagramProtocol):
    """Datagrams to one instance, unless the path from their sender is cut."""

    def __init__(self, deployment, receiver, target):
        self.deployment = deployment
        self.receiver = receiver
        self.target = target

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, address):
        sender = self.deployment.instance_at(address[0])
        if (sender, self.receiver) not in self.deployment.cuts:
            self.transport.sendto(data, self.target)

    def error_received(self, _error):
        pass


class Instance:
    def __init__(self, deployment, number, zone):
        self.deployment = deployment
        self.number = number
        self.name = f"{zone}-{number}"
        self.zone = zone
        #: Where it listens, and where the others send to.
        self.ip = f"127.0.0.{20 + number}"
        self.advertised_ip = f"127.0.2.{20 + number}"
        self.process = None
        #: When its process or its paths were disturbed, and when other than by planned work or
        #: short turns on the processor.
        self.disturbances = []
        self.unplanned = []
        #: When its process stood still for a part of a tenth of a second.
        self.turns = []
        #: Whether its process has been ready once, and whether it was asked to end, or killed.
        self.started = False
        self.ending = False
        #: Changes the settings file.
        self.revision = 0

    def settings(self):
        deployment = self.deployment
        settings = standin.settings(
            self.name,
            self.ip,
            self.zone,
            ZONES[self.zone],
            ZONES,
            [one.advertised_ip for one in deployment.instances[:3]],
            deployment.store.server.port,
            deployment.ports,
        )
        settings["bounds"].update(
            retryRatio=deployment.bounds.ratio,
            retrySlack=deployment.bounds.slack,
            retryWindowS=deployment.bounds.window,
        )
        settings["limits"]["memoryMb"] = deployment.extras.memory_mb
        settings["revision"] = self.revision
        return settings

    def _write_settings(self):
        path = self.deployment.folder / f"{self.name}.json"
        path.write_text(json.dumps(self.settings()))
        return path

    def reload(self):
        self.revision += 1
        self._write_settings()
        self.deployment.planned.append((self.deployment.now(), f"SIGHUP of {self.name}"))
        self.signal(signal.SIGHUP, planned=True)

    def start(self):
        folder = self.deployment.folder
        path = self._write_settings()
        arguments = [str(PROGRAM), "relay", "--config", str(path)]
        arguments += ["--metrics-port", str(self.deployment.ports + 11)]
        arguments += ["--advertised-ip", self.advertised_ip]
        with open(folder / f"{self.name}.log", "ab") as log:
            self.process = subprocess.Popen(arguments, stdout=log, stderr=log)
        self.started = False
        self.ending = False
        self.disturbed(planned=True)

    def signal(self, number, planned=False):
        self.ending = self.ending or number in (signal.SIGTERM, signal.SIGKILL)
        if self.process.poll() is None:
            self.process.send_signal(number)
        self.disturbed(planned)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.process.wait()
        self.deployment.note_end()

    async def terminate(self):
        """Asks the process to end, and waits until it has."""
        stop = Stop(self.name, self.deployment.now())
        self.deployment.stops.append(stop)
        process = self.process
        self.signal(signal.SIGTERM, planned=True)
        while process.poll() is None and self.deployment.now() < stop.at + GRACE + LATE_END:
            await asyncio.sleep(POLL / 2)
        if process.poll() is None:
            stop.found = describe_process(process.pid)
            process.kill()
            process.wait()
            return
        stop.ended, stop.status = self.deployment.now(), process.returncode

    def disturbed(self, planned=False):
        self.disturbances.append(self.deployment.now())
        if not planned:
            self.unplanned.append(self.deployment.now())

    def memory(self):
        """The largest resident size of the process in bytes; None if it has ended."""
        try:
            status = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return None
        lines = [one for one in status.splitlines() if one.startswith("VmHWM:")]
        return int(lines[0].split()[1]) * 1024 if lines else None


class Deployment:
    """Regions with a few instances and endpoints each."""

    def __init__(self, folder, bounds, instances, seed, extras=None):
        self.folder = pathlib.Path(folder)
        self.extras = extras or Extras()
        self.bounds = bounds
        self.random = random.Random(seed)
        self.started_at = time.monotonic()
        self.arrivals = []
        self.deadly_crashes = []
        #: Set by the play.
        self.callers = None
        self.delivery_callers = None
        #: Times at which endpoints crashed under a part of prompts, by part.
        self.part_crashes = {}
        #: Pairs of instances, sender first, whose datagrams are lost.
        self.cuts = set()
        #: Times at which no instance was left that knew anything.
        self.forgotten = []
        self.stops = []
        #: Time and text of other planned work.
        self.planned = []
        #: Endpoint, start and end of the times in which it stood still, or sent bytes without end.
        self.standstills = []
        self.endless = []
        #: Largest memory in bytes by instance and start of its process, and processes that ended
        #: without having been asked to: instance, time and status.
        self.memory = {}
        self.crashes = []
        self.version = 0
        zones = list(ZONES)
        self.instances = [
            Instance(self, number, zones[number % len(zones)]) for number in range(instances)
        ]
        addresses = [ip for one in self.instances for ip in (one.ip, one.advertised_ip)]
        self.ports = free_ports(addresses, PORTS)

    def now(self):
        return time.monotonic() - self.started_at

    def entry_of(self, identity):
        """The instance that its caller sent a request to: the first part of its id."""
        return self.instances[int(identity[:2], 16)].name if identity else ""

    def instance_at(self, ip):
        return next((one.name for one in self.instances if one.ip == ip), ip)

    async def start(self):
        self.store = standin.Store()
        await self.store.server.start()
        self.endpoints = []
        counts = (("model", MODELS_PER_REGION), ("desk", DESKS_PER_REGION))
        places = [
            (service, zone) for zone in ZONES for service, count in counts for _ in range(count)
        ]
        for service, zone in [*places, *self.extras.endpoints]:
            number = sum((one.service, one.zone) == (service, zone) for one in self.endpoints)
            name = f"{service}-{zone}-{number}"
            endpoint = self.extras.make_endpoint(self, name, service, zone)
            await endpoint.server.start()
            endpoint.register()
            self.endpoints.append(endpoint)
        self.publish()
        loop = asyncio.get_running_loop()
        for instance in self.instances:
            await loop.create_datagram_endpoint(
                lambda one=instance: GossipPath(self, one.name, (one.ip, self.ports + GOSSIP_PORT)),
                local_addr=(instance.advertised_ip, self.ports + GOSSIP_PORT),
            )
            await asyncio.start_server(
                lambda reader, writer, one=instance: self._relay(one, reader, writer),
                instance.advertised_ip,
                self.ports + PEER_PORT,
            )

    def publish_with_extra_routes(self):
        """Each version adds a route that is used by nobody, and drops that of an earlier one."""
        name = f"extra{self.version % 5}"
        self.publish([standin.route(name, f"/{name}/", "desk", "idempotent")])

    def publish(self, more_routes=()):
        self.version += 1
        self.planned.append((self.now(), f"configuration {self.version}"))
        limits = {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304}
        limits.update(headerTimeoutMs=3000, idleTimeoutMs=15000)
        model = standin.service("model", model=True)
        model["runtime"]["slots"] = self.extras.model_slots
        configuration = {
            "version": self.version,
            "routes": [
                standin.route("draft", "/stream/", "model", "stream", resumable=True, gap=400),
                standin.route("order", "/order/", "desk", "once"),
                standin.route("status", "/status/", "desk", "idempotent"),
                *self.extras.routes,
                *more_routes,
            ],
            "services": [model, standin.service("desk"), *self.extras.services],
            "limits": limits,
        }
        self.store.put("op/config", configuration)

    async def _relay(self, instance, reader, writer):
        """Requests between instances. They stand still while the receiver is cut off from all."""
        try:
            target = await asyncio.open_connection(instance.ip, self.ports + PEER_PORT)
        except OSError:
            writer.transport.abort()
            return
        ways = (self._pump(instance, reader, target[1]), self._pump(instance, target[0], writer))
        await asyncio.gather(*ways, return_exceptions=True)

    def is_isolated(self, instance):
        others = [one.name for one in self.instances if one is not instance]
        return all((other, instance.name) in self.cuts for other in others)

    async def _pump(self, instance, reader, writer):
        try:
            while data := await reader.read(65536):
                while self.is_isolated(instance):
                    await asyncio.sleep(POLL)
                writer.write(data)
                await writer.drain()
            writer.close()
        except OSError:
            writer.transport.abort()

    def cut(self, first, second, one_way=False):
        self.cuts.add((first.name, second.name))
        if not one_way:
            self.cuts.add((second.name, first.name))
        for instance in (first, second):
            instance.disturbed()

    def note_end(self):
        """The process of an instance has ended."""
        processes = [one.process for one in self.instances if one.process]
        if all(one.poll() is not None for one in processes):
            self.forgotten.append(self.now())

    def side_of(self, name):
        """The instances that hear from each other now, the named one among them."""
        side, added = set(), {name}
        while added:
            side |= added
            added = {
                one.name
                for one in self.instances
                if one.name not in side
                and any(
                    not {(one.name, other), (other, one.name)} & self.cuts for other in added
                )
            }
        return frozenset(side)

    def heal(self, pairs):
        self.cuts.difference_update(pairs)

    async def ready(self, instance):
        try:
            reader, writer = await asyncio.open_connection(instance.ip, self.ports + 1)
        except OSError:
            return False
        try:
            head = f"GET {standin.READY_TARGET} HTTP/1.1\r\nHost: x\r\n\r\n"
            writer.write(head.encode())
            line = await asyncio.wait_for(reader.readline(), 1)
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False
        finally:
            writer.close()

    async def wait_ready(self, instance, patience=20):
        end = self.now() + patience
        while self.now() < end:
            if await self.ready(instance):
                instance.started = True
                return
            await asyncio.sleep(POLL)
        raise AssertionError(f"{instance.name} did not get ready")

    async def watch(self):
        """Looks at the processes, again and again."""
        started = {}
        while True:
            for instance in self.instances:
                process = instance.process
                if process is None:
                    continue
                begun = started.setdefault(process.pid, (instance.name, self.now()))
                self.memory[begun] = max(self.memory.get(begun, 0), instance.memory() or 0)
                if process.poll() is not None and not instance.ending:
                    instance.ending = True
                    self.crashes.append((instance.name, self.now(), process.returncode))
            await asyncio.sleep(MEMORY_INTERVAL)

    def stop(self):
        for instance in self.instances:
            if instance.process is not None:
                if instance.process.poll() is None:
                    instance.process.kill()
                instance.process.wait()
        release_ports(self.ports)
