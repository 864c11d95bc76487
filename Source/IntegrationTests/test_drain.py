"""Instances and endpoints that leave."""

import json
import os
import threading
import time

import pytest

from calls import Stream, read_whole
from deployment import Deployment, http

PROMPT = "proof of the plaque"
HEADERS = {"Authorization": "Bearer example-schools", "Content-Type": "application/json"}


@pytest.fixture
def deployment():
    settings = ["--drain-notice=2s", "--drain-timeout=30s"]
    with Deployment("otaru", os.environ["BUILD_DIR"], gateway_settings=settings) as running:
        yield running


def completion(gateway, request_id, tokens):
    return Stream(gateway.addresses["http"], "/v1/completions",
                  {"model": "inscription", "prompt": PROMPT, "max_tokens": tokens, "stream": True},
                  {**HEADERS, "X-Request-Id": request_id}, timeout=60)


def test_graceful_shutdown_cuts_off_no_request(deployment):
    """An operator replaces an instance while answers stream through it and callers still send to
    it. Every answer must arrive whole, and the process must end by itself."""
    gateway = deployment.gateways[0]
    failures = []

    def read(number):
        own_id = f"drain-{number}"
        try:
            read_whole(completion(gateway, own_id, 150), own_id, PROMPT, 150)
        except (AssertionError, OSError) as error:
            failures.append((own_id, repr(error)))

    readers = [threading.Thread(target=read, args=(number,)) for number in range(12)]
    for reader in readers:
        reader.start()
    time.sleep(0.3)
    gateway.process.terminate()
    late = [threading.Thread(target=read, args=(100 + number,)) for number in range(4)]
    time.sleep(0.5)
    for reader in late:
        reader.start()
    for reader in readers + late:
        reader.join()
    assert failures == []
    assert gateway.process.wait(30) == 0


def test_advice_names_a_leaving_instance_no_more(deployment):
    """An instance leaves. Callers who ask the others which to use must no longer be sent to it,
    seconds before it stops listening."""
    leaving, other = deployment.gateways[0], deployment.gateways[1]
    http("POST", leaving.addresses["operator"], "/drain")
    deadline = time.monotonic() + 2
    named = True
    while named and time.monotonic() < deadline:
        advice = json.loads(http("GET", other.addresses["http"], "/v1/entries")[1])
        named = leaving.name in [entry["id"] for entry in advice["entries"]]
        time.sleep(0.05)
    assert not named


def test_leaving_endpoint_gets_no_new_work(deployment):
    """The platform marks an engine as leaving; one region's instances read that from the list and
    the other instances are made to see an old list. Three seconds later no instance may send it
    anything, or its machine goes away with work on it."""
    leaving = "sapporo-engine-1"
    late = deployment.gateways[1].name
    deployment.platform.faults("instances", viewer_lag_ms={late: 60000})
    for endpoint in deployment.endpoints:
        if endpoint["id"] == leaving:
            endpoint["state"] = "leaving"
    deployment.publish_list()
    time.sleep(3)
    deployment.clear_records()
    for number in range(40):
        gateway = deployment.gateways[number % 2]
        own_id = f"after-{number}"
        read_whole(completion(gateway, own_id, 3), own_id, PROMPT, 3)
    record = deployment.endpoint_hosts[leaving].records()[leaving]
    assert record.get("runs", []) == []


def test_answer_of_an_order_outlives_the_instance_that_ran_it(deployment):
    """A school's medal order runs through an instance that is replaced a moment later, and the
    school, whose connection broke, sends the same key to another instance. It must be given the
    answer that was kept; told "unknown", it would ring up the works or order again."""
    gateway = deployment.gateways[0]
    status, text = http("POST", gateway.addresses["http"], "/v1/idempotency-keys", {}, HEADERS)
    key = json.loads(text)["key"]
    order = {**HEADERS, "Idempotency-Key": key}
    first = http("POST", gateway.addresses["http"], "/services/order-desk/orders", {"medals": 7},
                 order)
    assert first[0] == 200
    gateway.process.terminate()
    assert gateway.process.wait(30) == 0
    for other in deployment.gateways[1:]:
        again = http("POST", other.addresses["http"], "/services/order-desk/orders",
                     {"medals": 7}, order, timeout=30)
        assert again == first
    runs = [run for child in set(deployment.endpoint_hosts.values())
            for record in child.records().values() for run in record.get("runs", [])
            if run.get("idempotency_key") == key]
    assert len(runs) == 1
