"""Soak: real processes, faults from a seed, judged by callers and endpoints.

    BUILD_DIR=Build python3 Source/IntegrationTests/soak.py --seeds 1-50 --seconds 60

The usual families judge the retry rules. The families "stops", "silences" and "endless" add callers
of long and large answers and judge what reaches them as well:

    ... soak.py --seeds 1-50 --seconds 40 --faults stops,silences,endless --keep /tmp/soak

The families "figures" (endpoints that state false speeds of their machines) and "strays" (answers
that belong to no request under way, heads that end early, odd entries of the store) are played when
they are named:

    ... soak.py --seeds 1-50 --seconds 40 --faults figures,endpoints,kills,pauses,paths
    ... soak.py --seeds 1-50 --seconds 40 --faults strays,endpoints,kills,pauses

The family "ends" has answers without a length whose endpoints crash inside them, and "crowds" has
clients that don't keep to the limits:

    ... soak.py --seeds 1-50 --seconds 40 --faults ends,crowds,kills,pauses
"""

import argparse
import asyncio
import dataclasses
import logging
import pathlib
import random
import sys
import tempfile

import soak_delivery_rules
import soak_rules
from soak_callers import Callers
from soak_delivery import Delivery, DeliveryCallers, make_extras
from soak_delivery_faults import DELIVERY_GAPS, DeliveryFaults
from soak_deployment import GRACE, Deployment, standin
from soak_faults import MEAN_GAPS

BOUNDS = soak_rules.Bounds(ratio=0.2, slack=58.0, window=10.0)
#: The plain service gets two thirds of them.
PER_SECOND = 40.0
DEADLY_PER_SECOND = 1.0
#: Usual requests beside those for long and large answers, and these.
PER_SECOND_BESIDE = 10.0
DELIVERIES_PER_SECOND = 14.0
SETTLE = 5.0


@dataclasses.dataclass
class Report:
    seed: int
    broken: list
    requests: int
    served: int
    repeats: int
    windows: dict
    faults: list
    part_crashes: dict
    sound: list
    """Broken rules of sound requests beside those that crash endpoints; for plays without faults."""
    deliveries: soak_delivery_rules.Counts = None

    def line(self):
        fullest = ", ".join(
            f"{name} {one.repeats} of {one.limit:.0f}" for name, one in sorted(self.windows.items())
        )
        state = "\n    ".join(self.broken) or "kept"
        deliveries = f" {self.deliveries.line()};" if self.deliveries else ""
        return (
            f"seed {self.seed}: {self.served} of {self.requests} served, {self.repeats} repeats;"
            f" fullest windows: {fullest};{deliveries} {state}"
        )


async def end_tasks():
    """Connections that stand-ins still serve end with the loop; how they end does not matter."""
    asyncio.get_running_loop().set_exception_handler(lambda _loop, _context: None)
    tasks = asyncio.all_tasks() - {asyncio.current_task()}
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


def in_touch_since(deployment, bounds):
    """Whether an instance was undisturbed before an arrival, as far as that is known at the end."""
    disturbances = {one.name: list(one.disturbances) for one in deployment.instances}

    def in_touch(name, at):
        return not any(at - bounds.stable <= moment <= at for moment in disturbances.get(name, ()))

    return in_touch


# Writes to connections that a killed process has reset are part of every soak.
logging.getLogger("asyncio").setLevel(logging.ERROR)


async def play(
    seed,
    instances,
    folder,
    disturb,
    deadly_per_second=DEADLY_PER_SECOND,
    bad_parts=None,
    per_second=PER_SECOND,
    deliveries_per_second=0,
):
    """
    @param deliveries_per_second: rate of requests for long and large answers; with them the play
        ends with a stop of all instances, and the rules of deliveries are judged too
    @param deadly_per_second: rate of a request that crashes the endpoints that run it
    @param bad_parts: parts of prompts that crash endpoints, with their requests per second
    @param disturb: coroutine function that gets the deployment and a log of faults; the callers
        stop some time after it has ended
    """
    extras = make_extras() if deliveries_per_second else None
    deployment = Deployment(folder, BOUNDS, instances, seed, extras)
    faults_log = []
    callers = Callers(deployment, per_second, deadly_per_second, seed + 1, bad_parts)
    deliveries = DeliveryCallers(deployment, deliveries_per_second, seed, callers)
    deployment.callers, deployment.delivery_callers = callers, deliveries
    try:
        await deployment.start()
        for instance in deployment.instances:
            # One after another, so that each finds the earlier ones at work.
            instance.start()
            await deployment.wait_ready(instance)
        callers.start()
        watching = asyncio.create_task(deployment.watch())
        if deliveries_per_second:
            deliveries.start()
        await disturb(deployment, faults_log)
        if deliveries_per_second:
            running = [one for one in deployment.instances if one.process.poll() is None]
            await asyncio.gather(*(one.terminate() for one in running))
            await deliveries.stop()
        else:
            await asyncio.sleep(SETTLE)
        await callers.stop()
        watching.cancel()
    finally:
        deployment.stop()
        await end_tasks()
    in_touch = in_touch_since(deployment, BOUNDS)
    broken = soak_rules.check_all(
        callers.requests,
        deployment.arrivals,
        deployment.deadly_crashes,
        deployment.part_crashes,
        BOUNDS,
        in_touch,
        deployment.side_of,
        {one.name: one.zone for one in deployment.instances},
        deployment.forgotten,
    )
    if not deliveries_per_second:
        broken += soak_rules.check_processes(deployment.crashes)
        broken += soak_rules.check_memory(deployment.memory, deployment.extras.memory_mb)
    history = make_history(deployment, callers.requests) if deliveries_per_second else None
    if history:
        broken = soak_delivery_rules.check_all(history) + broken
    return Report(
        seed=seed,
        broken=broken,
        requests=len(callers.requests),
        served=sum(1 for one in callers.requests if one.status == 200),
        repeats=sum(len(one) for one in soak_rules.repeats_of(deployment.arrivals).values()),
        windows=soak_rules.fullest_windows(callers.requests, deployment.arrivals, BOUNDS),
        faults=sorted(faults_log),
        part_crashes=deployment.part_crashes,
        sound=soak_rules.check_sound_requests(callers.requests, deployment.part_crashes, BOUNDS),
        deliveries=soak_delivery_rules.count(history) if history else None,
    )


def make_history(deployment, requests):
    instances = deployment.instances
    return soak_delivery_rules.History(
        requests=[one for one in requests if isinstance(one, Delivery)],
        arrivals=deployment.arrivals,
        zones={one.name: one.zone for one in instances},
        stops=deployment.stops,
        planned=deployment.planned,
        unplanned={one.name: one.unplanned for one in instances},
        turns={one.name: one.turns for one in instances},
        standstills=deployment.standstills,
        endless=deployment.endless,
        memory=deployment.memory,
        crashes=deployment.crashes,
        grace=GRACE,
    )


def run(seed, seconds, instances, folder, families=tuple(MEAN_GAPS)):
    """Faults of some families, drawn from the seed."""

    async def disturb(deployment, log):
        await DeliveryFaults(deployment, seed + 2, log, families).play(seconds)

    options = {"bad_parts": draw_bad_parts(seed)}
    if set(families) & set(DELIVERY_GAPS):
        options.update(per_second=PER_SECOND_BESIDE, deliveries_per_second=DELIVERIES_PER_SECOND)
        if "endpoints" not in families:
            options.update(bad_parts=None, deadly_per_second=0)
    return asyncio.run(play(seed, instances, folder, disturb, **options))


def draw_bad_parts(seed):
    """Half of the seeds have parts that crash endpoints, one or two."""
    draw = random.Random(f"bad parts {seed}")
    if draw.random() < 0.5:
        return {}
    count = draw.choice([1, 2])
    return {part: draw.uniform(0.5, 2) for part in standin.Endpoint.CRASHING_PARTS[:count]}


def keep(folder, kept, report):
    kept.mkdir(parents=True, exist_ok=True)
    for path in pathlib.Path(folder).iterdir():
        (kept / path.name).write_bytes(path.read_bytes())
    lines = [
        f"{began:7.2f} to {ended:7.2f}  {name}: {details}"
        for began, ended, name, details in report.faults
    ]
    (kept / "faults.txt").write_text("\n".join([report.line(), *lines, ""]))


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--seeds", default="1", help="N or FIRST-LAST")
    parser.add_argument("--seconds", type=float, default=60)
    parser.add_argument("--instances", type=int, default=4)
    known = ", ".join(DeliveryFaults.mean_gaps)
    parser.add_argument("--faults", default=",".join(MEAN_GAPS), help=f"families of: {known}")
    parser.add_argument("--keep", help="folder for the logs of seeds that break a rule")
    options = parser.parse_args()
    first, _, last = options.seeds.partition("-")
    failed = 0
    for seed in range(int(first), int(last or first) + 1):
        with tempfile.TemporaryDirectory() as folder:
            report = run(
                seed, options.seconds, options.instances, folder, options.faults.split(",")
            )
            print(report.line(), flush=True)
            if report.broken:
                failed += 1
                if options.keep:
                    keep(folder, pathlib.Path(options.keep) / f"seed-{seed}", report)
    print(f"{failed} seeds broke a rule")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
