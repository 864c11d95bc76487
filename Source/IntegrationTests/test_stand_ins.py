"""The stand-ins behave as docs/PROTOCOLS.md says; without this the other tests prove nothing."""

import http.client
import json
import socket
import threading
import time

import pytest

from calls import Stream, read_whole
from deployment import http as call

ENGINE = {"id": "e", "models": ["m"], "step_base_ms": 5, "close_notice_ms": 100}


def ask(tokens, **more):
    return {"model": "m", "prompt": "p", "max_tokens": tokens, "stream": True, **more}


def runs(child, engine="e"):
    return child.records()[engine]["runs"]


def wait_for_end(child, patience=5):
    deadline = time.monotonic() + patience
    while time.monotonic() < deadline:
        last = runs(child)[-1]
        if last["end"] != "running":
            return last
        time.sleep(0.01)
    raise AssertionError("the run did not end")


def test_a_stream_is_cancelled_by_delete_and_by_a_closed_connection(stand_ins):
    child = stand_ins({"engines": [ENGINE]})
    address = child.addresses["e"]
    stream = Stream(address, "/v1/completions", ask(1000), {"X-Request-Id": "a"})
    next(stream.tokens())
    status, text = call("DELETE", address, "/v1/streams/a")
    assert status == 200 and json.loads(text)["cancelled"]
    assert wait_for_end(child)["end"] == "cancelled"
    stream = Stream(address, "/v1/completions", ask(1000), {"X-Request-Id": "b"})
    next(stream.tokens())
    stream.abort()
    last = wait_for_end(child)
    assert last["end"] == "closed" and last["tokens_after_close"] > 0


def test_a_broken_stream_is_resumed_after_the_last_event(stand_ins):
    child = stand_ins({"engines": [{**ENGINE, "close_notice_ms": 5000}]})
    address = child.addresses["e"]
    stream = Stream(address, "/v1/completions", ask(40), {"X-Request-Id": "a"})
    got = []
    for name, number, data in stream.events():
        got.append((number, data))
        if number == 7:
            break
    stream.abort()
    rest = Stream(address, "/v1/streams/a", None, {"Last-Event-ID": "7"}, method="GET")
    for name, number, data in rest.events():
        got.append((number, data))
    assert [number for number, _ in got[:-1]] == list(range(1, 41))
    assert got[-1][1] == "[DONE]"
    assert len(runs(child)) == 1


def test_a_poisonous_prompt_crashes_the_engine_which_comes_back_cold(stand_ins):
    child = stand_ins({"engines": [ENGINE]})
    address = child.addresses["e"]
    child.faults("e", poison="boom", restart_ms=200)
    with pytest.raises((OSError, http.client.HTTPException)):
        Stream(address, "/v1/completions", ask(5, prompt="boom"))
    with pytest.raises(OSError):
        Stream(address, "/v1/completions", ask(5))
    time.sleep(0.5)
    read_whole(Stream(address, "/v1/completions", ask(5), {"X-Request-Id": "a"}), "a", "p", 5)
    assert [run["end"] for run in runs(child)] == ["crashed", "finished"]


def test_a_reused_connection_breaks_under_a_write_and_an_answer_is_dropped_after_the_run(stand_ins):
    child = stand_ins({"services": [{"id": "s", "service_ms": 5}]})
    child.faults("s", close_reused_idle=True)
    connection = http.client.HTTPConnection(child.addresses["s"], timeout=5)
    connection.request("POST", "/x", "{}")
    assert connection.getresponse().read()
    assert connection.sock is not None
    with pytest.raises(ConnectionError):
        connection.request("POST", "/x", "{}")
        connection.getresponse()
    assert len(runs(child, "s")) == 1
    child.faults("s", close_reused_idle=False, drop_answers=1)
    with pytest.raises((OSError, http.client.HTTPException)):
        call("POST", child.addresses["s"], "/x", {})
    assert runs(child, "s")[-1]["answer_dropped"]


def test_weights_are_rate_limited_and_a_load_ends_in_a_ready_model(stand_ins):
    store = stand_ins({"weights": {"loads_per_minute": 1, "model_bytes": 1000}})
    child = stand_ins({"engines": [{**ENGINE, "weight_store": store.addresses["weights"]}]})
    address = child.addresses["e"]
    order = {"fence": 3, "action": "load_model", "model": "n", "version": "2"}
    assert call("POST", address, "/v1/orders", order)[0] == 202
    deadline = time.monotonic() + 5
    state = {}
    while time.monotonic() < deadline and state != {"model": "n", "version": "2", "state": "ready"}:
        state = json.loads(call("GET", address, "/v1/state")[1])["models"][-1]
    assert state["state"] == "ready"
    assert call("GET", store.addresses["weights"], "/v1/weights/n/2")[0] == 429
    assert call("POST", address, "/v1/orders", {**order, "fence": 2})[0] == 409


def test_the_configuration_service_is_down_stale_reverting_and_of_two_minds(stand_ins):
    child = stand_ins({"configuration": {"content": "one"}})
    address = child.addresses["configuration"]

    def read(after=0):
        status, text = call("GET", address, f"/v1/configuration?after={after}&wait_ms=0")
        return status, (json.loads(text) if text else None)

    assert read() == (200, {"number": 1, "content": "one"})
    waiting = threading.Thread(target=lambda: results.append(
        call("GET", address, "/v1/configuration?after=1&wait_ms=5000")))
    results = []
    waiting.start()
    time.sleep(0.1)
    child.control("POST", "/publish", {"follows": 1, "content": "two"})
    waiting.join()
    assert json.loads(results[0][1])["number"] == 2
    child.faults("configuration", stale_at=1)
    assert read()[1]["number"] == 1
    child.faults("configuration", stale_at=0, revert_to=1)
    assert read(2) == (200, {"number": 1, "content": "one"})
    child.faults("configuration", revert_to=0, forged="other")
    assert {read(1)[1]["content"] for _ in range(2)} == {"two", "other"}
    child.faults("configuration", down=True)
    with pytest.raises((OSError, http.client.HTTPException)):
        read()


def proxied(stand_ins, **link):
    service = stand_ins({"services": [{"id": "s", "service_ms": 0}]})
    return stand_ins({"links": {"l": link}, "proxies": [
        {"id": "p", "target": service.addresses["s"], "link": "l"}]})


def test_the_proxy_delays_each_way_and_limits_the_rate(stand_ins):
    child = proxied(stand_ins, delay_ms=30, megabits=8)
    start = time.monotonic()
    assert call("POST", child.addresses["p"], "/x", b"z" * 100_000)[0] == 200
    # Handshake and answer take two delays each; the body takes 100 ms there, and 100 ms back.
    assert time.monotonic() - start >= 0.32


def test_the_proxy_cuts_a_link_and_mends_it(stand_ins):
    child = proxied(stand_ins)
    connection = http.client.HTTPConnection(child.addresses["p"], timeout=5)
    connection.request("POST", "/x", "{}")
    connection.getresponse().read()
    child.link("l", cut=True)
    with pytest.raises((OSError, http.client.HTTPException)):
        connection.request("POST", "/x", "{}")
        connection.getresponse()
    with pytest.raises(OSError):
        call("POST", child.addresses["p"], "/x", {})
    child.link("l", cut=False)
    assert call("POST", child.addresses["p"], "/x", {})[0] == 200


def test_an_open_connection_goes_silent_while_new_ones_work(stand_ins):
    child = proxied(stand_ins)
    connection = http.client.HTTPConnection(child.addresses["p"], timeout=0.3)
    connection.request("POST", "/x", "{}")
    connection.getresponse().read()
    child.link("l", silence_open=True)
    with pytest.raises(socket.timeout):
        connection.request("POST", "/x", "{}")
        connection.getresponse()
    assert call("POST", child.addresses["p"], "/x", {})[0] == 200


def test_a_one_way_partition_holds_one_direction(stand_ins):
    child = proxied(stand_ins)
    connection = http.client.HTTPConnection(child.addresses["p"], timeout=0.3)
    connection.request("POST", "/x", "{}")
    connection.getresponse().read()
    child.link("l", hold="back")
    with pytest.raises(socket.timeout):
        connection.request("POST", "/x", "{}")
        connection.getresponse()
    # The request went through: only the answer is held.
    assert child.records()["links"]["l"]["bytes_forward"] > 0
    child.link("l", hold="none")
    assert call("POST", child.addresses["p"], "/x", {})[0] == 200


def test_datagrams_go_both_ways_and_are_lost_in_a_partition(stand_ins):
    target = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    target.bind(("127.0.0.1", 0))
    target.settimeout(0.5)
    child = stand_ins({"links": {"l": {"delay_ms": 5}}, "proxies": [
        {"id": "p", "kind": "udp", "link": "l",
         "target": f"127.0.0.1:{target.getsockname()[1]}"}]})
    host, port = child.addresses["p"].split(":")
    client = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    client.settimeout(0.5)
    client.sendto(b"there", (host, int(port)))
    data, back = target.recvfrom(100)
    assert data == b"there"
    target.sendto(b"back", back)
    assert client.recv(100) == b"back"
    child.link("l", hold="forward")
    client.sendto(b"lost", (host, int(port)))
    with pytest.raises(socket.timeout):
        target.recvfrom(100)
    target.close()
    client.close()


def test_one_engine_of_a_deployment_can_be_frozen_and_killed(stand_ins):
    child = stand_ins({"engines": [ENGINE]})
    child.freeze()
    with pytest.raises(OSError):
        call("GET", child.addresses["e"], "/v1/load", timeout=0.3)
    child.thaw()
    assert call("GET", child.addresses["e"], "/v1/load")[0] == 200
    child.kill()
    with pytest.raises(OSError):
        call("GET", child.addresses["e"], "/v1/load")
