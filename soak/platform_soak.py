"""The soak of nodes on the users' platform: uneven and cold backend servers, evacuations, crashes, restarts and pauses.

Store, machines and the protocol are the stand-ins of review/lib-2; this file adds cold starts, stated load and faults.
"""

import importlib.util
import json
import os
import random
import signal
import sys
import tempfile
import threading
import time

import checks

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
# By its path: scripts/mesh.py has the same module name.
_spec = importlib.util.spec_from_file_location("platform_mesh", os.path.join(ROOT, "review", "lib-2", "mesh.py"))
lib = importlib.util.module_from_spec(_spec)
_spec.loader.exec_module(lib)

HOST = "soak.example"
SERVICES = {"depot": (6, False), "ledger": (3, True)}  # Machines, and whether the service is partitioned by key.
# Route, path, type, service, priority.
ROUTES = (("read", "/read/", "safe", "depot", 1), ("urgent", "/urgent/", "safe", "depot", 0),
          ("write", "/write/", "unsafe", "ledger", 1))
CALLERS, DEADLINE_MS, ATTEMPTS = 14, 2000, 3  # The callers send more than all cold servers may get.
SLOTS, WORK_S = 8, 0.06
SLOW_FACTOR, SLOW_S, SLOW_EVERY_S = 3, 0.4, 2.0
COLD_S, COLD_PER_S = 3.0, 8
COLD_MOST = COLD_PER_S * 1.5 + 8  # ColdOverage and ColdSlack of docs/design/overview.md.
EVACUATION_S = 5.0  # EvacuationMs.
DOWN_S, RECOVERY_S, RECOVERY_ANSWERS = 1.0, 60, 5
# Malformed, and false ones: a full server, and one that is a hundred times slower.
FALSE_LOADS = ("garbage", "-1,0,8", "1,2", "1,0,8,99999999999", "8,500,8", "0,0,8,10000")


class ColdServer(lib.Upstream):
    """A backend server that starts cold, states its load, and ends itself when it gets too many requests while cold."""

    def __init__(self, machine, **options):
        self.warm_at = machine.mesh.record.now() + COLD_S
        # From its start on: a node sends requests only to a life that has announced itself, as cold.
        self.cold_times = [(machine.mesh.record.now(), self.warm_at)]
        self.false_load, self.running = None, 0
        machine.lives.append(self)
        super().__init__(machine, slots=SLOTS, **options)

    def cold_ms(self):
        return max(0, int((self.warm_at - self.record.now()) * 1000))

    def become_cold(self):
        self.warm_at = self.record.now() + COLD_S

    def slowdown(self):
        return SLOW_FACTOR if (self.record.now() + self.machine.speed) % SLOW_EVERY_S < SLOW_S else 1

    def load(self):
        return self.false_load or f"{self.running},0,{self.slots},{100 * self.slowdown()}"

    def beat(self):
        warm_at, body, sent = self.warm_at, self.beat_body(), time.monotonic()
        reported = len(self.released)
        status, _, answer = lib.call(self.machine.address("Control"), "PUT", f"/instances/{self.identity}",
                                     {"Content-Type": "application/json"},
                                     json.dumps({**body, "ColdRemainingMs": self.cold_ms()}).encode(), timeout=1)
        if status != 200:
            return False
        # A server that becomes cold while it runs can expect the limit once a heartbeat that says so is acknowledged.
        if warm_at > self.cold_times[-1][1]:
            self.cold_times.append((self.record.now(), warm_at))
        del self.released[:reported]
        grant = json.loads(answer or b"{}")
        return self._take(grant, sent) if "Holds" in grant else False

    def handle(self, method, target, headers, reader, sock):
        if target == "/healthz":
            sock.sendall(lib.message("HTTP/1.1 200 OK", {
                "X-Instance-Id": self.identity, "X-Server-Load": self.load(),
                "X-Cold-Ms": 0 if self.machine.mesh.has_false_health else self.cold_ms(), "Content-Length": 0}))
            return True
        body = reader.body(headers)
        identity = headers.get("x-request-id", "")
        if (status := self.may_run(headers)) != 200:
            sock.sendall(lib.message(f"HTTP/1.1 {status} -", {
                "X-Request-Id": identity, "X-Not-Executed": "1", "X-Instance-Id": self.identity, "Content-Length": 0}))
            return True
        with self.lock:
            self.running += 1
            self.runs.append((self.record.now(), identity, method, target))
            is_overloaded = bool(checks.cold_overruns([run[0] for run in self.runs[-100:]], self.cold_times, COLD_MOST))
        self.record.line(f"run at {self.machine.name} {self.identity}: {identity} {method} {target}")
        if is_overloaded:
            self.record.line(f"{self.identity} at {self.machine.name} ends: too many requests while cold")
            self.close()
            return False
        time.sleep(WORK_S * self.machine.speed * self.slowdown())
        with self.lock:
            self.running -= 1
        answer = self.answer(headers, body)
        sock.sendall(lib.message("HTTP/1.1 200 OK", {
            "X-Request-Id": identity, "X-Response-Signature": f"s.{self.identity}.{len(answer)}",
            "X-Server-Load": self.load(), "Content-Length": len(answer)}, answer))
        return True


class PlatformMachine(lib.Machine):
    def __init__(self, mesh, index, name, zone, service):
        super().__init__(mesh, index, name, zone, service)
        self.speed, self.lives = mesh.random.uniform(0.5, 1.5), []

    def render(self):
        super().render()
        with open(self.settings_path, encoding="utf-8") as file:
            settings = json.load(file)
        settings["scheduling"] = {"evacuation_ms": int(EVACUATION_S * 1000), **self.mesh.scheduling}
        with open(self.settings_path, "w", encoding="utf-8") as file:
            json.dump(settings, file)

    def start_upstream(self):
        self.upstream = ColdServer(self, sharded=self.mesh.services[self.service][1])

    def is_running(self):
        return self.process is not None and self.process.poll() is None


class PlatformMesh(lib.Mesh):
    def __init__(self, folder, build, seed, has_false_health):
        super().__init__(folder, SERVICES)
        self.has_false_health = has_false_health
        self.random = random.Random(f"{seed}-machines")
        self.scheduling = self.random.choice(
            ({}, {"completion_time": True}, {"rank_by_caller": True, "limit_calls": True, "completion_time": True}))
        self.role = {**self.role, "run": os.path.join(os.path.abspath(build), "platform", "heatherdrift-platform-node")}
        self.machines = [PlatformMachine(self, index, machine.name, machine.zone, machine.service)
                         for index, machine in enumerate(self.machines, 1)]

    def configure(self):  # pylint: disable=arguments-differ
        resources = [{"ResourceKind": "Routes", "Metadata": {"Name": name},
                      "Spec": {"Host": HOST, "Prefix": prefix, "Type": kind, "TimeoutMs": DEADLINE_MS,
                               "TargetLatencyMs": DEADLINE_MS // 3, "Priority": priority, "Service": service,
                               "Attempts": ATTEMPTS}} for name, prefix, kind, service, priority in ROUTES]
        for service, (_, sharded) in SERVICES.items():
            spec = {"HealthPath": "/healthz", "MaxConnections": 130, "Protocol": "h1", "Tls": False,
                    "ColdStartS": COLD_S, "ColdPerS": COLD_PER_S}
            if sharded:
                spec.update({"Sharded": True, "WarmupS": 2.0, "Grants": "heartbeat"})
            resources.append({"ResourceKind": "Services", "Metadata": {"Name": service}, "Spec": spec})
        resources.append({"ResourceKind": "Limits", "Metadata": {}, "Spec": lib.LIMITS})
        self.store.put("op", "config", json.dumps({"Version": "r3", "Resources": resources}).encode())

    def start(self):  # pylint: disable=arguments-differ
        for machine in self.machines:
            machine.start()
            machine.start_upstream()
        self.wait_ready()
        self.is_first_start = False

    def wait_ready(self):
        self.wait(lambda: all(machine.is_ready() for machine in self.machines), RECOVERY_S, "all nodes are ready")


class Caller(threading.Thread):
    """Sends requests one after the other, each on a new connection to a random machine, and checks each answer."""

    def __init__(self, soak, number):
        super().__init__(daemon=True)
        self.soak, self.number, self.random = soak, number, random.Random(f"{soak.seed}-{number}")
        self.answered, self.findings, self.statuses = 0, [], {}  # Request id -> status, of requests that may run once.

    def run(self):
        count = 0
        while not self.soak.is_over.is_set():
            count += 1
            _, prefix, kind, service, _ = self.random.choice(ROUTES)
            key = self.random.randrange(65536) if SERVICES[service][1] else None
            identity = f"c{self.number}-{count}"
            status, _, body = self.random.choice(self.soak.mesh.machines).request(
                "POST" if kind == "unsafe" else "GET", prefix + str(count), HOST, identity, DEADLINE_MS, key=key)
            if kind == "unsafe":
                self.statuses[identity] = status
            if status == 200:
                self.answered += 1
                if body != b"answer to " + identity.encode():
                    self.findings.append(f"{identity} got another answer: {body[:60]}")
            time.sleep(self.random.uniform(0, 0.04))


class PlatformSoak:
    def __init__(self, build, seed, seconds, has_false_health=False):
        self.seed, self.seconds, self.random = seed, seconds, random.Random(f"{seed}-platform")
        self.is_over, self.lock, self.store_lock = threading.Event(), threading.Lock(), threading.Lock()
        self.directory = tempfile.mkdtemp(prefix="heatherdrift-")
        self.mesh = PlatformMesh(self.directory, build, seed, has_false_health)
        self.findings, self.injected, self.evacuations = [], [], []

    def run(self):
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(128 + signal.SIGTERM))
        callers = [Caller(self, number) for number in range(CALLERS)]
        try:
            self.mesh.configure()
            self.mesh.start()
            for thread in callers:
                thread.start()
            self.inject_faults()
            self.heal()
            self.check_recovery(callers)
            self.is_over.set()
            for thread in callers:
                thread.join(DEADLINE_MS / 1000 + 2)
        finally:
            # Its logs are kept beside the record; soak/soak removes the directory of a seed without findings.
            os.rename(self.mesh.folder, os.path.join(self.directory, "nodes"))
            self.mesh.close()
        self.check(callers)
        return sum(caller.answered for caller in callers)

    # Faults. Each runs in a thread of its own, so that they overlap.

    def inject_faults(self):
        faults = [self.evacuate, self.evacuate, self.lose_zone, self.lose_all, self.kill_node, self.kill_node,
                  self.terminate_node, self.pause_node, self.pause_node, self.restart_server, self.restart_server,
                  self.turn_cold, self.turn_cold, self.state_false_load, self.store_outage]
        end, threads = time.monotonic() + self.seconds, []
        while time.monotonic() < end:
            fault = self.random.choice(faults) if threads else self.evacuate
            machine, length_s = self.random.choice(self.mesh.machines), self.random.uniform(0.2, 4)
            self.injected.append(f"{fault.__name__} {machine.name} {length_s:.1f} s")
            self.mesh.record.line("fault: " + self.injected[-1])
            threads.append(threading.Thread(target=fault, args=(machine, length_s), daemon=True))
            threads[-1].start()
            time.sleep(self.random.uniform(0.2, 1.5))
        for thread in threads:
            thread.join(RECOVERY_S)

    def evacuate(self, machine, length_s):
        key = f"evacuate/{machine.zone}"
        # The limit does not hold while the store does not respond.
        with self.store_lock:
            if self.mesh.store.value("op", key) is not None:
                return
            self.mesh.store.put("op", key, b"{}")
            started = self.mesh.record.now()
            time.sleep(EVACUATION_S)
        time.sleep(length_s)
        self.evacuations.append((machine.zone, started + EVACUATION_S, self.mesh.record.now()))
        self.mesh.store.transact({"Remove": [{"Table": "op", "Key": key}]})
        self.mesh.record.line(f"{key} is withdrawn")

    def store_outage(self, _, length_s):
        with self.store_lock:
            self.mesh.store.mode = lambda peer: "busy"
            time.sleep(length_s)
            self.mesh.store.mode = lambda peer: "up"

    def lose(self, machines):
        for machine in machines:
            with self.lock:
                machine.upstream.close()
                if machine.is_running():
                    machine.kill()
        time.sleep(DOWN_S)
        for machine in machines:
            self.start_what_is_down(machine)

    def lose_zone(self, machine, _):
        self.lose([other for other in self.mesh.machines if other.zone == machine.zone])

    def lose_all(self, _, __):
        self.lose(self.mesh.machines)

    def start_what_is_down(self, machine):
        with self.lock:
            if not machine.is_running():
                machine.start()
            if machine.upstream.is_closed:
                machine.start_upstream()

    def kill_node(self, machine, length_s):
        with self.lock:
            if not machine.is_running():
                return
            machine.kill()
        time.sleep(length_s)
        self.start_what_is_down(machine)

    def terminate_node(self, machine, _):
        with self.lock:
            if not machine.is_running():
                return
            process = machine.process
            machine.signal(signal.SIGCONT)
            machine.signal(signal.SIGTERM)
        process.wait(RECOVERY_S)
        self.start_what_is_down(machine)

    def pause_node(self, machine, length_s):
        with self.lock:
            if not machine.is_running():
                return
            process = machine.process
            process.send_signal(signal.SIGSTOP)
        time.sleep(length_s)
        if process.poll() is None:
            process.send_signal(signal.SIGCONT)

    def restart_server(self, machine, _):
        with self.lock:
            machine.upstream.close()
        time.sleep(DOWN_S)
        self.start_what_is_down(machine)

    def turn_cold(self, machine, _):
        machine.upstream.become_cold()

    def state_false_load(self, machine, length_s):
        server = machine.upstream
        server.false_load = self.random.choice(FALSE_LOADS)
        time.sleep(length_s)
        server.false_load = None

    def heal(self):
        for machine in self.mesh.machines:
            if machine.is_running():
                machine.process.send_signal(signal.SIGCONT)
            self.start_what_is_down(machine)

    def check_recovery(self, callers):
        try:
            self.mesh.wait_ready()
            before = [caller.answered for caller in callers]
            self.mesh.wait(lambda: all(caller.answered >= count + RECOVERY_ANSWERS for caller, count
                                       in zip(callers, before)), RECOVERY_S, "answers for all callers")
        except lib.CannotRun as error:
            self.findings.append(f"no recovery: {error}")

    def check(self, callers):
        lives = [(machine, life) for machine in self.mesh.machines for life in machine.lives]
        for machine, life in lives:
            where = f"{machine.name} {life.identity}"
            times = [run[0] for run in life.runs]
            self.findings += [f"{where}: {text}" for text in checks.cold_overruns(times, life.cold_times, COLD_MOST)]
            self.findings += [f"{where}: {text}" for text in checks.late_in_zone(
                times, [times_of for zone, *times_of in self.evacuations if zone == machine.zone])]
        executions = [{"key": run[1], "token": run[1] if run[2] == "POST" else ""} for _, life in lives
                      for run in life.runs]
        refused = {identity for caller in callers for identity, status in caller.statuses.items() if status == 503}
        self.findings += [finding for caller in callers for finding in caller.findings]
        self.findings += checks.run_twice(executions)
        self.findings += checks.ran_although_refused(executions, refused)
