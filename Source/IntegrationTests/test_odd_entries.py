"""Entries of the platform's store that another writer left in an unusable form; judged by whether the
instances run on, follow the other entries and send nothing to what the entry names."""

import base64
import json
import time

import pytest

from odd_entries import ODD
from relay_deployment import METRICS_PORT, RelayDeployment, standin
from test_relay import attempt

INSTANCES = {"north-1": ("127.0.0.23", "north-a"), "north-2": ("127.0.0.24", "north-a")}
ENDPOINTS = [("d-1", "desk", "north-a"), ("n-1", "new", "north-a")]
ROUTES = [
    standin.route("status", "/status/", "desk", "idempotent"),
    standin.route("new", "/new/", "new", "idempotent"),
]
SERVICES = [standin.service("desk"), standin.service("new")]
MEMORY_BYTES = 100 * 1024 * 1024


class OddDeployment(RelayDeployment):
    def __init__(self, folder):
        super().__init__(folder, INSTANCES, ENDPOINTS, ROUTES, SERVICES)

    @property
    def store(self):
        return self.platform.store

    def put_bytes(self, key, value, encode=True):
        text = base64.b64encode(value).decode() if encode else value
        self.platform.call(self.store.put_text, key, text)

    def endpoints(self, name):
        state = json.loads(self.get(name, METRICS_PORT, "/dump")[1])["scheduler"]
        return {one["id"] for one in state["endpoints"] if not one["leaving"]}

    def check_followed(self, odd_id):
        """All instances run, know an endpoint that is entered now, and not the odd one."""
        fresh = f"n-{time.monotonic_ns()}"
        endpoint = self.platform.endpoints["n-1"]
        self.platform.call(setattr, endpoint, "identity", fresh)
        self.platform.call(endpoint.register)
        for name, process in self.processes.items():
            until(lambda: process.poll() is None and fresh in self.endpoints(name), name)
            assert odd_id not in self.endpoints(name), f"{name} uses {odd_id}"
            address = self.address(name)
            assert [attempt(address, "GET", "/status/x")[1] for _ in range(4)] == [200] * 4
        self.platform.call(self.store.delete, f"servers/{fresh}")

    def unreadable(self, name, key):
        lines = self.log_lines(name)
        return sum(line["event"] == "item-unreadable" and line["key"] == key for line in lines)


def until(condition, what, patience=5):
    end = time.monotonic() + patience
    while True:
        try:
            if condition():
                return
        except OSError:
            pass
        assert time.monotonic() < end, f"{what} ended or follows the entries no more"
        time.sleep(0.05)


@pytest.fixture(scope="module")
def deployment(tmp_path_factory):
    one = OddDeployment(tmp_path_factory.mktemp("odd"))
    try:
        one.wait_ready()
        yield one
    finally:
        one.stop()


# Guards against LOST: instances that end, or follow the entries no more, after one odd entry.
@pytest.mark.parametrize("odd", ODD)
def test_an_odd_entry_costs_only_itself(deployment, odd):
    key = "servers/odd " + odd
    deployment.put_bytes(key, ODD[odd])
    deployment.check_followed(key.split("/")[1])
    seen = [deployment.unreadable(name, key) for name in INSTANCES]
    assert seen == [1, 1], f"lines on it: {seen}"
    deployment.platform.call(deployment.store.delete, key)


# Guards against LOST: as above, for bytes that the store itself hands out in an unusable form.
def test_an_entry_that_cannot_be_decoded_costs_only_itself(deployment):
    deployment.put_bytes("servers/odd bytes", "~ no base64 ~", encode=False)
    deployment.check_followed("odd bytes")
    deployment.platform.call(deployment.store.delete, "servers/odd bytes")


# Guards against LOST: an entry of a running endpoint that another writer has overwritten.
def test_an_endpoint_returns_with_its_next_entry_after_an_odd_one(deployment):
    deployment.put_bytes("servers/d-1", ODD["sequence 1e300"])
    for name in INSTANCES:
        until(lambda: "d-1" not in deployment.endpoints(name), name)
    deployment.platform.call(deployment.platform.endpoints["d-1"].register)
    for name in INSTANCES:
        until(lambda: "d-1" in deployment.endpoints(name), name)


# Guards against processes that end again and again: the odd entries are there as they start.
def test_a_process_starts_beside_odd_entries(deployment):
    for odd, value in ODD.items():
        deployment.put_bytes("servers/odd " + odd, value)
    deployment.put_bytes("servers/odd bytes", "~ no base64 ~", encode=False)
    for name in INSTANCES:
        deployment.processes[name].kill()
        deployment.processes[name].wait()
        deployment.start(name)
    deployment.wait_ready()
    deployment.check_followed("odd bytes")
    for name in INSTANCES:
        assert deployment.memory(name) < MEMORY_BYTES
        assert not [one for one in deployment.endpoints(name) if one.startswith("odd")]


# Guards against CONFIG: an odd configuration that displaces the sound one, or all later ones.
@pytest.mark.parametrize(
    "change",
    [
        {"version": -1},
        {"version": 1e300},
        {"routes": 7},
        {"limits": {"maxHeaderBytes": -1}},
        {"routes": [{**ROUTES[0], "attempts": 1e300}]},
        {"routes": [{**ROUTES[0], "timeoutMs": 1e300}]},
        {"services": [{**SERVICES[0], "maxConns": -1}]},
    ],
    ids=str,
)
def test_an_odd_configuration_leaves_the_last_one_in_force(deployment, change):
    sound = json.loads(base64.b64decode(deployment.store.items["op/config"]["value"]))
    odd = {**sound, "version": sound["version"] + 1, **change}
    deployment.put_bytes("op/config", json.dumps(odd).encode())
    deployment.check_followed("none")
    path = f"/v{sound['version']}/"
    routes = ROUTES + [standin.route("more", path, "desk", "idempotent")]
    deployment.platform.publish(sound["version"] + 2, routes, SERVICES)
    for name in INSTANCES:
        address = deployment.address(name)
        until(lambda: attempt(address, "GET", path + "x")[1] == 200, name)
