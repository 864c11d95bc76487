"""The soak of what belongs to no request: late answers, heads that end early, odd entries.

The long run is soak.py with the families that are played here.
"""

import os

import pytest

import soak
import soak_rules
from faulty_endpoint import Arrival

SEED = int(os.environ.get("SOAK_SEED", "4"))
SECONDS = 25
#: Plays of many processes whose rules measure times.
pytestmark = pytest.mark.alone
FAMILIES = ("strays",)


@pytest.fixture(scope="module")
def played(tmp_path_factory):
    """All families at once."""
    return soak.run(SEED, SECONDS, 4, tmp_path_factory.mktemp("strays"), FAMILIES)


def test_strays_make_nothing_run_twice(played):
    """Guards against TWICE: an answer to another request, or a late one, is taken for proof."""
    names = ("once", "refused", "overlap")
    assert [one for one in played.broken if one.partition(":")[0] in names] == [], played.line()


def test_strays_end_no_process(played):
    """Guards against processes that end at odd entries of the store."""
    assert [one for one in played.broken if one.startswith("process")] == [], played.line()


def test_the_play_has_strays_of_each_kind(played):
    """Guards against a play whose rules have nothing to judge."""
    for kind in ("late refusals", "second answers", "cut heads", "lost segments", "odd entries"):
        assert any(kind in str(one) for one in played.faults), played.faults


# The rules find faults in records that are made up.


def run_of(identity, endpoint="desk-north-a-0", ran=True):
    return Arrival(identity, "desk", endpoint, 10.0, ran=ran)


def request(identity, status, once=True):
    return soak_rules.Request(identity, "desk", "north-a-0", 9.9, 5.0, 3, status=status, once=once)


def test_a_second_run_is_found():
    """Guards against a rule that excuses a few requests."""
    twice = [run_of("1"), run_of("1", "desk-north-a-1")]
    assert soak_rules.check_run_once([request("1", 200)], twice)
    assert not soak_rules.check_run_once([request("1", 200)], [run_of("1"), run_of("1", ran=False)])
    assert not soak_rules.check_run_once([request("1", 200, once=False)], twice)


def test_work_beside_the_next_endpoint_is_found():
    """Guards against a rule that takes the end of a connection for granted."""
    first, second = run_of("1"), run_of("1", "desk-north-a-1")
    first.hangs, second.at = True, 11.0

    def broken(ended, in_touch=True):
        first.ended = ended
        return soak_rules.check_overlaps(
            [request("1", 200, False)], [first, second], lambda *_: in_touch
        )

    assert broken(11.5) and broken(None)
    assert not broken(11.3) and not broken(11.5, in_touch=False)
    first.interrupted = True
    assert not broken(None)


@pytest.mark.parametrize("status", soak_rules.NOT_RUN)
def test_a_refusal_of_what_ran_is_found(status):
    """Guards against a promise that is not kept."""
    assert soak_rules.check_run_once([request("1", status)], [run_of("1")])
    assert not soak_rules.check_run_once([request("1", status)], [run_of("1", ran=False)])
    assert not soak_rules.check_run_once([request("1", 502)], [run_of("1")])
