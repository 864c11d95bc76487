"""Instances as real processes before stand-ins that fail on demand, and the paths between them."""

import asyncio
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
from ports import free_ports  # noqa: E402

PROGRAM = pathlib.Path(os.environ.get("BUILD_DIR", ROOT / "Build")) / "bin" / "laburnumchute"
REGIONS = ("north", "central", "south")
ZONES = {f"{region}-a": region for region in REGIONS}
SERVICES = ("model", "desk")
MODELS_PER_REGION = 3
DESKS_PER_REGION = 2
GOSSIP_PORT, PEER_PORT, PORTS = 4, 5, 12


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
        #: When its process or its paths were disturbed.
        self.disturbances = []

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
        return settings

    def start(self):
        folder = self.deployment.folder
        path = folder / f"{self.name}.json"
        path.write_text(json.dumps(self.settings()))
        arguments = [str(PROGRAM), "relay", "--config", str(path)]
        arguments += ["--metrics-port", str(self.deployment.ports + 11)]
        arguments += ["--advertised-ip", self.advertised_ip]
        with open(folder / f"{self.name}.log", "ab") as log:
            self.process = subprocess.Popen(arguments, stdout=log, stderr=log)
        self.disturbed()

    def signal(self, number):
        if self.process.poll() is None:
            self.process.send_signal(number)
        self.disturbed()

    def kill(self):
        self.signal(signal.SIGKILL)
        self.process.wait()

    def disturbed(self):
        self.disturbances.append(self.deployment.now())


class Deployment:
    """Regions with a few instances and endpoints each."""

    def __init__(self, folder, bounds, instances, seed):
        self.folder = pathlib.Path(folder)
        self.bounds = bounds
        self.random = random.Random(seed)
        self.started_at = time.monotonic()
        self.arrivals = []
        self.deadly_crashes = []
        #: Set by the play.
        self.callers = None
        #: Times at which endpoints crashed under a part of prompts, by part.
        self.part_crashes = {}
        #: Pairs of instances, sender first, whose datagrams are lost.
        self.cuts = set()
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
        for zone in ZONES:
            for service, count in (("model", MODELS_PER_REGION), ("desk", DESKS_PER_REGION)):
                for number in range(count):
                    endpoint = FaultyEndpoint(self, f"{service}-{zone}-{number}", service, zone)
                    await endpoint.server.start()
                    endpoint.register()
                    self.endpoints.append(endpoint)
        self._publish()
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

    def _publish(self):
        limits = {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304}
        limits.update(headerTimeoutMs=3000, idleTimeoutMs=15000)
        configuration = {
            "version": 1,
            "routes": [
                standin.route("draft", "/stream/", "model", "stream", resumable=True, gap=400),
                standin.route("order", "/order/", "desk", "once"),
                standin.route("status", "/status/", "desk", "idempotent"),
            ],
            "services": [standin.service("model", model=True), standin.service("desk")],
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
                return
            await asyncio.sleep(POLL)
        raise AssertionError(f"{instance.name} did not get ready")

    def stop(self):
        for instance in self.instances:
            if instance.process is not None:
                if instance.process.poll() is None:
                    instance.process.kill()
                instance.process.wait()
