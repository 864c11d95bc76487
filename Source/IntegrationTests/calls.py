"""A caller that speaks HTTP by the standard library, and the answers that it must get."""

import http.client
import json
import socket

LETTERS = "abcdefghijklmnopqrstuvwxyz234567"
MASK = (1 << 64) - 1


def answer_seed(request_id, prompt, salt=""):
    """As StandIns/TokenText.h says: FNV-1a over id, newline, prompt, newline, salt."""
    value = 14695981039346656037
    for byte in f"{request_id}\n{prompt}\n{salt}".encode():
        value = ((value ^ byte) * 1099511628211) & MASK
    return value


def answer_token(seed, index):
    value = (seed + index + 0x9E3779B97F4A7C15) & MASK
    value = ((value ^ (value >> 30)) * 0xBF58476D1CE4E5B9) & MASK
    value = ((value ^ (value >> 27)) * 0x94D049BB133111EB) & MASK
    value ^= value >> 31
    return "".join(LETTERS[(value >> shift) & 31] for shift in (0, 5, 10)) + " "


def answer_text(request_id, prompt, count):
    seed = answer_seed(request_id, prompt)
    return "".join(answer_token(seed, index) for index in range(1, count + 1))


class Stream:
    """A streamed call under way."""

    def __init__(self, address, path, body, headers=None, method="POST", timeout=20,
                 receive_buffer=None):
        self.connection = http.client.HTTPConnection(address, timeout=timeout)
        if receive_buffer:
            self.connection.sock = socket.socket()
            self.connection.sock.settimeout(timeout)
            self.connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
            host, port = address.split(":")
            self.connection.sock.connect((host, int(port)))
        data = None if body is None else json.dumps(body)
        self.connection.request(method, path, data,
                                {"Content-Type": "application/json", **(headers or {})})
        self.answer = self.connection.getresponse()
        self.status = self.answer.status

    def events(self):
        """(event name, event id, data) one after the other; comments are left out."""
        name, number, data = "", None, []
        for raw in self.answer:
            line = raw.decode().rstrip("\r\n")
            if line.startswith("event: "):
                name = line[7:]
            elif line.startswith("id: "):
                number = int(line[4:])
            elif line.startswith("data: "):
                data.append(line[6:])
            elif not line and data:
                yield name, number, "\n".join(data)
                name, number, data = "", None, []

    def tokens(self):
        """(answer id, text) of each chunk with text; ends at [DONE], fails on anything else."""
        for name, _, data in self.events():
            if data == "[DONE]":
                return
            assert name == "", f"{name}: {data}"
            chunk = json.loads(data)
            for choice in chunk["choices"]:
                text = choice.get("text", choice.get("delta", {}).get("content", ""))
                if text:
                    yield chunk["id"], text
        raise AssertionError("the stream ended without [DONE]")

    def abort(self):
        self.connection.close()
        if self.answer.fp:
            self.answer.close()


def check_answer(answer_id, text, own_id, prompt, count):
    """The answer is the whole of what an engine generated for this request and no other."""
    run_id = answer_id.split("-", 1)[1]
    assert run_id == own_id or run_id.startswith(own_id + "."), run_id
    assert text == answer_text(run_id, prompt, count)


def read_whole(stream, own_id, prompt, count):
    """Reads a stream to its end and checks it byte for byte."""
    ids, parts = set(), []
    for answer_id, text in stream.tokens():
        ids.add(answer_id)
        parts.append(text)
    assert len(ids) == 1
    check_answer(ids.pop(), "".join(parts), own_id, prompt, count)
    assert len(parts) == count
