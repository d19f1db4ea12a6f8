"""The configuration that takes the last tenant away makes the system serve every request without a key."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib"))
from standins import TROUBLE, CannotRun, Client, Machine, Runner, Store, now, run_case

ZONES = ("kosice-a", "kosice-b", "presov-a")
REVOKE_S = 5
KEY = "asnmgkcuyj8pjbvk9m68"
UNKNOWN = "k7b2ex5wa5xwyhks8nbk"


def configuration(version, tenants):
    route = {"name": "order", "host": "review.example", "prefix": "/order/", "route_type": "non_idempotent", "timeout_ms": 1000, "latency_goal_ms": 100,
        "priority": 2, "service": "portal", "max_attempts": 1, "anonymous": False, "sticky": False, "resumable": False}
    service = {"name": "portal", "health_path": "/healthz", "max_connections": 110, "protocol": "h1", "tls_enabled": False, "cold_start_s": 0.0, "cold_per_s": 0.0}
    limits = {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000, "tokens_per_s": 350000}
    return {"version": version, "routes": [route], "services": [service], "limits": limits, "tenants": tenants}


async def case(record, folder, machines):
    store = Store(record)
    tenant = {"name": "hule930", "api_keys": [KEY], "priority": 1}
    store.put("op", "config", configuration(3, [tenant]))
    runners = [await Runner(store, record, "portal", zone).start() for zone in ZONES]
    for zone in ZONES:
        machines.append(Machine(store, folder, f"edge-{zone}-1", zone))
        await machines[-1].start()
    for machine in machines:
        await machine.wait_ready()

    async def ask(client, key, answers):
        while True:
            attempt, status, _, _ = await client.send("POST", "/order/1", [f"Api-Key: {key}"], b"x")
            answers.append((client.sent[attempt][0], attempt, status))
            await asyncio.sleep(0.2)

    answers = {KEY: [], UNKNOWN: []}
    tasks = [asyncio.ensure_future(ask(Client(record, machine), key, answers[key])) for machine in machines for key in answers]
    await asyncio.sleep(3)
    acknowledged = now()
    if TROUBLE:
        acknowledged = store.put("op", "config", configuration(5, []))
        record.write("version 5 is acknowledged: no tenant is left")
    await asyncio.sleep(REVOKE_S + 3)
    for task in tasks:
        task.cancel()
    ran = {attempt for runner in runners for _, attempt in runner.ran}
    before = [attempt for at, attempt, status in answers[KEY] if at < acknowledged - 1]
    if len(before) < 10 or not ran.issuperset(before):
        raise CannotRun("the tenant was not served before the change")
    broken = []
    if TROUBLE:
        broken += [f"CONFIG: {attempt} with a key that was taken away {at - acknowledged:.2f} s before ran" for at, attempt, _ in answers[KEY] if at > acknowledged + REVOKE_S and attempt in ran]
    broken += [f"ROUTE: {attempt} with a key that no configuration held ran" for at, attempt, _ in answers[UNKNOWN] if attempt in ran]
    return broken


run_case(case, HERE)
