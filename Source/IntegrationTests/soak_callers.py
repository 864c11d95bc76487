"""Callers that keep connections open until their instance is gone."""

import asyncio
import random

from soak_deployment import standin
from soak_rules import Request

DEADLINE = 4.0
KINDS = {
    "draft": ("POST", "/stream/x", "model", 2),
    "order": ("POST", "/order/x", "desk", 1),
    "status": ("GET", "/status/x", "desk", 2),
}
#: Parts that prompts have in common: the first one, and one of a few others.
FIRST_PART = "f1"
OTHER_PARTS = ("a1", "a2", "a3", "a4")
CONNECT_TIMEOUT = 1.0
#: How long an instance that refused a connection is left out.
AVOID_TIME = 0.5


class Callers:
    def __init__(self, deployment, per_second, deadly_per_second, seed, bad_parts=None):
        """@param bad_parts: parts of prompts that crash endpoints, with their requests per second"""
        self.deployment = deployment
        self.per_second = per_second
        self.deadly_per_second = deadly_per_second
        self.random = random.Random(seed)
        self.bad_parts = bad_parts or {}
        self.part_random = random.Random(f"parts {seed}")
        #: Whether each repeat of the deadly request has another query.
        self.deadly_query_varies = random.Random(f"query {seed}").random() < 0.5
        self.requests = []
        self.idle = {one.name: [] for one in deployment.instances}
        self.avoided = {}
        self.pending = set()
        self.sources = []

    def start(self):
        self.sources = [asyncio.create_task(self._send_often(self.per_second, False))]
        if self.deadly_per_second > 0:
            self.sources.append(asyncio.create_task(self._send_often(self.deadly_per_second, True)))
        for part, per_second in self.bad_parts.items():
            self.start_bad_part(part, per_second)

    def start_bad_part(self, part, per_second):
        self.sources.append(asyncio.create_task(self._send_bad_parts(part, per_second)))

    async def stop(self):
        for source in self.sources:
            source.cancel()
        await asyncio.gather(*self.sources, *self.pending, return_exceptions=True)

    async def _send_often(self, per_second, deadly):
        while True:
            await asyncio.sleep(self.random.expovariate(per_second))
            self._begin(self._request(self.random, deadly))

    async def _send_bad_parts(self, part, per_second):
        while True:
            await asyncio.sleep(self.part_random.expovariate(per_second))
            self._begin(self._request(self.part_random, bad_part=part))

    def _begin(self, request):
        task = asyncio.create_task(request)
        self.pending.add(task)
        task.add_done_callback(self.pending.discard)

    def _prompt(self, identity, bad_part):
        """Requests with a bad part share the other parts with sound ones."""
        parts = [FIRST_PART, bad_part, self.part_random.choice(OTHER_PARTS), identity]
        return ",".join(f"{part}:50" for part in parts if part is not None)

    def _choose_instance(self, draw):
        now = self.deployment.now()
        started = [one for one in self.deployment.instances if one.process is not None]
        usable = [one for one in started if self.avoided.get(one.name, 0) < now]
        return draw.choice(usable or started)

    async def _request(self, draw, deadly=False, bad_part=None):
        instance = self._choose_instance(draw)
        kind = "draft" if deadly or bad_part else draw.choice(list(KINDS))
        method, path, service, endpoints_allowed = KINDS[kind]
        identity = f"{instance.number:02x}{len(self.requests):014x}"
        request = Request(
            identity,
            service,
            instance.name,
            self.deployment.now(),
            DEADLINE,
            endpoints_allowed,
            deadly=deadly,
            once=kind == "order",
            bad_part=bad_part,
        )
        if deadly and self.deadly_query_varies:
            path += f"?attempt={len(self.requests)}"
        self.requests.append(request)
        body = standin.Endpoint.CRASHING_BODY if deadly else b"x" if method == "POST" else b""
        headers = {}
        if kind == "draft" and not deadly:
            body = identity.encode()
            headers = {standin.TOKENS: "200,20", standin.PROMPT: self._prompt(identity, bad_part)}
        try:
            answer = self._exchange(instance, identity, method, path, body, headers)
            request.status, request.answer = await asyncio.wait_for(answer, DEADLINE)
        except (OSError, ValueError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            pass

    async def _connect(self, instance):
        while self.idle[instance.name]:
            reader, writer = self.idle[instance.name].pop()
            if not reader.at_eof() and not writer.transport.is_closing():
                return reader, writer
        try:
            opening = asyncio.open_connection(instance.ip, self.deployment.ports)
            return await asyncio.wait_for(opening, CONNECT_TIMEOUT)
        except (OSError, asyncio.TimeoutError):
            self.avoided[instance.name] = self.deployment.now() + AVOID_TIME
            raise

    async def _exchange(self, instance, identity, method, path, body, headers):
        reader, writer = await self._connect(instance)
        kept = False
        try:
            head = [f"{method} {path} HTTP/1.1", "Host: shop.example"]
            head += [f"{standin.ATTEMPT}: {identity}", f"{standin.DEADLINE}: {int(DEADLINE * 1000)}"]
            head += [f"{name}: {value}" for name, value in headers.items()]
            head += [f"Content-Length: {len(body)}", "", ""]
            writer.write("\r\n".join(head).encode() + body)
            status, answer, kept = await self._read_answer(reader)
            return status, answer
        finally:
            if kept:
                self.idle[instance.name].append((reader, writer))
            else:
                writer.close()

    @staticmethod
    async def _read_answer(reader):
        """The status, the body, and whether the connection stays open."""
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower().split("\r\n")
        headers = dict(line.split(": ", 1) for line in head[1:] if ": " in line)
        body = b""
        if headers.get("transfer-encoding") == "chunked":
            while size := int(await reader.readline(), 16):
                body += (await reader.readexactly(size + 2))[:-2]
            await reader.readline()
        else:
            body = await reader.readexactly(int(headers.get("content-length", 0)))
        return int(head[0].split()[1]), body, headers.get("connection") != "close"
