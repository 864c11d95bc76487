"""An endpoint whose answers are written byte by byte, for faults that the stand-ins lack."""

import contextlib
import json
import socket
import struct
import threading
import time

LOAD = {"id": "raw", "running": 0, "waiting": 0, "batch_limit": 16, "workers": 16, "kv_used_tokens": 0,
        "kv_limit_tokens": 1000000, "step_ms": 1, "prefill_tokens_per_second": 100000, "age_ms": 0}
#: Returned by `answer` to keep the connection.
KEEP = "keep"
EVENT_STREAM = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"


def whole(body, status="200 OK", content_type="application/json"):
    head = f"HTTP/1.1 {status}\r\nContent-Type: {content_type}\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


def event(number, text):
    data = json.dumps({"id": "raw", "object": "text_completion", "model": "m",
                       "choices": [{"index": 0, "text": text}]})
    return f"id: {number}\ndata: {data}\n\n".encode()


def send_endlessly(connection, piece, most_bytes):
    """Sends until the other side closes; stops after some bytes, to spare the machine."""
    block = piece * (65536 // len(piece) + 1)
    sent = 0
    while sent < most_bytes:
        connection.sendall(block)
        sent += len(block)
    connection.recv(1)


def reset(connection):
    """Closes the connection so that the other side sees an error."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    connection.close()


class RawEndpoint:
    """Answers load queries itself and hands each other request, as (connection, method, path), to
    `answer`; the connection is closed after it. A context manager."""

    def __init__(self, answer, load=None):
        self.answer = answer
        self.load = load
        self.requests = []
        #: X-Request-Id of the last request of each connection.
        self.request_ids = {}
        #: What the endpoint calls itself.
        self.identity = "raw"
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        self.connections = []

    def __enter__(self):
        threading.Thread(target=self._accept, daemon=True).start()
        return self

    def __exit__(self, *_):
        with contextlib.suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        for connection in self.connections:
            connection.close()

    def end(self):
        """Ends as a killed process does: nothing listens, and the kernel closes the connections."""
        self.listener.shutdown(socket.SHUT_RDWR)
        for connection in self.connections:
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_WR)

    def _accept(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            self.connections.append(connection)
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection):
        try:
            with connection, connection.makefile("rb") as reader:
                while self._serve_one(connection, reader):
                    pass
        except OSError:
            pass

    def _serve_one(self, connection, reader):
        line = reader.readline().decode()
        if not line:
            return False
        length = 0
        while (header := reader.readline().decode().strip()):
            name, _, value = header.partition(":")
            length = int(value) if name.lower() == "content-length" else length
            if name.lower() == "x-request-id":
                self.request_ids[connection] = value.strip()
        reader.read(length)
        method, path, _ = line.split()
        if path in ("/load", "/v1/load"):
            if self.load:
                self.load(connection)
                return False
            connection.sendall(whole(json.dumps({**LOAD, "id": self.identity}).encode()))
            return True
        if path.startswith("/v1/cache-events"):
            connection.sendall(whole(b'{"events": [], "latest": 0}'))
            return True
        self.requests.append((time.monotonic(), method, path))
        return self.answer(connection, method, path) == KEEP


class EarlyAnswerEndpoint(RawEndpoint):
    """Answers large uploads before it has read them, and ends the connection as `finish` does, which gets
    the connection and the length of the upload."""

    LARGE = 300_000

    def __init__(self, answer, load=None):
        super().__init__(answer, load)
        # Inherited by accepted connections: an upload that fits into the buffers is read at once.
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
        self.sent = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart"
        self.finish = lambda connection, _: reset(connection)
        self.early = 0

    def _serve(self, connection):
        with contextlib.suppress(OSError):
            head = connection.recv(65536, socket.MSG_PEEK)
            fields = [line.split(b":") for line in head.lower().split(b"\r\n") if b":" in line]
            length = int(dict((field[0], field[1]) for field in fields).get(b"content-length", b"0"))
            if length < self.LARGE:
                super()._serve(connection)
                return
            self.early += 1
            connection.sendall(self.sent)
            self.finish(connection, length)
        connection.close()
