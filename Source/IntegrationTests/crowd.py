"""Clients that don't keep to the limits, all at once, and what a process may take meanwhile."""

import contextlib
import os
import pathlib
import selectors
import socket
import time

from relay_deployment import standin

MB = 1024 * 1024
#: Limit of bodies in the settings of the tests.
BODY_LIMIT = 4 * MB
BLOCK = 256 * 1024
#: Bytes of a body that come in chunks of one byte.
TINY_BODY = 64 * 1024
#: Largest frame between instances of the verb gateway.
FRAME_BYTES = 8 * MB
#: Each client of a crowd stops after as much, whatever it is answered.
MOST_SENT = 6 * MB


def request(framing, path="/status/x", extra=""):
    return (
        f"POST {path} HTTP/1.1\r\nHost: shop.example\r\n{standin.ATTEMPT}: 00ff\r\n"
        f"Authorization: Bearer example-schools\r\nContent-Type: application/json\r\n"
        f"{extra}{framing}\r\n\r\n"
    ).encode()


def chunked():
    return request("Transfer-Encoding: chunked")


def large_chunk(size):
    return b"%x\r\n" % size + b"x" * size + b"\r\n"


def pieces(kind):
    """What one client sends, in pieces; it then keeps its connection open."""
    if kind == "stated length":
        yield request(f"Content-Length: {BODY_LIMIT}")
        for _ in range(BODY_LIMIT // BLOCK - 1):
            yield b"x" * BLOCK
        yield b"x" * (BLOCK - 1)
    elif kind == "large chunks":
        yield chunked()
        for _ in range(BODY_LIMIT // BLOCK - 1):
            yield large_chunk(BLOCK)
    elif kind == "tiny chunks":
        yield chunked()
        for _ in range(TINY_BODY // 4096):
            yield b"1\r\nx\r\n" * 4096
    elif kind == "far over the limit, stated":
        yield request(f"Content-Length: {1 << 30}")
        for _ in range(MOST_SENT // BLOCK):
            yield b"x" * BLOCK
    elif kind == "far over the limit, sent":
        yield chunked()
        for _ in range(MOST_SENT // BLOCK):
            yield large_chunk(BLOCK)
    elif kind == "long extension":
        yield chunked() + b"4;"
        for _ in range(MOST_SENT // BLOCK):
            yield b"x" * BLOCK
    elif kind == "long head":
        yield b"GET / HTTP/1.1\r\nHost: x\r\nX-Filler: "
        for _ in range(MOST_SENT // BLOCK):
            yield b"x" * BLOCK
    elif kind == "behind a request":
        yield request("Content-Length: 1", "/slow/x") + b"x"
        for _ in range(MOST_SENT // BLOCK):
            yield b"x" * BLOCK
    elif kind == "long frame":
        # Between instances of the verb gateway: a length of four bytes, and the frame.
        yield FRAME_BYTES.to_bytes(4, "big")
        for _ in range(FRAME_BYTES // BLOCK - 1):
            yield b"x" * BLOCK
    else:
        assert kind == "nothing", kind


KINDS = ["stated length", "large chunks", "tiny chunks", "far over the limit, stated",
         "far over the limit, sent", "long extension", "long head", "behind a request", "nothing"]


class Client:
    """Sends as fast as it may, and reads nothing."""

    def __init__(self, address, kind):
        host, port = address.rsplit(":", 1)
        self.socket = socket.create_connection((host, int(port)), timeout=10)
        self.socket.setblocking(False)
        self.pieces = pieces(kind)
        self.left = b""

    def send_some(self):
        """Returns False once there is nothing left to send."""
        if not self.left:
            self.left = next(self.pieces, b"")
        if not self.left:
            return False
        try:
            self.left = self.left[self.socket.send(self.left) :]
        except BlockingIOError:
            pass
        except OSError:
            return False
        return True


class Crowd:
    """All clients send side by side; their connections stay open. A context manager."""

    def __init__(self, address, kind, count):
        self.address, self.kind, self.count = address, kind, count
        self.clients = []

    def __enter__(self):
        for _ in range(self.count):
            with contextlib.suppress(OSError):
                self.clients.append(Client(self.address, self.kind))
        return self

    def __exit__(self, *_):
        for client in self.clients:
            client.socket.close()

    def send_all(self, watch):
        """Sends until every client is done or takes nothing for a second; `watch` is called meanwhile."""
        selector = selectors.DefaultSelector()
        for client in self.clients:
            selector.register(client.socket, selectors.EVENT_WRITE, client)
        moved = time.monotonic()
        while selector.get_map() and time.monotonic() < moved + 1:
            for key, _ in selector.select(0.1):
                moved = time.monotonic()
                if not key.data.send_some():
                    selector.unregister(key.fileobj)
            watch()


class Watch:
    """What a process takes: its largest resident size, what the kernel holds for it and has not been
    read, and its descriptors."""

    def __init__(self, process, addresses):
        self.process = process
        self.ports = {self._encoded(address) for address in addresses}
        self.in_kernel = 0
        self.descriptors = 0

    @staticmethod
    def _encoded(address):
        host, port = address.rsplit(":", 1)
        return "%08X:%04X" % (int.from_bytes(socket.inet_aton(host), "little"), int(port))

    def __call__(self):
        queued = 0
        for line in pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]:
            fields = line.split()
            if fields[1] in self.ports:
                queued += int(fields[4].split(":")[1], 16)
        self.in_kernel = max(self.in_kernel, queued)
        descriptors = len(os.listdir(f"/proc/{self.process.pid}/fd"))
        self.descriptors = max(self.descriptors, descriptors)

    def peak_bytes(self):
        status = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        (line,) = [one for one in status.splitlines() if one.startswith("VmHWM:")]
        return int(line.split()[1]) * 1024 + self.in_kernel


def check_stands(process, addresses, crowd, memory_limit, descriptor_limit, ordinary):
    """The process lives, stays within its limits, and then answers an ordinary request, which is sent
    again while its connections are closed or it is refused, as callers do."""
    watch = Watch(process, addresses)
    with crowd:
        crowd.send_all(watch)
        watch()
        assert process.poll() is None, "the process ended"
        end = time.monotonic() + 60
        while not ordinary():
            assert time.monotonic() < end, "no ordinary request was answered"
            time.sleep(0.2)
    watch()
    assert process.poll() is None, "the process ended"
    assert watch.descriptors <= descriptor_limit, f"{watch.descriptors} descriptors"
    assert watch.peak_bytes() <= memory_limit, f"{watch.peak_bytes() / MB:.0f} MB"
