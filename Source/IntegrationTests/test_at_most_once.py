"""Orders that must not run twice, while instances, links and endpoints fail. A judge outside the
system compares what callers were told with what the endpoints' records say ran."""

import concurrent.futures
import json
import time
import uuid

import pytest

from conftest import BUILD
from deployment import Deployment, Gateway, http

SCHOOLS = {"Authorization": "Bearer example-schools"}
PATH = "/services/order-desk/orders"


class Judge:
    """A caller that notes each order it submitted, and what it was told of it."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.told = []  # (key, request id, body, run, answer)

    def key(self, gateway):
        status, text = http("POST", gateway.addresses["http"], "/v1/idempotency-keys", {}, SCHOOLS)
        assert status == 201, text
        return json.loads(text)["key"]

    def order(self, gateway, key, body=None, timeout=15, **more):
        """Submits an order, by default one of its own for each key; (what it was told: "answered", "not run", "ran", "unknown", "silence",
        the answer's document)."""
        body = body or f"12 medals, {key}"
        own = f"o{uuid.uuid4().hex[:12]}"
        headers = {**SCHOOLS, "X-Request-Id": own, **more}
        if key:
            headers["Idempotency-Key"] = key
        run, document = "silence", {}
        try:
            status, text = http("POST", gateway.addresses["http"], PATH, body.encode(), headers,
                                timeout)
            document = json.loads(text)
            run = "answered" if status == 200 else document["run"]
            document["http_status"] = status
        except OSError:
            pass
        self.told.append((key, own, body, run, document))
        return run, document

    def runs(self):
        """All runs of plain services: (request id, key, endpoint's answer was dropped)."""
        found = []
        for endpoint in self.deployment.endpoints:
            if endpoint["kind"] == "service":
                host = self.deployment.endpoint_hosts[endpoint["id"]]
                found += host.records()[endpoint["id"]]["runs"]
        return found

    def check(self):
        """At most once for each key; "not run" only of what did not run; each answer its own."""
        runs = self.runs()
        by_key = {}
        for run in runs:
            by_key.setdefault(run["idempotency_key"], []).append(run)
        for key, of_key in by_key.items():
            assert key, "an order ran without a key"
            assert len(of_key) == 1, f"{key} ran {len(of_key)} times"
        ran = [run["request_id"] for run in runs]
        for key, own, body, told, document in self.told:
            own_runs = [name for name in ran if name == own or name.startswith(own + ".")]
            if told == "not run":
                assert not own_runs, f"{own} was refused as not run and ran"
            if told in ("answered", "ran"):
                assert len(by_key.get(key, [])) == 1, f"{own} was told of a run of {key}"
            if told == "answered":
                assert document["received"] == body
                assert document["request_id"] == by_key[key][0]["request_id"]


@pytest.fixture(scope="module")
def shared():
    """For tests that only disturb endpoints."""
    with Deployment("otaru", BUILD) as deployment:
        yield deployment


@pytest.fixture
def works(request):
    """For tests that disturb instances and links, or need other settings."""
    settings = ["--drain-notice=200ms", *getattr(request, "param", [])]
    with Deployment("otaru", BUILD, gateway_settings=settings) as deployment:
        yield deployment


@pytest.fixture
def judge(request):
    name = "works" if "works" in request.fixturenames else "shared"
    judge = Judge(request.getfixturevalue(name))
    yield judge
    judge.check()


def disturb(deployment, **changes):
    """Faults of all order desks."""
    for endpoint in deployment.endpoints:
        if endpoint["kind"] == "service":
            deployment.endpoint_hosts[endpoint["id"]].faults(endpoint["id"], **changes)


def until(condition, patience=15):
    deadline = time.monotonic() + patience
    while not condition():
        assert time.monotonic() < deadline, "it did not come about in time"
        time.sleep(0.1)


# An office gets an answer, doubts it, and sends the same order to every other instance.
def test_a_resend_at_any_entry_gets_the_kept_answer(shared, judge):
    key = judge.key(shared.gateways[0])
    first = judge.order(shared.gateways[0], key)
    assert first[0] == "answered"
    for gateway in shared.gateways:
        run, document = judge.order(gateway, key)
        assert run == "answered"
        assert document["request_id"] == first[1]["request_id"]


# A client library sends the same order at once to all four instances.
def test_submissions_at_the_same_time_run_once(shared, judge):
    key = judge.key(shared.gateways[2])
    with concurrent.futures.ThreadPoolExecutor(8) as pool:
        told = list(pool.map(lambda gateway: judge.order(gateway, key)[0], shared.gateways * 2))
    assert "answered" in told
    assert set(told) <= {"answered", "unknown"}


def test_an_order_without_a_key_is_given_one(shared, judge):
    run, document = judge.order(shared.gateways[1], None, "no key")
    assert (run, document["http_status"]) == ("not run", 428)
    assert judge.order(shared.gateways[1], document["idempotency_key"], "no key")[0] == "answered"


def test_a_key_used_with_another_body_is_refused(shared, judge):
    key = judge.key(shared.gateways[0])
    assert judge.order(shared.gateways[0], key, "8 plaques")[0] == "answered"
    run, document = judge.order(shared.gateways[3], key, "9 plaques")
    assert (run, document["http_status"]) == ("not run", 422)


# A clerk fills in the form once more after the first order seemed lost, and the form fetches a new
# key at another instance. Without a question the brass is cut twice.
def test_the_same_order_under_a_new_key_is_asked_about(shared, judge):
    key = judge.key(shared.gateways[0])
    assert judge.order(shared.gateways[0], key, "1 trophy")[0] == "answered"
    again = judge.key(shared.gateways[1])
    time.sleep(1)
    run, document = judge.order(shared.gateways[1], again, "1 trophy")
    assert (run, document["http_status"]) == ("not run", 409)
    assert document["earlier_idempotency_key"] == key
    assert judge.order(shared.gateways[1], again, "1 trophy",
                       **{"Laburnumchute-Allow-Duplicate": "true"})[0] == "answered"


# The order desk cuts the medal and the connection breaks before its answer comes.
def test_an_answer_lost_after_the_run_is_unknown_for_good(shared, judge):
    disturb(shared, drop_answers=1)
    key = judge.key(shared.gateways[0])
    told = judge.order(shared.gateways[0], key, "a lost answer")
    disturb(shared, drop_answers=0)
    assert told[0] == "unknown"
    for gateway in shared.gateways:
        assert judge.order(gateway, key, "a lost answer")[0] == "unknown"
    assert len([run for run in judge.runs() if run["idempotency_key"] == key]) == 1


# The order desk dies while it works on the order, and comes up again a second later.
def test_an_endpoint_that_crashes_during_the_run_is_not_asked_again(shared, judge):
    disturb(shared, poison="a poisoned medal", restart_ms=300)
    key = judge.key(shared.gateways[0])
    assert judge.order(shared.gateways[0], key, "a poisoned medal")[0] == "unknown"
    time.sleep(1)
    disturb(shared, poison="")
    assert judge.order(shared.gateways[0], key, "a poisoned medal")[0] == "unknown"
    assert len([run for run in judge.runs() if run["idempotency_key"] == key]) == 1
    until(lambda: judge.order(shared.gateways[0], judge.key(shared.gateways[0]),
                              f"after {time.monotonic()}")[0] == "answered")


# A server closes an idle connection just as the next order is written to it. Whether the order was
# taken cannot be told then, so that orders go over connections of their own.
def test_reused_connections_that_close_under_the_write_lose_no_order(shared, judge):
    disturb(shared, close_reused_idle=True)
    told = [judge.order(shared.gateways[0], judge.key(shared.gateways[0]), f"order {number}")[0]
            for number in range(6)]
    disturb(shared, close_reused_idle=False)
    assert told == ["answered"] * 6


# All order desks refuse orders before they begin them. The caller is told "not run" and submits again
# at once under the same key, as client libraries do; its own refused attempt must not be in the way.
def test_an_order_that_did_not_start_may_be_sent_again_at_once(shared, judge):
    disturb(shared, refuse_not_started=True)
    key = judge.key(shared.gateways[0])
    for _ in range(5):
        run, document = judge.order(shared.gateways[0], key,
                                    **{"Laburnumchute-Deadline-Ms": "1000"})
        assert run == "not run", document
    disturb(shared, refuse_not_started=False)
    run, patience = "not run", time.monotonic() + 15
    while run == "not run" and time.monotonic() < patience:
        run, document = judge.order(shared.gateways[0], key)
    assert run == "answered", document


def test_an_endpoint_that_did_not_start_is_followed_by_another(shared, judge):
    for endpoint in shared.endpoints:
        if endpoint["kind"] == "service" and endpoint["region"] == "sapporo":
            shared.endpoint_hosts[endpoint["id"]].faults(endpoint["id"], refuse_not_started=True)
    key = judge.key(shared.gateways[0])
    told = judge.order(shared.gateways[0], key, "refused at first")
    disturb(shared, refuse_not_started=False)
    assert told[0] in ("answered", "not run"), told
    again = judge.order(shared.gateways[0], key, "refused at first")
    assert again[0] == "answered", (told, again)


# The one desk of a region refuses all orders unbegun, while the desks of other regions are free. The
# school must get its order served there, once, under the key that its own region's instance minted;
# the instance that runs it elsewhere has never seen the key.
def test_an_order_that_home_refuses_runs_once_in_another_region(shared, judge):
    home = [endpoint["id"] for endpoint in shared.endpoints
            if endpoint["kind"] == "service" and endpoint["region"] == "sapporo"]
    for name in home:
        shared.endpoint_hosts[name].faults(name, refuse_not_started=True)
    key = judge.key(shared.gateways[0])
    run, patience = "not run", time.monotonic() + 20
    while run == "not run" and time.monotonic() < patience:
        run, document = judge.order(shared.gateways[0], key)
    for name in home:
        shared.endpoint_hosts[name].faults(name, refuse_not_started=False)
    assert run == "answered", document
    assert document["id"] not in home
    again = judge.order(shared.gateways[2], key)
    assert (again[0], again[1]["id"]) == ("answered", document["id"])


# The instance that minted the key is killed after the order ran. Nobody else knows what became of
# the order, and nobody may guess. New orders go on with two of four instances down.
def test_the_keys_of_a_killed_owner_are_unknown(works, judge):
    owner, _, other, last = works.gateways
    key, unused = judge.key(owner), judge.key(owner)
    assert judge.order(owner, key)[0] == "answered"
    owner.kill()
    assert judge.order(other, key)[0] == "unknown"
    assert judge.order(last, unused, "an unused key")[0] == "unknown"
    last.kill()
    assert judge.order(other, judge.key(other), "a new order")[0] == "answered"


# The owner stops for a while with an order in its hands, its caller goes elsewhere, and then it
# goes on as if nothing had happened.
def test_a_frozen_owner_that_wakes_late_runs_nothing_twice(works, judge):
    owner, neighbour, other, _ = works.gateways
    key = judge.key(owner)
    owner.freeze()
    with concurrent.futures.ThreadPoolExecutor(2) as pool:
        direct = pool.submit(judge.order, owner, key, "frozen", 20,
                             **{"Laburnumchute-Deadline-Ms": "2000"})
        forwarded = judge.order(neighbour, key, "frozen", 20,
                                **{"Laburnumchute-Deadline-Ms": "2000"})
        assert forwarded[0] == "unknown"
        time.sleep(3)
        owner.thaw()
        assert direct.result()[0] in ("answered", "not run", "unknown")
    until(lambda: judge.order(other, key, "frozen")[0] == "answered")


# The owner is replaced under its name and remembers nothing. Its replacement must not take the old
# keys for unused ones.
def test_a_replacement_without_memory_claims_nothing(works, judge):
    owner, _, other, _ = works.gateways
    used, unused = judge.key(owner), judge.key(owner)
    assert judge.order(owner, used)[0] == "answered"
    owner.kill()
    replacement = Gateway(works.build, works.folder.name, owner.name, owner.region,
                          works.platform.addresses)
    works.children.append(replacement)
    works.gateways[0] = replacement
    works.publish_instances()
    works.wait_until_ready()
    for gateway in (replacement, other):
        assert judge.order(gateway, used)[0] == "unknown"
        assert judge.order(gateway, unused, "an unused key")[0] == "unknown"
    assert judge.order(replacement, judge.key(replacement), "a new order")[0] == "answered"


# The link between two regions holds everything back, with the owner on one side and the caller's
# instance on the other.
def test_an_owner_that_is_cut_off_is_unknown_until_it_is_back(works, judge):
    owner, other = works.gateways[0], works.gateways[2]
    key = judge.key(owner)
    link = f"{owner.region}-{other.region}"
    works.platform.link(link, hold="both")
    assert judge.order(other, key, "over a cut")[0] == "unknown"
    assert judge.order(owner, key, "over a cut")[0] in ("answered", "unknown")
    works.platform.link(link, hold="none")
    until(lambda: judge.order(other, key, "over a cut")[0] == "answered", 30)


# A rolling upgrade stops the owner. A caller who asks again a minute later still gets its answer
# from the owner's neighbour, and an unused key is told apart from one that ran.
def test_a_shutdown_hands_the_outcomes_over(works, judge):
    owner, neighbour = works.gateways[0], works.gateways[1]
    used, unused = judge.key(owner), judge.key(owner)
    first = judge.order(owner, used)
    assert first[0] == "answered"
    assert owner.stop(30) == 0
    run, document = judge.order(neighbour, used)
    assert (run, document["request_id"]) == ("answered", first[1]["request_id"])
    run, document = judge.order(neighbour, unused, "an unused key")
    assert (run, document["http_status"]) == ("not run", 503)


# More orders are open than the instance has room for. A live order that made room would look unused
# when its caller asks again.
@pytest.mark.parametrize("works", [["--idempotency-records=3"]], indirect=True)
def test_a_full_memory_refuses_new_keys_and_forgets_none(works, judge):
    owner, other, far, _ = works.gateways
    keys = [judge.key(owner) for _ in range(4)]
    told = [judge.order(owner, key, f"order {key}") for key in keys]
    assert [run for run, _ in told] == ["answered"] * 3 + ["not run"]
    assert told[3][1]["http_status"] == 503
    status, _ = http("POST", owner.addresses["http"], "/v1/idempotency-keys", {}, SCHOOLS)
    assert status == 503
    assert judge.order(far, keys[0], f"order {keys[0]}")[0] == "answered"
    assert judge.order(other, judge.key(other), "elsewhere")[0] == "answered"
