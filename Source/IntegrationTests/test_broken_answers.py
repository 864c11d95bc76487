"""Answers that end before they are whole or are no valid HTTP, verb relay, by real processes; judged by
what callers get, directly and behind a forward."""

import collections
import itertools
import json

import pytest

from broken_answers import FRAMINGS, INVALID_LINES, INVALID_STATUSES, PLACES, framed, with_line
from broken_endpoint import (
    BROKEN_ENDINGS, EARLY_BODY, ENDING, FIELDS, FRAMING, IDENTITY, SOUND_ENDINGS, BrokenAnswerEndpoint,
)
from raw_caller import RawCaller
from relay_deployment import RelayDeployment, standin

#: The endpoints are in the region of the first, so the second forwards.
INSTANCES = {"north-1": ("127.0.0.61", "north-a"), "south-1": ("127.0.0.62", "south-a")}
ENDPOINTS = [(f"d-{number}", "desk", "north-a") for number in range(6)]
ROUTES = [
    standin.route("order", "/order/", "desk", "once", timeout_ms=8000, objective_ms=3000),
    standin.route("status", "/status/", "desk", "idempotent", timeout_ms=8000, objective_ms=3000),
    standin.route("draft", "/stream/", "desk", "stream", gap=2000, timeout_ms=8000),
]
PATHS = ("/order/x", "/status/x", "/stream/x")
#: One that the buffers of the kernel hold, and one that they do not.
UPLOADS = (400_000, 3_500_000)
BODY = b"id: 1\ndata: " + IDENTITY + b"\n\n"
FAILURES = (502, 503, 504)
NUMBERS = itertools.count(1)


@pytest.fixture(scope="module")
def deployment(tmp_path_factory):
    bounds = standin.retry_bounds(1.0, 500, ratio=1.0)
    one = RelayDeployment(
        tmp_path_factory.mktemp("broken"), INSTANCES, ENDPOINTS, ROUTES, [standin.service("desk")],
        bounds, BrokenAnswerEndpoint,
    )
    try:
        one.wait_ready()
        yield one
    finally:
        one.stop()


def call(deployment, name, path, body, **options):
    return RawCaller(deployment.address(name), path, body, deadline=6.0, **options).result()


def call_sound(deployment, count=3):
    """Answers that keep the endpoints in use."""
    for name in INSTANCES:
        for _ in range(count):
            call(deployment, name, "/status/x", b"sound %d" % next(NUMBERS))


def counted(deployment, counter):
    """The sum of a counter of all endpoints."""
    endpoints = deployment.platform.endpoints.values()
    return sum((counter(endpoint) for endpoint in endpoints), collections.Counter())


def upload(deployment, name, path, size, ending, framing, chunked):
    # Of different contents, which are not taken for one that crashes endpoints.
    body = b"%d " % next(NUMBERS) + b"x" * size
    return call(
        deployment, name, path, body, headers={ENDING: ending, FRAMING: framing}, chunked=chunked
    )


# Guards against MIXED: an early answer to an upload is reset, and its part is taken for the whole.
@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("ending", BROKEN_ENDINGS)
@pytest.mark.parametrize("size", UPLOADS)
def test_an_early_answer_that_is_reset_is_not_whole(deployment, size, ending, framing):
    early = lambda endpoint: endpoint.server.early  # noqa: E731
    before = counted(deployment, early)[ending]
    calls = list(itertools.product(INSTANCES, PATHS, (False, True)))
    wrong = []
    for name, path, chunked in calls:
        call_sound(deployment)
        outcome = upload(deployment, name, path, size, ending, framing, chunked)
        if outcome.status == 200 and outcome.whole:
            wrong.append((name, path, chunked, outcome.body))
    assert not wrong, f"{len(wrong)} of {len(calls)}: {wrong}"
    asked = counted(deployment, early)[ending] - before
    assert asked >= len(calls) / 2, f"the endpoints were asked {asked} times"


# Guards against failing answers that come early, end with their connections and are whole.
@pytest.mark.parametrize("ending", SOUND_ENDINGS)
@pytest.mark.parametrize("size", UPLOADS)
def test_an_early_answer_to_an_upload_that_is_read_is_whole(deployment, size, ending):
    for name, path, chunked in itertools.product(INSTANCES, PATHS, (False, True)):
        call_sound(deployment, 1)
        outcome = upload(deployment, name, path, size, ending, "close", chunked)
        assert outcome.status == 200 and outcome.whole, (name, path, chunked, outcome)
        assert outcome.body == EARLY_BODY


def check_refused(deployment, answers):
    """Each answer must be given to no caller."""
    sent = lambda endpoint: endpoint.sent  # noqa: E731
    before = counted(deployment, sent)
    for name, path, answer in itertools.product(INSTANCES, PATHS, answers):
        call_sound(deployment, 1)
        text = answer.decode("latin-1")
        body = json.dumps({"answer": text, "number": next(NUMBERS)}).encode()
        outcome = call(deployment, name, path, body)
        refused = outcome.status in FAILURES or not outcome.whole
        assert refused, f"{name}, {path}, {answer}: passed on {outcome.status} {outcome.body}"
    times = counted(deployment, sent)
    times.subtract(before)
    assert all(times[answer] >= len(PATHS) for answer in answers), times


# Guards against MIXED: an answer with a status that HTTP does not have, or what follows its head, is
# given to the caller.
@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("status", INVALID_STATUSES)
def test_an_answer_with_an_invalid_status_is_no_answer(deployment, status, framing):
    inner = framed([b"HTTP/1.1 200 OK", *FIELDS], BODY, "length")
    head = [b"HTTP/1.1 " + status.encode(), *FIELDS]
    check_refused(deployment, [framed(head, BODY, framing), framed(head, inner, framing)])


# Guards against MIXED: the check of an end takes an answer with an invalid status for one that shows
# that the endpoint still runs.
@pytest.mark.parametrize("status", INVALID_STATUSES)
def test_a_health_answer_with_an_invalid_status_shows_nothing(deployment, status):
    endpoints = deployment.platform.endpoints.values()
    answer = framed([b"HTTP/1.1 200 OK", *FIELDS], BODY, "close")
    for endpoint in endpoints:
        deployment.platform.call(setattr, endpoint, "health_status", status)
    try:
        check_refused(deployment, [answer])
    finally:
        for endpoint in endpoints:
            deployment.platform.call(setattr, endpoint, "health_status", None)


# Guards against MIXED: a line with an invalid name is passed on, or what it states decides where the
# body ends.
@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("line", INVALID_LINES.values(), ids=INVALID_LINES)
def test_an_answer_with_an_invalid_name_of_a_field_is_no_answer(deployment, line, framing):
    answers = [with_line(line, place, FIELDS, BODY, framing) for place in PLACES]
    check_refused(deployment, [answer for answer in answers if answer])


# Guards against failing answers for sound lines in these places, and for lines that begin with a blank,
# which continue a value (RFC 9112, section 5.2) and must not be passed on as they are.
@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("line", [b"X-Trace: 1", b"X-Trace: 1\r\n X-Fold: 2"], ids=["plain", "folded"])
def test_an_answer_with_a_sound_line_is_passed_on(deployment, line, framing):
    answers = [(place, with_line(line, place, FIELDS, BODY, framing)) for place in PLACES]
    answers = [(place, answer) for place, answer in answers if answer]
    for name, path, (place, answer) in itertools.product(INSTANCES, PATHS, answers):
        text = answer.decode("latin-1")
        body = json.dumps({"answer": text, "number": next(NUMBERS)}).encode()
        outcome = call(deployment, name, path, body)
        assert outcome.status == 200 and outcome.whole, (name, path, place, outcome)
        assert outcome.body == BODY.replace(IDENTITY, outcome.identity.encode())
        value = line.partition(b": ")[2].replace(b"\r\n", b"").decode()
        assert place not in ("first", "last") or outcome.headers["x-trace"] == value
