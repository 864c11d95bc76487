"""Calls through the four entry instances of the engraving works, checked byte for byte against what
the engine generated and against the endpoints' records of what ran."""

import json
import time
import uuid

import pytest

from calls import Stream, check_answer, read_whole
from deployment import http as call

SCHOOLS = {"Authorization": "Bearer example-schools"}
TOWN_OFFICE = {"Authorization": "Bearer example-town-office"}
MODEL = "inscription"


def headers(request_id, customer=None, **more):
    return {**(customer or SCHOOLS), "X-Request-Id": request_id, **more}


def new_id():
    return f"t{uuid.uuid4().hex[:12]}"


def entry(otaru, region):
    return next(gateway.addresses["http"] for gateway in otaru.gateways
                if gateway.region == region)


def completion(prompt, tokens, **more):
    return {"model": MODEL, "prompt": prompt, "max_tokens": tokens, **more}


def faults(otaru, region, kind, **changes):
    """Sets faults of all endpoints of a kind in a region."""
    for endpoint in otaru.endpoints:
        if endpoint["kind"] == kind and region in ("all", endpoint["region"]):
            otaru.endpoint_hosts[endpoint["id"]].faults(endpoint["id"], **changes)


@pytest.fixture(autouse=True)
def healthy(otaru):
    yield
    for kind in ("engine", "service"):
        faults(otaru, "all", kind, refuse_not_started=False, drop_answers=0, slow_factor=1,
               hang=False, close_reused_idle=False, poison="")


def wait_for_runs(otaru, request_id, patience=5):
    """The runs of a request once none of them is under way any more."""
    deadline = time.monotonic() + patience
    while True:
        runs = otaru.runs(request_id)
        if all(run["end"] != "running" for _, run in runs) or time.monotonic() > deadline:
            return runs
        time.sleep(0.02)


def problem(answer):
    status, text = answer
    document = json.loads(text)
    assert document["type"].startswith("urn:laburnumchute:problem:")
    assert document["status"] == status
    assert document["run"] in ("not run", "ran", "unknown")
    return document


def test_every_entry_streams_what_the_engine_generated(otaru):
    for gateway in otaru.gateways:
        own = new_id()
        stream = Stream(gateway.addresses["http"], "/v1/completions",
                        completion("engrave", 30, stream=True), headers(own))
        assert stream.status == 200
        read_whole(stream, own, "engrave", 30)
        assert len(otaru.runs(own)) == 1


def test_a_chat_is_answered_whole(otaru):
    own = new_id()
    messages = [{"role": "system", "content": "short"}, {"role": "user", "content": "a plaque"}]
    status, text = call("POST", entry(otaru, "hakodate"), "/v1/chat/completions",
                        {"model": MODEL, "messages": messages, "max_tokens": 12}, headers(own))
    assert status == 200
    answer = json.loads(text)
    check_answer(answer["id"], answer["choices"][0]["message"]["content"], own,
                 "system\nshort\nuser\na plaque\n", 12)


def test_concurrent_streams_are_not_mixed_up(otaru):
    address = entry(otaru, "sapporo")
    streams = []
    for number in range(24):
        own = new_id()
        prompt = f"medal {number}"
        streams.append((own, prompt, Stream(address, "/v1/completions",
                                            completion(prompt, 20, stream=True), headers(own))))
    for own, prompt, stream in streams:
        read_whole(stream, own, prompt, 20)


def test_an_abort_in_mid_stream_stops_the_engine(otaru):
    """A clerk closes the draft after the first words. If the engine went on, the municipality would
    pay for text that nobody reads."""
    own = new_id()
    stream = Stream(entry(otaru, "sapporo"), "/v1/completions",
                    completion("abandoned", 2000, stream=True), headers(own))
    tokens = stream.tokens()
    for _ in range(3):
        next(tokens)
    stream.abort()
    runs = wait_for_runs(otaru, own)
    assert [run["end"] for _, run in runs] == ["cancelled"]
    assert runs[0][1]["tokens"] < 100


def test_an_abort_in_prefill_stops_the_engine(otaru):
    """A clerk leaves before the first token, while the engine still reads a long prompt."""
    own = new_id()
    stream = Stream(entry(otaru, "sapporo"), "/v1/completions",
                    completion("long " * 4000, 2000, stream=True), headers(own))
    time.sleep(0.2)
    stream.abort()
    runs = wait_for_runs(otaru, own)
    assert all(run["end"] == "cancelled" for _, run in runs)
    assert sum(run["tokens"] for _, run in runs) < 20


def test_a_retyped_draft_drops_its_predecessor(otaru):
    """A customer retypes and the application keeps the first connection open. The first draft must
    stop although nobody closed anything."""
    first, second = new_id(), new_id()
    address = entry(otaru, "sapporo")
    old = Stream(address, "/v1/completions", completion("draft", 2000, stream=True),
                 headers(first))
    next(old.tokens())
    new = Stream(address, "/v1/completions", completion("draft two", 10, stream=True),
                 headers(second, **{"Laburnumchute-Supersedes": first}))
    read_whole(new, second, "draft two", 10)
    runs = wait_for_runs(otaru, first)
    assert [run["end"] for _, run in runs] == ["cancelled"]
    old.abort()


def test_an_answer_cut_off_is_resumed_without_a_second_run(otaru):
    """Each engine's connection dies just before the end of a stream. The caller gets each token once
    and the engine generates them once."""
    faults(otaru, "sapporo", "engine", drop_answers=1)
    own = new_id()
    stream = Stream(entry(otaru, "sapporo"), "/v1/completions",
                    completion("resumed", 25, stream=True), headers(own))
    read_whole(stream, own, "resumed", 25)
    assert len(otaru.runs(own)) == 1


def test_a_region_without_capacity_is_helped_by_another_one(otaru):
    """All runners of Asahikawa are full. A request that may leave the region is answered by another
    one, over the channel between the instances, byte for byte."""
    faults(otaru, "asahikawa", "engine", refuse_not_started=True)
    own = new_id()
    stream = Stream(entry(otaru, "asahikawa"), "/v1/completions",
                    completion("forwarded", 40, stream=True), headers(own))
    assert stream.status == 200
    read_whole(stream, own, "forwarded", 40)
    runs = otaru.runs(own)
    assert len(runs) == 1 and not runs[0][0].startswith("asahikawa")


def test_an_abort_of_a_forwarded_stream_reaches_the_other_region(otaru):
    """The caller of a forwarded request leaves. The engine that works is 55 ms away and must stop as
    one at home does."""
    faults(otaru, "asahikawa", "engine", refuse_not_started=True)
    own = new_id()
    stream = Stream(entry(otaru, "asahikawa"), "/v1/completions",
                    completion("forwarded", 2000, stream=True), headers(own))
    tokens = stream.tokens()
    for _ in range(3):
        next(tokens)
    stream.abort()
    runs = wait_for_runs(otaru, own)
    assert [run["end"] for _, run in runs] == ["cancelled"]


def test_a_request_bound_to_its_home_is_refused_rather_than_forwarded(otaru):
    """Town offices' data stays at home. With all runners there full, the caller is told that the
    request was not run, and no other region sees it."""
    faults(otaru, "asahikawa", "engine", refuse_not_started=True)
    own = new_id()
    answer = call("POST", entry(otaru, "asahikawa"), "/v1/completions", completion("home", 10),
                  headers(own, TOWN_OFFICE, **{"Laburnumchute-Deadline-Ms": "1500"}), timeout=20)
    assert answer[0] >= 429
    assert problem(answer)["run"] == "not run"
    assert otaru.runs(own) == []


def test_a_service_call_passes_method_path_query_and_body(otaru):
    own = new_id()
    status, text = call("GET", entry(otaru, "hakodate"),
                        "/services/order-desk/orders/7?from=school", None, headers(own))
    assert status == 200
    answer = json.loads(text)
    assert (answer["method"], answer["path"]) == ("GET", "/orders/7")
    assert answer["query"] == {"from": "school"}
    assert answer["request_id"].startswith(own)


def order(address, key, own, body):
    return call("POST", address, "/services/order-desk/orders", body,
                headers(own, **({"Idempotency-Key": key} if key else {})))


def new_key(address):
    status, text = call("POST", address, "/v1/idempotency-keys", {}, SCHOOLS)
    assert status // 100 == 2, text
    return json.loads(text)["key"]


def runs_of_key(otaru, key):
    return [run for child in set(otaru.endpoint_hosts.values())
            for record in child.records().values() for run in record.get("runs", [])
            if run["idempotency_key"] == key]


def test_an_order_sent_twice_under_one_key_runs_once(otaru):
    """A school's clerk sees no reply and sends the medal order again. Only one set of medals may be
    cut, and the clerk gets the first answer again."""
    address = entry(otaru, "sapporo")
    key = new_key(address)
    first = order(address, key, new_id(), {"medals": 3})
    second = order(address, key, new_id(), {"medals": 3})
    assert first[0] == 200
    assert second[0] in (200, 409)
    assert len(runs_of_key(otaru, key)) == 1
    state = json.loads(call("GET", address, f"/v1/idempotency-keys/{key}", None, SCHOOLS)[1])
    assert state["state"] == "ran"


def test_an_order_whose_answer_is_lost_is_unknown_and_not_run_again(otaru):
    """The order desk runs the order, then its connection dies. The system cannot know, must say so
    and must not try again."""
    faults(otaru, "all", "service", drop_answers=1)
    address = entry(otaru, "sapporo")
    key = new_key(address)
    answer = order(address, key, new_id(), {"medals": 1})
    assert answer[0] >= 500
    assert problem(answer)["run"] == "unknown"
    assert len(runs_of_key(otaru, key)) == 1


def test_an_unknown_model_is_refused_as_not_run(otaru):
    answer = call("POST", entry(otaru, "sapporo"), "/v1/completions",
                  {"model": "no-such-model", "prompt": "x"}, headers(new_id()))
    assert answer[0] == 404
    assert problem(answer)["run"] == "not run"


def test_models_and_entries_are_told(otaru):
    address = entry(otaru, "sapporo")
    models = json.loads(call("GET", address, "/v1/models", None, SCHOOLS)[1])
    assert MODEL in [model["id"] for model in models["data"]]
    advice = json.loads(call("GET", address, "/v1/entries", None, SCHOOLS)[1])
    assert advice["lifetime_ms"] > 0
    assert {each["address"] for each in advice["entries"]} == {
        gateway.addresses["http"] for gateway in otaru.gateways}
