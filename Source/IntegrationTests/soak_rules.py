"""What must hold for retries, judged only by what callers sent and what reached endpoints."""

import bisect
import dataclasses


@dataclasses.dataclass
class Request:
    """One attempt of a caller."""

    identity: str
    service: str
    entry: str
    sent_at: float
    allowed: float
    """Seconds that its caller waits."""
    endpoints_allowed: int
    status: int = None
    """None if no answer came."""
    deadly: bool = False
    once: bool = False
    """It may run once at most."""
    bad_part: str = None
    """The part of its prompt that crashes endpoints, if it has one."""
    answer: bytes = None
    """The body of an answer that looked whole."""


@dataclasses.dataclass
class Bounds:
    ratio: float
    slack: float
    window: float
    stable: float = 5.0


#: Events of a stream.
EVENTS = 5
MB = 1024 * 1024
#: More requests than this must break a rule before it counts as broken.
TOLERATED_RUNS = 3
TOLERATED_DEADLINES = 20
DEADLINE_SHARE = 0.2
DEADLINE_TOLERANCE = 0.5
TOLERATED_DEADLY_RETRIES = 3
#: Crashes by which the instances are to be sure of a request, and of a part of prompts.
DEADLY_CRASHES = 3
PART_CRASHES = 5
TOLERATED_PART_ARRIVALS = 3
#: Sound requests that share the first part of their prompts with those that crash endpoints: the
#: least share that is answered, compared with before, and how many there must be of each.
LEAST_SOUND_SHARE = 0.5
LEAST_SOUND_REQUESTS = 20
#: Requests of one sender to an endpoint after REST_GRACE seconds of a rest that it was asked for.
TOLERATED_IN_REST = 4
REST_GRACE = 0.5


def count_between(times, start, end):
    return bisect.bisect_right(times, end) - bisect.bisect_left(times, start)


@dataclasses.dataclass
class Window:
    service: str
    at: float
    repeats: int
    limit: float

    def excess(self):
        return self.repeats - self.limit


def repeats_of(arrivals):
    """Arrivals beyond the first of each request, by service."""
    seen = set()
    repeats = {}
    for arrival in sorted(arrivals, key=lambda one: one.at):
        key = (arrival.service, arrival.identity)
        if key in seen:
            repeats.setdefault(arrival.service, []).append(arrival)
        seen.add(key)
    return repeats


def fullest_windows(requests, arrivals, bounds):
    """For each service the window whose repeats exceed the limit by most, or come closest to it."""
    result = {}
    for service, repeats in repeats_of(arrivals).items():
        sent = sorted(one.sent_at for one in requests if one.service == service)
        times = [one.at for one in repeats]
        for start in times:
            spans = (start, start - bounds.window, start - bounds.window / 2)
            most = max(count_between(sent, span, span + bounds.window) for span in spans)
            limit = bounds.ratio * most + bounds.slack
            window = Window(
                service, start, count_between(times, start, start + bounds.window), limit
            )
            if service not in result or window.excess() > result[service].excess():
                result[service] = window
    return result


def check_retry_budget(requests, arrivals, bounds):
    return [
        f"retries: {window.repeats} repeats at {window.service} in the window from"
        f" {window.at:.2f} s, {window.limit:.1f} allowed"
        for window in fullest_windows(requests, arrivals, bounds).values()
        if window.excess() > 0
    ]


def check_endpoints_per_request(requests, arrivals):
    runs = {}
    for arrival in arrivals:
        if arrival.ran and not arrival.interrupted:
            runs.setdefault(arrival.identity, set()).add(arrival.endpoint)
    exceeded = [
        one.identity
        for one in requests
        if not one.deadly and not one.bad_part and len(runs.get(one.identity, ())) > one.endpoints_allowed
    ]
    if len(exceeded) <= TOLERATED_RUNS:
        return []
    return [f"attempts: {len(exceeded)} requests ran on too many endpoints: {exceeded[:5]}"]


#: Statuses by which a caller is told that its request has not run and will not run.
NOT_RUN = (408, 421, 429, 503)


def check_run_once(requests, arrivals):
    """Each order runs once at most, and none that is said not to have run."""
    runs = {}
    for arrival in arrivals:
        runs[arrival.identity] = runs.get(arrival.identity, 0) + arrival.ran
    orders = [one for one in requests if one.once]
    twice = [one.identity for one in orders if runs.get(one.identity, 0) > 1]
    refused = [
        one.identity for one in orders if one.status in NOT_RUN and runs.get(one.identity, 0) > 0
    ]
    broken = [f"once: {len(twice)} orders ran more than once: {twice[:5]}"] if twice else []
    if refused:
        broken.append(f"refused: {len(refused)} orders ran and were refused: {refused[:5]}")
    return broken


#: Time in which an endpoint must have stopped work on a stream that another one goes on with.
STOP_TIME = 0.4


def whole_answer(request):
    """What the endpoints answer to a request."""
    if request.service == "desk":
        return f"done {request.identity}".encode()
    events = range(1, EVENTS + 1)
    return b"".join(f"id: {n}\ndata: {request.identity}\n\n".encode() for n in events)


def check_answers(requests):
    """No success is another request's answer, or a part of one."""
    served = [one for one in requests if one.status == 200 and one.answer is not None]
    wrong = [one.identity for one in served if one.answer != whole_answer(one)]
    return [f"answer: {len(wrong)} are not whole, or another's: {wrong[:5]}"] if wrong else []


def check_overlaps(requests, arrivals, in_touch):
    """An endpoint stops work on a stream when another one goes on with it, unless it has ended or
    its path was cut."""
    entries = {one.identity: one.entry for one in requests}
    found = []
    for first in arrivals:
        if not first.hangs or first.interrupted:
            continue
        later = [one.at for one in arrivals if one.identity == first.identity and one.at > first.at]
        if not later or not in_touch(entries[first.identity], min(later) + STOP_TIME):
            continue
        if first.ended is None or first.ended > min(later) + STOP_TIME:
            found.append(first.identity)
    return [f"overlap: {len(found)} streams ran at two endpoints: {found[:5]}"] if found else []


def check_memory(memory, limit_mb):
    """@param memory: the largest size in bytes by name and start of a process"""
    return [
        f"memory: {name}, started at {started:.2f} s: {most / MB:.0f} MB"
        for (name, started), most in memory.items()
        if most > limit_mb * MB
    ]


def check_processes(crashes):
    """@param crashes: instance, time and status of processes that ended by themselves"""
    return [f"process: {name} ended with {status} at {at:.1f} s" for name, at, status in crashes]


def check_deadlines(requests, arrivals, in_touch):
    by_identity = {one.identity: one for one in requests}
    first_ends = {}
    wrong = []
    late_repeats = 0
    for arrival in sorted(arrivals, key=lambda one: one.at):
        request = by_identity.get(arrival.identity)
        if request is None or not in_touch(request.entry, arrival.at):
            continue
        is_repeat = request.identity in first_ends
        first_at, first_end = first_ends.setdefault(
            request.identity, (arrival.at, arrival.at + (arrival.allowed or 0))
        )
        is_late = is_repeat and arrival.at > first_at + DEADLINE_TOLERANCE
        late_repeats += is_late
        if arrival.allowed is None or arrival.allowed > request.allowed + DEADLINE_TOLERANCE:
            wrong.append(arrival)
        elif is_late:
            latest = max(first_end, request.sent_at + request.allowed) + DEADLINE_TOLERANCE
            if arrival.at + arrival.allowed > latest:
                wrong.append(arrival)
    if len(wrong) <= max(TOLERATED_DEADLINES, DEADLINE_SHARE * late_repeats):
        return []
    return [f"deadlines: {len(wrong)} requests got more time than was left"]


def senders_of(entry, endpoint_zone, zones):
    """The instances that may have sent a request to an endpoint. One for an endpoint in another
    zone is forwarded to an instance there.

    @param zones: zone of each instance, by name
    """
    if not entry or zones[entry] == endpoint_zone:
        return [entry]
    return [entry, *(name for name, zone in zones.items() if zone == endpoint_zone)]


def known_from(at, forgotten):
    """Since when the instances may know what they know at a time.

    @param forgotten: times at which no process was left, and with it nothing that was known
    """
    return max((one for one in forgotten if one <= at), default=0.0)


def last_needed(crashes, count, at, forgotten):
    """The crash by which the instances could be sure at a time; None if there were fewer."""
    start = known_from(at, forgotten)
    known = [one for one in sorted(crashes) if start <= one <= at]
    return known[count - 1] if len(known) >= count else None


def check_deadly_requests(requests, arrivals, crashes, bounds, in_touch, zones, forgotten=()):
    """Only what an endpoint runs can crash it and tell its sender something.

    @param crashes: times at which an endpoint crashed under the deadly request
    """
    deadly = {one.identity: one for one in requests if one.deadly}

    def is_late(arrival):
        last = last_needed(crashes, DEADLY_CRASHES, arrival.at, forgotten)
        return last is not None and arrival.at > last + bounds.stable

    late = [
        arrival
        for arrival in arrivals
        if arrival.identity in deadly
        and arrival.ran
        and is_late(arrival)
        and all(
            in_touch(one, arrival.at)
            for one in senders_of(deadly[arrival.identity].entry, arrival.zone, zones)
        )
    ]
    if len(late) <= TOLERATED_DEADLY_RETRIES:
        return []
    times = ", ".join(f"{arrival.at:.1f}" for arrival in late)
    return [f"deadly: {len(late)} arrivals late: {times}"]


def check_bad_parts(requests, arrivals, crashes, bounds, in_touch, side_of, forgotten=()):
    """Instances that are cut off from the others cannot know of a part before a request with it has
    come to one of them, so each side is judged no sooner than some time after that.

    @param crashes: times at which endpoints crashed under a part of prompts, by part
    @param side_of: gives the side of an instance, which hears only from those of its side
    """
    broken = []
    for part, times in crashes.items():
        entries = {one.identity: one.entry for one in requests if one.bad_part == part}
        came = sorted(
            (one.at, entries[one.identity], one.ran) for one in arrivals if one.identity in entries
        )
        first = {}
        for at, entry, _ in came:
            first.setdefault((side_of(entry), known_from(at, forgotten)), at)

        def is_late(at, entry):
            last = last_needed(times, PART_CRASHES, at, forgotten)
            came_first = first[(side_of(entry), known_from(at, forgotten))]
            return last is not None and at > max(last, came_first) + bounds.stable

        late = [
            (at, entry)
            for at, entry, ran in came
            if ran and is_late(at, entry) and in_touch(entry, at)
        ]
        if len(late) > TOLERATED_PART_ARRIVALS:
            shown = ", ".join(f"{at:.1f} by {entry}" for at, entry in late[:10])
            broken.append(f"part {part}: {len(late)} arrivals late: {shown}")
    return broken


def check_sound_requests(requests, crashes, bounds):
    """For plays without other faults: whether requests that share the first part are answered."""
    if not crashes:
        return []
    first = min(min(times) for times in crashes.values())
    settled = max(sorted(times)[:5][-1] for times in crashes.values()) + 2 * bounds.stable
    sound = [one for one in requests if one.service == "model" and not one.bad_part]
    before = [one for one in sound if one.sent_at < first - 1]
    after = [one for one in sound if one.sent_at > settled]
    if len(before) < LEAST_SOUND_REQUESTS or len(after) < LEAST_SOUND_REQUESTS:
        return [f"sound: {len(before)} requests before the crashes and {len(after)} after"]
    shares = [sum(1 for one in some if one.status == 200) / len(some) for some in (before, after)]
    if shares[1] < LEAST_SOUND_SHARE * shares[0]:
        return [f"sound: {shares[1]:.2f} answered after the crashes, {shares[0]:.2f} before"]
    return []


def check_rests(requests, arrivals, in_touch, zones):
    entries = {one.identity: one.entry for one in requests}
    by_path = {}
    for arrival in sorted(arrivals, key=lambda one: one.at):
        entry = entries.get(arrival.identity, "")
        by_path.setdefault((arrival.endpoint, entry), []).append(arrival)
    broken = []
    for (endpoint, entry), path in by_path.items():
        times = [one.at for one in path]
        for asked in (one for one in path if one.rest > 0):
            end = asked.at + asked.rest
            count = count_between(times, asked.at + REST_GRACE, end)
            senders = senders_of(entry, asked.zone, zones)
            if count > TOLERATED_IN_REST and all(in_touch(one, end) for one in senders):
                broken.append(f"rest: {endpoint} got {count} requests of {entry} from {asked.at:.1f} s")
    return broken[:3]


def check_all(
    requests, arrivals, crashes, part_crashes, bounds, in_touch, side_of, zones, forgotten
):
    """The broken rules."""
    return (
        check_run_once(requests, arrivals)
        + check_answers(requests)
        + check_overlaps(requests, arrivals, in_touch)
        + check_retry_budget(requests, arrivals, bounds)
        + check_endpoints_per_request(requests, arrivals)
        + check_deadlines(requests, arrivals, in_touch)
        + check_deadly_requests(requests, arrivals, crashes, bounds, in_touch, zones, forgotten)
        + check_bad_parts(requests, arrivals, part_crashes, bounds, in_touch, side_of, forgotten)
        + check_rests(requests, arrivals, in_touch, zones)
    )
