"""Requests that are all unlike, but for a part of their prompts that crashes endpoints: real processes
before endpoints that crash as they begin an answer, beside sound requests with the other parts."""

import asyncio

import pytest

import soak
import soak_rules
from faulty_endpoint import Arrival

PART, OTHER_PART = soak.standin.Endpoint.CRASHING_PARTS
PER_SECOND = 2.0
CALM = 3.0
#: The fifth crash comes within a few seconds, and both rules count from some time after it.
PLAYED = 20.0
#: Plays of many processes whose rules measure times.
pytestmark = pytest.mark.alone


def play(
    folder, disturb=None, bad_parts=None, per_second=soak.PER_SECOND, before=None, calm=CALM
):
    async def play_all(deployment, log):
        if before is not None:
            before(deployment)
        await asyncio.sleep(calm)
        callers = deployment.callers
        for part, rate in (bad_parts or {PART: PER_SECOND}).items():
            callers.start_bad_part(part, rate)
        if disturb is not None:
            await disturb(deployment)
        await asyncio.sleep(PLAYED)

    return asyncio.run(
        soak.play(1, 4, folder, play_all, deadly_per_second=0, per_second=per_second)
    )


def expect_stopped(report, sound=True):
    assert sum(len(times) for times in report.part_crashes.values()) >= 2, "nothing was played"
    assert report.broken == [], report.line()
    if sound:
        assert report.sound == [], report.line()


def test_a_part_of_prompts_that_crashes_endpoints_stops_reaching_them(tmp_path):
    """Guards against evidence that is kept for whole requests only."""
    expect_stopped(play(tmp_path))


def test_two_parts_that_crash_endpoints_stop_reaching_them(tmp_path):
    """Guards against condemning the first part, which both have in common."""
    expect_stopped(play(tmp_path, bad_parts={PART: 1.5, OTHER_PART: 1.5}))


def test_a_crashing_part_is_found_among_few_sound_requests(tmp_path):
    """Guards against condemning parts that hardly any request shows to be sound."""
    expect_stopped(play(tmp_path, per_second=10.0, calm=10.0))


def test_a_crashing_part_is_found_among_answers_without_a_length(tmp_path):
    """Guards against answers that a crash ended and that clear the part behind it."""

    def unframe(deployment):
        for endpoint in deployment.endpoints:
            endpoint.unframed = True

    expect_stopped(play(tmp_path, before=unframe))


def test_a_crashing_part_stays_rejected_when_instances_are_restarted(tmp_path):
    """Guards against processes that begin with an empty memory and try the part again."""

    async def restart(deployment):
        for _ in range(3):
            await asyncio.sleep(1.5)
            for instance in deployment.instances:
                instance.kill()
                instance.start()

    expect_stopped(play(tmp_path, restart))


def test_a_crashing_part_is_found_while_regions_are_cut(tmp_path):
    """Guards against instances that cannot add up what they see."""

    async def cut(deployment):
        for one in deployment.instances:
            for other in deployment.instances:
                if one.zone != other.zone:
                    deployment.cut(one, other, one_way=True)

    expect_stopped(play(tmp_path, cut), sound=False)


def test_a_crashing_part_is_found_amid_crashes_of_other_causes(tmp_path):
    """Guards against condemning the parts that were on endpoints which crashed."""

    async def crash_others(deployment):
        for _ in range(6):
            await asyncio.sleep(1)
            running = [one for one in deployment.endpoints if not one.down]
            if running:
                deployment.random.choice(running).crash()

    expect_stopped(play(tmp_path, crash_others))


# The rule finds a fault in records that are made up: crashes under the part, and its arrivals by
# the instance that their callers sent them to.

CUT_SIDES = {"a": "north", "b": "north", "c": "south"}
FOUND_IN_TIME = {"a": [0.1, 0.2, 0.4, 0.6], "b": [0.3, 0.5]}


def judge(came, side_of=CUT_SIDES.get):
    entries = {f"{name}{at}": (name, at) for name, times in came.items() for at in times}
    requests = [
        soak_rules.Request(identity, "model", name, at, 4.0, 2, bad_part=PART)
        for identity, (name, at) in entries.items()
    ]
    arrivals = [Arrival(identity, "model", "m", at, ran=True) for identity, (_, at) in entries.items()]
    crashes = {PART: [at for _, at in entries.values()]}
    broken = soak_rules.check_bad_parts(
        requests, arrivals, crashes, soak.BOUNDS, lambda _name, _at: True, side_of
    )
    return [one.partition(":")[0] for one in broken]


def test_a_part_that_reaches_a_side_late_is_judged_there_from_then_on():
    """Guards against blaming an instance that hears from no other for what it could not know."""
    assert judge({**FOUND_IN_TIME, "c": [8.0, 8.1, 9.0, 9.1]}) == []
    assert judge({**FOUND_IN_TIME, "c": [8.0, 13.1, 14.0, 15.0]}) == []
    assert judge({**FOUND_IN_TIME, "c": [8.0, 13.1, 14.0, 15.0, 16.0]}) == [f"part {PART}"]


def test_late_arrivals_of_all_sides_add_up():
    """Guards against a rule by which each side may be late as often as all of them."""
    came = {"a": [*FOUND_IN_TIME["a"], 10.0, 11.0], "b": [0.3, 0.5], "c": [1.0, 10.0, 11.0]}
    assert judge(came) == [f"part {PART}"]


def test_an_instance_that_hears_from_others_knows_what_they_saw():
    """Guards against judging each instance only by what came to itself."""
    came = {"a": FOUND_IN_TIME["a"], "b": [8.0, 8.1, 9.0, 9.1], "c": [1.0]}
    assert judge(came) == [f"part {PART}"]
    assert judge({**FOUND_IN_TIME, "c": [8.0, 8.1, 9.0, 9.1]}, lambda _name: "all") == [
        f"part {PART}"
    ]
