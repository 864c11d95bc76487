"""Regions that cannot reach each other, and requests that must not travel in a loop."""

import json
import time

import pytest

from calls import Stream, read_whole
from deployment import Deployment, http

PROMPT = "inscription for the sapporo youth league"


def chat(gateway, request_id, token="example-schools", region=None, tokens=6, **headers):
    return Stream(gateway.addresses["http"], "/v1/completions",
                  {"model": "inscription", "prompt": PROMPT, "max_tokens": tokens, "stream": True},
                  {"Authorization": f"Bearer {token}", "X-Request-Id": request_id,
                   **({"Laburnumchute-Home-Region": region} if region else {}), **headers})


def dump(gateway):
    return json.loads(http("GET", gateway.addresses["operator"], "/dump")[1])


def wait_for(condition, patience=20):
    deadline = time.monotonic() + patience
    while not condition():
        assert time.monotonic() < deadline, "the condition was not met in time"
        time.sleep(0.05)


@pytest.fixture
def deployment(request):
    import os
    with Deployment("otaru", os.environ["BUILD_DIR"]) as running:
        yield running


def test_region_cut_off_serves_its_own_callers(deployment):
    """The links of a region break in both directions. Its callers must notice nothing: they are
    served by their own region's instance and engines, and the instance goes on with the
    configuration that it has."""
    hakodate = next(g for g in deployment.gateways if g.region == "hakodate")
    for link in ("sapporo-hakodate", "asahikawa-hakodate"):
        deployment.platform.link(link, cut=True)
    for number in range(10):
        own_id = f"cut-off-{number}"
        stream = chat(hakodate, own_id)
        assert stream.status == 200
        read_whole(stream, own_id, PROMPT, 6)
        runs = deployment.runs(own_id)
        assert [name.split("-")[0] for name, _ in runs] == ["hakodate"]


def test_residency_holds_when_the_home_region_is_cut_off(deployment):
    """A caller of Sapporo whose data must stay there speaks to the instance of Hakodate while the
    link between the two is cut. It must be refused, and told that nothing was run; no endpoint of
    another region may see the request."""
    hakodate = next(g for g in deployment.gateways if g.region == "hakodate")
    for link in ("sapporo-hakodate", "asahikawa-hakodate"):
        deployment.platform.link(link, cut=True)
    body = {"model": "inscription", "prompt": PROMPT, "max_tokens": 4}
    answers = []
    for number in range(6):
        status, text = http("POST", hakodate.addresses["http"], "/v1/completions", body,
                            {"Authorization": "Bearer example-town-office",
                             "Content-Type": "application/json",
                             "X-Request-Id": f"home-only-{number}",
                             "Laburnumchute-Home-Region": "sapporo",
                             "Laburnumchute-Residency": "home"}, timeout=60)
        answers.append((status, json.loads(text)["run"]))
        assert deployment.runs(f"home-only-{number}") == []
    assert {status // 100 for status, _ in answers} <= {4, 5}
    assert {run for _, run in answers} <= {"not run", "unknown"}


def test_request_is_forwarded_at_most_once(deployment):
    """Every region's engines refuse work as not started, so that each instance would like to pass a
    request on. The request must not go round between the regions: its caller gets an answer, and no
    region sees it more often than its own tries allow."""
    for name, host in deployment.endpoint_hosts.items():
        if "engine" in name:
            host.faults(name, refuse_not_started=True)
    body = {"model": "inscription", "prompt": PROMPT, "max_tokens": 4}
    for number in range(5):
        status, text = http("POST", deployment.gateways[0].addresses["http"], "/v1/completions",
                            body, {"Authorization": "Bearer example-schools",
                                   "Content-Type": "application/json",
                                   "X-Request-Id": f"loop-{number}"}, timeout=60)
        assert status >= 500
        assert json.loads(text)["run"] == "not run"
        assert deployment.runs(f"loop-{number}") == []
    for gateway in deployment.gateways:
        wait_for(lambda g=gateway: dump(g)["forwarded_in_flight"] == 0)


def test_superseded_request_is_answered_while_it_is_in_another_region(deployment):
    """A clerk of Sapporo retypes a draft at the instance of Hakodate, whose rule sends both drafts
    home over the slow link, and the application leaves the first call open. The first call must
    end at once with a word that it was superseded; it must not stay open for ever."""
    hakodate = next(g for g in deployment.gateways if g.region == "hakodate")
    headers = {"Laburnumchute-Residency": "home"}
    for number in range(5):
        first = chat(hakodate, f"draft-{number}", region="sapporo", tokens=400, **headers)
        next(first.tokens())
        own_id = f"retyped-{number}"
        second = chat(hakodate, own_id, region="sapporo",
                      **{**headers, "Laburnumchute-Supersedes": f"draft-{number}"})
        read_whole(second, own_id, PROMPT, 6)
        names = [name for name, _, _ in first.events()]
        assert names[-1] == "error"
