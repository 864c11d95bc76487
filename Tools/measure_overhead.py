"""Measures what the gateway adds to a call, beside the same client going straight to the engine.

Usage: Tools/measure_overhead.py [--streams N]. Prints the figures as JSON; docs/PERFORMANCE.md
explains them. Needs a build in BUILD_DIR or Build.
"""

import argparse
import json
import pathlib
import subprocess
import sys
import tempfile

from deployment import Deployment, default_build

# An engine that takes 1 ms a token whatever it holds, so that its own time does not hide the rest.
FAST = {"step_base_ms": 1, "step_per_sequence_ms": 0, "prefill_tokens_per_second": 1000000,
        "batch_limit": 256, "kv_limit_tokens": 1000000}
# One token a second: streams stay open while memory is read.
SLOW = {**FAST, "step_base_ms": 1000, "batch_limit": 20000, "queue_limit": 20000,
        "kv_limit_tokens": 100000000}


def measure(engine, plan):
    with Deployment("otaru", default_build(), engine_overrides=engine) as deployment:
        gateway = deployment.gateways[0]
        straight = next(end["http"] for end in deployment.endpoints if end["kind"] == "engine")
        plan = {"straight": straight, "gateway": gateway.addresses["http"],
                "gateway_pid": gateway.pid, "model": deployment.shape["model"],
                "token": "example-schools", **plan}
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "plan.json"
            path.write_text(json.dumps(plan))
            done = subprocess.run([deployment.build / "bin" / "laburnumchute-load", "overhead",
                                   path], stdout=subprocess.PIPE, text=True, check=False)
        return done.returncode, json.loads(done.stdout)


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--streams", type=int, default=9900)
    arguments = parser.parse_args()
    fast_status, times = measure(FAST, {"memory": False})
    slow_status, memory = measure(SLOW, {"time": False, "streams": arguments.streams})
    print(json.dumps({**times, **memory}, indent=2))
    return fast_status or slow_status


if __name__ == "__main__":
    sys.exit(main())
