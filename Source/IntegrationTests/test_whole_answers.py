"""Answers that end early or belong to another attempt, by real processes; judged by what callers
get."""

import concurrent.futures
import signal
import time

import pytest

import killable_endpoint
from early_endpoint import LARGE, EarlyAnswerEndpoint
from killable_endpoint import HALF_BODY, whole_body
from raw_caller import RawCaller
from relay_deployment import RelayDeployment, standin
from repeating_endpoint import BrokenStreamEndpoint, RepeatingEndpoint

INSTANCES = {"north-1": ("127.0.0.81", "north-a"), "south-1": ("127.0.0.82", "south-a")}
BOUNDS = standin.retry_bounds(1.0, 50)
ROUTES = [
    standin.route("order", "/order/", "desk", "once", timeout_ms=8000, objective_ms=3000),
    standin.route("status", "/status/", "desk", "idempotent", timeout_ms=8000, objective_ms=3000),
    standin.route("note", "/stream/note/", "desk", "stream", gap=2000, timeout_ms=8000),
    standin.route("draft", "/stream/", "desk", "stream", True, gap=2000, timeout_ms=8000),
]
SERVICES = [standin.service("desk")]
PATHS = ["/order/x", "/status/x", "/stream/note/x", "/stream/x"]
SETTLED = 1.5
#: Longer than half of an answer takes.
HALFWAY = 0.6


@pytest.fixture
def deployment(tmp_path):
    one = RelayDeployment(tmp_path, INSTANCES, [], ROUTES, SERVICES, BOUNDS)
    yield one
    one.stop()


@pytest.fixture
def endpoint(deployment):
    one = killable_endpoint.Process(deployment.platform, "desk", "north-a", "d")
    one.start()
    one.register()
    deployment.wait_ready()
    time.sleep(SETTLED)
    yield one
    one.stop()


def call(deployment, path, body, name="north-1", headers=None):
    return RawCaller(deployment.address(name), path, body, deadline=6.0, headers=headers)


def check_not_half(path, outcome):
    looks_whole = outcome.whole and outcome.status == 200
    right = outcome.body == whole_body(path, outcome.identity)
    assert right or not looks_whole, f"passed on as whole: {outcome.body}"


# Guards against MIXED: the answer of a killed endpoint has no length and passes for whole, since
# connections to its address are still accepted.
@pytest.mark.parametrize("name", ["north-1", "south-1"])
@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("successor", [None, "another id", "same id"])
def test_half_an_answer_of_a_killed_endpoint_is_not_whole(
    deployment, endpoint, successor, path, name
):
    caller = call(deployment, path, HALF_BODY, name)
    time.sleep(HALFWAY)
    endpoint.kill()
    if successor:
        endpoint.start("d.1" if successor == "same id" else None)
    check_not_half(path, caller.result())


# Guards against MIXED: as above, and the instance learns of the end only once the successor serves.
@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("successor", ["another id", "same id"])
def test_half_an_answer_that_ended_during_a_stand_still_is_not_whole(
    deployment, endpoint, successor, path
):
    caller = call(deployment, path, HALF_BODY)
    time.sleep(HALFWAY)
    process = deployment.processes["north-1"]
    process.send_signal(signal.SIGSTOP)
    endpoint.kill()
    endpoint.start("d.1" if successor == "same id" else None)
    time.sleep(1.0)
    process.send_signal(signal.SIGCONT)
    check_not_half(path, caller.result())


def test_sound_answers_without_a_length_are_passed_on(deployment, endpoint):
    for name in INSTANCES:
        for path in PATHS:
            outcome = call(deployment, path, b"x", name).result()
            assert outcome.status == 200 and outcome.whole, (path, outcome)
            assert outcome.body == whole_body(path, outcome.identity)


def repeating(tmp_path, instances, endpoints, make_endpoint):
    one = RelayDeployment(
        tmp_path, instances, endpoints, ROUTES, SERVICES, BOUNDS, make_endpoint
    )
    one.wait_ready()
    time.sleep(SETTLED)
    return one


# Guards against MIXED: a second answer begins inside an answer that has broken off or has no length,
# and its head and body are passed on as a part of the first one's.
@pytest.mark.parametrize("path", ["/order/x", "/status/x", "/stream/x"])
@pytest.mark.parametrize("place", ["short body", "body without a length"])
def test_a_second_answer_is_not_joined_to_the_first(tmp_path, place, path):
    instances = {"north-1": INSTANCES["north-1"]}
    deployment = repeating(tmp_path, instances, [("d-1", "desk", "north-a")], RepeatingEndpoint)
    try:
        endpoint = deployment.platform.endpoints["d-1"]
        deployment.platform.call(setattr, endpoint, "place", place)
        for _ in range(4):
            outcome = call(deployment, path, b"x").result()
            looks_whole = outcome.whole and outcome.status == 200
            assert not looks_whole or b"HTTP/1.1" not in outcome.body, outcome
        assert endpoint.repeated > 0
    finally:
        deployment.stop()


# Guards against MIXED and TWICE: a request that is forwarded to an instance twice meets there the
# second answer to its first attempt.
def test_a_second_answer_is_not_taken_for_that_to_a_later_forward(tmp_path):
    deployment = repeating(
        tmp_path, INSTANCES, [("d-1", "desk", "south-a")], RepeatingEndpoint
    )
    try:
        endpoint = deployment.platform.endpoints["d-1"]
        deployment.platform.call(setattr, endpoint, "place", "after a refusal")
        with concurrent.futures.ThreadPoolExecutor(4) as callers:
            outcomes = list(
                callers.map(lambda _: call(deployment, "/order/x", b"x").result(), range(24))
            )
        time.sleep(0.5)
        runs = [identity for identity, _ in endpoint.runs]
        assert endpoint.repeated > 0
        for outcome in outcomes:
            assert runs.count(outcome.identity) <= 1, f"ran {runs.count(outcome.identity)} times"
            told_not_run = outcome.status in (408, 421, 429, 503)
            assert not (told_not_run and outcome.identity in runs), f"ran and got {outcome.status}"
    finally:
        deployment.stop()


# Guards against MIXED: the head of an error is written into a stream that another endpoint began.
@pytest.mark.parametrize("status", [400, 404, 410, 500])
def test_an_error_of_the_next_endpoint_is_not_written_into_a_stream(tmp_path, status):
    instances = {"north-1": INSTANCES["north-1"]}
    BrokenStreamEndpoint.resumed = 0
    endpoints = [("d-1", "desk", "north-a"), ("d-2", "desk", "north-a")]
    deployment = repeating(tmp_path, instances, endpoints, BrokenStreamEndpoint)
    try:
        for endpoint in deployment.platform.endpoints.values():
            deployment.platform.call(setattr, endpoint, "status", status)
        # Of different contents, which are not taken for one that crashes endpoints.
        for number in range(8):
            caller = call(deployment, "/stream/x", b"content %d" % number)
            outcome = caller.result()
            assert caller.received.count(b"HTTP/1.1 ") == 1, caller.received
            assert outcome.status != 200 or not outcome.whole, caller.received
        assert BrokenStreamEndpoint.resumed > 0
    finally:
        deployment.stop()


# Guards against MIXED: an early answer to an upload is reset, and its part is taken for the whole.
@pytest.mark.parametrize("path", ["/order/x", "/status/x"])
@pytest.mark.parametrize("name", ["north-1", "south-1"])
def test_an_early_answer_that_is_reset_during_the_upload_is_not_whole(tmp_path, name, path):
    deployment = RelayDeployment(
        tmp_path, INSTANCES, [("d-1", "desk", "north-a")], ROUTES, SERVICES, BOUNDS, EarlyAnswerEndpoint
    )
    try:
        deployment.wait_ready()
        time.sleep(SETTLED)
        for _ in range(16):
            outcome = call(deployment, path, b"x" * 4 * LARGE, name).result()
            assert outcome.status != 200 or not outcome.whole, outcome.body
    finally:
        deployment.stop()
