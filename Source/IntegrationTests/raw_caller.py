"""A caller that reads at a pace of its own and sees whether an answer is whole."""

import dataclasses
import itertools
import socket
import threading
import time

from relay_deployment import standin

NUMBERS = itertools.count(1)


@dataclasses.dataclass
class Outcome:
    identity: str
    status: int = None
    """None if no head came."""
    headers: dict = dataclasses.field(default_factory=dict)
    body: bytes = b""
    whole: bool = False
    ended_at: float = None
    """By time.monotonic()."""
    error: str = ""
    longest_pause: float = 0.0


def parse(received, closed_cleanly):
    """Status, headers, body, and whether the answer is whole."""
    head, blank, rest = received.partition(b"\r\n\r\n")
    if not blank:
        return None, {}, b"", False
    lines = head.decode("latin-1").split("\r\n")
    pairs = [line.split(":", 1) for line in lines[1:]]
    headers = {name.lower(): value.strip() for name, value in pairs}
    status = int(lines[0].split()[1])
    if "content-length" in headers:
        return status, headers, rest, len(rest) == int(headers["content-length"])
    if headers.get("transfer-encoding") != "chunked":
        return status, headers, rest, closed_cleanly
    body = b""
    while True:
        size, line_end, rest = rest.partition(b"\r\n")
        if not line_end:
            return status, headers, body, False
        try:
            length = int(size, 16)
        except ValueError:
            return status, headers, body, False
        if length == 0:
            return status, headers, body, rest.startswith(b"\r\n")
        body += rest[:length]
        if len(rest) < length + 2:
            return status, headers, body, False
        rest = rest[length + 2 :]


def in_chunks(body, size=65536):
    parts = [body[start : start + size] for start in range(0, len(body), size)]
    return b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in parts) + b"0\r\n\r\n"


class RawCaller:
    """One request on a connection of its own, read on a thread."""

    def __init__(
        self,
        address,
        path,
        body,
        bytes_per_second=None,
        version="1.1",
        headers=None,
        deadline=12.0,
        receive_buffer=None,
        chunked=False,
    ):
        """
        @param bytes_per_second: how fast it reads; 0 reads nothing, None reads at once
        @param chunked: the body is sent in chunks, without its length
        """
        self.outcome = Outcome(f"{next(NUMBERS):016x}")
        #: All bytes that came, once the request has ended.
        self.received = b""
        self.bytes_per_second = bytes_per_second
        self.deadline = time.monotonic() + deadline
        self.socket = socket.socket()
        if receive_buffer:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        host, port = address.split(":")
        self.socket.settimeout(deadline)
        self.socket.connect((host, int(port)))
        lines = [f"POST {path} HTTP/{version}", "Host: shop.example"]
        lines += [f"{standin.ATTEMPT}: {self.outcome.identity}"]
        lines += [f"{standin.DEADLINE}: {int(deadline * 1000)}"]
        lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
        lines += ["Transfer-Encoding: chunked" if chunked else f"Content-Length: {len(body)}", "", ""]
        self.socket.sendall("\r\n".join(lines).encode() + (in_chunks(body) if chunked else body))
        self.thread = threading.Thread(target=self._read, daemon=True)
        self.thread.start()

    def _read(self):
        if self.bytes_per_second == 0:
            return
        received = bytearray()
        closed_cleanly = False
        last = time.monotonic()
        outcome = self.outcome
        try:
            while time.monotonic() < self.deadline and not self._has_whole(received):
                data = self.socket.recv(65536 if self.bytes_per_second is None else 16384)
                now = time.monotonic()
                outcome.longest_pause = max(outcome.longest_pause, now - last)
                last = now
                if not data:
                    closed_cleanly = True
                    break
                received += data
                if self.bytes_per_second:
                    time.sleep(len(data) / self.bytes_per_second)
        except OSError as error:
            outcome.error = str(error)
        outcome.ended_at = time.monotonic()
        self.received = bytes(received)
        outcome.status, outcome.headers, outcome.body, outcome.whole = parse(
            bytes(received), closed_cleanly
        )
        self.socket.close()

    @staticmethod
    def _has_whole(received):
        """Whether a framed answer has come in full; a look at its last bytes is cheap."""
        if received.endswith(b"0\r\n\r\n"):
            return parse(bytes(received), False)[3]
        head = received[:4096].partition(b"\r\n\r\n")[0].lower()
        return b"content-length:" in head and parse(bytes(received), False)[3]

    def close(self):
        self.socket.close()

    def result(self):
        self.thread.join()
        return self.outcome
