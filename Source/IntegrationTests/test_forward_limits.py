"""The listener for other instances, given requests that its own configuration would not allow."""

import http.client

import pytest

from relay_deployment import PEER_PORT, RelayDeployment, standin

BODY_LIMIT = 4 << 20
HEAD_LIMIT = 16 << 10


@pytest.fixture
def connection(tmp_path):
    deployment = RelayDeployment(
        tmp_path,
        {"north-1": ("127.0.0.23", "north-a")},
        [("d-1", "desk", "north-a")],
        [standin.route("status", "/status/", "desk", "idempotent")],
        [standin.service("desk")],
    )
    try:
        deployment.wait_ready()
        host, port = "127.0.0.23", deployment.ports + PEER_PORT
        yield http.client.HTTPConnection(host, port, timeout=5)
    finally:
        deployment.stop()


def status_of(connection, body, headers):
    connection.request("POST", "/status/x", body, {"Host": "shop.example", **headers})
    answer = connection.getresponse()
    answer.read()
    return answer.status, answer.getheader("Laburnumchute-Run-State")


# Guards against DENIED: the receiver of a forward refuses, by an older configuration, what the sender
# has admitted, and the caller gets that as the final answer.
@pytest.mark.parametrize(
    "body, headers",
    [(b"x" * (BODY_LIMIT + 1), {}), (b"", {"X-Filler": "x" * 2 * HEAD_LIMIT})],
    ids=["body", "head"],
)
def test_limits_for_callers_do_not_apply_between_instances(connection, body, headers):
    # Refused as what it is, a request without the note of an instance.
    assert status_of(connection, body, headers)[0] == 400


# Guards against DENIED: what the listener itself refuses is taken for the answer of an endpoint.
@pytest.mark.parametrize(
    "headers",
    [{"X-Filler": "x" * 16 * HEAD_LIMIT}, {"Transfer-Encoding": "gzip"}],
    ids=["too large", "not supported"],
)
def test_what_is_refused_before_it_is_read_says_that_it_has_not_run(connection, headers):
    status, run_state = status_of(connection, b"", headers)
    assert status in (400, 431)
    assert run_state == "not-run"
