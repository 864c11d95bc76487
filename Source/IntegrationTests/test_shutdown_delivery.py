"""Answers that end while their instance stops: real processes, judged by what callers receive."""

import contextlib
import dataclasses
import signal
import socket
import threading
import time

import pytest

from raw_caller import RawCaller
from relay_deployment import RelayDeployment, standin
from scripted_endpoint import Script, ScriptedEndpoint

GRACE = 8.0
#: Seconds from SIGTERM to the ends of the answers of an instance.
ENDS = (3.4, 4.9, 5.4, 6.2)
STARTED_BEFORE = 1.0
SLOW_READER = 2_000_000
LARGE = 2_500_000
#: Seconds without progress after which an instance resets a connection.
WRITE_STALL_TIMEOUT = 8
BOUNDS = {"graceS": int(GRACE)}
#: Answers must end within their times although their processes get a part of a core.
pytestmark = pytest.mark.alone


def long_route(name, prefix, service, kind):
    return {**standin.route(name, prefix, service, kind), "timeoutMs": 12000, "attempts": 1}


ROUTES = [
    long_route("talk", "/stream/", "model", "stream"),
    long_route("order", "/order/", "model", "once"),
    long_route("far", "/far/", "distant", "stream"),
]
SERVICES = [standin.service("model"), standin.service("distant")]
ENDPOINTS = [("m-1", "model", "north-a"), ("m-2", "model", "north-a"), ("f-1", "distant", "south-a")]


@dataclasses.dataclass
class Case:
    """What the callers of one instance do."""

    path: str = "/stream/x"
    framing: str = "chunked"
    last_bytes: int = 200
    version: str = "1.1"
    starved: bool = False
    """The process runs for a part of the time only."""
    bytes_per_second: int = None
    reconfigured: bool = False
    """SIGHUP and new configurations come all the while."""

    def script(self, end):
        """Small events at first, the last part at the end."""
        total = STARTED_BEFORE + end
        steps = [[0.3, 60]] * 4 + [[total - 1.2, self.last_bytes]]
        return Script(steps, stream=not self.path.startswith("/order/"), framing=self.framing)


CASES = {
    "stream": Case(),
    "stream-starved": Case(starved=True),
    "stream-large-end-starved": Case(last_bytes=250_000, starved=True),
    "stream-slow-reader": Case(last_bytes=LARGE, bytes_per_second=SLOW_READER),
    "stream-slow-reader-starved": Case(
        last_bytes=LARGE, bytes_per_second=SLOW_READER, starved=True
    ),
    "stream-http10-starved": Case(version="1.0", last_bytes=250_000, starved=True),
    "stream-http10-slow-reader": Case(
        version="1.0", last_bytes=LARGE, bytes_per_second=SLOW_READER
    ),
    "stream-reconfigured-starved": Case(starved=True, reconfigured=True),
    "length-starved": Case("/order/x", "length", starved=True),
    "length-slow-reader": Case("/order/x", "length", LARGE, bytes_per_second=SLOW_READER),
    "chunked-starved": Case("/order/x", "chunked", starved=True),
    "close-starved": Case("/order/x", "close", starved=True),
    "close-slow-reader": Case("/order/x", "close", LARGE, bytes_per_second=SLOW_READER),
    "stream-close-starved": Case(framing="close", starved=True),
    "forwarded-starved": Case("/far/x", starved=True),
    "forwarded-slow-reader": Case("/far/x", last_bytes=LARGE, bytes_per_second=SLOW_READER),
}


class Starver:
    """Lets processes run for a quarter of the time, as a small share of a core does."""

    def __init__(self, processes):
        self.processes = processes
        self.ended = threading.Event()
        self.thread = threading.Thread(target=self._run)
        self.thread.start()

    def _signal(self, number):
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(number)

    def _run(self):
        while not self.ended.is_set():
            self._signal(signal.SIGSTOP)
            time.sleep(0.075)
            self._signal(signal.SIGCONT)
            time.sleep(0.025)

    def stop(self):
        self.ended.set()
        self.thread.join()


class Play:
    """All cases at once, each on an instance of its own that gets SIGTERM."""

    def __init__(self, folder):
        instances = {
            name: (f"127.0.0.{30 + number}", "north-a") for number, name in enumerate(CASES)
        }
        instances["south-stopped"] = ("127.0.0.60", "south-a")
        self.deployment = RelayDeployment(
            folder, instances, ENDPOINTS, ROUTES, SERVICES, BOUNDS, ScriptedEndpoint
        )
        self.outcomes = {}
        self.exits = {}
        self.terminated_at = {}

    def run(self):
        self.deployment.wait_ready()
        # Instances of the other region that were just started are heard of within a second.
        time.sleep(1.5)
        calls = {name: [] for name in CASES}
        for name, case in CASES.items():
            for end in ENDS:
                script = case.script(end)
                caller = RawCaller(
                    self.deployment.address(name),
                    case.path,
                    script.body(),
                    case.bytes_per_second,
                    case.version,
                )
                calls[name].append((script, caller))
        time.sleep(STARTED_BEFORE)
        starved = [name for name, case in CASES.items() if case.starved] + ["south-stopped"]
        starved = [self.deployment.processes[name] for name in starved]
        for name, process in self.deployment.processes.items():
            process.send_signal(signal.SIGTERM)
            self.terminated_at[name] = time.monotonic()
        starver = Starver(starved)
        self._disturb(time.monotonic() + GRACE + 1)
        starver.stop()
        for name, pairs in calls.items():
            self.outcomes[name] = [(script, caller.result()) for script, caller in pairs]

    def _disturb(self, end):
        version = 2
        while time.monotonic() < end:
            for name, case in CASES.items():
                process = self.deployment.processes[name]
                if case.reconfigured and process.poll() is None:
                    process.send_signal(signal.SIGHUP)
            extra = long_route(f"extra{version}", f"/extra{version}/", "model", "stream")
            self.deployment.platform.publish(version, [*ROUTES, extra], SERVICES)
            version += 1
            for name, process in self.deployment.processes.items():
                if process.poll() is not None and name not in self.exits:
                    self.exits[name] = time.monotonic() - self.terminated_at[name]
            time.sleep(0.1)


@pytest.fixture(scope="module")
def play(tmp_path_factory):
    played = Play(tmp_path_factory.mktemp("shutdown"))
    try:
        played.run()
        yield played
    finally:
        played.deployment.stop()


def check_outcomes(name, outcomes):
    assert len(outcomes) == len(ENDS)
    for script, outcome in outcomes:
        expected = script.answer(outcome.identity)
        received = f"{len(outcome.body)} of {len(expected)} bytes, {outcome.error}"
        assert outcome.status == 200, f"{name}: {outcome}"
        assert outcome.whole and outcome.body == expected, f"{name}: {received}"


@pytest.mark.parametrize("name", CASES)
def test_an_answer_that_ends_while_its_instance_stops_is_whole(play, name):
    """Guards against a process that exits while bytes of an answer are on their way."""
    check_outcomes(name, play.outcomes[name])


def test_processes_stop_within_their_time_and_by_themselves(play):
    """Guards against processes that wait until they are killed."""
    assert set(play.terminated_at) == set(play.exits)
    for name in play.terminated_at:
        assert play.deployment.processes[name].returncode == 0
        assert play.exits[name] < GRACE, name


def test_the_log_says_when_each_answer_was_delivered(play):
    """Guards against an answer whose end nobody can find after its caller complains."""
    for name in ("stream", "length-starved"):
        lines = play.deployment.log_lines(name)
        delivered = {line["request"] for line in lines if line["event"] == "delivered"}
        assert {outcome.identity for _, outcome in play.outcomes[name]} <= delivered
        (stop,) = [line for line in lines if line["event"] == "stop"]
        assert stop["reason"] == "all answers delivered"
        assert stop["unsent_bytes"] == 0


@contextlib.contextmanager
def running(folder, instances):
    deployment = RelayDeployment(
        folder, instances, ENDPOINTS, ROUTES, SERVICES, BOUNDS, ScriptedEndpoint
    )
    try:
        deployment.wait_ready()
        yield deployment
    finally:
        deployment.stop()


@pytest.fixture
def lone_instance(tmp_path):
    with running(tmp_path, {"alone": ("127.0.0.29", "north-a")}) as deployment:
        yield deployment


@pytest.fixture
def two_instances(tmp_path):
    instances = {"near": ("127.0.0.28", "north-a"), "far": ("127.0.0.27", "south-a")}
    with running(tmp_path, instances) as deployment:
        yield deployment


def stop_time(process):
    start = time.monotonic()
    process.send_signal(signal.SIGTERM)
    process.wait(timeout=GRACE + 2)
    return time.monotonic() - start


@pytest.mark.parametrize("kind", ["idle", "stream", "length"])
def test_a_caller_that_never_reads_does_not_hold_up_the_shutdown(lone_instance, kind):
    """Guards against a process that waits for callers that have stopped reading."""
    path, framing = ("/order/x", "length") if kind == "length" else ("/stream/x", "chunked")
    script = Script([[0.05, 60], [0.05, 4_000_000]], stream=kind != "length", framing=framing)
    callers = [
        RawCaller(
            lone_instance.address("alone"),
            path,
            script.body(),
            bytes_per_second=0,
            receive_buffer=4096,
        )
        for _ in range(0 if kind == "idle" else 4)
    ]
    time.sleep(1)
    took = stop_time(lone_instance.processes["alone"])
    for caller in callers:
        caller.close()
    assert took < 5.5, took
    lines = lone_instance.log_lines("alone")
    ended = [line for line in lines if line["event"] == "connection-end"]
    if kind != "idle":
        assert {line["reason"] for line in ended} == {"the remote side does not read"}
        assert all(line["unsent_bytes"] > 0 for line in ended)


HALF_REQUEST = b"POST /order/x HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nhalf"


@pytest.mark.parametrize("sent", [b"", HALF_REQUEST], ids=["idle", "unfinished"])
def test_callers_that_send_no_whole_request_do_not_hold_up_the_shutdown(lone_instance, sent):
    """Guards against a process that waits for idle callers or for the rest of a request."""
    host, port = lone_instance.address("alone").split(":")
    with contextlib.ExitStack() as stack:
        for _ in range(200):
            caller = stack.enter_context(socket.create_connection((host, int(port))))
            caller.sendall(sent)
        time.sleep(0.5)
        took = stop_time(lone_instance.processes["alone"])
    assert took < 5.5, took


def test_a_frozen_instance_does_not_hold_up_the_shutdown_of_another(two_instances):
    """Guards against a process that waits for an instance that has stopped reading."""
    time.sleep(1.5)
    script = Script([[0.05, 60]] + [[0.02, 1_000_000]] * 40)
    caller = RawCaller(two_instances.address("near"), "/far/x", script.body())
    time.sleep(0.3)
    two_instances.processes["near"].send_signal(signal.SIGSTOP)
    time.sleep(1)
    took = stop_time(two_instances.processes["far"])
    caller.close()
    assert took < 5.5, took
    lines = two_instances.log_lines("far")
    (ended,) = [line for line in lines if line["event"] == "connection-end"]
    assert ended["reason"] == "the remote side does not read"


def test_a_stream_that_is_cut_off_at_the_time_limit_does_not_look_whole(lone_instance):
    """Guards against a close that a caller without chunked coding takes for the end."""
    script = Script([[0.05, 60], [20, 60]])
    caller = RawCaller(
        lone_instance.address("alone"), "/stream/x", script.body(), version="1.0"
    )
    time.sleep(0.5)
    assert stop_time(lone_instance.processes["alone"]) < GRACE
    outcome = caller.result()
    assert outcome.status == 200 and not outcome.whole
    (end,) = [line for line in lone_instance.log_lines("alone") if line["event"] == "request"]
    assert end["outcome"] == "cut off by the shutdown"


def test_a_request_whose_run_outlasts_the_shutdown_gets_an_answer(lone_instance):
    """Guards against callers who get neither an answer nor a refusal as the process is killed."""
    script = Script([[20, 60]], stream=False, framing="length")
    caller = RawCaller(lone_instance.address("alone"), "/order/x", script.body())
    time.sleep(0.5)
    assert stop_time(lone_instance.processes["alone"]) < GRACE
    outcome = caller.result()
    assert outcome.status == 504 and outcome.whole


def test_a_steady_slow_reader_gets_a_large_answer(lone_instance):
    """Guards against a time limit for a whole write instead of one without progress."""
    script = Script([[0.05, 8_000_000]], stream=False, framing="length")
    caller = RawCaller(
        lone_instance.address("alone"),
        "/order/x",
        script.body(),
        bytes_per_second=250_000,
        receive_buffer=65536,
        deadline=25,
    )
    time.sleep(WRITE_STALL_TIMEOUT + 3)
    caller.bytes_per_second = None
    outcome = caller.result()
    assert outcome.whole, f"{len(outcome.body)} bytes, {outcome.error}"
