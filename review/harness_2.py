"""Stand-ins for review cases 6 to 10: the platform's store, runners and clients, on loopback.

Only the standard library is used. The relays are started with the command of deploy/system.toml.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import resource
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[1]
PROGRAM = ROOT / "target" / "bin" / "laburnumchute"
METRICS_PORT = 9464
HOST = "shop.example"
#: Time after the end of a disruption until a machine is in touch again (stableWindowMs).
STABLE_S = 5.0
DRAIN_S = 3.0
BROKEN, HELD, COULD_NOT_RUN = 1, 0, 2


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """record.txt of a case: one line an event, with the seconds since the start."""

    def __init__(self, folder):
        self.started = time.monotonic()
        self.file = open(pathlib.Path(folder) / "record.txt", "w")

    def write(self, *words):
        line = " ".join(str(word) for word in words)
        self.file.write(f"{time.monotonic() - self.started:8.3f} {line}\n")
        self.file.flush()

    def say(self, *words):
        self.write(*words)
        print(*words, flush=True)


async def read_message(reader):
    """Start line, headers and body of a message with a length or none."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).strip(), 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                return lines[0], headers, body
    return lines[0], headers, await reader.readexactly(int(headers.get("content-length", 0)))


def answer(status, headers, body=b""):
    lines = [f"HTTP/1.1 {status} Status"] + [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join([*lines, f"Content-Length: {len(body)}", "", ""]).encode() + body


class Server:
    """Calls `serve(line, headers, body, writer)` for each message of each connection."""

    def __init__(self, serve):
        self.serve = serve
        self.listener = None
        self.port = None
        self.writers = set()

    async def start(self, ip="127.0.0.1", port=0):
        self.listener = await asyncio.start_server(self._connected, ip, port)
        self.port = self.listener.sockets[0].getsockname()[1]

    def stop(self):
        """Ends as a process does: nothing listens, all connections are closed."""
        if self.listener:
            self.listener.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _connected(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, headers, body = await read_message(reader)
                await self.serve(line, headers, body, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Store:
    """The platform's store. Each machine has a front of its own, so that some can be turned away."""

    def __init__(self, record):
        self.record = record
        self.items = {}
        self.history = []
        self.revision = 100
        self.changed = asyncio.Event()
        self.fronts = {}
        #: Machines whose calls are answered 503.
        self.turned_away = set()
        #: Machines whose path to the store is cut, with resets.
        self.cut_off = set()
        #: Machines whose calls get no answer at all.
        self.unanswered = set()

    async def front(self, machine):
        server = Server(lambda *call: self._serve(machine, *call))
        await server.start()
        self.fronts[machine] = server
        return f"127.0.0.1:{server.port}"

    def put(self, key, value):
        self.revision += 1
        text = base64.b64encode(json.dumps(value).encode()).decode()
        item = {"key": key, "value": text, "revision": self.revision, "created": self.revision, "lease": 0}
        self.items[key] = item
        self._note(item)

    def delete(self, key):
        self.revision += 1
        self.items.pop(key, None)
        self._note({"key": key, "revision": self.revision, "deleted": True})

    def _note(self, event):
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    async def _serve(self, machine, line, _headers, _body, writer):
        if machine in self.cut_off:
            raise ConnectionError
        if machine in self.unanswered:
            await asyncio.sleep(3600)
        if machine in self.turned_away:
            writer.write(answer(503, {}))
            return
        url = urllib.parse.urlsplit(line.split(" ")[1])
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        prefix = query.get("pathPrefix", "")
        if url.path == "/api/kv-range":
            items = [item for key, item in sorted(self.items.items()) if key.startswith(prefix)]
            result = {"items": items, "morePages": False}
        elif url.path == "/api/kv-watch":
            after = int(query["after"])
            end = time.monotonic() + int(query["waitMs"]) / 1000
            while self.revision <= after and (left := end - time.monotonic()) > 0:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
            if machine in self.cut_off:
                raise ConnectionError
            if machine in self.turned_away:
                writer.write(answer(503, {}))
                return
            result = {"events": [event for event in self.history if event["revision"] > after]}
        else:
            writer.write(answer(404, {}))
            return
        result["storeRevision"] = self.revision
        writer.write(answer(200, {"Content-Type": "application/json"}, json.dumps(result).encode()))

    def stop(self):
        for server in self.fronts.values():
            server.stop()


class Runner:
    """A runner of a plain service: runs what it gets, and notes it."""

    def __init__(self, record, store, identity, service, zone, work_s=0.25, slots=6):
        self.record = record
        self.store = store
        self.identity = identity
        self.service = service
        self.zone = zone
        self.work_s = work_s
        self.slots = slots
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.running = 0
        #: Attempt and time of each request that it began to run.
        self.runs = []
        self.server = Server(self._serve)
        #: Where it is reached, if not at its own port.
        self.address = None

    async def start(self):
        await self.server.start()
        self.register()

    def register(self, state="ready", cold_left_ms=0, **extra):
        self.sequence += 1
        self.store.put(
            f"servers/{self.identity}",
            {
                "service": self.service,
                "address": self.address or f"127.0.0.1:{self.server.port}",
                "zone": self.zone,
                "version": "v1",
                "slots": self.slots,
                "state": state,
                "coldLeftMs": cold_left_ms,
                "born": self.born,
                "sequence": self.sequence,
                **extra,
            },
        )

    def unregister(self):
        self.store.delete(f"servers/{self.identity}")

    def stop(self):
        self.server.stop()

    async def _serve(self, line, headers, body, writer):
        target = line.split(" ")[1]
        expected = headers.get("expect-instance", self.identity)
        if expected != self.identity:
            writer.write(answer(421, {"Instance-Id": self.identity}))
            return
        if target == "/health":
            writer.write(answer(200, {"Instance-Id": self.identity}))
            return
        await self.run(target, headers, body, writer)

    async def run(self, target, headers, body, writer):
        attempt = headers.get("attempt-id", "")
        self.runs.append((attempt, time.monotonic()))
        self.record.write("run", self.identity, attempt, target)
        self.running += 1
        try:
            await asyncio.sleep(self.work_s)
            seal = {
                "Attempt-Id": attempt,
                "Server-Seal": f"seal.{self.identity}.{attempt}",
                "Server-Load": f"{self.running},0,{self.slots}",
                "Keep-Alive": "timeout=5",
            }
            writer.write(answer(200, seal, f"done {attempt} by {self.identity}".encode()))
        finally:
            self.running -= 1


class Link:
    """The network path to a runner: a proxy that holds everything back while the path is cut."""

    def __init__(self, target_port, resets=lambda: False):
        """@param resets: whether the runner resets a new connection now"""
        self.target_port = target_port
        self.is_reset = resets
        self.resets = 0
        self.whole = asyncio.Event()
        self.whole.set()
        self.listener = None
        self.port = None
        self.tasks = set()

    async def start(self):
        self.listener = await asyncio.start_server(self._connected, "127.0.0.1", 0)
        self.port = self.listener.sockets[0].getsockname()[1]

    def cut(self):
        self.whole.clear()

    def heal(self):
        self.whole.set()

    def stop(self):
        self.listener.close()
        for task in self.tasks:
            task.cancel()

    async def _connected(self, reader, writer):
        await self.whole.wait()
        if self.is_reset():
            self.resets += 1
            linger = struct.pack("ii", 1, 0)
            writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection("127.0.0.1", self.target_port)
        except OSError:
            writer.transport.abort()
            return
        for pump in (self._pump(reader, far_writer), self._pump(far_reader, writer)):
            task = asyncio.ensure_future(pump)
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _pump(self, reader, writer):
        try:
            while data := await reader.read(65536):
                await self.whole.wait()
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        await self.whole.wait()
        writer.close()


class Relays:
    """The machines of a small deployment, each with a loopback address of its own."""

    def __init__(self, record, store, zones_of, regions, seeds=None, memory_mb=390, descriptors=6150):
        """
        @param zones_of: zone by machine
        @param regions: region by zone
        @param seeds: machines that the settings name as seeds, the first three if none are given
        """
        self.seeds = seeds or list(zones_of)[:3]
        self.memory_mb = memory_mb
        self.descriptors = descriptors
        self.record = record
        self.store = store
        self.zones_of = zones_of
        self.regions = regions
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.processes = {}
        self.ips, self.ports = self._free_addresses()

    def _free_addresses(self):
        for _ in range(50):
            middle = f"127.{random.randint(1, 250)}.{random.randint(1, 250)}"
            ips = {name: f"{middle}.{index + 1}" for index, name in enumerate(self.zones_of)}
            first = random.randint(20000, 28000)
            if all(self._free(ip, [METRICS_PORT, *range(first, first + 10)]) for ip in ips.values()):
                return ips, first
        raise OSError("no free loopback addresses")

    @staticmethod
    def _free(ip, ports):
        for port in ports:
            with socket.socket() as probe:
                try:
                    probe.bind((ip, port))
                except OSError:
                    return False
        return True

    def address(self, name):
        return self.ips[name], self.ports

    async def settings(self, name):
        ip, zone, ports = self.ips[name], self.zones_of[name], self.ports
        store = self.store.fronts.get(name)
        address = f"127.0.0.1:{store.port}" if store else await self.store.front(name)
        return {
            "node": name,
            "role": "relay",
            "machineClass": "edge",
            "serves": ["edge", "registry", "control_plane"],
            "ip": ip,
            "zone": zone,
            "region": self.regions[zone],
            "zones": self.regions,
            "listen": {
                "front": f"{ip}:{ports}",
                "ready": f"{ip}:{ports + 1}",
                "control": f"{ip}:{ports + 2}",
                "directory": f"{ip}:{ports + 3}",
            },
            "portRange": [ports + 4, ports + 9],
            "seeds": [f"{self.ips[each]}:{ports + 2}" for each in self.seeds],
            "bootstrap": True,
            "limits": {"cpuShare": 0.5, "cores": 1, "memoryMb": self.memory_mb,
                       "maxFds": self.descriptors, "linkMbps": 1500.0, "diskMb": 0},
            "dataDir": None,
            "discovery": "platform",
            "entry": "registry",
            "beatIntervalMs": 1200,
            "tolerate": {"machines": 2, "zones": 1, "regions": 1},
            "bounds": {
                "seedLagS": 3, "reuseAfterS": 2, "stableWindowMs": 5000, "ackMs": 6000, "catchUpS": 4,
                "drainMs": 3000, "graceS": 8, "lossSlackMs": 200, "configMs": 3000,
                "rollbackSlackMs": 250, "stretchMaxMs": 8000, "retryRatio": 0.2, "retryWindowS": 10,
                "retrySlack": 52, "coldOvershoot": 1.5, "coldSlack": 3, "evacuateMs": 5000,
                "recoveryS": 12, "passMs": 600, "reuseWindowS": 10, "ttl_max_s": 5,
            },
            "platform": {
                "address": address, "form": "read", "writesPerS": 400, "readsPerS": 2000,
                "historyS": 20, "valueBytes": 1048576, "ttlMinMs": 1000,
            },
        }

    async def start(self, name):
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(await self.settings(name)))
        environment = {"PATH": os.environ["PATH"], "HOME": "/", "LANG": "C", "LABURNUMCHUTE_CONFIG": str(path)}
        with open(self.folder / f"{name}.log", "ab") as log:
            self.processes[name] = subprocess.Popen(
                [str(PROGRAM), "relay", "--metrics-port", str(METRICS_PORT)],
                cwd=ROOT, env=environment, stdout=log, stderr=log, stdin=subprocess.DEVNULL,
            )
        self.record.write("start", name, self.ips[name])

    def signal(self, name, number):
        self.record.write("signal", name, signal.Signals(number).name)
        self.processes[name].send_signal(number)

    async def ended(self, name, timeout_s):
        end = time.monotonic() + timeout_s
        while self.processes[name].poll() is None:
            if time.monotonic() > end:
                raise TimeoutError(f"{name} did not end")
            await asyncio.sleep(0.01)
        self.record.write("ended", name, self.processes[name].returncode)

    async def wait_ready(self, names=None, timeout_s=15):
        end = time.monotonic() + timeout_s
        for name in names or list(self.processes):
            while not await self.ready(name):
                if time.monotonic() > end or self.processes[name].poll() is not None:
                    raise TimeoutError(f"{name} is not ready")
                await asyncio.sleep(0.05)
            self.record.write("ready", name)

    async def ready(self, name):
        try:
            reader, writer = await asyncio.open_connection(self.ips[name], self.ports + 1)
            writer.write(f"GET /api/readiness HTTP/1.1\r\nHost: {name}\r\n\r\n".encode())
            line, _, _ = await asyncio.wait_for(read_message(reader), 1)
            writer.close()
            return " 200 " in line
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            return False

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()

    def clean(self):
        shutil.rmtree(self.folder, ignore_errors=True)


class Client:
    """Sends requests on kept connections to one machine, and notes how they end."""

    count = 0

    def __init__(self, record, address, name):
        self.record = record
        self.address = address
        self.name = name
        self.idle = []
        #: Attempt: (machine, time of sending, kind, status or "closed")
        self.ends = {}
        #: Attempts that were sent on a connection that had carried another one.
        self.kept = set()

    async def request(self, method, path, body=b"", deadline_ms=4000, headers=()):
        Client.count += 1
        attempt = f"{Client.count:06x}{random.getrandbits(40):010x}"
        kind = path.strip("/").split("/")[0]
        self.ends[attempt] = (self.name, time.monotonic(), kind, "open")
        lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"Attempt-Id: {attempt}", f"Deadline-Ms: {deadline_ms}"]
        lines += [f"{key}: {value}" for key, value in headers]
        lines += [f"Content-Length: {len(body)}", "", ""]
        sent = time.monotonic()
        end, answer_body, answer_headers = "closed", b"", {}
        try:
            if self.idle:
                reader, writer = self.idle.pop()
                self.kept.add(attempt)
            else:
                reader, writer = await asyncio.wait_for(asyncio.open_connection(*self.address), 1)
            self.record.write("send", attempt, method, path, "to", self.name, "kept" if attempt in self.kept else "new")
            writer.write("\r\n".join(lines).encode() + body)
            line, answer_headers, answer_body = await asyncio.wait_for(
                read_message(reader), deadline_ms / 1000 + 1
            )
            end = int(line.split(" ")[1])
            if answer_headers.get("connection", "").lower() == "close":
                writer.close()
            else:
                self.idle.append((reader, writer))
        except asyncio.TimeoutError:
            end = "no answer"
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        self.ends[attempt] = (self.name, sent, kind, end)
        self.record.write("answer", attempt, end, answer_body[:60].decode("latin-1"))
        return attempt, end, answer_headers, answer_body

    async def keep_sending(self, method, path, per_s, until, body=b"", deadline_ms=4000):
        tasks = set()
        while time.monotonic() < until():
            task = asyncio.ensure_future(self.request(method, path, body, deadline_ms))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(1 / per_s)
        if tasks:
            await asyncio.wait(tasks, timeout=6)


def route(name, prefix, service, kind, attempts, timeout_ms=4000, slo_ms=500, **extra):
    return {
        "name": name, "host": HOST, "pathPrefix": prefix, "kind": kind, "timeoutMs": timeout_ms,
        "latencySloMs": slo_ms, "priority": 1, "service": service, "attempts": attempts, **extra,
    }


def service(name, **extra):
    return {"name": name, "healthPath": "/health", "maxConns": 96, "coldStartS": 0.0, "coldPerS": 0.0, **extra}


def configuration(version, routes, services, **extra):
    return {
        "version": version, "routes": routes, "services": services,
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        **extra,
    }


def main(folder, case, limit_s=110):
    """Runs `case(record)`, which returns BROKEN or HELD; a case that could not run is told apart."""
    record = Record(folder)
    # Clients have many connections in one process.
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    if not PROGRAM.exists():
        record.say("cannot run: the program is not built")
        sys.exit(COULD_NOT_RUN)
    try:
        result = asyncio.run(asyncio.wait_for(case(record), limit_s))
    except Exception as error:  # pylint: disable=broad-except
        record.say("cannot run:", type(error).__name__, error)
        result = COULD_NOT_RUN
    record.say("result", result, {BROKEN: "the rule was broken", HELD: "the rule held"}.get(result, "could not run"))
    sys.stdout.flush()
    # Connections that are still open are left to the system.
    os._exit(result)
