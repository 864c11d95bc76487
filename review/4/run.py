"""Callers of a region without runners place orders at a peak, and some leave before their deadline.

The region's machines forward the orders. An order whose caller has left must not reach a runner
half a second later.
"""

import asyncio
import pathlib
import random
import socket
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from harness import (  # noqa: E402
    BROKEN, COULD_NOT_RUN, HELD, TROUBLE, Deployment, Record, attempt_id, standin,
)

ORDERS = 1000
INTERVAL = 0.005
#: The largest objective on the site's sheet.
OBJECTIVE_MS = 1200
SLOTS = 6
WORK = 0.12
#: Share of the callers that leave, and the time within which they do.
LEAVING = 0.2
LEAVE_WITHIN = 0.2
#: "over half a second later"
LATE = 0.5
#: "more than a few"
A_FEW = 10
RELAYS = {
    "north-1": ("127.0.0.11", "north-a"),
    "north-2": ("127.0.0.12", "north-a"),
    "central-1": ("127.0.0.13", "central-a"),
    "south-1": ("127.0.0.14", "south-a"),
}
ENDPOINTS = [("desk-central", "desk", "central-a"), ("desk-south", "desk", "south-a")]


class Desk(standin.Endpoint):
    """Runs as many requests at a time as it has slots; the others wait."""

    def __init__(self, *arguments):
        super().__init__(*arguments, slots=SLOTS, work=WORK)
        self.free = asyncio.Semaphore(SLOTS)
        #: When each attempt reached it.
        self.reached = {}

    async def _handle(self, method, target, headers, body, writer):
        self.reached.setdefault(headers.get("attempt-id", ""), time.monotonic())
        async with self.free:
            await super()._handle(method, target, headers, body, writer)


class Caller(threading.Thread):
    def __init__(self, address, leaves_after):
        super().__init__()
        self.address, self.leaves_after = address, leaves_after
        self.identity = attempt_id()
        self.outcome = ""
        self.left_at = None

    def run(self):
        head = (
            f"POST /order/x HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: {self.identity}\r\n"
            "Deadline-Ms: 8000\r\nContent-Length: 5\r\n\r\norder"
        )
        try:
            connection = socket.create_connection(self.address, timeout=9)
            connection.sendall(head.encode())
            connection.settimeout(self.leaves_after or 9)
            try:
                self.outcome = connection.recv(4096).split(b"\r\n")[0].decode()
            except socket.timeout:
                self.outcome = "left"
                self.left_at = time.monotonic()
            connection.close()
        except OSError as error:
            self.outcome = repr(error)


def main():
    record = Record(pathlib.Path(__file__).parent)
    draw = random.Random(1)
    deployment = Deployment(RELAYS, ENDPOINTS, Desk, limits={"memoryMb": 260, "maxFds": 4100})
    try:
        route = standin.route("order", "/order/", "desk", "once", timeout_ms=8000)
        route["latencySloMs"] = OBJECTIVE_MS
        deployment.publish(1, [route], [standin.service("desk")])
        deployment.start_all()
        deployment.wait_ready()
        time.sleep(6)  # stableWindowMs
        callers = []
        begin = time.monotonic()
        for number in range(ORDERS):
            leaves = TROUBLE and draw.random() < LEAVING
            after = draw.uniform(0.02, LEAVE_WITHIN) if leaves else None
            machine = ("north-1", "north-2")[number % 2]
            caller = Caller(deployment.address(machine), after)
            caller.start()
            callers.append(caller)
            time.sleep(max(0.0, begin + (number + 1) * INTERVAL - time.monotonic()))
        for caller in callers:
            caller.join()
        time.sleep(3)
        reached = {}
        for endpoint in deployment.platform.endpoints.values():
            reached.update(endpoint.reached)
        late = 0
        for caller in callers:
            at = reached.get(caller.identity)
            since = at - caller.left_at if at is not None and caller.left_at is not None else None
            late += since is not None and since > LATE
            note = "" if since is None else f"reached a runner {since:.3f} s after its caller left"
            record.write("order", caller.identity, caller.outcome, note)
        left = sum(caller.left_at is not None for caller in callers)
        broken = late > A_FEW
        record.write(
            "GONE broken:" if broken else "GONE held:",
            f"of {left} orders whose callers left, {late} reached a runner over {LATE} s later",
        )
        return BROKEN if broken else HELD
    finally:
        deployment.stop()


if __name__ == "__main__":
    try:
        status = main()
    except Exception as error:  # noqa: BLE001
        print(f"could not run: {error!r}", file=sys.stderr)
        status = COULD_NOT_RUN
    sys.exit(status)
