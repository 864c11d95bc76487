"""Requests that a stopping instance still has late in its grace, and connections that it closes; judged
by what callers get and what ran."""

import asyncio
import contextlib
import signal
import time

import pytest

from raw_caller import RawCaller
from relay_deployment import RelayDeployment, standin

GRACE = 8.0
pytestmark = pytest.mark.alone


class SingleEndpoint(standin.Endpoint):
    """Runs one request at a time; the others wait."""

    #: Seconds of each run.
    WORK = 1.5

    def __init__(self, store, identity, service, zone):
        super().__init__(store, identity, service, zone, slots=1, work=self.WORK)
        self.free = asyncio.Semaphore(1)
        self.reached = set()

    async def _handle(self, method, target, headers, body, writer):
        self.reached.add(headers.get("attempt-id"))
        async with self.free:
            await super()._handle(method, target, headers, body, writer)


class SlowEndpoint(SingleEndpoint):
    WORK = 20


@contextlib.contextmanager
def stopping(folder, make_endpoint, orders):
    """An instance that gets SIGTERM a moment after it got the orders. Yields it and their callers."""
    route = standin.route("order", "/order/", "desk", "once", timeout_ms=12000, objective_ms=10000)
    deployment = RelayDeployment(
        folder,
        {"alone": ("127.0.0.24", "north-a")},
        [("d-1", "desk", "north-a")],
        [route],
        [standin.service("desk")],
        {"graceS": int(GRACE)},
        make_endpoint,
    )
    try:
        deployment.wait_ready()
        time.sleep(1)
        callers = [RawCaller(deployment.address("alone"), "/order/x", b"x") for _ in range(orders)]
        time.sleep(0.3)
        deployment.processes["alone"].send_signal(signal.SIGTERM)
        yield deployment, callers
    finally:
        deployment.stop()


# Guards against LOST: a request that waits is sent so late that its run is cut off by the exit.
def test_requests_that_wait_are_not_sent_shortly_before_the_exit(tmp_path):
    with stopping(tmp_path, SingleEndpoint, 8) as (deployment, callers):
        outcomes = [caller.result() for caller in callers]
        reached = deployment.platform.endpoints["d-1"].reached
    statuses = [(one.status, one.identity in reached) for one in outcomes]
    assert statuses.count((200, True)) >= 3
    assert set(statuses) <= {(200, True), (503, False)}, statuses


# Guards against LOST: a process that is short of processor time skips each tick after a stand-still,
# so that its shutdown makes no progress until it is killed.
def test_a_process_short_of_processor_time_ends_its_requests_before_it_is_killed(tmp_path):
    with stopping(tmp_path, SlowEndpoint, 1) as (deployment, callers):
        process = deployment.processes["alone"]
        end = time.monotonic() + GRACE
        while process.poll() is None and time.monotonic() < end:
            process.send_signal(signal.SIGSTOP)
            time.sleep(0.5)
            process.send_signal(signal.SIGCONT)
            time.sleep(0.012)
        process.kill()
        outcome = callers[0].result()
    assert outcome.status == 504 and outcome.whole, outcome
