"""The operators' verbs that talk to gateways: patch, dump and status, against real processes."""

import json
import os
import pathlib
import socket
import subprocess
import time

import pytest

from deployment import http

BUILD = pathlib.Path(os.environ["BUILD_DIR"])


def run(*arguments):
    return subprocess.run([BUILD / "bin" / "laburnumchute", *map(str, arguments)],
                          capture_output=True, text=True, timeout=30, check=False)


def operators(deployment):
    return [gateway.addresses["operator"] for gateway in deployment.gateways]


def numbers(deployment):
    done = run("status", "--json", *operators(deployment))
    return [entry.get("configuration_number") for entry in json.loads(done.stdout)["instances"]]


def wait_for_number(deployment, number, patience=15):
    deadline = time.monotonic() + patience
    while numbers(deployment) != [number] * len(deployment.gateways):
        assert time.monotonic() < deadline, numbers(deployment)
        time.sleep(0.1)


def patch_file(tmp_path, patch, name="patch.json"):
    path = tmp_path / name
    path.write_text(json.dumps(patch))
    return path


def patch(deployment, base, path, gateway=0):
    return run("patch", f"--base={base}", f"--gateway={operators(deployment)[gateway]}", path)


def test_dump_prints_the_state_or_the_part_asked_for(otaru):
    address = operators(otaru)[0]
    whole = run("dump", address)
    assert whole.returncode == 0
    assert json.loads(whole.stdout)["instance"] == otaru.gateways[0].name
    part = run("dump", address, "/decisions/endpoints")
    assert part.returncode == 0
    assert isinstance(json.loads(part.stdout), list)
    wrong = run("dump", address, "/no/such/part")
    assert wrong.returncode == 2
    assert "/no/such/part" in wrong.stderr


def test_dump_shows_no_bearer_token(otaru):
    for address in operators(otaru):
        assert "example-" not in run("dump", address).stdout


def test_status_shows_instances_members_and_endpoints(otaru):
    done = run("status", *operators(otaru))
    assert done.returncode == 0, done.stdout
    for gateway in otaru.gateways:
        assert gateway.name in done.stdout
    for endpoint in otaru.endpoints:
        assert endpoint["id"] in done.stdout
    document = json.loads(run("status", "--json", *operators(otaru)).stdout)
    region = otaru.gateways[0].region
    assert document["instances"][0]["members"] == {
        gateway.name: "alive" for gateway in otaru.gateways if gateway.region == region}
    assert document["all_answered"] and document["same_configuration"]
    assert len(document["endpoints"]) == len(otaru.endpoints)


def test_status_tells_a_silent_gateway_from_the_others(otaru):
    # A gateway accepts connections and never answers, as a frozen process does. The operator still
    # sees the others at once, and the silent one is named after the timeout.
    with socket.create_server(("127.0.0.1", 0)) as silent:
        address = f"127.0.0.1:{silent.getsockname()[1]}"
        done = run("status", "--timeout=300ms", address, *operators(otaru))
    assert done.returncode == 3
    lines = done.stdout.splitlines()
    assert any(line.startswith(address) and "no answer" in line for line in lines)
    assert sum("serving" in line for line in lines) == len(otaru.gateways)


def test_wrong_addresses_are_named(otaru):
    for address in ("nowhere", "127.0.0.1:", "127.0.0.1:99999", "127.0.0.1:1x"):
        done = run("dump", address)
        assert done.returncode == 3
        assert address in done.stderr
    # The callers' address in place of the operators'.
    done = run("dump", otaru.gateways[0].addresses["http"])
    assert done.returncode == 3
    assert "operator address" in done.stderr


def test_patch_that_is_no_patch_is_refused(otaru, tmp_path):
    base = numbers(otaru)[0]
    for content in ("", "7", "{", '[{"op": "dance"}]'):
        path = tmp_path / "odd.json"
        path.write_text(content)
        done = patch(otaru, base, path)
        assert done.returncode in (1, 4), content
        assert done.stdout == ""


def test_patch_whose_document_is_invalid_is_refused_with_positions(otaru, tmp_path):
    base = numbers(otaru)[0]
    path = patch_file(tmp_path, {"routes": {"orders": {"priority": "vip"}}})
    done = patch(otaru, base, path)
    assert done.returncode == 1
    assert "/routes/orders/priority" in done.stderr


def test_patch_that_strands_a_model_is_refused(otaru, tmp_path):
    base = numbers(otaru)[0]
    path = patch_file(tmp_path, {
        "models": {"inscription": None},
        "routes": {"draft-chat": None, "draft-text": None},
        "placements": {"models": {"inscription": None}}})
    done = patch(otaru, base, path)
    assert done.returncode == 1
    assert "/models/inscription" in done.stderr


def test_of_two_operators_on_one_base_one_publishes_and_the_other_is_told_the_number(
        otaru, tmp_path):
    # Two operators read the same version and both patch it through different gateways. Both get a
    # document, since neither is in force yet; the platform takes one. The other operator's change
    # would undo the first without either noticing, were it published on top.
    base = numbers(otaru)[0]
    first = patch(otaru, base, patch_file(tmp_path, {"limits": {"retry_share": 0.11}}), gateway=0)
    second = patch(otaru, base, patch_file(tmp_path, {"limits": {"away_share": 0.21}}), gateway=2)
    assert first.returncode == 0 and second.returncode == 0
    platform = otaru.platform.addresses["control"]
    assert http("POST", platform, "/publish", json.loads(first.stdout))[0] == 200
    assert http("POST", platform, "/publish", json.loads(second.stdout))[0] == 409
    wait_for_number(otaru, base + 1)

    # From now on every gateway refuses the old base itself and names the current number.
    for gateway in range(len(otaru.gateways)):
        late = patch(otaru, base, patch_file(tmp_path, {"limits": {"away_share": 0.21}}), gateway)
        assert late.returncode == 4
        assert str(base + 1) in late.stderr
        assert late.stdout == ""

    again = patch(otaru, base + 1, patch_file(tmp_path, {"limits": {"away_share": 0.21}}))
    assert again.returncode == 0
    content = json.loads(again.stdout)["content"]
    assert content["limits"]["retry_share"] == 0.11
    assert content["limits"]["away_share"] == 0.21


@pytest.mark.parametrize("kind", ["merge", "operations"])
def test_patch_prints_the_document_to_publish(otaru, tmp_path, kind):
    base = numbers(otaru)[0]
    made = {"merge": {"limits": {"retry_share": 0.2}},
            "operations": [{"op": "replace", "path": "/limits/retry_share", "value": 0.2}]}[kind]
    done = patch(otaru, base, patch_file(tmp_path, made))
    assert done.returncode == 0, done.stderr
    document = json.loads(done.stdout)
    assert document["follows"] == base
    assert document["content"]["limits"]["retry_share"] == 0.2


def test_trace_tells_the_decisions_on_a_request_again_and_again(otaru):
    """An operator looks up why a request was served where it was. The instance must go on serving
    after that: a double free in the handler once ended it."""
    gateway = otaru.gateways[0]
    status, _ = http("POST", gateway.addresses["http"], "/v1/completions",
                     {"model": "inscription", "prompt": "why here", "max_tokens": 2},
                     {"Authorization": "Bearer example-schools", "X-Request-Id": "traced",
                      "Content-Type": "application/json"})
    assert status == 200
    for _ in range(3):
        status, text = http("GET", gateway.addresses["operator"], "/trace/traced")
        assert status == 200
        assert any("sent to sapporo-engine" in line for line in json.loads(text)["decisions"])
    assert http("GET", gateway.addresses["operator"], "/trace/unheard-of")[0] == 404
    assert gateway.process.poll() is None
