"""A machine that catches up from a restarted one keeps a runner that has been removed."""

import asyncio
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import harness_2 as harness  # noqa: E402

#: The path between the machine and the store is cut for this long at most.
CUT_S = 5.5
#: A process that has ended starts again after this long.
RESTART_DELAY_S = 2.0
#: How long the removed runner goes on serving after drainMs.
LINGER_S = 14.0


async def case(record):
    store = harness.Store(record)
    runners = [harness.Runner(record, store, f"d-{n}", "orderdesk", "north-a") for n in range(1, 8)]
    for runner in runners:
        await runner.start()
    removed = runners[0]
    store.put("op/config", harness.configuration(
        1,
        [harness.route("place", "/place/", "orderdesk", "unsafe", 1),
         harness.route("status", "/status/", "orderdesk", "safe", 2)],
        [harness.service("orderdesk")],
    ))
    machines = {"edge-1": "north-a", "edge-2": "north-a", "edge-3": "north-a"}
    relays = harness.Relays(record, store, machines, {"north-a": "north"}, ["edge-2", "edge-3"])
    clients = {}
    end_at = [time.monotonic() + 60]
    tasks = []
    try:
        for name in machines:
            await relays.start(name)
        await relays.wait_ready()
        await asyncio.sleep(harness.STABLE_S + 1.5)
        for name in machines:
            clients[name] = harness.Client(record, relays.address(name), name)
        client = clients["edge-1"]
        tasks += [asyncio.ensure_future(client.keep_sending("POST", "/place/o", 20, lambda: end_at[0], b"order")),
                  asyncio.ensure_future(client.keep_sending("GET", "/status/o", 10, lambda: end_at[0]))]
        await asyncio.sleep(1)

        # Planned: the two other machines are stopped and started in turn.
        async def roll(name, restart):
            relays.signal(name, signal.SIGTERM)
            await relays.ended(name, 10)
            restart.set()

        async def add_runners():
            """Planned: two more runners."""
            await asyncio.sleep(2.1)
            for number in (8, 9):
                runner = harness.Runner(record, store, f"d-{number}", "orderdesk", "north-a")
                await runner.start()
                runners.append(runner)
                record.write("added", runner.identity)
                await asyncio.sleep(0.45)

        down = {name: asyncio.Event() for name in ("edge-2", "edge-3")}
        rolls = [asyncio.ensure_future(roll("edge-2", down["edge-2"]))]
        await asyncio.sleep(1.0)
        rolls.append(asyncio.ensure_future(roll("edge-3", down["edge-3"])))
        await down["edge-2"].wait()
        ended_at = time.monotonic()
        if harness.trouble():
            store.cut_off.add("edge-1")
            cut_at = time.monotonic()
            record.write("edge-1 is cut off from the store, whose other calls go on")
        await down["edge-3"].wait()
        await asyncio.sleep(0.2)
        # Planned: a runner is taken away; it does not report draining.
        removed.unregister()
        removed_at = time.monotonic()
        record.write("removed", removed.identity)
        await asyncio.sleep(max(0.0, ended_at + RESTART_DELAY_S - time.monotonic()))
        await relays.start("edge-2")
        more = asyncio.ensure_future(add_runners())
        await asyncio.sleep(1.0)
        await relays.start("edge-3")
        await relays.wait_ready(["edge-2", "edge-3"])
        tasks.append(more)
        if harness.trouble():
            await asyncio.sleep(2.0)
            store.cut_off.clear()
            back_at = time.monotonic()
            record.write("the cut heals, after", f"{back_at - cut_at:.1f} s")
            assert back_at - cut_at <= CUT_S
        else:
            back_at = time.monotonic()
        in_touch_at = back_at + harness.STABLE_S + 0.2
        await asyncio.sleep(removed_at + harness.DRAIN_S + LINGER_S - time.monotonic())
        removed.stop()
        stopped_at = time.monotonic()
        record.write("exits", removed.identity)
        end_at[0] = time.monotonic() + 2
        await asyncio.gather(*tasks)

        # DRAIN: taken from the client and sent on by a machine in touch.
        judged_from = max(in_touch_at, removed_at + harness.DRAIN_S)
        late = [attempt for attempt, at in removed.runs
                if at > judged_from and client.ends.get(attempt, (0, 0))[1] > judged_from]
        ran = {attempt for attempt, _ in removed.runs}
        lost = [attempt for attempt, (_, sent, kind, end) in client.ends.items()
                if attempt in ran and kind == "place" and end != 200 and sent > judged_from]
        record.say(f"removed at {removed_at - record.started:.2f} s, edge-1 in touch from"
                   f" {in_touch_at - record.started:.2f} s, runner exits at {stopped_at - record.started:.2f} s")
        record.say("requests that reached the removed runner from a machine in touch, later than drainMs:", len(late))
        record.say("orders that it had begun to run and that were lost with it:", len(lost))
        return harness.BROKEN if late else harness.HELD
    finally:
        for task in tasks:
            task.cancel()
        relays.stop()
        for runner in runners:
            runner.stop()
        store.stop()
        if "KEEP" not in __import__("os").environ:
            relays.clean()
        else:
            print(relays.folder)


harness.main(FOLDER, case)
