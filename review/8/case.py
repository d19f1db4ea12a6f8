"""The store turns a third of the routers away, among them the three that read it for the others. It serves six of them again
after 9 s; these go on with an old configuration, although they could read the new one."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib-2"))
import fleet2

ROUTERS = 28
TURNED_AWAY = 9  # A share of 0.32, the three readers among them.
AWAY_S = 9.0
CHANGE_AFTER_S = 1.0  # From the end of the first disruption to the change of the configuration.
CONFIG_S = fleet2.BOUNDS["config_apply_ms"] / 1000
STABLE_S = fleet2.BOUNDS["stable_window_ms"] / 1000


def configuration(version, service):
    changed = fleet2.configuration(version)
    changed["routes"][0]["service"] = service
    changed["services"] = [dict(changed["services"][0], name=name) for name in ("portal", "portal2")]
    return changed


async def play(fleet, has_trouble):
    await fleet.store.write("op", "config", configuration(7, "portal"))
    for service in ("portal", "portal2"):
        for i in range(4):
            await fleet.add_runner(service, fleet2.ZONES[i % 3], slots=64)
    for i in range(ROUTERS):
        await fleet.add_router(fleet2.ZONES[i % 3])
    for each in fleet.routers:
        each.start()
    await fleet.until_ready()
    await asyncio.sleep(5)
    readers = [each for each in fleet.routers if not each.source()]
    if len(readers) != 3:
        raise RuntimeError(f"{len(readers)} routers read the store, 3 expected")
    followers = [each for each in fleet.routers if each not in readers][: TURNED_AWAY - 3]
    sent_at = {}

    async def send(router):
        at = fleet2.now()
        attempt, _ = await fleet.request(router, "portal.example", "/read/x")
        sent_at[attempt] = (at, router)

    async def load(router):
        tasks = set()
        while True:
            task = asyncio.create_task(send(router))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(0.1)

    for each in followers:
        fleet.clients.append(asyncio.create_task(load(each)))
    if has_trouble:
        for each in readers + followers:
            fleet.store.turn_away(each.name, "busy")
        fleet.record.write("the store turns away " + ", ".join(each.name for each in readers + followers))
    await asyncio.sleep(AWAY_S)
    # The first disruption ends, and a second one of the same kind begins for the readers alone.
    for each in followers:
        fleet.store.turn_away(each.name, None)
    served_at = fleet2.now()
    fleet.record.write("the store serves all again but " + ", ".join(each.name for each in readers))
    await asyncio.sleep(CHANGE_AFTER_S)
    await fleet.store.write("op", "config", configuration(9, "portal2"))
    accepted_at = fleet2.now()
    fleet.record.write("store accepts: version 9 sends the route to portal2 in place of portal")
    await asyncio.sleep(AWAY_S - CHANGE_AFTER_S - 0.5)

    from_then = max(accepted_at + CONFIG_S, served_at + STABLE_S)
    broken = {}
    for runner in fleet.runners:
        for _, attempt in runner.arrivals:
            at, router = sent_at.get(attempt, (0, None))
            if runner.service == "portal" and at > from_then:
                broken.setdefault(router.name, []).append(at - accepted_at)
    for name, late in broken.items():
        text = f"{name}: {len(late)} requests run by the old service, sent up to {max(late):.2f} s after the store had accepted the new version"
        fleet.record.write(text)
        print(text)
    print("CONFIG is broken" if broken else "CONFIG held")
    return not broken


fleet2.main(FOLDER, play)
