"""A wave of upkeep stops a work unit that lasts, and it is never started again although its executor is idle enough."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import site2  # noqa: E402

EXECUTORS, SMALL, LARGE = 3, "5c0e7a21d94b36f8", "110e7a21d94b36f8"
DURATION_S, PLAY_S = 24, 40
# From 6 s after its last run, a work unit that lasts may not be without a run for 3 s while there is capacity for it twice over.
RESTART_S, WAIT_S = 6, 3


async def play(world, trouble):
    await world.begin(site2.config())
    for n in range(EXECUTORS):
        await world.add_executor(100 + n, f"i-{100 + n:02x}", ["a", "r1-0"])
    await asyncio.sleep(2)
    running = lambda: sorted(run.task for it in world.executors.values() for run in it.runs.values())
    lasts = {"memMb": 1000, "estRuntimeMs": 500, "longRunning": True, "mayMiss": 1}
    # One submission fills two executors, three work units of the other one share the third.
    await world.submit(LARGE, {"spec": "ledger", "steps": [dict(lasts, count=EXECUTORS - 1, cpu=30000, antiAffinity=1)]})
    await world.until(lambda: asyncio.sleep(0, len(running()) == EXECUTORS - 1), 10, "the work units did not start")
    await world.submit(SMALL, {"spec": "plan", "steps": [dict(lasts, count=3, cpu=5000)]})
    await world.until(lambda: asyncio.sleep(0, len(running()) == EXECUTORS + 2), 10, "the work units did not start")
    await asyncio.sleep(3)
    all_units = running()
    machine = next(it.machine for it in world.executors.values() if len(it.runs) == 3)
    if trouble:
        for ip in world.controllers.values():
            status, answer = await site2.call(ip, site2.CONTROL, "POST", "/-/wave-start", {"wave": 1, "machines": [machine], "durationS": DURATION_S, "maxCount": 1})
            world.record.line("operator: POST /-/wave-start", machine, "->", status or answer)
            if status == 200:
                break
        else:
            raise site2.CannotRun("the wave was not acknowledged")
    last_seen = dict.fromkeys(all_units, world.record.now())
    room_since, broken, next_line = None, {}, 0
    end = world.record.now() + PLAY_S
    while world.record.now() < end:
        await asyncio.sleep(0.1)
        now = world.record.now()
        rooms = [world.free(it) for it in world.executors.values() if it.is_up]
        has_room = any(it["cpu"] >= 2 * 5000 and it["memMb"] >= 2 * 1000 for it in rooms)
        room_since = (room_since or now) if has_room else None
        for it in all_units:
            if it in running():
                last_seen[it] = now
            elif it.startswith(SMALL) and room_since and now - max(last_seen[it] + RESTART_S, room_since) > WAIT_S:
                broken[it] = now - last_seen[it]
        if now > next_line:
            next_line = now + 3
            status, answer = await site2.call(world.controllers["core-1"], site2.CONTROL, "GET", "/-/wave-get/1")
            world.record.line("away:", [it for it in all_units if it not in running()], "; wave:", status, answer, "; free on the executors:", [it["cpu"] for it in rooms])
    return [f"LOST: nothing of {it} ran for {seconds:.1f} s after its last run, with capacity for it twice over" for it, seconds in broken.items()]


site2.main(site2.World(HERE), play)
