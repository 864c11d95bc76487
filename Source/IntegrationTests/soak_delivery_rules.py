"""What must hold for the delivery of answers, judged only by what callers and endpoints saw."""

import collections
import dataclasses

MB = 1024 * 1024
REFUSALS = (429, 503)
#: These promise that a request has not run.
PROMISES = (408, 421, 429, 503)
#: A request whose connection ends sooner and which reached no endpoint may not have been read.
UNREAD_TIME = 0.5
#: Time before the deadline from which on a request may be given up.
DEADLINE_MARGIN = 0.5
#: An answer that its endpoint ended this long before the deadline has to arrive.
ARRIVAL_TIME = 2.0
#: A request that was sent later after SIGTERM is not excused by its length.
LATE_REQUEST = 3.0
#: Share of the grace time at whose end requests still running may be given up.
WORK_SHARE = 5 / 6
#: Before the end of the grace time all that slow callers have not read is lost.
LAST_READ = 0.5
#: How soon after a stand-still an endpoint is used, and the requests for its service in its region
#: that make this certain.
USE_TIME = 3.0
ENOUGH_ARRIVALS = 30
#: What the harness may be late in seeing that a process has ended.
END_TOLERANCE = 0.3


@dataclasses.dataclass
class History:
    """What happened in a play. Times are seconds since its start."""

    requests: list
    arrivals: list
    zones: dict
    """Of the instances, by name."""
    stops: list = dataclasses.field(default_factory=list)
    planned: list = dataclasses.field(default_factory=list)
    """Time and text of other planned work."""
    unplanned: dict = dataclasses.field(default_factory=dict)
    """Times of other disturbances, by instance."""
    turns: dict = dataclasses.field(default_factory=dict)
    """Times at which an instance was short of processor time."""
    standstills: list = dataclasses.field(default_factory=list)
    endless: list = dataclasses.field(default_factory=list)
    """Endpoint, start and end of each."""
    memory: dict = dataclasses.field(default_factory=dict)
    crashes: list = dataclasses.field(default_factory=list)
    grace: float = 8.0
    memory_limit: int = 260 * MB
    stable: float = 5.0

    def __post_init__(self):
        self.arrivals_of = {}
        for arrival in self.arrivals:
            self.arrivals_of.setdefault(arrival.identity, []).append(arrival)

    def of(self, request):
        return self.arrivals_of.get(request.identity, [])

    def involved(self, request):
        """Its instance, and those that may have passed it on."""
        if not self.of(request):
            return list(self.zones)
        own = self.zones[request.entry]
        distant = {one.zone for one in self.of(request)} - {own}
        return [request.entry] + [name for name, zone in self.zones.items() if zone in distant]

    def was_disturbed(self, instances, start, end):
        times = [at for name in instances for at in self.unplanned.get(name, ())]
        return any(start <= at <= end for at in times)

    def stood_still(self, request):
        """Whether an endpoint stood still while it ran the request."""
        return any(
            arrival.endpoint == endpoint
            and arrival.at < end
            and start < (arrival.ended or request.ended_at)
            for arrival in self.of(request)
            for endpoint, start, end in self.standstills
        )


def is_answered(request):
    if not request.whole:
        return False
    return request.matches if request.status == 200 else request.status in REFUSALS


def ended_by(arrivals):
    """When an endpoint had sent a whole answer; None if none has."""
    return min((one.ended for one in arrivals if one.whole), default=None)


def deadline_excuses(request, arrivals):
    """The deadline came before the answer was there."""
    if request.ended_at < request.sent_at + request.allowed - DEADLINE_MARGIN:
        return False
    ended = ended_by(arrivals)
    needed = ARRIVAL_TIME + request.reading_time
    return ended is None or ended + needed > request.sent_at + request.allowed


def stop_excuses(request, arrivals, stop, grace):
    """The endpoint worked, or its slow caller read, nearly until the process would be killed."""
    if request.sent_at > stop.at + LATE_REQUEST:
        return False
    work_end, last_read = stop.at + WORK_SHARE * grace, stop.at + grace - LAST_READ
    if not work_end <= request.ended_at <= stop.at + grace + 1:
        return False
    if any(one.ran and (one.ended is None or one.ended > work_end) for one in arrivals):
        return True
    ended = ended_by(arrivals)
    return (
        ended is not None
        and request.reading_time > 0
        and request.ended_at >= last_read - LAST_READ
        and ended + request.reading_time > last_read
    )


def may_be_unread(history, request):
    """Reached no endpoint; its instance closed the connection at once, or was short of time."""
    if history.of(request) or request.status is not None:
        return False
    turns = history.turns.get(request.entry, ())
    is_starved = any(request.sent_at - 1 <= at <= request.ended_at for at in turns)
    return is_starved or request.ended_at - request.sent_at < UNREAD_TIME


def excuse(history, request):
    """Why its loss breaks no rule; empty if it breaks one."""
    arrivals = history.of(request)
    involved = history.involved(request)
    excuses = {
        "caller does not read": not request.reads,
        "may be unread": may_be_unread(history, request),
        "endpoint failed": any(one.failed or one.interrupted for one in arrivals),
        "bytes without end": any(one.endless for one in arrivals),
        "instance disturbed": history.was_disturbed(
            involved, request.sent_at - history.stable, request.ended_at
        ),
        "deadline": deadline_excuses(request, arrivals),
        "end of the grace time": any(
            stop_excuses(request, arrivals, stop, history.grace)
            for stop in history.stops
            if stop.instance in involved
        ),
    }
    return next((text for text, applies in excuses.items() if applies), "")


def describe(history, request):
    arrivals = "; ".join(
        f"{one.endpoint} from {one.at:.2f} to {one.ended or -1:.2f}"
        f" {'whole' if one.whole else 'not whole' if one.ran else 'not run'}"
        for one in history.of(request)
    )
    involved = history.involved(request)
    stops = "; ".join(
        f"SIGTERM of {one.instance} {request.ended_at - one.at:.2f} s before"
        for one in history.stops
        if one.instance in involved and one.at - history.grace < request.ended_at <= one.at + 10
    )
    others = sum(1 for at, _ in history.planned if request.sent_at <= at <= request.ended_at)
    return (
        f"{request.identity} ({request.kind}) at {request.entry},"
        f" {request.sent_at:.2f} to {request.ended_at:.2f},"
        f" status {request.status}, {request.received} of {request.expected} bytes, {request.end};"
        f" endpoints: {arrivals or 'none'}; {stops or 'no SIGTERM'}, {others} reloads and versions"
    )


def lost(history):
    return [
        one
        for one in history.requests
        if one.ended_at is not None and not is_answered(one) and not excuse(history, one)
    ]


def check_delivery(history):
    return [
        f"delivery: {describe(history, one)}"
        for one in lost(history)
        if not history.stood_still(one)
    ]


def check_silence(history):
    return [
        f"silence: {describe(history, one)}" for one in lost(history) if history.stood_still(one)
    ]


def check_early_ends(history):
    """A process that was killed closes a connection as one does that has sent all."""
    return [
        f"early end that looks complete: {describe(history, one)}"
        for one in history.requests
        if one.status == 200
        and one.whole
        and not one.matches
        and (
            one.framed
            or not history.was_disturbed(
                history.involved(one), one.sent_at - history.stable, one.ended_at
            )
        )
    ]


def check_repeats(history):
    """Those that may not be repeated run once, and not at all if they were refused."""
    broken = []
    for request in history.requests:
        runs = sum(1 for one in history.of(request) if one.ran)
        if request.repeatable:
            continue
        if runs > 1:
            broken.append(f"twice: {describe(history, request)}")
        elif runs and request.whole and request.status in PROMISES:
            broken.append(f"refused: {describe(history, request)}")
    return broken


def check_use(history):
    """An endpoint that stood still is used again."""
    times = {}
    for arrival in history.arrivals:
        times.setdefault((arrival.service, arrival.zone), []).append(arrival)
    broken = []
    troubled = history.standstills + history.endless
    for endpoint, start, end in history.standstills:
        until = end + USE_TIME
        if any(one == endpoint and begin > start and begin < until for one, begin, _ in troubled):
            continue
        for (service, zone), some in times.items():
            near = [one for one in some if end < one.at < until]
            own = any(one.endpoint == endpoint for one in near)
            is_own_service = endpoint.startswith(f"{service}-{zone}-")
            if is_own_service and len(near) >= ENOUGH_ARRIVALS and not own:
                broken.append(
                    f"use: {endpoint} got none of {len(near)} requests from {end:.2f} s on, after a"
                    f" stand-still from {start:.2f} s"
                )
    return broken


def check_memory(history):
    return [
        f"memory: {name}, started at {started:.2f} s: {most / MB:.0f} MB"
        for (name, started), most in history.memory.items()
        if most > history.memory_limit
    ]


def check_stops(history):
    broken = []
    for stop in history.stops:
        ended = stop.ended if stop.ended is not None else stop.at + history.grace
        if history.was_disturbed([stop.instance], stop.at - history.stable, ended):
            continue
        if stop.ended is None or stop.ended > stop.at + history.grace + END_TOLERANCE:
            found = stop.found or "ended later"
            broken.append(
                f"stop: {stop.instance}, SIGTERM at {stop.at:.2f} s, was still running ({found})"
            )
        elif stop.status != 0:
            broken.append(
                f"stop: {stop.instance}, SIGTERM at {stop.at:.2f} s, ended after"
                f" {stop.ended - stop.at:.2f} s with status {stop.status}"
            )
    return broken


def check_crashes(history):
    return [
        f"crash: {name} ended by itself at {at:.2f} s with status {status}"
        for name, at, status in history.crashes
    ]


def check_all(history):
    """The broken rules."""
    return (
        check_delivery(history)
        + check_silence(history)
        + check_early_ends(history)
        + check_repeats(history)
        + check_use(history)
        + check_memory(history)
        + check_stops(history)
        + check_crashes(history)
    )


@dataclasses.dataclass
class Counts:
    """How much a play has tried."""

    answered: int
    """Whole answers of endpoints."""
    after_stop: int
    """Those that ended after SIGTERM of their instance."""
    through_standstills: int
    refused: int
    excused: dict
    """Lost ones by excuse."""
    most_memory: int
    """Bytes of the largest process."""
    longest_stop: float
    """Seconds."""

    def line(self):
        excused = ", ".join(f"{count} {text}" for text, count in sorted(self.excused.items()))
        return (
            f"{self.answered} whole answers, {self.after_stop} of them after SIGTERM,"
            f" {self.through_standstills} through stand-stills; {self.refused} refused,"
            f" lost and excused: {excused or 'none'}; largest process"
            f" {self.most_memory / MB:.0f} MB, longest stop {self.longest_stop:.2f} s"
        )


def count(history):
    done = [one for one in history.requests if one.ended_at is not None]
    whole = [one for one in done if one.status == 200 and one.whole and one.matches]
    after_stop = [
        one
        for one in whole
        if any(
            stop.instance == one.entry and stop.at < one.ended_at <= (stop.ended or one.ended_at)
            for stop in history.stops
        )
    ]
    return Counts(
        answered=len(whole),
        after_stop=len(after_stop),
        through_standstills=sum(1 for one in whole if history.stood_still(one)),
        refused=sum(1 for one in done if one.whole and one.status in REFUSALS),
        excused=collections.Counter(
            excuse(history, one) for one in done if not is_answered(one) and excuse(history, one)
        ),
        most_memory=max(history.memory.values(), default=0),
        longest_stop=max((one.ended - one.at for one in history.stops if one.ended), default=0.0),
    )
