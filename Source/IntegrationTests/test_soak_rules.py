"""The rules of the soak, on histories of a few requests."""

import pytest

import soak_rules
from soak_deployment import standin  # noqa: F401, for the path of the stand-ins
from faulty_endpoint import Arrival

ZONES = {"north-a-0": "north-a", "central-a-1": "central-a"}
BOUNDS = soak_rules.Bounds(ratio=0.2, slack=58.0, window=10.0)
#: More than each rule tolerates.
REPEATS = 20


def in_touch_but(*disturbed):
    return lambda name, _at: name not in disturbed


def request(number, **values):
    return soak_rules.Request(f"{number:016x}", "desk", "north-a-0", 0.0, 4.0, 2, **values)


def arrival(number, zone, at, **values):
    return Arrival(f"{number:016x}", "desk", f"desk-{zone}", at, zone=zone, **values)


def broken_rests(zone, *disturbed):
    asked = arrival(0, zone, 1.0, rest=3.0)
    later = [arrival(number, zone, 2.0) for number in range(1, REPEATS)]
    requests = [request(number) for number in range(REPEATS)]
    return soak_rules.check_rests(requests, [asked, *later], in_touch_but(*disturbed), ZONES)


# Guards against a rule that blames the instance of the caller for what another one forgot.
@pytest.mark.parametrize(
    "zone, disturbed, broken",
    [
        ("north-a", [], True),
        ("north-a", ["north-a-0"], False),
        ("north-a", ["central-a-1"], True),
        ("central-a", [], True),
        ("central-a", ["central-a-1"], False),
    ],
)
def test_rests_are_judged_by_the_instances_that_may_have_sent_the_requests(zone, disturbed, broken):
    assert bool(broken_rests(zone, *disturbed)) == broken


def crashing_broken(arrivals, crashes, forgotten=()):
    """Whether the rules on requests and on parts of prompts that crash endpoints are broken."""
    deadly = soak_rules.check_deadly_requests(
        [request(number, deadly=True) for number in range(REPEATS)],
        arrivals,
        crashes,
        BOUNDS,
        in_touch_but(),
        ZONES,
        forgotten,
    )
    parts = soak_rules.check_bad_parts(
        [request(number, bad_part="bad") for number in range(REPEATS)],
        arrivals,
        {"bad": crashes},
        BOUNDS,
        in_touch_but(),
        lambda _name: "all",
        forgotten,
    )
    return bool(deadly), bool(parts)


CRASHES = [1.0, 2.0, 3.0, 4.0, 5.0]


# Guards against rules that count what endpoints reject, which crashes none and tells nothing.
@pytest.mark.parametrize("ran", [True, False])
def test_what_crashes_endpoints_counts_where_it_runs(ran):
    first = arrival(0, "north-a", 1.0, ran=True)
    later = [arrival(number, "north-a", 20.0, ran=ran) for number in range(REPEATS)]
    assert crashing_broken([first, *later], CRASHES) == (ran, ran)


# Guards against rules by which instances know what nobody was left to tell them, or never learn it
# again.
@pytest.mark.parametrize("at, broken", [(14.0, True), (20.0, False), (31.0, True)])
def test_what_crashes_endpoints_is_learnt_anew_once_all_processes_were_replaced(at, broken):
    first = [arrival(0, "north-a", begin, ran=True) for begin in (1.0, 16.0)]
    later = [arrival(number, "north-a", at, ran=True) for number in range(REPEATS)]
    crashes = [*CRASHES, *(20.0 + one for one in CRASHES)]
    assert crashing_broken([*first, *later], crashes, [15.0]) == (broken, broken)
