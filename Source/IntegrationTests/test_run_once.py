"""Requests that may run at one endpoint at a time, where it is open whether an earlier attempt is
over; judged by what ran at the endpoints and what callers were told."""

import asyncio
import concurrent.futures
import contextlib
import pathlib
import signal
import socket
import sys
import threading
import time

import pytest

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "platform" / "tests"))

import standin  # noqa: E402
from raw_caller import RawCaller  # noqa: E402
from relay_deployment import RelayDeployment  # noqa: E402
from stray_endpoint import HangingEndpoint, SlowEndpoint, StrayEndpoint  # noqa: E402
from test_relay import attempt, runs_of, whole  # noqa: E402

INSTANCES = {"north-1": ("127.0.0.21", "north-a"), "north-2": ("127.0.0.22", "north-a")}
#: Single requests may be retried once a window of a second is over.
BOUNDS = standin.retry_bounds(1.0, 50)
ENDPOINTS = [("d-1", "desk", "north-a"), ("d-2", "desk", "north-a")]
#: Statuses by which a caller is told that its request has not run and will not run.
NOT_RUN = (408, 421, 429, 503)


def order_route():
    return standin.route("order", "/order/", "desk", "once", objective_ms=3000)


@pytest.fixture
def deployment(tmp_path):
    StrayEndpoint.strays = 0
    routes, services = [order_route()], [standin.service("desk")]
    one = RelayDeployment(tmp_path, INSTANCES, ENDPOINTS, routes, services, BOUNDS, StrayEndpoint)
    try:
        one.wait_ready()
        time.sleep(1.5)
        yield one
    finally:
        one.stop()


def order(deployment):
    """Id and status of an order."""
    return attempt(deployment.address("north-1"), "POST", "/order/x", b"x")[:2]


def orders(deployment, count):
    """As above, of orders of which three are under way at a time."""
    with concurrent.futures.ThreadPoolExecutor(3) as callers:
        return list(callers.map(lambda _: order(deployment), range(count)))


def change(deployment, name, **values):
    for key, value in values.items():
        deployment.platform.call(setattr, deployment.platform.endpoints[name], key, value)


def check_orders(deployment, told):
    time.sleep(0.3)
    runs = runs_of(deployment.platform)
    left = sum(len(endpoint.left) for endpoint in deployment.platform.endpoints.values())
    assert StrayEndpoint.strays + left > 0, "no endpoint had an answer that was not due"
    for identity, status in told:
        assert runs.get(identity, 0) <= 1, f"order {identity} ran {runs[identity]} times"
        assert status not in NOT_RUN or identity not in runs, f"{identity} ran and got {status}"


# Guards against TWICE: a late refusal without an id is taken for that of the order under way.
@pytest.mark.parametrize("status", [503, 429, 421])
def test_a_refusal_without_an_id_on_a_used_connection_lets_no_order_run_twice(deployment, status):
    change(deployment, "d-1", unnamed_status=status)
    check_orders(deployment, orders(deployment, 30))


# Guards against a refusal of what has run: as above, at all endpoints.
def test_no_order_that_ran_is_refused_after_refusals_without_an_id(deployment):
    for name, _, _ in ENDPOINTS:
        change(deployment, name, unnamed_status=503)
    check_orders(deployment, orders(deployment, 12))


# Guards against TWICE: an endpoint that has succeeded another one at its address refuses an order
# for that one twice, and the second refusal comes when the order is sent to the successor.
def test_a_refusal_that_comes_twice_lets_no_order_run_twice(deployment):
    platform = deployment.platform
    platform.call(platform.store.delete, "servers/d-1")
    change(deployment, "d-1", identity="d-1-next")
    change(deployment, "d-2", slots=1, work=1.5, refuses_after=0.25)
    platform.call(platform.endpoints["d-2"].register)
    time.sleep(1)
    with concurrent.futures.ThreadPoolExecutor() as callers:
        first = callers.submit(order, deployment)
        time.sleep(0.1)
        put_former_record(platform)
        time.sleep(0.1)
        second = callers.submit(order, deployment)
        time.sleep(0.1)
        platform.call(platform.endpoints["d-1"].register)
        check_orders(deployment, [first.result(), second.result()])


def put_former_record(platform):
    """The record of the endpoint that was at the address before has not expired yet."""
    successor = platform.endpoints["d-1"]
    platform.call(setattr, successor, "identity", "d-1")
    platform.call(successor.register)
    platform.call(setattr, successor, "identity", "d-1-next")
    platform.call(setattr, successor, "restarts", 1)


#: Time in which an endpoint must have stopped work on a stream that another one goes on with.
STOP_TIME = 0.4


@contextlib.contextmanager
def short_of_processor_time(process):
    """The process runs for a fifth of the time."""
    ended = threading.Event()

    def take_turns():
        while not ended.is_set():
            process.send_signal(signal.SIGSTOP)
            time.sleep(0.08)
            process.send_signal(signal.SIGCONT)
            time.sleep(0.02)

    turns = threading.Thread(target=take_turns)
    turns.start()
    try:
        yield
    finally:
        ended.set()
        turns.join()


# Guards against TWICE: the segment that ends the first attempt is lost, and its endpoint works on.
@pytest.mark.parametrize("environment", [contextlib.nullcontext, short_of_processor_time])
def test_an_endpoint_stops_when_another_goes_on_with_its_stream_over_a_lossy_path(
    tmp_path, environment
):
    stream = standin.route(
        "draft", "/stream/", "model", "stream", resumable=True, gap=200, objective_ms=400
    )
    endpoints = [("m-1", "model", "north-a"), ("m-2", "model", "north-a")]
    services = [standin.service("model", model=True)]
    deployment = RelayDeployment(
        tmp_path, INSTANCES, endpoints, [stream], services, BOUNDS, HangingEndpoint
    )
    try:
        deployment.wait_ready()
        time.sleep(1.5)
        with environment(deployment.processes["north-1"]):
            identity, status, headers, body = attempt(
                deployment.address("north-1"), "POST", "/stream/x", b"x"
            )
        time.sleep(1)
        assert status == 200 and whole("draft", identity, headers, body), (status, body)
        late = HangingEndpoint.ended.get(identity, time.monotonic()) - HangingEndpoint.resumed[identity]
        assert late <= STOP_TIME, f"the first endpoint worked on for {late:.2f} s"
    finally:
        deployment.stop()


def overlaps(platform):
    """By how much each later run of a stream began before an earlier one had ended."""
    now = time.monotonic()
    spans = sorted(
        (begin, now if end is None else end, identity)
        for endpoint in platform.endpoints.values()
        for identity, begin, end in endpoint.spans
    )
    return [
        end - later
        for number, (_, end, identity) in enumerate(spans)
        for later, _, other in spans[number + 1 :]
        if other == identity and end > later
    ]


# Guards against TWICE: an instance runs a stream for another one, which hears no more of it.
@pytest.mark.parametrize("pause", [1.5, 8])
def test_a_stream_of_an_instance_that_stands_still_goes_on_at_one_endpoint(tmp_path, pause):
    stream = standin.route(
        "draft", "/stream/", "model", "stream", resumable=True, gap=200, objective_ms=400
    )
    instances = {"north-1": ("127.0.0.21", "north-a"), "south-1": ("127.0.0.22", "south-a")}
    endpoints = [("m-1", "model", "south-a"), ("m-2", "model", "north-a")]
    services = [standin.service("model", model=True)]
    deployment = RelayDeployment(
        tmp_path, instances, endpoints, [stream], services, BOUNDS, SlowEndpoint
    )
    platform = deployment.platform
    try:
        deployment.wait_ready()
        platform.drain("m-2")
        time.sleep(1.5)
        with concurrent.futures.ThreadPoolExecutor() as callers:
            address = deployment.address("north-1")
            told = [callers.submit(attempt, address, "POST", "/stream/x", b"x") for _ in range(4)]
            time.sleep(0.5)
            assert len(platform.endpoints["m-1"].spans) == 4
            platform.call(platform.endpoints["m-2"].register)
            deployment.processes["south-1"].send_signal(signal.SIGSTOP)
            time.sleep(pause)
            deployment.processes["south-1"].send_signal(signal.SIGCONT)
            ends = [one.result()[1] for one in told]
        assert max(overlaps(platform), default=0) <= STOP_TIME, (overlaps(platform), ends)
    finally:
        deployment.stop()


class QueueingEndpoint(standin.Endpoint):
    """Runs one request at a time; the others wait. Records when each reached it."""

    def __init__(self, store, identity, service, zone):
        super().__init__(store, identity, service, zone, slots=1, work=0.2)
        self.free = asyncio.Semaphore(1)
        self.reached = []

    async def _handle(self, method, target, headers, body, writer):
        self.reached.append(time.monotonic())
        async with self.free:
            await super()._handle(method, target, headers, body, writer)


# Guards against GONE: orders that wait at another instance run after their callers have left.
def test_orders_that_wait_at_another_instance_are_withdrawn_with_their_callers(tmp_path):
    instances = {"north-1": ("127.0.0.21", "north-a"), "south-1": ("127.0.0.22", "south-a")}
    endpoints = [("d-1", "desk", "south-a")]
    deployment = RelayDeployment(
        tmp_path, instances, endpoints, [order_route()], [standin.service("desk")], BOUNDS,
        QueueingEndpoint,
    )
    try:
        deployment.wait_ready()
        time.sleep(1.5)
        for _ in range(4):
            order(deployment)
        callers = [
            RawCaller(deployment.address("north-1"), "/order/x", b"x", deadline=8)
            for _ in range(40)
        ]
        time.sleep(0.6)
        for caller in callers:
            # Those that have been answered are closed.
            with contextlib.suppress(OSError):
                caller.socket.shutdown(socket.SHUT_RDWR)
        left = time.monotonic()
        time.sleep(3.5)
        late = [at - left for at in deployment.platform.endpoints["d-1"].reached if at > left + 0.5]
        forwards = [one for one in deployment.log_lines("north-1") if one["event"] == "forward"]
        assert len(forwards) > 20
        assert len(late) <= 3, f"{len(late)} orders arrived {late[-1]:.2f} s after their callers left"
    finally:
        deployment.stop()
