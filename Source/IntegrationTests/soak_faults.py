"""Faults of a soak: drawn from a seed, in series, overlapping."""

import asyncio
import base64
import random
import signal
import time

from soak_deployment import standin  # noqa: F401, for the path of the stand-ins
from crowd import KINDS as CROWD_KINDS
from crowd import Crowd
from odd_entries import ODD
from relay_deployment import DIRECTORY_PORT, METRICS_PORT, PEER_PORT, READY_PORT

#: Families of faults, and the mean time between two faults of a family.
MEAN_GAPS = {"endpoints": 1.5, "kills": 2.0, "pauses": 4.0, "paths": 4.0}
#: Families that are played only when named, so that the seeds of the others keep their faults.
FURTHER_GAPS = {"figures": 3.0, "strays": 2.0, "ends": 1.5, "crowds": 3.0}
CROWD = 20
#: Of the listeners, that for callers first.
CROWD_PORTS = (0, READY_PORT, DIRECTORY_PORT, PEER_PORT, METRICS_PORT)
#: Texts that are no figure, or none that is possible.
INVALID_FIGURES = ("", "0", "-100", "fast", "1e9", "9" * 40, "100,100")


class Faults:
    """Disturbs a deployment; what a fault changed is restored when it ends."""

    mean_gaps = {**MEAN_GAPS, **FURTHER_GAPS}

    def __init__(self, deployment, seed, log, families=tuple(MEAN_GAPS)):
        self.deployment = deployment
        self.families = families
        self.random = random.Random(seed)
        self.log = log
        self.tasks = set()

    async def play(self, seconds):
        """The families come independently of each other."""
        end = self.deployment.now() + seconds
        faults = self._faults()
        await asyncio.gather(
            *(self._series(end, faults[name], self.mean_gaps[name]) for name in self.families)
        )
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def _faults(self):
        """Those of each family, by name."""
        return {
            "endpoints": self._endpoint_faults(),
            "kills": self._kills(),
            "pauses": self._pauses(),
            "paths": self._path_faults(),
            "figures": self._false_figures(),
            "strays": self._strays(),
            "ends": {"no length": self._answer_without_length},
            "crowds": {kind: lambda kind=kind: self._crowd(kind) for kind in CROWD_KINDS},
        }

    async def _series(self, end, faults, mean_gap):
        names = list(faults)
        while self.deployment.now() < end:
            name = self.random.choice(names)
            task = asyncio.create_task(self._run(name, faults[name]))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            await asyncio.sleep(self.random.expovariate(1 / mean_gap))

    async def _run(self, name, fault):
        began = self.deployment.now()
        details = await fault()
        self.log.append((began, self.deployment.now(), name, details))

    def _some(self, things, share):
        count = max(1, round(share * len(things)))
        return self.random.sample(things, count)

    # Endpoints.

    def _endpoint_faults(self):
        return {
            "errors": lambda: self._fail("errors"),
            "resets": lambda: self._fail("resets"),
            "rejects": lambda: self._fail("rejects"),
            "rests": lambda: self._fail("rests"),
            "crashes": self._crash_endpoints,
        }

    def _endpoints_of(self, service):
        return [one for one in self.deployment.endpoints if one.service == service]

    async def _fail(self, fault):
        service = self.random.choice(["model", "desk"])
        chosen = self._some(self._endpoints_of(service), self.random.choice([0.4, 1.0, 1.0]))
        share = self.random.choice([0.3, 0.6, 0.9])
        for endpoint in chosen:
            endpoint.fault, endpoint.share = fault, share
        await asyncio.sleep(self.random.uniform(2, 10))
        for endpoint in chosen:
            if endpoint.fault == fault:
                endpoint.fault = None
        return f"{service}: {len(chosen)} endpoints, {share} of their requests"

    async def _crash_endpoints(self):
        service = self.random.choice(["model", "desk"])
        chosen = self._some(self._endpoints_of(service), 0.4)
        for endpoint in chosen:
            endpoint.crash()
        return f"{service}: {len(chosen)} endpoints"

    # Figures of endpoints.

    def _false_figures(self):
        """False statements of how long work takes now, compared with the usual time."""
        # Drawn with each answer, as the shares of failing requests are.
        draw = self.deployment.random
        return {
            "far too high": lambda: self._state(lambda: draw.randint(1000, 10000)),
            "far too low": lambda: self._state(lambda: draw.randint(1, 10)),
            "ever changing": lambda: self._state(lambda: draw.choice([5, 25, 100, 400, 9999])),
            "invalid": lambda: self._state(lambda: draw.choice(INVALID_FIGURES)),
        }

    async def _state(self, figure):
        service = self.random.choice(["model", "desk"])
        chosen = self._some(self._endpoints_of(service), self.random.choice([0.4, 1.0]))
        for endpoint in chosen:
            endpoint.work_figure = figure
        await asyncio.sleep(self.random.uniform(2, 8))
        for endpoint in chosen:
            if endpoint.work_figure is figure:
                endpoint.work_figure = None
        return f"{service}: {len(chosen)} endpoints"

    # What belongs to no request, and entries that name no endpoint.

    def _strays(self):
        return {
            "late refusals": lambda: self._fail("late refusals"),
            "second answers": lambda: self._fail("second answers"),
            "cut heads": lambda: self._fail("cut heads"),
            "lost segments": lambda: self._fail("lost segments"),
            "odd entries": self._odd_entries,
        }

    async def _odd_entries(self):
        odd = self.random.choice(list(ODD))
        key = f"servers/odd {odd}"
        store = self.deployment.store
        store.put_text(key, base64.b64encode(ODD[odd]).decode())
        await asyncio.sleep(self.random.uniform(1, 6))
        store.delete(key)
        return odd

    # Answers without a length, and clients that don't keep to the limits.

    async def _answer_without_length(self):
        service = self.random.choice(["model", "desk"])
        chosen = self._some(self._endpoints_of(service), self.random.choice([0.4, 1.0]))
        for endpoint in chosen:
            endpoint.unframed = True
        await asyncio.sleep(self.random.uniform(0.5, 2))
        crashing = self._some(chosen, 0.4)
        for endpoint in crashing:
            endpoint.crash()
        await asyncio.sleep(self.random.uniform(0, 2))
        for endpoint in chosen:
            endpoint.unframed = False
        return f"{service}: {len(chosen)} endpoints, {len(crashing)} of them crash"

    async def _crowd(self, kind):
        running = self._running()
        if not running:
            return "none runs"
        instance, port = self.random.choice(running), self.random.choice(CROWD_PORTS)
        address = f"{instance.ip}:{self.deployment.ports + port}"
        await asyncio.to_thread(self._press, address, kind, self.random.uniform(0, 3))
        return f"{CROWD} clients at {instance.name}, port {port}"

    @staticmethod
    def _press(address, kind, stay):
        with Crowd(address, kind, CROWD) as crowd:
            crowd.send_all(lambda: None)
            time.sleep(stay)

    # Instances.

    def _kills(self):
        return {
            "kill": self._kill_some,
            "kill all": self._kill_all,
            "kill again and again": self._kill_in_series,
            "stop": self._stop_one,
        }

    def _pauses(self):
        return {"pause": self._pause, "starve": self._starve}

    def _running(self):
        return [one for one in self.deployment.instances if one.process.poll() is None]

    async def _restart(self, instances):
        for instance in instances:
            instance.kill()
        await asyncio.sleep(self.random.uniform(0.1, 1.0))
        for instance in instances:
            if instance.process.poll() is not None:
                instance.start()
        return ", ".join(one.name for one in instances)

    async def _kill_some(self):
        running = self._running()
        return await self._restart(self._some(running, 0.4)) if running else "none runs"

    async def _kill_all(self):
        return await self._restart(self._running())

    async def _kill_in_series(self):
        instance = self.random.choice(self.deployment.instances)
        for _ in range(self.random.randint(2, 4)):
            await self._restart([instance])
            await asyncio.sleep(self.random.uniform(0.8, 2.5))
        return instance.name

    async def _pause(self):
        chosen = self._some(self.deployment.instances, 0.5)
        for instance in chosen:
            instance.signal(signal.SIGSTOP)
        await asyncio.sleep(self.random.uniform(0.5, 5))
        for instance in chosen:
            instance.signal(signal.SIGCONT)
        return ", ".join(one.name for one in chosen)

    async def _starve(self):
        """The process runs for a tenth of the time."""
        instance = self.random.choice(self.deployment.instances)
        for _ in range(self.random.randint(10, 40)):
            await self._take_turn(instance, 0.1)
        return instance.name

    async def _take_turn(self, instance, share):
        """The process stands still for a part of a tenth of a second."""
        instance.turns.append(self.deployment.now())
        instance.signal(signal.SIGSTOP, planned=True)
        await asyncio.sleep(0.1 * (1 - share))
        instance.signal(signal.SIGCONT, planned=True)
        await asyncio.sleep(0.1 * share)

    async def _stop_one(self):
        instance = self.random.choice(self.deployment.instances)
        instance.signal(signal.SIGTERM)
        await asyncio.sleep(self.random.uniform(0.5, 4))
        instance.kill()
        instance.start()
        return instance.name

    # Paths.

    def _path_faults(self):
        return {
            "regions apart": self._cut_regions,
            "one instance alone": self._cut_one,
            "one way": self._cut_one_way,
            "from endpoints": lambda: self._cut_from_endpoints("cut_from"),
            "answers of endpoints": lambda: self._cut_from_endpoints("muted_for"),
        }

    async def _cut_pairs(self, pairs, one_way=False):
        added = {(first.name, second.name) for first, second in pairs}
        if not one_way:
            added |= {(second, first) for first, second in added}
        for first, second in pairs:
            self.deployment.cut(first, second, one_way)
        await asyncio.sleep(self.random.uniform(3, 12))
        self.deployment.heal(added)
        for pair in pairs:
            for instance in pair:
                instance.disturbed()
        return ", ".join(sorted(f"{one} to {other}" for one, other in added))

    def _pairs(self):
        all_of_them = self.deployment.instances
        return [(one, two) for one in all_of_them for two in all_of_them if one.number < two.number]

    async def _cut_regions(self):
        return await self._cut_pairs([(a, b) for a, b in self._pairs() if a.zone != b.zone])

    async def _cut_one(self):
        one = self.random.choice(self.deployment.instances)
        return await self._cut_pairs([pair for pair in self._pairs() if one in pair])

    async def _cut_one_way(self):
        return await self._cut_pairs([self.random.choice(self._pairs())], one_way=True)

    async def _cut_from_endpoints(self, path):
        instance = self.random.choice(self.deployment.instances)
        chosen = self._some(self.deployment.endpoints, self.random.choice([0.3, 1.0]))
        for endpoint in chosen:
            getattr(endpoint, path).add(instance.name)
        instance.disturbed()
        await asyncio.sleep(self.random.uniform(1, 8))
        for endpoint in chosen:
            getattr(endpoint, path).discard(instance.name)
        instance.disturbed()
        return f"{instance.name}, {len(chosen)} endpoints"
