"""Answers that end before they are whole or are no valid HTTP, verb gateway, by real processes; judged
by what callers get, directly and behind a forward."""

import collections
import http.client
import itertools
import json
import os
import socket
import time

import pytest

from broken_answers import FRAMINGS, INVALID_LINES, INVALID_STATUSES, PLACES, framed, with_line
from deployment import Deployment
from raw_caller import in_chunks
from raw_endpoint import LOAD, EarlyAnswerEndpoint, RawEndpoint, event, reset, whole
from test_gateway_delivery import SCHOOLS, SETTINGS, use_only

#: The places of instances among those of the deployment. The endpoint is in the region of the first.
ENTRIES = {"directly": 0, "forwarded": 2}
REGION = "sapporo"
UPLOADS = (400_000, 3_500_000)
PART = b'{"choices": []}'
SOUND = {
    "service": (b"Content-Type: application/json", b'{"sound": 1}'),
    "engine": (b"Content-Type: text/event-stream", event(1, "sound") + b"data: [DONE]\n\n"),
}
FAILURES = (502, 503, 504)


@pytest.fixture(scope="module")
def otaru():
    with Deployment("otaru", os.environ["BUILD_DIR"], gateway_settings=SETTINGS) as running:
        yield running


@pytest.fixture(params=ENTRIES)
def entry(request, otaru):
    return otaru.gateways[ENTRIES[request.param]]


@pytest.fixture(params=SOUND)
def kind(request):
    return request.param


def ask(entry, kind, padding=b"", chunked=False):
    """Status and body; a status of None if the answer is not whole."""
    host, port = entry.addresses["http"].split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=20)
    path, body = "/services/order-desk/orders/7", padding
    if kind == "engine":
        prompt = "p" + padding.decode()
        path = "/v1/completions"
        body = json.dumps({"model": "inscription", "prompt": prompt, "max_tokens": 1}).encode()
    headers = dict(SCHOOLS)
    if chunked:
        headers["Transfer-Encoding"], body = "chunked", in_chunks(body)
    method = "POST" if kind == "engine" else "GET"
    try:
        connection.request(method, path, body or None, headers)
        answer = connection.getresponse()
        return answer.status, answer.read()
    except (http.client.HTTPException, ConnectionError):
        return None, b""
    finally:
        connection.close()


class ScriptedAnswers:
    """What a RawEndpoint sends to callers' requests: `next`, or else a sound answer."""

    def __init__(self, kind):
        self.sound = framed([b"HTTP/1.1 200 OK", SOUND[kind][0]], SOUND[kind][1], "length")
        self.next = None
        self.sent = collections.Counter()

    def __call__(self, connection, _method, path):
        if path == "/v1/state":
            connection.sendall(whole(b"{}"))
            return
        if self.next:
            self.sent[self.next] += 1
        connection.sendall(self.next or self.sound)


def wait_until_used(entry, kind):
    """Until a sound answer is passed on, also after broken ones."""
    deadline = time.monotonic() + 15
    while (seen := ask(entry, kind))[0] != 200:
        assert time.monotonic() < deadline, seen
        time.sleep(0.1)


def use(otaru, endpoint, kind, entry):
    """Makes all instances use the endpoint: a forward goes to any instance of its region."""
    use_only(otaru, endpoint, kind, REGION, entry)
    for gateway in otaru.gateways:
        wait_until_used(gateway, kind)


def close_while_the_rest_comes(connection, _length):
    connection.recv(65536)


def half_close(connection):
    connection.shutdown(socket.SHUT_WR)


def half_close_and_reset(connection, _length):
    half_close(connection)
    reset(connection)


def half_close_and_reset_later(connection, _length):
    half_close(connection)
    time.sleep(0.05)
    reset(connection)


def reset_later(connection, _length):
    time.sleep(0.02)
    reset(connection)


def read_all(connection, length):
    """The head is among what is read."""
    received = b""
    while b"\r\n\r\n" not in received:
        received += connection.recv(65536)
    left = length - len(received.split(b"\r\n\r\n", 1)[1])
    while left > 0:
        left -= len(connection.recv(min(65536, left)))


def half_close_and_read_all(connection, length):
    half_close(connection)
    read_all(connection, length)


BROKEN_ENDS = {
    "reset": lambda connection, _: reset(connection),
    "reset later": reset_later,
    "closed": close_while_the_rest_comes,
    "half closed, reset": half_close_and_reset,
    "half closed, reset later": half_close_and_reset_later,
}
SOUND_ENDS = {"read, closed": read_all, "half closed, read": half_close_and_read_all}
PARTS = {
    "close": b"Connection: close\r\n\r\n" + PART,
    "length": b"Content-Length: %d\r\n\r\n%s" % (len(PART) + 100, PART),
    "chunked": b"Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n" % (len(PART), PART),
}
EARLY_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"


def uploads(kind):
    # Prompts have a limit.
    sizes = UPLOADS if kind == "service" else UPLOADS[:1]
    return list(itertools.product(sizes, (False, True)))


def ask_early(endpoint, entry, kind, size, chunked):
    """As ask(), once the endpoint has got the upload: an instance may refuse large ones for a while."""
    before = endpoint.early
    deadline = time.monotonic() + 20
    while endpoint.early == before:
        wait_until_used(entry, kind)
        seen = ask(entry, kind, b"x" * size, chunked)
        assert time.monotonic() < deadline, seen
    return seen


# Guards against MIXED: an early answer to an upload is reset, and its part is taken for the whole.
@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("end", BROKEN_ENDS)
def test_an_early_answer_that_is_reset_is_not_whole(otaru, entry, kind, end, framing):
    with EarlyAnswerEndpoint(ScriptedAnswers(kind)) as endpoint:
        use(otaru, endpoint, kind, entry)
        endpoint.sent, endpoint.finish = EARLY_HEAD + PARTS[framing], BROKEN_ENDS[end]
        calls = uploads(kind)
        seen = []
        for size, chunked in calls:
            seen.append((size, chunked, *ask_early(endpoint, entry, kind, size, chunked)))
        wrong = [one for one in seen if one[2] == 200]
        assert not wrong, f"{len(wrong)} of {len(calls)}: {wrong}"


# Guards against failing answers that come early, end with their connections and are whole.
@pytest.mark.parametrize("end", SOUND_ENDS)
def test_an_early_answer_to_an_upload_that_is_read_is_whole(otaru, entry, kind, end):
    with EarlyAnswerEndpoint(ScriptedAnswers(kind)) as endpoint:
        use(otaru, endpoint, kind, entry)
        endpoint.sent, endpoint.finish = EARLY_HEAD + PARTS["close"], SOUND_ENDS[end]
        for size, chunked in uploads(kind):
            assert ask_early(endpoint, entry, kind, size, chunked)[0] == 200, (size, chunked)


def ask_for(answer, script, entry, kind):
    """As ask(), once the endpoint has sent the answer: an instance may refuse requests for a while."""
    before = script.sent[answer]
    deadline = time.monotonic() + 20
    while script.sent[answer] == before:
        wait_until_used(entry, kind)
        script.next = answer
        seen = ask(entry, kind)
        script.next = None
        assert time.monotonic() < deadline, seen
    return seen


def check_refused(otaru, entry, kind, answers):
    """Each answer must be given to no caller."""
    script = ScriptedAnswers(kind)
    with RawEndpoint(script) as endpoint:
        use(otaru, endpoint, kind, entry)
        for answer in answers:
            status, body = ask_for(answer, script, entry, kind)
            assert status is None or status in FAILURES, f"{answer}: passed on {status} {body}"


# Guards against MIXED: an answer with a status that HTTP does not have, or what follows its head, is
# given to the caller.
def test_an_answer_with_an_invalid_status_is_no_answer(otaru, entry, kind):
    content_type, body = SOUND[kind]
    inner = framed([b"HTTP/1.1 200 OK", content_type], body, "length")
    answers = []
    for status, framing in itertools.product(INVALID_STATUSES, FRAMINGS):
        head = [b"HTTP/1.1 " + status.encode(), content_type]
        answers += [framed(head, body, framing), framed(head, inner, framing)]
    check_refused(otaru, entry, kind, answers)


# Guards against MIXED: the check of an end takes an answer with an invalid status for one that shows
# that the endpoint still runs.
def test_a_load_report_with_an_invalid_status_shows_nothing(otaru, entry):
    answer = framed([b"HTTP/1.1 200 OK"], b"part", "close")
    script = ScriptedAnswers("service")

    with RawEndpoint(script) as endpoint:

        def load(connection):
            # Other reports are sound, so that the endpoint stays in use.
            report = json.dumps({**LOAD, "id": endpoint.identity}).encode()
            connection.sendall(whole(report, status) if script.next else whole(report))

        use(otaru, endpoint, "service", entry)
        endpoint.load = load
        for status in INVALID_STATUSES:
            seen, body = ask_for(answer, script, entry, "service")
            assert seen != 200, (status, body)


# Guards against MIXED: a line with an invalid name is passed on, or what it states decides where the
# body ends.
@pytest.mark.parametrize("place", PLACES)
def test_an_answer_with_an_invalid_name_of_a_field_is_no_answer(otaru, entry, kind, place):
    content_type, body = SOUND[kind]
    answers = [
        with_line(line, place, [content_type], body, framing)
        for line, framing in itertools.product(INVALID_LINES.values(), FRAMINGS)
    ]
    check_refused(otaru, entry, kind, [answer for answer in answers if answer])


# Guards against failing answers for sound lines in these places, and for lines that begin with a blank,
# which continue a value (RFC 9112, section 5.2).
@pytest.mark.parametrize("line", [b"X-Trace: 1", b"X-Trace: 1\r\n X-Fold: 2"], ids=["plain", "folded"])
def test_an_answer_with_a_sound_line_is_passed_on(otaru, entry, kind, line):
    content_type, body = SOUND[kind]
    script = ScriptedAnswers(kind)
    with RawEndpoint(script) as endpoint:
        use(otaru, endpoint, kind, entry)
        for place, framing in itertools.product(PLACES, FRAMINGS):
            answer = with_line(line, place, [content_type], body, framing)
            if answer:
                seen = ask_for(answer, script, entry, kind)
                assert seen[0] == 200, (place, framing, seen)
