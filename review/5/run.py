"""A zone is evacuated, so its machines forward requests to the other regions.

Callers send requests within the limits of the configuration: some with a header near
`maxHeaderBytes`, some with a body over 4 MiB, which the configuration allows, and small ones.
"""

import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from harness import (  # noqa: E402
    BROKEN, COULD_NOT_RUN, HELD, TROUBLE, Deployment, Record, call, standin,
)

HEADER_LIMIT = 16384
BODY_LIMIT = 8 << 20
LARGE_BODY = 5 << 20
#: Bytes of the request line and all headers of a request with a long list of prompt parts.
LARGE_HEADER = 16300
REQUESTS_OF_A_KIND = 15
EVACUATION_TAKES_EFFECT_S = 5.5
OWN_4XX = range(400, 500)
#: "other than 408, 421, 429"
PROMISES = (408, 421, 429)
RELAYS = {
    "north-1": ("127.0.0.11", "north-a"),
    "north-2": ("127.0.0.12", "north-a"),
    "central-1": ("127.0.0.13", "central-a"),
    "south-1": ("127.0.0.14", "south-a"),
}
ZONES = ("north", "central", "south")
ENDPOINTS = [(f"desk-{zone}", "desk", f"{zone}-a") for zone in ZONES]
ENDPOINTS += [(f"model-{zone}-{n}", "model", f"{zone}-a") for zone in ZONES for n in (1, 2)]
ROUTES = [
    standin.route("order", "/order/", "desk", "once", timeout_ms=8000),
    standin.route("draft", "/stream/", "model", "stream", timeout_ms=8000),
]
SERVICES = [standin.service("desk"), standin.service("model", model=True)]


def long_prefix(path):
    """A list of prompt parts that makes the head of the request as long as it should be."""
    head = f"POST {path} HTTP/1.1\r\n"
    for name, value in (
        ("Host", "shop.example"), ("Accept-Encoding", "identity"), ("Content-Length", "5"),
        ("Attempt-Id", "0" * 16), ("Deadline-Ms", "8000"), ("Prompt-Prefix", ""),
    ):
        head += f"{name}: {value}\r\n"
    left = LARGE_HEADER - len(head) - 2
    part = "5c1e07a2:8,"
    return (part * (left // len(part))).rstrip(",")


def send_all(deployment, record, phase):
    """Sends some requests of each kind to each machine of the zone. Returns (sent, refused)."""
    sent, refused = 0, []
    kinds = {
        "small order": ("/order/x", b"order", {}),
        "order with a body of 5 MiB": ("/order/x", b"x" * LARGE_BODY, {}),
        "draft with a long header": (
            "/stream/x", b"draft", {"Prompt-Prefix": long_prefix("/stream/x")}
        ),
    }
    for number in range(REQUESTS_OF_A_KIND):
        machine = ("north-1", "north-2")[number % 2]
        for kind, (path, body, headers) in kinds.items():
            address = deployment.address(machine)
            identity, status, answered, text, error = call(address, "POST", path, body, headers)
            sent += 1
            own = status in OWN_4XX and status not in PROMISES and "Server-Seal" not in answered
            if own:
                refused.append(identity)
            note = text.decode(errors="replace")[:60] if status != 200 else ""
            record.write(phase, machine, kind, identity, "status", status, note, error)
    return sent, refused


def main():
    record = Record(pathlib.Path(__file__).parent)
    deployment = Deployment(RELAYS, ENDPOINTS, limits={"memoryMb": 260, "maxFds": 4100})
    try:
        limits = {"maxHeaderBytes": HEADER_LIMIT, "maxBodyBytes": BODY_LIMIT}
        deployment.publish(1, ROUTES, SERVICES, limits)
        deployment.start_all()
        deployment.wait_ready()
        time.sleep(6)  # stableWindowMs
        sent, refused = send_all(deployment, record, "before:")
        if TROUBLE:
            store = deployment.platform.store
            deployment.platform.call(store.put, "op/evacuate/north-a", {})
            record.write("north-a is evacuated")
        time.sleep(EVACUATION_TAKES_EFFECT_S)
        later, refused_later = send_all(deployment, record, "then:")
        sent, refused = sent + later, refused + refused_later
        allowed = 5 + sent / 500
        ran = {one for runs in deployment.platform.runs().values() for one, _ in runs}
        record.write("refused requests that a runner ran:", sum(one in ran for one in refused))
        broken = len(refused) > allowed
        record.write(
            "DENIED broken:" if broken else "DENIED held:",
            f"{len(refused)} of {sent} proper requests ended with a 4xx of the system's own;",
            f"allowed are {allowed:g}",
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
