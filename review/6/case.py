"""Half of the routers are killed at once, and runners leave while these start again; the others never learn that some runners
have gone."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib-2"))
import fleet2

DRAIN_S = fleet2.BOUNDS["drain_ms"] / 1000
RUNNERS = 32
LEAVING = 4
RESTART_S = 0.5  # A killed process is started again after a short delay.
LEAVE_AFTER_S = 0.36  # From the kill to the first runner that leaves.
GAP_S = 0.06  # Between two runners that leave.
SERVES_ON_S = 9.0  # How long a runner that has left serves on.


async def restart(routers):
    await asyncio.sleep(RESTART_S)
    for each in routers:
        each.start()


async def play(fleet, has_trouble):
    await fleet.store.write("op", "config", fleet2.configuration())
    for i in range(RUNNERS):
        await fleet.add_runner("portal", fleet2.ZONES[i % 3])
    for i in range(6):
        await fleet.add_router(fleet2.ZONES[i % 3])
    for each in fleet.routers:
        each.start()
    await fleet.until_ready()
    await asyncio.sleep(4)
    senders = {}
    for each in fleet.routers:
        fleet.clients.append(asyncio.create_task(fleet.load(each, "portal.example", "/read/x", 25, senders)))
    await asyncio.sleep(3)

    killed = [each for each in fleet.routers if not each.source()]
    if len(killed) != 3:
        raise RuntimeError(f"{len(killed)} routers read the store, 3 expected")
    calm = [each for each in fleet.routers if each not in killed]
    restarting = None
    if has_trouble:
        for each in killed:
            each.process.kill()
        for each in killed:
            each.process.wait()
            fleet.record.write(f"{each.name} is killed")
        restarting = asyncio.create_task(restart(killed))
    await asyncio.sleep(LEAVE_AFTER_S)
    accepted = {}
    for runner in fleet.runners[:LEAVING]:
        accepted[runner] = await runner.deregister()
        await asyncio.sleep(GAP_S)
    await asyncio.sleep(SERVES_ON_S)
    if restarting:
        await restarting

    broken = 0
    for runner, at in accepted.items():
        late = [(when - at, senders[attempt].name) for when, attempt in runner.arrivals if when > at + DRAIN_S and senders.get(attempt) in calm]
        broken += len(late)
        if late:
            text = f"{runner.id}: {len(late)} requests later than {DRAIN_S} s after the store had accepted that it is gone, the last after {late[-1][0]:.2f} s by {late[-1][1]}, which was not killed"
            fleet.record.write(text)
            print(text)
    print("DRAIN is broken" if broken else "DRAIN held")
    return broken == 0


fleet2.main(FOLDER, play)
