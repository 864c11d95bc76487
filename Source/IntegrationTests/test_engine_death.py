"""Engines that go down while requests are on them."""

import json
import os
import threading
import time

import pytest

from calls import Stream, check_answer, read_whole
from deployment import Deployment, http

PROMPT = "condense the call history of the depot"


@pytest.fixture
def deployment():
    with Deployment("caroni", os.environ["BUILD_DIR"], separate_engines=True) as running:
        yield running


def call(deployment, request_id, prompt=PROMPT, tokens=40, gateway=0, region="north"):
    return Stream(deployment.gateways[gateway].addresses["http"], "/v1/completions",
                  {"model": "hotline", "prompt": prompt, "max_tokens": tokens, "stream": True},
                  {"Authorization": "Bearer example-depots", "X-Request-Id": request_id})


def engine_of(deployment, request_id):
    for name, host in deployment.endpoint_hosts.items():
        if "engine" not in name or host.process.poll() is not None:
            continue
        for record in host.records().values():
            for run in record.get("runs", []):
                if run["request_id"].startswith(request_id + "."):
                    return name, host
    return None, None


def test_stream_is_completed_by_another_engine_when_its_engine_is_killed(deployment):
    """The machine of an engine goes down in mid-stream. The caller, who has read a part of the
    answer, must get the rest of the same answer, each token once, after a short wait."""
    stream = call(deployment, "killed", tokens=60)
    parts, ids = [], set()
    for answer_id, text in stream.tokens():
        ids.add(answer_id)
        parts.append(text)
        if len(parts) == 10:
            _, host = engine_of(deployment, "killed")
            host.kill()
    assert len(parts) == 60
    assert len(ids) == 1
    check_answer(ids.pop(), "".join(parts), "killed", PROMPT, 60)


def test_frozen_engine_loses_no_token(deployment):
    """An engine's process is paused for a few seconds in mid-stream and wakes up again. The caller
    must get every token once and in order, whichever engine it came from in the end."""
    stream = call(deployment, "frozen", tokens=60)
    parts, ids, thaw = [], set(), None
    for answer_id, text in stream.tokens():
        ids.add(answer_id)
        parts.append(text)
        if len(parts) == 10:
            _, host = engine_of(deployment, "frozen")
            host.freeze()
            thaw = threading.Timer(5, host.thaw)
            thaw.start()
    thaw.join()
    assert len(parts) == 60
    check_answer(ids.pop(), "".join(parts), "frozen", PROMPT, 60)


def test_poison_request_takes_down_few_engines(deployment):
    """One prompt crashes each engine that runs it, and its caller sends it again and again, to one
    instance after the other. All engines of all regions would be lost one by one. Two may be; then
    the request is refused everywhere, while other requests are served."""
    poison = "the prompt that crashes engines"
    for name, host in deployment.endpoint_hosts.items():
        if "engine" in name:
            host.faults(name, poison=poison, exit_on_crash=True)
    for number in range(12):
        gateway = deployment.gateways[number % 4]
        try:
            http("POST", gateway.addresses["http"], "/v1/completions",
                 {"model": "hotline", "prompt": poison, "max_tokens": 5},
                 {"Authorization": "Bearer example-depots", "Content-Type": "application/json",
                  "X-Request-Id": f"poison-{number}"}, timeout=60)
        except OSError:
            pass
        time.sleep(0.5)
    engines = {host for name, host in deployment.endpoint_hosts.items() if "engine" in name}
    lost = sum(host.process.poll() is not None for host in engines)
    assert lost <= 3
    for number in range(4):
        own_id = f"innocent-{number}"
        stream = call(deployment, own_id, tokens=5, gateway=number)
        assert stream.status == 200, stream.answer.read()
        read_whole(stream, own_id, PROMPT, 5)
