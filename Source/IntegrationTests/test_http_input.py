"""Malformed, truncated, oversized, slow and pipelined input at an entry instance: each gets the
right status, and a well-behaved caller beside it notices nothing."""

import json
import re
import socket

import pytest

from calls import Stream, read_whole

#: Its nesting would be copied and printed level by level, on the stack.
NESTED = b'{"model": "inscription", "stream": ' + b"[" * 300_000 + b"]" * 300_000 + b"}"
BODY = json.dumps({"model": "inscription", "prompt": "p", "max_tokens": 2}).encode()


def head(length, path="/v1/completions", extra=b""):
    return (b"POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer example-schools\r\n"
            b"Content-Type: application/json\r\n%sContent-Length: %d\r\n\r\n"
            % (path.encode(), extra, length))


def connect(otaru):
    host, port = otaru.gateways[0].addresses["http"].split(":")
    return socket.create_connection((host, int(port)), timeout=30)


def read_until_closed(connection):
    data = b""
    while True:
        try:
            block = connection.recv(65536)
        except ConnectionError:
            return data
        if not block:
            return data
        data += block


def statuses(data):
    return [int(status) for status in re.findall(rb"HTTP/1\.1 (\d{3}) ", data)]


def neighbour_is_served(otaru):
    stream = Stream(otaru.gateways[0].addresses["http"], "/v1/completions",
                    {"model": "inscription", "prompt": "well", "max_tokens": 5, "stream": True},
                    {"Authorization": "Bearer example-schools", "X-Request-Id": "neighbour"})
    read_whole(stream, "neighbour", "well", 5)


@pytest.mark.parametrize("sent, expected", [
    (b"\x00\x01\x02 nonsense\r\n\r\n", 400),
    (b"POST /v1/completions HTTP/1.1\r\nContent-Length: minus one\r\n\r\n", 400),
    (b"GET /v1/models HTTP/1.1\r\nHost: x\r\nX-Long: " + b"a" * 200_000 + b"\r\n\r\n", 431),
    (head(9) + b"not json!", 400),
    (head(2) + b"[]", 400),
    (head(len(NESTED)) + NESTED, 400),
    (head(1 << 40), 413),
])
def test_bad_input_gets_its_status_and_hurts_nobody(otaru, sent, expected):
    connection = connect(otaru)
    try:
        connection.sendall(sent)
    except ConnectionError:
        pass  # The instance may answer and close before it has read all.
    connection.settimeout(10)
    data = b""
    while b"\r\n\r\n" not in data:
        block = connection.recv(65536)
        assert block, "closed without an answer"
        data += block
    assert statuses(data)[0] == expected
    connection.close()
    neighbour_is_served(otaru)


def test_a_truncated_body_starts_nothing(otaru):
    """A caller's connection dies in the middle of its request."""
    connection = connect(otaru)
    connection.sendall(head(len(BODY), extra=b"X-Request-Id: truncated\r\n") + BODY[:-3])
    connection.close()
    neighbour_is_served(otaru)
    assert otaru.runs("truncated") == []


def test_pipelined_requests_are_answered_in_their_order(otaru):
    connection = connect(otaru)
    connection.sendall(b"".join(
        head(len(BODY), extra=b"X-Request-Id: pipe%d\r\n" % number) + BODY
        for number in range(3)))
    data = b""
    while data.count(b'"finish_reason"') < 3:
        block = connection.recv(65536)
        assert block, data
        data += block
    assert statuses(data) == [200, 200, 200]
    places = [data.index(b"pipe%d" % number) for number in range(3)]
    assert places == sorted(places)
    connection.close()


def test_a_caller_that_sends_nothing_more_does_not_block_others(otaru):
    connections = [connect(otaru) for _ in range(50)]
    for connection in connections:
        connection.sendall(b"POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Le")
    neighbour_is_served(otaru)
    for connection in connections:
        connection.close()
