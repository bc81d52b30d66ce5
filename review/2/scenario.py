"""A node is restarted beside an upstream that has left; then a heartbeat arrives that was sent before the leaving."""

import asyncio
import json
import os
import random
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from harness import BOUNDS, HOST, TROUBLE, CannotRun, Deployment, call, main

ROUTES = [("r-sign", {"Host": HOST, "Prefix": "/sign/", "Type": "unsafe", "TimeoutMs": 1500, "TargetLatencyMs": 800,
                      "Priority": 1, "Service": "findings", "Attempts": 2}),
          ("r-media", {"Host": HOST, "Prefix": "/media/", "Type": "safe", "TimeoutMs": 1500, "TargetLatencyMs": 800,
                       "Priority": 1, "Service": "media", "Attempts": 2})]
SERVICES = [("findings", {"HealthPath": "/healthz", "MaxConnections": 130}),
            ("media", {"HealthPath": "/healthz", "MaxConnections": 130})]
STAY_S = 12  # After the acknowledgement the upstream serves for many seconds, then it ends.


async def scenario(mesh):
    await mesh.start(ROUTES, SERVICES, {"side-1": ("i-a", 0.25), "side-2": ("i-b", 0.25), "side-3": ("i-c", 0.25)})
    await mesh.wait_ready()
    await asyncio.sleep(3)
    clients = []

    async def load(seconds):
        # Clients stay on the machines whose nodes are never stopped.
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            machine = random.choice(mesh.machines[1:])
            clients.append(asyncio.create_task(mesh.request(machine, "/sign/1", "POST", body=b"finding")))
            await asyncio.sleep(0.05)

    await load(2)
    leaving, side = mesh.upstreams[0], mesh["side-1"]
    leaving.beat_task.cancel()
    late = json.dumps(leaving.body()).encode()
    mesh.record("heartbeat of", leaving.id, "is held up:", late.decode())
    answer = await call(side.control, "DELETE", f"/instances/{leaving.id}")
    acknowledged = time.monotonic()
    mesh.record("upstream", leaving.id, "leaves with DELETE and gets", answer)
    if isinstance(answer, str) or answer[0] != 200:
        raise CannotRun("the leaving is not acknowledged")
    await load(0.5)
    if TROUBLE:
        side.signal(signal.SIGKILL)
        await side.ended()
        await load(0.5)
        side.start()
    await load(3.5)
    answer = await call(side.control, "PUT", f"/instances/{leaving.id}", late, [("Content-Type", "application/json")])
    mesh.record("late heartbeat of", leaving.id, "arrives and gets", answer)
    await load(acknowledged + STAY_S - time.monotonic())
    leaving.crash()
    await load(0.5)
    await asyncio.gather(*clients)
    # Side-1 is in touch again StableWindowMs after its node was started.
    in_touch = side.started_at + BOUNDS["StableWindowMs"] / 1000
    late_runs = [run for run in leaving.runs if run[0] > max(in_touch, acknowledged + BOUNDS["DrainMs"] / 1000)]
    cut = [run[1] for run in late_runs if isinstance(mesh.answers[run[1]][0], str) or mesh.answers[run[1]][0][0] != 200]
    if not late_runs:
        return []
    return [f"DRAIN: {len(late_runs)} requests reached {leaving.id} between {late_runs[0][0] - acknowledged:.1f} s and "
            f"{late_runs[-1][0] - acknowledged:.1f} s after the acknowledgement of its leaving; "
            f"{len(cut)} of them were cut when it ended"]


if __name__ == "__main__":
    main(scenario, lambda: Deployment(__file__, [("side-1", "findings"), ("side-2", "findings"), ("side-3", "media")]))
