"""Requests whose callers leave while an endpoint works on them, on paths that lose packets."""

import socket
import time

import pytest

from raw_caller import RawCaller
from relay_deployment import RelayDeployment, standin
from stray_endpoint import HangingEndpoint, lose_packets

INSTANCES = {"north-1": ("127.0.0.21", "north-a"), "south-1": ("127.0.0.22", "south-a")}
#: Time for which the path to the endpoint loses all packets after the caller has left.
LOSS_S = 0.3
#: Time after the caller has left by which its endpoint must have noticed.
STOP_S = 1.5


@pytest.fixture
def deployment(tmp_path):
    route = standin.route("draft", "/stream/", "model", "stream", gap=3000, objective_ms=3000)
    running = RelayDeployment(
        tmp_path,
        INSTANCES,
        [("m-1", "model", "south-a")],
        [route],
        [standin.service("model", model=True)],
        make_endpoint=HangingEndpoint,
    )
    try:
        running.wait_ready()
        time.sleep(1.5)
        yield running
    finally:
        running.stop()


# Guards against GONE: the reset that ends an abandoned request is lost, and its endpoint works on.
@pytest.mark.parametrize("entry", ["south-1", "north-1"], ids=["direct", "forwarded"])
def test_an_endpoint_learns_over_a_lossy_path_that_the_caller_has_left(deployment, entry):
    caller = RawCaller(deployment.address(entry), "/stream/x", b"x")
    time.sleep(HangingEndpoint.LOST_FROM + 0.5)
    identity = caller.outcome.identity
    assert identity in HangingEndpoint.hanging, "the request has not reached the endpoint"
    caller.socket.shutdown(socket.SHUT_RDWR)
    left = time.monotonic()
    time.sleep(LOSS_S)
    deployment.platform.call(lose_packets, HangingEndpoint.hanging[identity], False)
    time.sleep(STOP_S - LOSS_S)
    ended = HangingEndpoint.ended.get(identity)
    assert ended is not None, f"the endpoint still works {time.monotonic() - left:.1f} s later"
