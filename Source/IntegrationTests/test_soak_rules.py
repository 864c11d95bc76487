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


# Guards against rules that count what endpoints reject, which crashes none and tells nothing.
@pytest.mark.parametrize("ran", [True, False])
def test_what_crashes_endpoints_counts_where_it_runs(ran):
    arrivals = [arrival(number, "north-a", 20.0, ran=ran) for number in range(REPEATS)]
    crashes = [1.0, 2.0, 3.0, 4.0, 5.0]
    first = arrival(0, "north-a", 1.0, ran=True)
    deadly = soak_rules.check_deadly_requests(
        [request(number, deadly=True) for number in range(REPEATS)],
        [first, *arrivals],
        crashes,
        BOUNDS,
        in_touch_but(),
        ZONES,
    )
    parts = soak_rules.check_bad_parts(
        [request(number, bad_part="bad") for number in range(REPEATS)],
        [first, *arrivals],
        {"bad": crashes},
        BOUNDS,
        in_touch_but(),
        lambda _name: "all",
    )
    assert (bool(deadly), bool(parts)) == (ran, ran)
