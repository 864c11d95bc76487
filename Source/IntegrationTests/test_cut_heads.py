"""Endpoints that end their connection inside the head of an answer; judged by whether a caller gets a
success that is not whole."""

import itertools

import pytest

from relay_deployment import RelayDeployment, standin
from cut_head_endpoint import CUTS, ENDS, CutHeadEndpoint
from test_relay import attempt, runs_of, whole

INSTANCES = {"north-1": ("127.0.0.25", "north-a"), "south-1": ("127.0.0.26", "south-a")}
ENDPOINTS = [
    (f"{service}-{number}", service, zone)
    for service, zone in (
        ("model", "north-a"),
        ("desk", "north-a"),
        ("far model", "south-a"),
        ("far desk", "south-a"),
    )
    for number in range(4)
]
ROUTES = [
    standin.route("draft", "/stream/", "model", "stream", resumable=True, gap=400),
    standin.route("once", "/stream/once/", "model", "stream", gap=400),
    standin.route("order", "/order/", "desk", "once"),
    standin.route("status", "/status/", "desk", "idempotent"),
    standin.route("far draft", "/stream/far/", "far model", "stream", resumable=True, gap=400),
    standin.route("far order", "/order/far/", "far desk", "once"),
    standin.route("far status", "/status/far/", "far desk", "idempotent"),
]
SERVICES = [standin.service(name, "model" in name) for name in ("model", "desk", "far model", "far desk")]
#: Path, and whether a request may run again.
KINDS = {
    "/stream/x": True,
    "/stream/once/x": False,
    "/order/x": False,
    "/status/x": True,
    "/stream/far/x": True,
    "/order/far/x": False,
    "/status/far/x": True,
}


@pytest.fixture(scope="module")
def deployment(tmp_path_factory):
    bounds = standin.retry_bounds(1.0, 500, ratio=1.0)
    one = RelayDeployment(
        tmp_path_factory.mktemp("cut"), INSTANCES, ENDPOINTS, ROUTES, SERVICES, bounds, CutHeadEndpoint
    )
    try:
        one.wait_ready()
        yield one
    finally:
        one.stop()


def call(deployment, path, body):
    return attempt(deployment.address("north-1"), "POST", path, body)


# Guards against MIXED and ORDER: a 200 with an empty or short body that is framed as whole.
@pytest.mark.parametrize("path", KINDS)
@pytest.mark.parametrize("before", [b"x", b"close"], ids=["used connection", "new connection"])
def test_an_answer_that_ends_inside_its_head_is_no_success(deployment, path, before):
    kind = "draft" if "/stream/" in path else "plain"
    cuts = [f"{cut}|{end}".encode() for cut, end in itertools.product(CUTS, ENDS)]
    # Whole answers between the others keep the endpoints in use.
    bodies = [body for cut in cuts for body in (before, before, before, cut)]
    outcomes = [call(deployment, path, body) for body in bodies]
    runs = runs_of(deployment.platform)
    for body, (identity, status, headers, answer) in zip(bodies, outcomes):
        if status is not None and status < 300:
            assert whole(kind, identity, headers, answer), (body, status, headers, answer)
            assert body == before or KINDS[path], f"{body}: what may not run again got an answer"
        if not KINDS[path]:
            assert runs.get(identity, 0) <= 1, f"{body} ran twice"
            assert status != 503 or identity not in runs, f"{body} ran and got 503"
    played = [identity in CutHeadEndpoint.cut_attempts for identity, *_ in outcomes]
    assert sum(played) >= len(cuts) / 2, "too few answers ended inside their heads"
    assert any(status == 200 for _, status, _, _ in outcomes)
