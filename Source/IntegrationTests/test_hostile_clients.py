"""Crowds of clients that don't keep to the limits, at each listener of real processes; judged by
memory, descriptors and one ordinary request."""

import contextlib
import http.client
import os
import time

import pytest

from crowd import BODY_LIMIT, KINDS, MB, Crowd, check_stands
from deployment import Deployment
from deployment import http as call
from raw_caller import RawCaller
from relay_deployment import (
    DIRECTORY_PORT, METRICS_PORT, PEER_PORT, READY_PORT, RelayDeployment, standin,
)

pytestmark = pytest.mark.alone

MACHINE_MB = 100
DESCRIPTORS = 600
#: Bodies of 4 MiB each that together are more than twice what the machine has.
CROWD = 60
#: More connections than there are descriptors.
MANY = 700
INSTANCES = {"north-1": ("127.0.0.91", "north-a")}
NORTH_AND_SOUTH = {**INSTANCES, "south-1": ("127.0.0.92", "south-a")}
ROUTES = [
    standin.route("status", "/status/", "desk", "idempotent", timeout_ms=8000),
    standin.route("slow", "/slow/", "slow-desk", "idempotent", timeout_ms=8000),
]
SERVICES = [standin.service("desk"), standin.service("slow-desk")]
LISTENERS = {"callers": 0, "readiness": READY_PORT, "directory": DIRECTORY_PORT, "peers": PEER_PORT,
             "metrics": METRICS_PORT}
SMALLEST_MACHINE_MB = 260


class Desk(standin.Endpoint):
    """Requests to the slow service stay under way."""

    def __init__(self, store, identity, service, zone):
        work = 6.0 if service == "slow-desk" else 0.02
        super().__init__(store, identity, service, zone, slots=64, work=work)


ENDPOINTS = [("d-1", "desk", "north-a"), ("s-1", "slow-desk", "north-a")]


@contextlib.contextmanager
def relays(folder, instances, memory_mb):
    one = RelayDeployment(
        folder, instances, ENDPOINTS, ROUTES, SERVICES, None, Desk, memory_mb, DESCRIPTORS
    )
    try:
        one.wait_ready()
        yield one
    finally:
        one.stop()


def ordinary_call(deployment, name="north-1"):
    def answered():
        try:
            return RawCaller(deployment.address(name), "/status/x", b"x", deadline=4.0).result().status
        except OSError:
            return None

    return lambda: answered() == 200


# Guards against a process that runs out of memory or descriptors by what clients send.
@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("listener", LISTENERS)
def test_a_relay_stands_a_crowd_at_each_listener(tmp_path, listener, kind):
    with relays(tmp_path, INSTANCES, MACHINE_MB) as deployment:
        ip = INSTANCES["north-1"][0]
        addresses = {name: f"{ip}:{deployment.ports + port}" for name, port in LISTENERS.items()}
        crowd = Crowd(addresses[listener], kind, MANY if kind == "nothing" else CROWD)
        check_stands(
            deployment.processes["north-1"], addresses.values(), crowd, MACHINE_MB * MB, DESCRIPTORS,
            ordinary_call(deployment),
        )


# Guards against limits that refuse requests which keep to those of the configuration.
@pytest.mark.parametrize("name", ["north-1", "south-1"])
@pytest.mark.parametrize("framing", ["length", "chunks"])
def test_the_largest_proper_request_passes_on_the_smallest_machine(tmp_path, framing, name):
    with relays(tmp_path, NORTH_AND_SOUTH, SMALLEST_MACHINE_MB) as deployment:
        # Instances of other regions are heard of within a second.
        time.sleep(1.5)
        host, port = deployment.address(name).split(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=10)
        head = {"Host": "shop.example", standin.ATTEMPT: "00aa", standin.DEADLINE: "8000"}
        head["X-Filler"] = "x" * (16384 - 400)
        body = b"x" * BODY_LIMIT
        if framing == "length":
            connection.request("POST", "/status/x", body, head)
        else:
            parts = (body[at : at + 65536] for at in range(0, len(body), 65536))
            connection.request("POST", "/status/x", parts, head, encode_chunked=True)
        answer = connection.getresponse()
        assert answer.status == 200, (answer.status, answer.read())


#: Half of the smallest machine.
GATEWAY_MB = SMALLEST_MACHINE_MB // 2
#: A gateway at work beside its callers' connections.
GATEWAY_OWN_DESCRIPTORS = 150
GATEWAY_CALLERS = 300
GATEWAY_SETTINGS = [f"--caller-connection-limit={GATEWAY_CALLERS}"]
#: Requests of the verb relay stay under way at a slow service.
GATEWAY_KINDS = [kind for kind in KINDS if kind != "behind a request"]


@pytest.fixture
def gateway():
    with Deployment("otaru", os.environ["BUILD_DIR"], gateway_settings=GATEWAY_SETTINGS) as running:
        yield running.gateways[0]


def completed(gateway):
    body = {"model": "inscription", "prompt": "p", "max_tokens": 1}
    headers = {"Authorization": "Bearer example-schools"}
    try:
        return call("POST", gateway.addresses["http"], "/v1/completions", body, headers)[0] == 200
    except OSError:
        return False


GATEWAY_CASES = [(listener, kind) for listener in ("http", "operator", "channel")
                 for kind in GATEWAY_KINDS] + [("channel", "long frame")]


# Guards against the same in the verb gateway.
@pytest.mark.parametrize("listener, kind", GATEWAY_CASES)
def test_a_gateway_stands_a_crowd_at_each_listener(gateway, listener, kind):
    addresses = gateway.addresses
    watched = [addresses[name] for name in ("http", "operator", "channel")]
    crowd = Crowd(addresses[listener], kind, MANY if kind == "nothing" else CROWD)
    check_stands(
        gateway.process, watched, crowd, GATEWAY_MB * MB, GATEWAY_CALLERS + GATEWAY_OWN_DESCRIPTORS,
        lambda: completed(gateway),
    )
