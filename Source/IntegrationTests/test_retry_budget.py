"""The retry rules with real processes: what all instances together send to endpoints."""

import asyncio
import os

import pytest

import soak

SEED = int(os.environ.get("SOAK_SEED", "1"))
SECONDS = 60
#: Plays of many processes whose rules measure times.
pytestmark = pytest.mark.alone


def fail_requests(deployment):
    """All plain endpoints answer most requests with an error."""
    for endpoint in deployment.endpoints:
        if endpoint.service == "desk":
            endpoint.fault, endpoint.share = "errors", 0.9


def cut_all(deployment):
    """No instance hears from any other."""
    for instance in deployment.instances:
        for other in deployment.instances:
            if instance is not other:
                deployment.cut(instance, other, one_way=True)


def play(folder, disturb):
    report = asyncio.run(soak.play(1, 4, folder, disturb, deadly_per_second=0))
    assert report.broken == [], report.line()
    assert report.repeats >= 20, f"retries are hardly made at all: {report.line()}"


def test_instances_cut_from_each_other_do_not_each_use_the_whole_retry_budget(tmp_path):
    """Guards against dividing the budget by the instances that are heard from now."""

    async def disturb(deployment, _log):
        cut_all(deployment)
        await asyncio.sleep(3)
        fail_requests(deployment)
        await asyncio.sleep(11)

    play(tmp_path, disturb)


def test_restarted_instances_do_not_spend_the_retry_budget_again(tmp_path):
    """Guards against a budget that is full again after each start of a process."""

    async def disturb(deployment, _log):
        fail_requests(deployment)
        for _ in range(5):
            await asyncio.sleep(2)
            for instance in deployment.instances:
                instance.kill()
            for instance in deployment.instances:
                instance.start()
        await asyncio.sleep(2)

    play(tmp_path, disturb)


def test_instances_restarted_while_cut_off_do_not_each_use_the_whole_retry_budget(tmp_path):
    """Guards against a process that hears of nobody and takes itself for the only one."""

    async def disturb(deployment, _log):
        cut_all(deployment)
        for instance in deployment.instances:
            instance.kill()
            instance.start()
        await asyncio.sleep(1)
        fail_requests(deployment)
        await asyncio.sleep(14)

    play(tmp_path, disturb)


def test_instances_cut_from_each_other_stop_sending_a_request_that_crashes_endpoints(tmp_path):
    """Guards against one instance after another that has to see the crashes itself."""

    async def disturb(deployment, _log):
        cut_all(deployment)
        for instance in deployment.instances:
            instance.kill()
            instance.start()
        await asyncio.sleep(1)
        fail_requests(deployment)
        await asyncio.sleep(14)

    report = asyncio.run(soak.play(1, 4, tmp_path, disturb))
    assert report.broken == [], report.line()


@pytest.fixture(scope="module")
def overlapping_faults(tmp_path_factory):
    """One play for the tests below; the long run is soak.py."""
    return soak.run(SEED, SECONDS, 4, tmp_path_factory.mktemp("soak"))


def broken_rules(report, of_deadly_requests):
    return [one for one in report.broken if one.startswith("deadly:") == of_deadly_requests]


def test_retry_rules_hold_through_overlapping_faults(overlapping_faults):
    """Guards against faults that only their combination shows."""
    assert broken_rules(overlapping_faults, False) == [], overlapping_faults.line()


def test_crashing_requests_are_stopped_through_overlapping_faults(overlapping_faults):
    """As above, for requests that crash endpoints."""
    assert broken_rules(overlapping_faults, True) == [], overlapping_faults.line()
