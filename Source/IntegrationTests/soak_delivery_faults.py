"""Planned work, endpoints that stand still, and endpoints that send bytes without end."""

import asyncio
import signal

from endless_endpoint import EndlessEndpoint
from soak_faults import Faults

#: Families of these faults, and the mean time between two faults of a family.
DELIVERY_GAPS = {"stops": 1.5, "silences": 0.8, "endless": 2.0}
#: An endpoint works between two stand-stills, so that they do not add up to a longer one.
LEAST_WORK_TIME = 3.0
SHORTEST_SILENCE, LONGEST_SILENCE = 1.0, 2.0
#: Share of the time that a process runs which is short of processor time.
SHARES = (0.1, 0.25)
UNREAD_ANSWERS = 12
#: Seconds from a request to the end of its answer; SIGTERM comes half a second after the request.
LAST_ENDS = (4.0, 6.9)


class DeliveryFaults(Faults):
    """Adds families to the usual ones. Its deployment has delivery callers."""

    mean_gaps = {**Faults.mean_gaps, **DELIVERY_GAPS}

    def _faults(self):
        return {
            **super()._faults(),
            "stops": self._planned_work(),
            "silences": self._silences(),
            "endless": {"endless": self._send_without_end},
        }

    # Planned work.

    def _planned_work(self):
        return {
            "stop": lambda: self._stop(1, "last answers"),
            "stops at once": lambda: self._stop(2),
            "starved stop": lambda: self._stop(1, "starved"),
            "starved stop with last answers": lambda: self._stop(1, "starved", "last answers"),
            "stop with signals": lambda: self._stop(1, "signals"),
            "stop with unread answers": lambda: self._stop(1, "unread answers"),
            "reloads": self._reload,
            "configurations": self._configure,
            "starve": self._starve,
        }

    def _available(self):
        """Those that run and were not asked to end."""
        return [
            one
            for one in self.deployment.instances
            if one.process.poll() is None and one.started and not one.ending
        ]

    async def _stop(self, count, *manners):
        available = self._available()
        if len(available) <= count:
            return "too few run"
        chosen = self.random.sample(available, count)
        await asyncio.gather(*(self._stop_and_start(one, manners) for one in chosen))
        return ", ".join(one.name for one in chosen)

    async def _stop_and_start(self, instance, manners):
        callers = self.deployment.delivery_callers
        if "unread answers" in manners:
            callers.send_unread(instance, UNREAD_ANSWERS)
            await asyncio.sleep(1)
        if "last answers" in manners:
            callers.send_last(instance, [self.random.uniform(*LAST_ENDS) for _ in range(3)])
            await asyncio.sleep(0.5)
        share = self.random.choice(SHARES)
        process = instance.process
        beside = []
        if "starved" in manners:
            beside.append(asyncio.create_task(self._starve_while(instance, process, share)))
        if "signals" in manners:
            beside.append(asyncio.create_task(self._signal_while(instance, process)))
        await instance.terminate()
        for task in beside:
            await task
        await asyncio.sleep(self.random.uniform(0, 0.5))
        if instance.process.poll() is not None:
            instance.start()
        await self.deployment.wait_ready(instance)

    async def _starve_while(self, instance, process, share):
        while process.poll() is None and instance.process is process:
            await self._take_turn(instance, share)

    async def _signal_while(self, instance, process):
        while process.poll() is None and instance.process is process:
            if self.random.random() < 0.5:
                instance.reload()
            else:
                instance.signal(signal.SIGTERM, planned=True)
            await asyncio.sleep(self.random.uniform(0.02, 0.3))

    async def _reload(self):
        reloaded = []
        for _ in range(self.random.randint(3, 15)):
            instance = self.random.choice(self.deployment.instances)
            if instance.started and instance.process.poll() is None:
                instance.reload()
                reloaded.append(instance.name)
            await asyncio.sleep(self.random.uniform(0.02, 0.3))
        return ", ".join(reloaded)

    async def _configure(self):
        count = self.random.randint(3, 12)
        for _ in range(count):
            self.deployment.publish_with_extra_routes()
            await asyncio.sleep(self.random.uniform(0.02, 0.3))
        return f"{count} versions"

    # Stand-stills.

    def _silences(self):
        return {
            "one stands still": lambda: self._stand_still(1),
            "some stand still": lambda: self._stand_still(3),
            "all of a service stand still": lambda: self._stand_still(None),
        }

    async def _stand_still(self, count):
        now = self.deployment.now()
        rested = [
            one
            for one in self.deployment.endpoints
            if now > one.still_until + LEAST_WORK_TIME and one.place is None and not one.down
        ]
        if count is None:
            service = self.random.choice(["model", "desk", "distant"])
            chosen = [one for one in rested if one.service == service]
        else:
            chosen = self.random.sample(rested, min(count, len(rested)))
        seconds = self.random.uniform(SHORTEST_SILENCE, LONGEST_SILENCE)
        for endpoint in chosen:
            endpoint.still_until = now + seconds
            self.deployment.standstills.append((endpoint.identity, now, now + seconds))
        await asyncio.sleep(seconds)
        return f"{seconds:.2f} s: {', '.join(one.identity for one in chosen)}"

    # Bytes without end.

    async def _send_without_end(self):
        sound = [one for one in self.deployment.endpoints if one.place is None and not one.down]
        chosen = self.random.sample(sound, min(self.random.randint(1, 3), len(sound)))
        places = [self.random.choice(list(EndlessEndpoint.PLACES)) for _ in chosen]
        began = self.deployment.now()
        for endpoint, place in zip(chosen, places):
            endpoint.place = place
        await asyncio.sleep(self.random.uniform(1, 4))
        for endpoint in chosen:
            endpoint.place = None
            self.deployment.endless.append((endpoint.identity, began, self.deployment.now()))
        return ", ".join(f"{one.identity}: {place}" for one, place in zip(chosen, places))
