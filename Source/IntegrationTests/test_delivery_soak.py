"""The soak of deliveries: planned work, endpoints that stand still, bytes without end.

The long run is soak.py with the families that are played here.
"""

import os

import pytest

import soak
import soak_delivery_rules as rules
from faulty_endpoint import Arrival
from soak_delivery import Delivery
from soak_deployment import Stop

SEED = int(os.environ.get("SOAK_SEED", "1"))
SECONDS = 30
#: Plays of many processes whose rules measure times.
pytestmark = pytest.mark.alone
FAMILIES = ("stops", "silences", "endless")
ZONES = {"north-a-0": "north-a", "central-a-1": "central-a"}
ENDPOINT = "model-north-a-0"


@pytest.fixture(scope="module")
def played(tmp_path_factory):
    """All families at once."""
    return soak.run(SEED, SECONDS, 4, tmp_path_factory.mktemp("delivery"), FAMILIES)


def broken(report, *names):
    return [one for one in report.broken if one.partition(":")[0] in names]


def test_planned_work_cuts_no_answer(played):
    """Guards against answers that are lost with their instance, or with its settings or routes."""
    names = ("delivery", "early end that looks complete", "twice", "refused")
    assert broken(played, *names) == [], played.line()


def test_a_stand_still_of_an_endpoint_cuts_no_answer(played):
    """Guards against an answer that ends sooner, and an endpoint left out, after a stand-still."""
    assert broken(played, "silence", "use") == [], played.line()


def test_bytes_without_end_do_not_fill_the_memory(played):
    """Guards against a process that outgrows its machine."""
    assert broken(played, "memory", "crash") == [], played.line()


def test_a_stopped_instance_ends_by_itself_in_time(played):
    """Guards against a process that waits for callers until it is killed."""
    assert broken(played, "stop") == [], played.line()


def test_retry_rules_hold_beside_planned_work(played):
    """Guards against repeats without bounds while instances stop and endpoints stand still."""
    names = ("retries", "attempts", "deadlines", "rest")
    assert broken(played, *names) == [], played.line()


def test_the_play_tries_what_it_judges(played):
    """Guards against a play whose rules have nothing to judge."""
    tried = played.deliveries
    assert tried.answered >= 150, played.line()
    assert tried.after_stop >= 30, played.line()
    assert tried.through_standstills >= 20, played.line()


# Each rule finds a fault in records that are made up.


def make_request(**changes):
    """A request whose answer is whole, run by one endpoint."""
    values = {
        "status": 200,
        "kind": "talk",
        "expected": 100,
        "received": 100,
        "matches": True,
        "whole": True,
        "framed": True,
        "ended_at": 14.0,
        "end": "end of the answer",
    }
    return Delivery("00d1", "model", "north-a-0", 10.0, 10.0, 1, **{**values, **changes})


CUT = {"received": 50, "matches": False, "whole": False, "end": "close"}


def make_arrival(**changes):
    values = {"endpoint": ENDPOINT, "ran": True, "ended": 13.9, "whole": True, "zone": "north-a"}
    return Arrival("00d1", "model", at=10.1, **{**values, **changes})


def judge(request=None, arrivals=None, **changes):
    """The names of the rules that are broken."""
    history = rules.History(
        [request or make_request()],
        [make_arrival()] if arrivals is None else arrivals,
        ZONES,
        **changes,
    )
    return [one.partition(":")[0] for one in rules.check_all(history)]


def test_a_whole_answer_breaks_no_rule():
    """Guards against a rule that always finds something."""
    assert judge(stops=[Stop("north-a-0", 9.0, 14.1, 0)]) == []


@pytest.mark.parametrize("stopped_at", [8.1, 10.2, 13.95])
def test_a_cut_answer_is_found_at_any_moment_of_a_stop(stopped_at):
    """Guards against a rule that excuses what ends late in a stop."""
    stops = [Stop("north-a-0", stopped_at, 14.0, 0)]
    assert judge(make_request(**CUT), stops=stops) == ["delivery"]


@pytest.mark.parametrize(
    "changes",
    [
        {"status": 504, "matches": False},
        {"status": None, **CUT, "received": 0},
        {"matches": False, "whole": False, "end": "ConnectionResetError"},
    ],
)
def test_failures_instead_of_an_answer_are_found(changes):
    """Guards against a rule that takes an error for an answer."""
    assert judge(make_request(**changes)) == ["delivery"]


def test_an_answer_that_never_comes_is_found():
    """Guards against the deadline as an excuse for an answer that was there long before it."""
    changes = {**CUT, "ended_at": 20.0, "end": "deadline"}
    assert judge(make_request(**changes)) == ["delivery"]


@pytest.mark.parametrize(
    "request_changes, arrival_changes, history",
    [
        ({"reads": False}, {}, {}),
        ({"ended_at": 19.9}, {"whole": False, "ended": 19.9}, {}),
        ({}, {"interrupted": True}, {}),
        ({}, {"failed": True}, {}),
        ({}, {"endless": True}, {}),
        ({}, {}, {"unplanned": {"north-a-0": [6.0]}}),
        ({}, {"zone": "central-a"}, {"unplanned": {"central-a-1": [12.0]}}),
        ({"ended_at": 15.7}, {"ended": 15.7}, {"stops": [Stop("north-a-0", 9.0, 16.0, 0)]}),
        (
            {"ended_at": 16.7, "reading_time": 2.0},
            {"ended": 15.0},
            {"stops": [Stop("north-a-0", 9.0, 16.7, 0)]},
        ),
    ],
)
def test_what_no_instance_can_deliver_is_excused(request_changes, arrival_changes, history):
    """Guards against a rule that asks for more than is promised."""
    request = make_request(**{**CUT, **request_changes})
    assert judge(request, [make_arrival(**arrival_changes)], **history) == []


def test_a_request_sent_late_in_a_stop_is_not_excused():
    """Guards against an instance that takes requests which it cannot end in time."""
    stops = [Stop("north-a-0", 6.5, 14.0, 0)]
    request = make_request(**{**CUT, "ended_at": 14.0})
    assert judge(request, [make_arrival(ended=14.0)], stops=stops) == ["delivery"]


def test_a_connection_that_closes_on_an_unanswered_request_is_found():
    """Guards against a rule that only looks at what reached an endpoint."""
    nothing = {**CUT, "status": None, "received": 0}
    assert judge(make_request(**nothing, ended_at=10.9), []) == ["delivery"]
    assert judge(make_request(**nothing, ended_at=10.1), []) == []
    assert judge(make_request(**nothing, ended_at=10.9), [], turns={"north-a-0": [10.2]}) == []


def test_an_answer_cut_by_a_stand_still_is_found():
    """Guards against a rule that excuses endpoints which stand still."""
    standstills = [(ENDPOINT, 12.0, 13.4)]
    assert judge(make_request(**CUT), standstills=standstills) == ["silence"]


@pytest.mark.parametrize("framed", [True, False])
def test_an_early_end_that_looks_complete_is_found(framed):
    """Guards against a body that is cut, or joined wrongly, and still looks whole."""
    request = make_request(matches=False, framed=framed)
    # The endpoint broke off, which excuses the loss but not the looks.
    assert judge(request, [make_arrival(interrupted=True)]) == ["early end that looks complete"]
    killed = {"unplanned": {"north-a-0": [13.9]}}
    found = ["early end that looks complete"] if framed else []
    assert judge(request, [make_arrival(interrupted=True)], **killed) == found


def test_a_second_run_is_found():
    """Guards against a request that may not be repeated and is."""
    twice = [make_arrival(), make_arrival(endpoint="model-north-a-1")]
    assert judge(arrivals=twice) == ["twice"]
    assert judge(make_request(repeatable=True), twice) == []


def test_a_refusal_after_a_run_is_found():
    """Guards against a promise that is not kept."""
    refused = make_request(status=503, matches=False)
    assert judge(refused) == ["refused"]
    assert judge(refused, []) == []


def test_an_endpoint_that_is_left_out_is_found():
    """Guards against an endpoint that is not used after a stand-still."""
    others = [
        Arrival(f"00d{number}", "model", "model-north-a-1", 14.0, zone="north-a", ran=True)
        for number in range(2, 40)
    ]
    standstills = [(ENDPOINT, 12.0, 13.4)]
    assert judge(arrivals=others, standstills=standstills) == ["use"]
    own = Arrival("00d99", "model", ENDPOINT, 15.0, zone="north-a", ran=True)
    assert judge(arrivals=[*others, own], standstills=standstills) == []
    assert judge(arrivals=others[:20], standstills=standstills) == []
    endless = [(ENDPOINT, 14.0, 16.0)]
    assert judge(arrivals=others, standstills=standstills, endless=endless) == []


def test_memory_beyond_the_machine_is_found():
    """Guards against a rule that does not see the largest size of a process."""
    assert judge(memory={("north-a-0", 0.0): 261 * rules.MB}) == ["memory"]
    assert judge(memory={("north-a-0", 0.0): 259 * rules.MB}) == []


@pytest.mark.parametrize("ended, status", [(None, None), (17.6, 0), (12.0, 1), (12.0, -6)])
def test_a_stop_that_does_not_end_in_time_or_not_well_is_found(ended, status):
    """Guards against a process that has to be killed, or fails as it ends."""
    assert judge(stops=[Stop("north-a-0", 9.0, ended, status)]) == ["stop"]
    killed = {"north-a-0": [9.5]}
    assert judge(stops=[Stop("north-a-0", 9.0, ended, status)], unplanned=killed) == []


def test_a_process_that_ends_by_itself_is_found():
    """Guards against crashes that are followed by a restart and go unseen."""
    assert judge(crashes=[("north-a-0", 12.0, -11)]) == ["crash"]
