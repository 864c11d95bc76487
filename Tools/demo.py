"""Plays a deployment: see Tools/demo.sh."""

import argparse
import json
import pathlib
import signal
import subprocess
import sys
import tempfile
import threading

from deployment import Deployment, default_build


def otaru_callers():
    """Clerks who draft inscriptions and often retype, and the order desk."""
    rates = {"sapporo": 22, "asahikawa": 11, "hakodate": 7}
    callers = []
    for region, rate in rates.items():
        common = {"region": region, "target": "inscription"}
        callers += [
            {**common, "name": "drafts of town offices", "token": "example-town-office",
             "rate_per_second": rate * 0.5, "prefixes": 6, "prefix_tokens": [300, 700],
             "line_tokens": [15, 60], "answer_tokens": [30, 110], "wanted_share": 0.15,
             "patience_ms": 300, "retype_share": 0.5, "home_only": True},
            {**common, "name": "drafts of schools", "token": "example-schools",
             "rate_per_second": rate * 0.3, "prefixes": 10, "prefix_tokens": [300, 700],
             "line_tokens": [15, 60], "answer_tokens": [30, 110], "wanted_share": 0.15,
             "patience_ms": 300, "retype_share": 0.5},
            {**common, "name": "proofs of clubs", "kind": "completion", "token": "example-clubs",
             "rate_per_second": rate * 0.05, "prefixes": 4, "prefix_tokens": [600, 1200],
             "line_tokens": [40, 120], "answer_tokens": [60, 140], "wanted_share": 0.5,
             "patience_ms": 1000},
            {"region": region, "name": "orders", "kind": "service", "target": "order-desk",
             "path": "/orders", "token": "example-schools", "rate_per_second": rate * 0.05,
             "repeatable": False},
            {"region": region, "name": "order status", "kind": "service", "target": "order-desk",
             "method": "GET", "path": "/orders/1", "token": "example-schools",
             "rate_per_second": rate * 0.1},
        ]
    return callers


def caroni_callers():
    """Call-takers with the caller on the line beside long histories for dispatch."""
    rates = {"north": 16, "central": 10, "south": 8}
    callers = []
    for region, rate in rates.items():
        common = {"region": region, "target": "hotline"}
        callers += [
            {**common, "name": "prompt lines", "token": "example-call-takers",
             "priority": "on-the-line", "rate_per_second": rate * 0.75, "prefixes": 3,
             "prefix_tokens": [150, 300], "line_tokens": [10, 40], "answer_tokens": [20, 60],
             "wanted_share": 0.15, "patience_ms": 150, "retype_share": 0.5},
            {**common, "name": "histories", "kind": "completion", "token": "example-depots",
             "rate_per_second": rate * 0.05, "prefixes": 2, "prefix_tokens": [150, 300],
             "line_tokens": [1500, 5000], "answer_tokens": [100, 220], "wanted_share": 0.5,
             "patience_ms": 2000, "home_only": True},
            {"region": region, "name": "dispatches", "kind": "service", "target": "dispatch-desk",
             "path": "/dispatches", "token": "example-dispatchers",
             "rate_per_second": rate * 0.05, "repeatable": False},
            {"region": region, "name": "tickets", "kind": "service", "target": "dispatch-desk",
             "method": "GET", "path": "/tickets/7", "token": "example-call-takers",
             "rate_per_second": rate * 0.15},
        ]
    return callers


def write_plan(deployment, arguments, path):
    plan = {"directory": deployment.platform.addresses["directory"],
            "customer": deployment.shape["directory_customer"],
            "seconds": arguments.seconds, "seed": arguments.seed,
            "controls": deployment.controls(),
            "endpoint_regions": {end["id"]: end["region"] for end in deployment.endpoints},
            "record_file": arguments.record or "",
            "callers": {"otaru": otaru_callers, "caroni": caroni_callers}[deployment.name]()}
    if arguments.straight:
        plan["straight"] = {}
        for endpoint in deployment.endpoints:
            plan["straight"].setdefault(endpoint["name"], []).append(endpoint["http"])
    path.write_text(json.dumps(plan))


def play(deployment, arguments):
    deployment.clear_records()
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "plan.json"
        write_plan(deployment, arguments, path)
        load = subprocess.Popen([deployment.build / "bin" / "laburnumchute-load", "play", path])
        try:
            return load.wait()
        finally:
            if load.poll() is None:
                load.kill()
                load.wait()


def serve(deployment):
    for gateway in deployment.gateways:
        print(f"entry http://{gateway.addresses['http']}", flush=True)
    print("ready", flush=True)
    threading.Event().wait()


def interrupted(number, _frame):
    sys.exit(128 + number)


def main():
    parser = argparse.ArgumentParser(prog="Tools/demo.sh", description="Plays a deployment.")
    parser.add_argument("deployment", nargs="?", choices=["otaru", "caroni"], default="otaru")
    parser.add_argument("--seconds", type=int, default=20, help="how long callers come")
    parser.add_argument("--serve", action="store_true",
                        help="play no callers; keep all up until interrupted")
    parser.add_argument("--straight", action="store_true",
                        help="no gateway: callers take any engine or service at random")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--record", help="file for one JSON line per request")
    arguments = parser.parse_args()
    signal.signal(signal.SIGTERM, interrupted)
    signal.signal(signal.SIGINT, interrupted)
    print(f"starting {arguments.deployment}", flush=True)
    with Deployment(arguments.deployment, default_build(),
                    gateways=not arguments.straight) as deployment:
        print(f"{len(deployment.endpoints)} endpoints, {len(deployment.gateways)} entry instances "
              f"in {len(deployment.shape['regions'])} regions are up", flush=True)
        if arguments.serve:
            serve(deployment)
            return 0
        return play(deployment, arguments)


if __name__ == "__main__":
    sys.exit(main())
