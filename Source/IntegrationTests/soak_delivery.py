"""Callers of long and large answers, who compare what they receive with what the endpoint made."""

import asyncio
import dataclasses
import itertools
import random
import socket

from scripted_endpoint import Script
from soak_deployment import Extras, standin
from soak_rules import Request
from troubled_endpoint import SLOTS, TroubledEndpoint

TIMEOUT = 12.0
DEADLINE = 10.0
#: Bounds of the longest answer of a phase in seconds, of the length of a phase, and shares of the
#: usual rate.
LONGEST = (1.0, 6.5)
PHASE = (2.0, 5.0)
LOADS = (0.3, 1.0, 1.5)
#: Share of callers that never read, by phase. They may hide an instance that ends too early.
UNREAD_SHARES = (0.0, 0.0, 0.0, 0.1)
#: Longest pause between two events without a stand-still.
LONGEST_PAUSE = 0.6
SMALL, MEDIUM, LARGE = (60, 2_000), (20_000, 250_000), (1_000_000, 4_000_000)
SLOW_READER = 2_000_000
SLOW_BUFFER = 65536
UNREAD_BUFFER = 4096
PIECE = 16384


@dataclasses.dataclass(frozen=True)
class Kind:
    service: str
    stream: bool
    attempts: int
    repeatable: bool


#: By route.
KINDS = {
    "talk": Kind("model", True, 1, False),
    "pair": Kind("model", True, 2, False),
    "tale": Kind("model", True, 1, True),
    "twin": Kind("model", True, 2, True),
    "place": Kind("desk", False, 1, False),
    "fetch": Kind("desk", False, 2, True),
    "farstream": Kind("distant", True, 2, True),
    "farplace": Kind("distant", False, 1, False),
}


def make_route(name, kind):
    text = "stream" if kind.stream else "idempotent" if kind.repeatable else "once"
    gap = 400 if kind.stream else None
    resumable = kind.stream and kind.repeatable
    route = standin.route(name, f"/{name}/", kind.service, text, resumable, gap)
    return {**route, "timeoutMs": int(TIMEOUT * 1000), "attempts": kind.attempts}


def make_extras():
    """The service of distant endpoints is in one region only."""
    distant = standin.service("distant", model=True)
    distant["runtime"]["slots"] = SLOTS
    return Extras(
        make_endpoint=TroubledEndpoint,
        routes=tuple(make_route(name, kind) for name, kind in KINDS.items()),
        services=(distant,),
        endpoints=(("distant", "north-a"), ("distant", "north-a")),
        memory_mb=260,
        model_slots=SLOTS,
    )


@dataclasses.dataclass
class Delivery(Request):
    """A request and what its caller received."""

    kind: str = ""
    repeatable: bool = False
    reads: bool = True
    reading_time: float = 0.0
    """Seconds that a slow caller needs to read the answer."""
    expected: int = 0
    received: int = 0
    """Bytes of the body."""
    matches: bool = False
    """What was received is the body that the endpoint made."""
    whole: bool = False
    """The answer came to its end, as far as its caller can tell."""
    framed: bool = False
    """The end of the answer can be told from the end of its connection."""
    ended_at: float = None
    end: str = ""


class Reading:
    """Reads one answer at a caller's pace."""

    def __init__(self, reader, bytes_per_second):
        self.reader = reader
        self.bytes_per_second = bytes_per_second
        self.status = None
        self.headers = {}
        self.body = bytearray()
        self.framed = False
        self.whole = False
        #: Time of the event loop.
        self.next_read = 0.0

    def keeps_open(self):
        return self.whole and self.framed and self.headers.get("connection", "").lower() != "close"

    async def read(self):
        head = (await self.reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        self.headers = {
            name.lower(): value.strip()
            for name, value in (line.split(":", 1) for line in head[1:] if line)
        }
        self.status = int(head[0].split()[1])
        self.framed = bool({"transfer-encoding", "content-length"} & set(self.headers))
        if self.headers.get("transfer-encoding", "").lower() == "chunked":
            await self._read_chunks()
        elif "content-length" in self.headers:
            await self._read_bytes(int(self.headers["content-length"]))
        else:
            while await self._read_piece(PIECE):
                pass
        self.whole = True

    async def _read_piece(self, size):
        data = await self.reader.read(min(size, PIECE))
        self.body += data
        if self.bytes_per_second:
            now = asyncio.get_running_loop().time()
            self.next_read = max(self.next_read, now) + len(data) / self.bytes_per_second
            await asyncio.sleep(self.next_read - now)
        return len(data)

    async def _read_bytes(self, size):
        while size > 0:
            count = await self._read_piece(size)
            if count == 0:
                raise asyncio.IncompleteReadError(b"", size)
            size -= count

    async def _read_chunks(self):
        while size := int((await self.reader.readuntil(b"\r\n")).split(b";")[0], 16):
            await self._read_bytes(size)
            if await self.reader.readexactly(2) != b"\r\n":
                raise ValueError("a chunk is longer than it says")
        await self.reader.readuntil(b"\r\n")


class DeliveryCallers:
    """Callers with requests of all kinds, each of which says what its answer is."""

    def __init__(self, deployment, per_second, seed, callers):
        """@param callers: those of the usual requests, who share the list of requests"""
        self.deployment = deployment
        self.per_second = per_second
        self.random = random.Random(f"delivery {seed}")
        self.requests = callers.requests
        self.idle = {one.name: [] for one in deployment.instances}
        self.avoided = callers.avoided
        self.longest = LONGEST[1]
        self.unread_share = 0.0
        self.numbers = itertools.count()
        self.pending = set()
        #: Calls whose callers do not read.
        self.unread = set()
        self.source = None

    def start(self):
        self.source = asyncio.create_task(self._send_often())

    async def stop(self):
        for one in (self.source, *self.unread):
            one.cancel()
        await asyncio.gather(self.source, *self.pending, return_exceptions=True)

    async def _send_often(self):
        """In phases, so that the last answers of an instance end at any moment of its stop."""
        while True:
            self.longest = self.random.uniform(*LONGEST)
            self.unread_share = self.random.choice(UNREAD_SHARES)
            per_second = self.per_second * self.random.choice(LOADS)
            end = self.deployment.now() + self.random.uniform(*PHASE)
            while self.deployment.now() < end:
                await asyncio.sleep(self.random.expovariate(per_second))
                self._begin(self._choose_instance(), self.random.choice(list(KINDS)))

    def send_unread(self, instance, count):
        """Requests for large answers that are not read."""
        for _ in range(count):
            self._begin(instance, self.random.choice(["place", "talk", "fetch"]), unread=True)

    def send_last(self, instance, ends):
        """The last requests to an instance that callers leave. Their answers take that long."""
        self.avoided[instance.name] = self.deployment.now() + max(ends) + 3
        for seconds in ends:
            self._begin(instance, self.random.choice(list(KINDS)), seconds=seconds)

    def _begin(self, instance, kind, unread=None, seconds=None):
        # All is drawn here, so that what is drawn does not depend on when others finish.
        unread = self.random.random() < self.unread_share if unread is None else unread
        version = "1.0" if self.random.random() < 0.15 else "1.1"
        slow = self.random.random() < 0.25
        seconds = seconds or self.random.uniform(0.1, self.longest)
        script = self._draw_script(KINDS[kind], seconds, unread)
        size = sum(size for _, size in script.steps)
        request = Delivery(
            f"{instance.number:02x}d{next(self.numbers):013x}",
            KINDS[kind].service,
            instance.name,
            self.deployment.now(),
            DEADLINE,
            KINDS[kind].attempts,
            kind=kind,
            repeatable=KINDS[kind].repeatable,
            reads=not unread,
            reading_time=size / SLOW_READER if slow else 0.0,
            expected=size,
        )
        call = self._leave_unread if unread else self._call
        task = asyncio.create_task(call(instance, request, script, version, slow))
        for tasks in (self.pending, self.unread) if unread else (self.pending,):
            tasks.add(task)
            task.add_done_callback(tasks.discard)

    def _draw_script(self, kind, seconds, large):
        draw = self.random
        if kind.stream:
            return self._draw_stream(seconds, large)
        size = draw.randint(*(LARGE if large else draw.choice([SMALL, SMALL, MEDIUM, LARGE])))
        count = draw.randint(1, 5)
        first = draw.uniform(0, seconds)
        pauses = [(seconds - first) / count] * count
        framing = draw.choice(["length", "chunked", "close"])
        return Script(
            [[pause, size // count] for pause in pauses], stream=False, framing=framing, first=first
        )

    def _draw_stream(self, seconds, large):
        draw = self.random
        steps = []
        while seconds > 0:
            pause = min(seconds, draw.uniform(0.05, LONGEST_PAUSE))
            seconds -= pause
            steps.append([pause, draw.randint(*SMALL)])
        shape = "all large" if large else draw.choice(["small", "small", "last large", "all large"])
        for step in {"small": [], "last large": steps[-1:], "all large": steps}[shape]:
            step[1] = draw.randint(*MEDIUM)
        return Script(steps, framing=draw.choice(["chunked", "chunked", "close"]))

    def _choose_instance(self):
        now = self.deployment.now()
        started = [one for one in self.deployment.instances if one.process is not None]
        usable = [one for one in started if self.avoided.get(one.name, 0) < now]
        return self.random.choice(usable or started)

    def _write(self, writer, request, body, version):
        lines = [f"POST /{request.kind}/x HTTP/{version}", "Host: shop.example"]
        lines += [f"{standin.ATTEMPT}: {request.identity}"]
        lines += [f"{standin.DEADLINE}: {int(DEADLINE * 1000)}"]
        lines += [f"Content-Length: {len(body)}", "", ""]
        writer.write("\r\n".join(lines).encode() + body)
        request.sent_at = self.deployment.now()
        self.requests.append(request)

    async def _connect(self, instance, buffer=None):
        opened = socket.socket()
        opened.setblocking(False)
        if buffer:
            opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer)
        try:
            connecting = asyncio.get_running_loop().sock_connect(
                opened, (instance.ip, self.deployment.ports)
            )
            await asyncio.wait_for(connecting, 1.0)
        except (OSError, asyncio.TimeoutError):
            opened.close()
            self.avoided[instance.name] = self.deployment.now() + 0.5
            raise
        return await asyncio.open_connection(sock=opened, limit=65536)

    async def _take_connection(self, instance, slow):
        while self.idle[instance.name] and not slow:
            reader, writer = self.idle[instance.name].pop()
            if not reader.at_eof() and not writer.transport.is_closing():
                return reader, writer
            writer.close()
        return await self._connect(instance, SLOW_BUFFER if slow else None)

    async def _call(self, instance, request, script, version, slow):
        try:
            reader, writer = await self._take_connection(instance, slow)
        except (OSError, asyncio.TimeoutError):
            return
        reading = Reading(reader, SLOW_READER if slow else None)
        try:
            self._write(writer, request, script.body(), version)
            await asyncio.wait_for(reading.read(), DEADLINE)
            request.end = "end of the answer" if reading.framed else "close"
        except asyncio.TimeoutError:
            request.end = "deadline"
        except asyncio.IncompleteReadError:
            request.end = "close"
        except (OSError, ValueError, asyncio.LimitOverrunError) as error:
            request.end = f"{type(error).__name__}: {error}"
        finally:
            self._record(request, script, reading)
        if reading.keeps_open() and version == "1.1" and not slow:
            self.idle[instance.name].append((reader, writer))
        else:
            writer.close()

    def _record(self, request, script, reading):
        request.ended_at = self.deployment.now()
        request.status, request.whole, request.framed = (
            reading.status,
            reading.whole,
            reading.framed,
        )
        expected = script.answer(request.identity)
        request.expected, request.received = len(expected), len(reading.body)
        request.matches = reading.body == expected

    async def _leave_unread(self, instance, request, script, version, _slow):
        try:
            _, writer = await self._connect(instance, UNREAD_BUFFER)
        except (OSError, asyncio.TimeoutError):
            return
        writer.transport.pause_reading()
        self._write(writer, request, script.body(), version)
        try:
            await asyncio.sleep(DEADLINE)
        finally:
            request.end = "left"
            request.ended_at = self.deployment.now()
            writer.transport.abort()
