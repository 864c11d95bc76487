"""Four entry instances as processes, and what befalls them: freezes, kills, replacements, a service
that is down, stale, set back or of two minds, engines that are not as the configuration wants."""

import copy
import json
import time

import pytest

from deployment import Deployment, Gateway, http as call

from conftest import BUILD


# Nobody calls here, so that nobody needs time to move away when an instance leaves.
SETTINGS = ("--drain-notice=50ms",)
LOADS_PER_MINUTE = 30


@pytest.fixture
def hotline():
    """A deployment of the test's own, since instances are killed in it."""
    with Deployment("caroni", BUILD, gateway_settings=SETTINGS,
                    weights={"loads_per_minute": LOADS_PER_MINUTE}) as deployment:
        yield deployment


def dump(gateway):
    status, text = call("GET", gateway.addresses["operator"], "/dump", timeout=5)
    assert status == 200
    return json.loads(text)


def cluster(gateway):
    return dump(gateway)["platform"]["cluster"]


def number(gateway):
    return cluster(gateway)["configuration"]["number"]


def member_state(gateway, name):
    return {member["id"]: member["state"] for member in cluster(gateway)["members"]}.get(name)


def wait_until(condition, patience):
    """Seconds until the condition held; fails after the patience."""
    begin = time.monotonic()
    while not condition():
        assert time.monotonic() - begin < patience, "not within the time"
        time.sleep(0.05)
    return time.monotonic() - begin


def publish(deployment, new_number, content=None):
    deployment.platform.control("POST", "/publish", {
        "follows": new_number - 1,
        "content": content or deployment.configuration})


def restart(deployment, gateway):
    """Kills an instance and puts one without memory in its place."""
    gateway.kill()
    position = deployment.gateways.index(gateway)
    fresh = Gateway(deployment.build, deployment.folder.name, gateway.name, gateway.region,
                    deployment.platform.addresses, SETTINGS)
    deployment.children.append(fresh)
    deployment.gateways[position] = fresh
    return fresh


def test_a_frozen_instance_is_given_up_and_comes_back_by_itself(hotline):
    # The platform stops a process for a while. The other one of its region must stop sending it
    # work, and take it back when it goes on; it must not give up the other for its own silence.
    first, second = hotline.gateways[0], hotline.gateways[1]
    assert first.region == second.region
    wait_until(lambda: member_state(first, second.name) == "alive", 20)
    second.freeze()
    wait_until(lambda: member_state(first, second.name) == "dead", 30)
    second.thaw()
    wait_until(lambda: member_state(first, second.name) == "alive", 20)
    assert member_state(second, first.name) == "alive"
    assert cluster(second)["pauses"] >= 1
    log = (hotline.folder.name + f"/{second.name}.log")
    with open(log) as lines:
        assert f"member {first.name} is dead" not in lines.read()


def test_a_new_version_is_in_force_everywhere_and_survives_all_but_one(hotline):
    # All instances but one are replaced while the service has been set back to an old version. What
    # was in force must stay in force, and no new instance may put the old version in force first.
    publish(hotline, 2)
    wait_until(lambda: all(number(gateway) == 2 for gateway in hotline.gateways), 4)
    hotline.platform.faults("configuration", revert_to=1)
    for gateway in list(hotline.gateways[1:]):
        restart(hotline, gateway)
    hotline.publish_instances()
    wait_until(lambda: all(number(gateway) == 2 for gateway in hotline.gateways), 20)
    for gateway in hotline.gateways[1:]:
        with open(hotline.folder.name + f"/{gateway.name}.log") as lines:
            # The log of the first life is in the same file; it began with version 1.
            assert lines.read().count("version 1 is in force") == 1
    hotline.platform.faults("configuration", revert_to=0)
    publish(hotline, 3)
    wait_until(lambda: all(number(gateway) == 3 for gateway in hotline.gateways), 10)


def test_the_service_is_down_and_a_new_instance_gets_the_version_from_its_peers(hotline):
    hotline.platform.faults("configuration", down=True)
    fresh = restart(hotline, hotline.gateways[1])
    hotline.publish_instances()
    wait_until(lambda: number(fresh) == 1, 20)
    hotline.wait_until_ready()


def test_two_contents_under_one_number_raise_an_alarm(hotline):
    # The service gives every second reader another content. Nobody can say which one is right; what
    # an instance had first stays, and the metrics must show it to operators.
    forged = copy.deepcopy(hotline.configuration)
    next(iter(forged["models"].values()))["context_limit_tokens"] += 1
    hotline.platform.faults("configuration", forged=forged)
    publish(hotline, 2)
    wait_until(lambda: all(number(gateway) == 2 for gateway in hotline.gateways), 10)
    kept = [cluster(gateway)["configuration"]["hash"] for gateway in hotline.gateways]

    def conflicts():
        return [cluster(gateway)["configuration"]["conflicts"] for gateway in hotline.gateways]

    if len(set(kept)) > 1:
        wait_until(lambda: any(2 in each for each in conflicts()), 20)
    assert kept == [cluster(gateway)["configuration"]["hash"] for gateway in hotline.gateways]


def engine_states(deployment):
    states = {}
    for endpoint in deployment.endpoints:
        if endpoint["kind"] == "engine":
            status, text = call("GET", endpoint["http"], "/v1/state")
            assert status == 200
            states[endpoint["id"]] = json.loads(text)
    return states


def test_engines_get_the_version_that_the_configuration_names(hotline):
    # A new version of the model is published. Exactly one instance of each region gives the orders,
    # and not all engines of a region load at once, or nobody answers its callers meanwhile.
    changed = copy.deepcopy(hotline.configuration)
    next(iter(changed["models"].values()))["version"] = "2"
    publish(hotline, 2, changed)
    serving_at_all_times = True

    def rolled_out():
        nonlocal serving_at_all_times
        states = engine_states(hotline)
        for region in hotline.shape["regions"]:
            ready = [model["state"] == "ready" for name, state in states.items()
                     if name.startswith(region) for model in state["models"]]
            serving_at_all_times = serving_at_all_times and any(ready)
        return all(model["version"] == "2" and model["state"] == "ready"
                   for state in states.values() for model in state["models"])

    wait_until(rolled_out, 150)
    assert serving_at_all_times
    assert hotline.platform.records()["weights"]["refused"] == 0
    for region in hotline.shape["regions"]:
        orderers = [gateway for gateway in hotline.gateways
                    if gateway.region == region and dump(gateway)["orders"]["orderer"]]
        assert len(orderers) == 1
