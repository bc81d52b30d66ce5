"""A request crashes each upstream that begins to run it, and its caller sends it again."""

import asyncio
import os
import random
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from harness import BOUNDS, HOST, TROUBLE, Deployment, main

ROUTES = [("r-media", {"Host": HOST, "Prefix": "/media/", "Type": "safe", "TimeoutMs": 1500, "TargetLatencyMs": 600,
                       "Priority": 2, "Service": "media", "Attempts": 2})]
SERVICES = [("media", {"HealthPath": "/healthz", "MaxConnections": 130}),
            ("findings", {"HealthPath": "/healthz", "MaxConnections": 130})]
POISON = "/media/poison"
DOWN_S = 3.0  # An upstream that crashed is back after this time.


async def scenario(mesh):
    crashes = []  # (time, upstream)

    async def come_back(machine, number):
        await asyncio.sleep(DOWN_S)
        upstream = await mesh.add_upstream(machine, f"{machine.name}-life-{number}", 0.15)
        upstream.poison = POISON if TROUBLE else None

    def on_crash(upstream):
        crashes.append((time.monotonic(), upstream.id))
        upstream.crash()
        asyncio.get_running_loop().create_task(come_back(upstream.machine, len(crashes) + 1))

    media = mesh.machines[:4]
    for machine in media:
        machine.on_crash = on_crash
    await mesh.start(ROUTES, SERVICES, {machine.name: (f"{machine.name}-life-1", 0.15) for machine in mesh.machines})
    if TROUBLE:
        for upstream in mesh.upstreams:
            upstream.poison = POISON
    await mesh.wait_ready()
    await asyncio.sleep(3)
    clients = []
    end = time.monotonic() + 30
    last_poison = 0.0
    while time.monotonic() < end:
        clients.append(asyncio.create_task(mesh.request(random.choice(mesh.machines), f"/media/{len(clients)}")))
        if time.monotonic() - last_poison > 1.0:
            # The same path, caller service and body, at any machine of that service.
            last_poison = time.monotonic()
            clients.append(asyncio.create_task(mesh.request(random.choice(media), POISON)))
        await asyncio.sleep(0.05)
    await asyncio.gather(*clients)
    if len(crashes) < 3:
        return []
    third = crashes[2][0]
    poison = [run for one in mesh.upstreams for run in one.runs if mesh.sent[run[1]][2] == POISON]
    late = [run for run in poison if run[0] > third + BOUNDS["StableWindowMs"] / 1000]
    lost = [run[1] for one in mesh.upstreams for run in one.runs if mesh.sent[run[1]][2] != POISON
            and not (isinstance(mesh.answers[run[1]][0], tuple) and mesh.answers[run[1]][0][0] == 200)]
    mesh.record(len(poison), "arrivals of the request,", len(crashes), "crashes,", len(late), "later than 3 s after the third")
    if len(late) > 3:
        return [f"BUDGET: the request reached upstreams {len(late)} times later than StableWindowMs after its third crash "
                f"({len(crashes)} crashes in all); {len(lost)} other requests that had begun there got no good answer"]
    return []


if __name__ == "__main__":
    main(scenario, lambda: Deployment(__file__, [(f"side-{n}", "media") for n in range(1, 5)] + [("side-5", "findings")]))
