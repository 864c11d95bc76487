"""Whether answers reach their callers to the last byte, and what a faulty side may cost."""

import contextlib
import http.client
import json
import os
import pathlib
import re
import signal
import socket
import struct
import threading
import time

import pytest

from calls import Stream
from deployment import Deployment
from deployment import http as call
from raw_endpoint import (
    EVENT_STREAM, KEEP, LOAD, EarlyAnswerEndpoint, RawEndpoint, event, send_endlessly, whole,
)

SCHOOLS = {"Authorization": "Bearer example-schools", "Content-Type": "application/json"}
SETTINGS = ["--caller-write-timeout=2s", "--drain-notice=1s", "--drain-timeout=40s",
            "--log-level=debug"]
WRITE_TIMEOUT = 2
DRAIN_NOTICE = 1
REGIONS = ["sapporo", "asahikawa", "hakodate"]
# Half of the memory of the smallest machine.
MEMORY_LIMIT_KB = 130 * 1024
ENDLESS_BYTES = 48 * 1024 * 1024


@pytest.fixture
def otaru():
    with Deployment("otaru", os.environ["BUILD_DIR"], gateway_settings=SETTINGS) as running:
        yield running


def log_of(deployment, gateway):
    return (pathlib.Path(deployment.folder.name) / f"{gateway.name}.log").read_text()


def use_only(deployment, endpoint, kind, region, gateway):
    """Makes the endpoint the only one of all regions and waits until the gateway uses it."""
    name = "inscription" if kind == "engine" else "order-desk"
    deployment.endpoints = [{"id": "raw", "kind": kind, "name": name, "region": region,
                             "failure_domain": f"{region}-1", "http": endpoint.address,
                             "state": "live", "checks_fences": False}]
    deployment.publish_list()
    answer, endpoint.answer = endpoint.answer, lambda connection, _, __: connection.sendall(
        whole(b'{"raw": true}'))
    deadline = time.monotonic() + 15
    while not endpoint.requests:
        assert time.monotonic() < deadline
        with contextlib.suppress(OSError):
            probe(gateway, kind)
        time.sleep(0.1)
    endpoint.answer = answer
    endpoint.requests.clear()


def probe(gateway, kind):
    if kind == "service":
        return call("GET", gateway.addresses["http"], "/services/order-desk/orders/7", None,
                    SCHOOLS)
    body = {"model": "inscription", "prompt": "p", "max_tokens": 1}
    return call("POST", gateway.addresses["http"], "/v1/completions", body, SCHOOLS)


def open_call(gateway, stream=False, headers="", receive_buffer=65536, target=None):
    """Sends a request and returns the connection without reading."""
    connection = socket.socket()
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
    connection.settimeout(30)
    host, port = gateway.addresses["http"].split(":")
    connection.connect((host, int(port)))
    send_call(connection, stream, headers, target)
    return connection


def send_call(connection, stream=False, headers="", target=None):
    body = json.dumps({"model": "inscription", "prompt": "p", "max_tokens": 100,
                       "stream": stream})
    line, body = (f"GET {target}", "") if target else ("POST /v1/completions", body)
    connection.sendall(f"{line} HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\n"
                       f"Authorization: Bearer example-schools\r\n{headers}"
                       f"Content-Length: {len(body)}\r\n\r\n{body}".encode())


def read_answer(connection):
    """(status, body); raises if the answer is incomplete."""
    answer = http.client.HTTPResponse(connection)
    answer.begin()
    return answer.status, answer.read()


def read_steadily(connection, bytes_per_second):
    """Reads a whole answer at a steady rate."""
    raw = b""
    length = None
    while length is None or len(raw) < length:
        part = connection.recv(min(65536, bytes_per_second // 20))
        if not part:
            break
        raw += part
        if length is None and b"\r\n\r\n" in raw:
            head = raw.split(b"\r\n\r\n")[0]
            size = re.search(rb"(?i)content-length: (\d+)", head).group(1)
            length = len(head) + 4 + int(size)
        time.sleep(0.05)
    return length, len(raw)


def engine_answer(events, size):
    def answer(connection, _, __):
        connection.sendall(EVENT_STREAM)
        for number in range(1, events + 1):
            connection.sendall(event(number, "x" * size))
        connection.sendall(b"data: [DONE]\n\n")
    return answer


# Write timeouts


def test_slow_but_steady_reader_gets_a_whole_large_answer(otaru):
    """Guards against a limit for the whole of a write: a caller that reads 2 MB at 400 KB/s, and
    so never stops, was cut off once the write timeout was over."""
    gateway = otaru.gateways[0]
    with RawEndpoint(engine_answer(40, 50000)) as engine:
        use_only(otaru, engine, "engine", "sapporo", gateway)
        length, received = read_steadily(open_call(gateway), 400_000)
        assert length > 2_000_000
        assert received == length


def test_caller_that_never_reads_does_not_hold_up_the_shutdown(otaru):
    """Guards against waiting for a caller that takes nothing: its bound is the write timeout."""
    gateway = otaru.gateways[0]
    with RawEndpoint(engine_answer(40, 50000)) as engine:
        use_only(otaru, engine, "engine", "sapporo", gateway)
        unread = [open_call(gateway, stream, receive_buffer=4096) for stream in (False, True)]
        time.sleep(0.5)
        start = time.monotonic()
        gateway.process.terminate()
        assert gateway.process.wait(20) == 0
        assert time.monotonic() - start < DRAIN_NOTICE + WRITE_TIMEOUT + 2
        for connection in unread:
            connection.close()


# Shutdown and the end of connections


def test_unread_bytes_of_a_caller_do_not_reset_its_answer(otaru):
    """Guards against closing a connection on which bytes of the caller are unread: the kernel then
    resets it, and a reader that is behind loses the rest of its answer."""
    gateway = otaru.gateways[0]

    def answer(connection, method, path):
        time.sleep(0.5)
        engine_answer(1, 60000)(connection, method, path)

    with RawEndpoint(answer) as engine:
        use_only(otaru, engine, "engine", "sapporo", gateway)
        connection = open_call(gateway, headers="Connection: close\r\n", receive_buffer=4096)
        time.sleep(0.2)
        send_call(connection)
        time.sleep(1.5)
        status, body = read_answer(connection)
        assert status == 200
        assert len(json.loads(body)["choices"][0]["text"]) == 60000


def test_request_that_arrives_while_the_ledger_is_handed_over_is_not_cut(otaru):
    """Guards against an end of the process that counts only what ran before the hand-over of the
    ledger: its receiver was frozen, and a request that came in meanwhile was cut off."""
    gateway, neighbour = otaru.gateways[:2]
    key = json.loads(call("POST", gateway.addresses["http"], "/v1/idempotency-keys", {},
                          SCHOOLS)[1])["key"]
    order = {**SCHOOLS, "Idempotency-Key": key}
    assert call("POST", gateway.addresses["http"], "/services/order-desk/orders", {"medals": 7},
                order)[0] == 200
    kept = open_call(gateway, target="/v1/models")
    assert read_answer(kept)[0] == 200
    neighbour.freeze()
    gateway.process.terminate()
    time.sleep(DRAIN_NOTICE + 0.8)
    received = b""
    with contextlib.suppress(ConnectionError):
        send_call(kept, stream=True, headers="X-Request-Id: crossing\r\n")
        while (part := kept.recv(65536)):
            received += part
    gateway.process.wait(20)
    neighbour.thaw()
    complete = received.endswith(b"0\r\n\r\n") and b"data: [DONE]" in received
    assert complete or (not received and not otaru.runs("crossing"))


def test_forwarded_answer_on_a_slow_link_outlives_the_instance_that_serves_it(otaru):
    """Guards against forgetting an answer that is still on its way to another instance: on a slow
    link its end was lost when the instance at the engine stopped."""
    entry, serving = otaru.gateways[2], otaru.gateways[3]
    with RawEndpoint(engine_answer(110, 2000)) as engine:
        use_only(otaru, engine, "engine", "hakodate", entry)
        otaru.platform.link("asahikawa-hakodate", megabits=0.3)
        body = {"model": "inscription", "prompt": "p", "max_tokens": 100, "stream": True}
        stream = Stream(entry.addresses["http"], "/v1/completions", body, SCHOOLS, timeout=40)
        assert stream.status == 200, stream.answer.read()
        serving.process.terminate()
        text = "".join(part for _, part in stream.tokens())
        assert len(text) == 220_000
        assert serving.process.wait(20) == 0


def test_answer_that_breaks_off_does_not_look_complete(otaru):
    """Guards against ending the answer of a service in order although its end never came."""
    gateway = otaru.gateways[0]

    def answer(connection, _, __):
        connection.sendall(whole(b"x" * 20000)[:10000])

    with RawEndpoint(answer) as service:
        use_only(otaru, service, "service", "sapporo", gateway)
        for version in ("1.1", "1.0"):
            connection = open_call(gateway, target="/services/order-desk/orders/7")
            if version == "1.0":
                connection = socket.create_connection(connection.getpeername(), 30)
                connection.sendall(b"GET /services/order-desk/orders/7 HTTP/1.0\r\nHost: x\r\n"
                                   b"Authorization: Bearer example-schools\r\n\r\n")
            with pytest.raises((http.client.IncompleteRead, ConnectionError)):
                read_answer(connection)


UNFRAMED = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\n"


@pytest.mark.parametrize("end", ["ended", "replaced"])
def test_half_an_answer_without_a_length_is_not_whole(otaru, end):
    """Guards against taking the close of a killed service's connection for the end of its answer."""
    gateway = otaru.gateways[0]

    def answer(connection, _, __):
        connection.sendall(UNFRAMED + b"half")
        time.sleep(0.2)
        if end == "ended":
            service.end()
        else:
            service.identity = "another"

    with RawEndpoint(answer) as service:
        use_only(otaru, service, "service", "sapporo", gateway)
        connection = open_call(gateway, target="/services/order-desk/orders/7")
        with pytest.raises((http.client.IncompleteRead, ConnectionError)):
            read_answer(connection)


def test_sound_answer_without_a_length_is_whole(otaru):
    gateway = otaru.gateways[0]
    with RawEndpoint(lambda connection, _, __: connection.sendall(UNFRAMED + b"all")) as service:
        use_only(otaru, service, "service", "sapporo", gateway)
        assert probe(gateway, "service") == (200, "all")


@pytest.mark.parametrize("kind", ["service", "engine"])
def test_late_second_answer_is_not_taken_for_the_next_one(otaru, kind):
    """Guards against an answer to an earlier request that comes where the next one is due."""
    gateway = otaru.gateways[0]
    left = {}

    def reply(connection):
        identity = service.request_ids[connection]
        body = f"answer to {identity}".encode()
        if kind == "service":
            return whole(body).replace(b"\r\n\r\n", f"\r\nX-Request-Id: {identity}\r\n\r\n".encode(), 1)
        events = event(1, body.decode()) + b"data: [DONE]\n\n"
        head = f"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: {identity}\r\n"
        return f"{head}Content-Length: {len(events)}\r\n\r\n".encode() + events

    def answer(connection, method, _):
        if method == "DELETE":
            connection.sendall(whole(b'{"cancelled": true, "generated": 0}'))
            return KEEP
        connection.sendall(left.get(connection, b"") + reply(connection))
        left[connection] = reply(connection)
        return KEEP

    with RawEndpoint(answer) as service:
        use_only(otaru, service, kind, "sapporo", gateway)
        for number in range(8):
            target = "/services/order-desk/orders/7" if kind == "service" else None
            name = f"call-{kind}-{number}"
            connection = open_call(gateway, headers=f"X-Request-Id: {name}\r\n", target=target)
            status, body = read_answer(connection)
            assert status != 200 or f"answer to {name}".encode() in body, body
        assert len(left) > 1


# Guards against LOST: a caller far away connects to a stopping instance and sends its first request a
# round trip later; the connection counts as idle, and the request is read and thrown away.
def test_a_new_connection_to_a_stopping_instance_gets_an_answer(otaru):
    gateway = otaru.gateways[0]
    host, port = gateway.addresses["http"].split(":")
    gateway.process.send_signal(signal.SIGTERM)
    time.sleep(DRAIN_NOTICE - 0.2)
    connections = []
    with contextlib.suppress(ConnectionError):
        for _ in range(15):
            connections.append(socket.create_connection((host, int(port)), 5))
            time.sleep(0.01)
    time.sleep(0.15)
    answers = []
    for connection in connections:
        with contextlib.suppress(ConnectionError):
            send_call(connection, target="/services/order-desk/orders/7")
            connection.settimeout(8)
            answers.append(connection.recv(4096))
    assert answers and all(answers), answers


# Orders whose callers leave


def one_worker(connection):
    """A load report by which the endpoint runs one request at a time."""
    connection.sendall(whole(json.dumps({**LOAD, "workers": 1, "batch_limit": 1}).encode()))


def send_order(gateway, key):
    connection = socket.create_connection(gateway.addresses["http"].split(":"), 30)
    connection.sendall(b"POST /services/order-desk/orders HTTP/1.1\r\nHost: x\r\n"
                       b"Authorization: Bearer example-schools\r\n"
                       b"Content-Length: %d\r\nIdempotency-Key: %s\r\n\r\n%s"
                       % (len(key), key.encode(), key.encode()))
    return connection


# Guards against GONE: orders that wait at the instance that holds their keys run after their callers
# have left.
@pytest.mark.parametrize("entry", [0, 1], ids=["the holder", "another instance"])
def test_orders_that_wait_are_withdrawn_with_their_callers(otaru, entry):
    holder = otaru.gateways[0]

    def answer(connection, _, __):
        time.sleep(0.5)
        connection.sendall(whole(b'{"order": 1}'))

    with RawEndpoint(answer, one_worker) as service:
        use_only(otaru, service, "service", "sapporo", holder)
        keys = [json.loads(call("POST", holder.addresses["http"], "/v1/idempotency-keys", {}, SCHOOLS)[1])
                for _ in range(16)]
        callers = [send_order(otaru.gateways[entry], key["key"]) for key in keys]
        time.sleep(0.7)
        for caller in callers:
            caller.close()
        left = time.monotonic()
        time.sleep(5)
        late = [at for at, *_ in service.requests if at > left + 0.5]
    assert service.requests, "no order has run"
    assert len(late) <= 2, f"{len(late)} of {len(keys)} orders ran after their callers had left"


# Endpoints that send bytes without end


def peak_memory_kb(gateway):
    status = pathlib.Path(f"/proc/{gateway.pid}/status").read_text()
    return int(re.search(r"VmHWM:\s+(\d+)", status).group(1))


CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
TEXT_EVENT = event(1, "x" * 4000)
ENDLESS = {
    "head": (b"HTTP/1.1 200 OK\r\n", b"X-Filler: " + b"x" * 1000 + b"\r\n"),
    "interim": (b"", b"HTTP/1.1 103 Early Hints\r\nLink: <x>\r\n\r\n"),
    "extension": (CHUNKED + b"\r\n4;", b"x" * 1000),
    "trailer": (CHUNKED + b"\r\n4\r\nabcd\r\n0\r\n", b"X-Filler: " + b"x" * 1000 + b"\r\n"),
    "event": (EVENT_STREAM + b"data: ", b"x" * 1000),
    "events": (EVENT_STREAM, TEXT_EVENT),
}


@pytest.mark.parametrize("kind", ["engine", "service"])
@pytest.mark.parametrize("part", ENDLESS)
def test_endless_answer_costs_little_memory(otaru, part, kind):
    """Guards against collecting what an endpoint in trouble sends without end."""
    if (part, kind) == ("events", "service"):
        return  # An endless answer of a service is relayed as it comes.
    gateway = otaru.gateways[0]
    start, piece = ENDLESS[part]

    def answer(connection, _, __):
        connection.sendall(start)
        send_endlessly(connection, piece, ENDLESS_BYTES)

    with RawEndpoint(answer) as endpoint:
        use_only(otaru, endpoint, kind, "sapporo", gateway)
        target = "/services/order-desk/orders/7" if kind == "service" else None
        calls = [open_call(gateway, target=target) for _ in range(6)]
        for connection in calls:
            with contextlib.suppress(http.client.HTTPException, ConnectionError):
                status, _ = read_answer(connection)
                assert status >= 429 or kind == "service"
        assert peak_memory_kb(gateway) < MEMORY_LIMIT_KB


def test_interim_answers_are_not_taken_for_the_answer(otaru):
    """Guards against taking an interim answer for the final one: the caller got the 103, and the
    final answer was left on a connection that the next request would use."""
    gateway = otaru.gateways[0]

    def answer(connection, _, __):
        connection.sendall(b"HTTP/1.1 103 Early Hints\r\nLink: <x>\r\n\r\n" * 3)
        time.sleep(0.3)
        connection.sendall(whole(b"final"))

    with RawEndpoint(answer) as service:
        use_only(otaru, service, "service", "sapporo", gateway)
        assert probe(gateway, "service") == (200, "final")


# Guards against MIXED: an answer with a status that HTTP does not have is given to the caller.
@pytest.mark.parametrize("kind", ["service", "engine"])
def test_an_answer_with_an_invalid_status_is_no_answer(otaru, kind):
    gateway = otaru.gateways[0]
    status = "000"

    def answer(connection, _, __):
        connection.sendall(whole(whole(b"inner"), status))

    with RawEndpoint(answer) as endpoint:
        use_only(otaru, endpoint, kind, "sapporo", gateway)
        for status in ("000 None", "099 Odd", "101 Switching Protocols", "600 Odd", "999 Odd"):
            seen, body = probe(gateway, kind)
            assert seen in (502, 503, 504), (status, seen, body)


# Guards against MIXED: an early answer to an upload is reset, and its part is taken for the whole.
def test_an_early_answer_that_is_reset_during_the_upload_is_not_whole(otaru):
    gateway = otaru.gateways[0]
    host, port = gateway.addresses["http"].split(":")
    with EarlyAnswerEndpoint(lambda connection, *_: connection.sendall(whole(b"ok"))) as service:
        use_only(otaru, service, "service", "sapporo", gateway)
        for _ in range(12):
            caller = http.client.HTTPConnection(host, int(port), timeout=20)
            caller.request("GET", "/services/order-desk/orders/7", b"x" * 3_500_000, SCHOOLS)
            with contextlib.suppress(http.client.HTTPException, ConnectionError):
                answer = caller.getresponse()
                body = answer.read()
                assert answer.status != 200, body
        assert service.early > 0


def test_bytes_after_an_answer_are_no_answer(otaru):
    """Guards against taking what follows an answer for the answer to the next request."""
    gateway = otaru.gateways[0]

    def answer(connection, _, path):
        connection.sendall(whole(path.encode()) + whole(b"of no request"))
        return KEEP

    with RawEndpoint(answer) as service:
        use_only(otaru, service, "service", "sapporo", gateway)
        kept = http.client.HTTPConnection(gateway.addresses["http"], timeout=20)
        for number in range(6):
            kept.request("GET", f"/services/order-desk/orders/{number}", None, SCHOOLS)
            assert kept.getresponse().read() == f"/orders/{number}".encode()


def test_endless_load_report_counts_as_no_report(otaru):
    """Guards against waiting without end for a load report that comes byte by byte."""
    gateway = otaru.gateways[0]

    def trickle(connection):
        connection.sendall(CHUNKED + b"\r\n")
        while True:
            connection.sendall(b"1\r\n \r\n")
            time.sleep(0.3)

    with RawEndpoint(lambda connection, _, __: connection.sendall(whole(b"{}"))) as service:
        use_only(otaru, service, "service", "sapporo", gateway)
        service.load = trickle
        deadline = time.monotonic() + 10
        while "raw is unreachable" not in log_of(otaru, gateway):
            assert time.monotonic() < deadline
            time.sleep(0.1)


# Silence


@pytest.mark.parametrize("kind", ["engine", "service"])
def test_silence_of_two_seconds_does_no_harm(otaru, kind):
    """Guards against judging a sound endpoint that is silent for a moment, before and within its
    answer: no second run, no resumption, no cut, and it stays in use."""
    gateway = otaru.gateways[0]

    def answer(connection, method, path):
        time.sleep(2)
        if kind == "service":
            connection.sendall(whole(b"x" * 3000)[:1500])
            time.sleep(2)
            connection.sendall(whole(b"x" * 3000)[1500:])
            return
        connection.sendall(EVENT_STREAM + event(1, "a"))
        time.sleep(2)
        connection.sendall(event(2, "b") + b"data: [DONE]\n\n")

    def silent_load(connection):
        time.sleep(2)
        connection.close()

    with RawEndpoint(answer) as endpoint:
        use_only(otaru, endpoint, kind, "sapporo", gateway)
        endpoint.load = silent_load
        threading.Timer(2, lambda: setattr(endpoint, "load", None)).start()
        target = "/services/order-desk/orders/7" if kind == "service" else None
        status, body = read_answer(open_call(gateway, target=target))
        assert status == 200
        assert body == b"x" * 3000 if kind == "service" else b'"text":"ab"' in body
        assert len(endpoint.requests) == 1
        assert "raw is unreachable" not in log_of(otaru, gateway)


# What on-call can tell


def test_log_tells_who_ended_a_connection_and_what_was_left(otaru):
    """Guards against an end of an answer, or of the process, that the log cannot explain."""
    gateway = otaru.gateways[0]
    with RawEndpoint(engine_answer(40, 50000)) as engine:
        use_only(otaru, engine, "engine", "sapporo", gateway)
        unread = open_call(gateway, headers="X-Request-Id: unread\r\n", receive_buffer=4096)
        leaver = open_call(gateway, headers="X-Request-Id: leaver\r\n", receive_buffer=4096)
        time.sleep(0.5)
        leaver.close()
        time.sleep(WRITE_TIMEOUT + 1)
        gateway.process.terminate()
        gateway.process.wait(20)
        text = log_of(otaru, gateway)
        assert re.search(r"unread.*closed the caller's connection: .*timeout.*; "
                         r"[1-9]\d* bytes not delivered", text)
        assert re.search(r"leaver.*the caller closed its connection.*; "
                         r"[1-9]\d* bytes not delivered", text)
        assert re.search(r"stopped: .* 0 requests, 0 forwarded requests and 0 connections", text)
        unread.close()


# Answers that end inside their heads

WHOLE_HEAD = (b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\nContent-Type: text/event-stream\r\n"
              b"Connection: close\r\n\r\n")
CUT_HEADS = [b"", WHOLE_HEAD[:9], WHOLE_HEAD[:17], WHOLE_HEAD[:35], WHOLE_HEAD[:38],
             WHOLE_HEAD[:-2], WHOLE_HEAD[:-1], b"HTTP/1.1 102 Processing\r\n\r\n",
             b"HTTP/1.1 102 Processing\r\n\r\n" + WHOLE_HEAD[:-2]]


def end_inside_head(sent, resets):
    def answer(connection, _, __):
        connection.sendall(sent)
        if resets:
            time.sleep(0.02)
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    return answer


@pytest.mark.parametrize("resets", [False, True], ids=["closed", "reset"])
@pytest.mark.parametrize("kind", ["service", "engine"])
def test_answer_that_ends_inside_its_head_is_no_success(otaru, kind, resets):
    """Guards against a 200 with an empty or short body that is framed as whole."""
    gateway = otaru.gateways[0]
    with RawEndpoint(None) as endpoint:
        use_only(otaru, endpoint, kind, "sapporo", gateway)
        for sent in CUT_HEADS:
            endpoint.answer = end_inside_head(sent, resets)
            status, body = probe(gateway, kind)
            assert status >= 500, (sent, status, body)


# Streams that go on at another engine


def test_engine_is_told_to_stop_before_another_one_continues_its_stream(otaru):
    """Guards against TWICE: an engine whose connections fall silent generates on while another one
    has the request."""
    gateway = otaru.gateways[0]
    begun = threading.Event()
    stopped = []

    def hang(connection, method, path):
        if method == "DELETE":
            stopped.append(time.monotonic())
            connection.sendall(whole(b"{}"))
        elif method == "POST" and not begun.is_set():
            begun.set()
            connection.sendall(EVENT_STREAM + event(1, "a"))
            connection.recv(1)
        else:
            connection.recv(1)

    with RawEndpoint(hang) as first, RawEndpoint(engine_answer(3, 1)) as second:
        use_only(otaru, first, "engine", "sapporo", gateway)
        caller = open_call(gateway, stream=True)
        assert begun.wait(10)
        otaru.endpoints.append({**otaru.endpoints[0], "id": "second", "http": second.address})
        otaru.publish_list()
        deadline = time.monotonic() + 40
        while not any(method == "POST" for _, method, _ in second.requests):
            assert time.monotonic() < deadline
            time.sleep(0.05)
        time.sleep(1)
        continued = next(at for at, method, _ in second.requests if method == "POST")
        assert stopped and stopped[0] <= continued + 0.4
        caller.close()


NOT_STARTED = (b"HTTP/1.1 503 Service Unavailable\r\nEngine-Run-State: not-started\r\n"
               b"Content-Length: 0\r\n\r\n")


def test_late_refusal_on_a_used_connection_lets_no_engine_generate_on(otaru):
    """Guards against TWICE: a refusal of an earlier request is taken for that of the one under way,
    and another engine gets it."""
    gateway = otaru.gateways[0]
    served, stray, stopped = [], threading.Event(), []

    def answer(connection, method, path):
        if method == "DELETE":
            stopped.append(time.monotonic())
            connection.sendall(whole(b"{}"))
        elif method != "POST":
            connection.sendall(whole(b"{}"))
        elif connection not in served or stray.is_set():
            served.append(connection)
            # Only a connection whose answers state their ids is used again.
            identity = f"\r\nX-Request-Id: {engine.request_ids[connection]}\r\n\r\n".encode()
            connection.sendall(whole(b'{"choices": []}').replace(b"\r\n\r\n", identity, 1))
            return KEEP
        else:
            stray.set()
            connection.sendall(NOT_STARTED)
            connection.recv(1)

    with RawEndpoint(answer) as engine:
        use_only(otaru, engine, "engine", "sapporo", gateway)
        for _ in range(20):
            if not stray.is_set():
                probe(gateway, "engine")
        assert stray.is_set()
        time.sleep(0.4)
        assert stopped


# Odd input


def test_odd_endpoints_in_the_list_cost_only_themselves(otaru):
    """Guards against LOST: a gateway that follows the list no more after one odd entry."""
    gateway = otaru.gateways[0]
    reply = lambda connection, _, __: connection.sendall(whole(b'{"raw": true}'))  # noqa: E731
    with RawEndpoint(reply) as first, RawEndpoint(reply) as second:
        use_only(otaru, first, "service", "sapporo", gateway)
        sound = {**otaru.endpoints[0], "id": "second", "http": second.address}
        otaru.endpoints = [
            {**sound, "id": "odd-1", "http": "127.0.0.1:65536"},
            {**sound, "id": "odd-2", "state": 1e300},
            {"id": "odd-3"},
            -1,
            sound,
        ]
        otaru.publish_list()
        deadline = time.monotonic() + 15
        while not second.requests:
            assert time.monotonic() < deadline, "the gateway follows the list no more"
            with contextlib.suppress(OSError):
                probe(gateway, "service")
            time.sleep(0.1)
        assert "/endpoints/0/http" in log_of(otaru, gateway)
