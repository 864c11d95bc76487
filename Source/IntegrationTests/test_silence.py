"""Open connections that go silent for good while new ones work."""

import os

import pytest

from calls import Stream, check_answer
from deployment import Deployment

PROMPT = "which valve is nearest to the caller"


@pytest.fixture
def deployment():
    with Deployment("caroni", os.environ["BUILD_DIR"]) as running:
        yield running


def put_proxy_before(deployment, region):
    """Lets the engines of a region be reached through the proxy, so that their connections can be
    made to fall silent."""
    for endpoint in deployment.endpoints:
        if endpoint["region"] == region and endpoint["kind"] == "engine":
            endpoint["http"] = deployment.platform.control("POST", "/proxies", {
                "id": "to/" + endpoint["id"], "kind": "tcp", "target": endpoint["http"],
                "link": "within-" + region})["address"]
    deployment.publish_list()


def test_stream_goes_on_when_its_connection_to_the_engine_falls_silent(deployment):
    """Something between the instance and an engine forgets an open connection: no byte passes any
    more, no error comes, and new connections work. The caller must get the rest of its answer
    within seconds, with no token lost and none given twice."""
    deployment.platform.link("within-north", delay_ms=0)
    put_proxy_before(deployment, "north")
    import time
    time.sleep(3)
    stream = Stream(deployment.gateways[0].addresses["http"], "/v1/completions",
                    {"model": "hotline", "prompt": PROMPT, "max_tokens": 80, "stream": True},
                    {"Authorization": "Bearer example-depots", "X-Request-Id": "silent"},
                    timeout=60)
    parts, ids = [], set()
    for answer_id, text in stream.tokens():
        ids.add(answer_id)
        parts.append(text)
        if len(parts) == 10:
            deployment.platform.link("within-north", silence_open=True)
    assert len(parts) == 80
    assert len(ids) == 1
    check_answer(ids.pop(), "".join(parts), "silent", PROMPT, 80)
    assert len(deployment.runs("silent")) == 1
