"""Stand-ins for a small deployment on loopback: the platform's store, upstreams and clients, as PROTOCOL.md says.

The nodes are the project's own program, started with the command of deploy/system.toml and settings rendered from
deploy/node.json.template. Store, upstreams and clients run in this process on an asyncio loop.
"""

import asyncio
import base64
import ctypes
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HEARTBEAT_S = 0.87
HOST = "jepu9.example"

BOUNDS = {"DrainMs": 2000, "GraceS": 6, "RetryBudgetRatio": 0.2, "HoldMaxMs": 10000, "StableWindowMs": 3000}


_given = set()
PR_SET_PDEATHSIG = 1
_libc = ctypes.CDLL(None)


def fresh_port():
    # Below the range of outgoing connections, so that no connection takes a port before its listener is bound.
    while True:
        port = random.randrange(11000, 31000)
        if port in _given:
            continue
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        _given.add(port)
        return port


class Record:
    """Writes record.txt: what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, *words):
        line = f"{self.now():8.3f} " + " ".join(str(word) for word in words)
        self.file.write(line + "\n")
        self.file.flush()


# --- HTTP, as far as the stand-ins need it ---------------------------------------------------------------------------


async def read_message(reader):
    """Returns (first line, headers, body); None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                break
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return lines[0], headers, body


def answer_bytes(status, body=b"", headers=(), reason="X"):
    text = f"HTTP/1.1 {status} {reason}\r\nContent-Length: {len(body)}\r\n"
    for name, value in headers:
        text += f"{name}: {value}\r\n"
    return (text + "\r\n").encode("latin-1") + body


def request_bytes(method, target, body=b"", headers=()):
    text = f"{method} {target} HTTP/1.1\r\n"
    for name, value in headers:
        text += f"{name}: {value}\r\n"
    if body or method not in ("GET", "DELETE"):
        text += f"Content-Length: {len(body)}\r\n"
    return (text + "\r\n").encode("latin-1") + body


async def call(address, method, target, body=b"", headers=(), timeout=1.0):
    """One request on a new connection; returns (status, headers, body) or the name of the failure."""
    host, port = address.rsplit(":", 1)
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(request_bytes(method, target, body, [("Host", address), *headers]))
            message = await read_message(reader)
        if message is None:
            return "closed"
        return int(message[0].split()[1]), message[1], message[2]
    except TimeoutError:
        return "no answer"
    except (OSError, asyncio.IncompleteReadError, ValueError):
        return "connection failed"
    finally:
        if writer:
            writer.close()


# --- the platform's store --------------------------------------------------------------------------------------------


class Store:
    def __init__(self):
        self.port = fresh_port()
        self.address = f"127.0.0.1:{self.port}"
        self.rows = {}  # (table, part, key) -> (version, base64 text)
        self.history = []  # (version, table, part, key, base64 text or None)
        self.version = 1
        self.changed = asyncio.Event()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port, limit=1 << 22)

    def put(self, table, key, text):
        self.version += 1
        value = base64.b64encode(text.encode()).decode()
        self.rows[(table, "", key)] = (self.version, value)
        self.history.append((self.version, table, "", key, value))
        self.wake()

    def text(self, table, key):
        row = self.rows.get((table, "", key))
        return base64.b64decode(row[1]).decode() if row else None

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def stamp(self):
        return {"Ver": self.version, "NowMs": int(time.monotonic() * 1000)}

    async def serve(self, reader, writer):
        try:
            while message := await read_message(reader):
                method, target, _ = message[0].split()
                status, body = await self.answer(method, target, message[2])
                writer.write(answer_bytes(status, json.dumps(body).encode(), [("Content-Type", "application/json")]))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, method, target, body):
        await asyncio.sleep(0.004)
        from urllib.parse import parse_qsl, urlsplit
        url = urlsplit(target)
        query = dict(parse_qsl(url.query, keep_blank_values=True))
        if url.path == "/rows-tx" and method == "POST":
            return self.transact(json.loads(body))
        if url.path == "/rows-get":
            first = query.get("From", "")
            rows = [{"Table": t, "part": p, "Key": k, "Value": value, "Ver": version}
                    for (t, p, k), (version, value) in sorted(self.rows.items())
                    if t == query["Table"] and p == query.get("part", "") and k >= first]
            return 200, {"Rows": rows, "HasMore": False, **self.stamp()}
        if url.path == "/rows-feed":
            return await self.feed(query)
        return 404, {}

    def transact(self, call):
        current, failed = [], False
        for check in call.get("ExpectedRev", []):
            row = self.rows.get((check["Table"], check.get("part", ""), check["Key"]))
            failed |= (row[0] if row else 0) != check["Ver"]
            if row:
                current.append({"Table": check["Table"], "part": check.get("part", ""), "Key": check["Key"],
                                "Value": row[1], "Ver": row[0]})
        if failed:
            return 412, {"Rows": current, **self.stamp()}
        if call.get("Writes") or call.get("Remove"):
            self.version += 1
            for write in call.get("Writes", []):
                key = (write["Table"], write.get("part", ""), write["Key"])
                self.rows[key] = (self.version, write["Value"])
                self.history.append((self.version, *key, write["Value"]))
            for removal in call.get("Remove", []):
                key = (removal["Table"], removal.get("part", ""), removal["Key"])
                if self.rows.pop(key, None):
                    self.history.append((self.version, *key, None))
            self.wake()
        return 200, self.stamp()

    async def feed(self, query):
        after, end = int(query["after"]), time.monotonic() + int(query.get("WaitMs", 0)) / 1000
        while True:
            rows = [{"Table": t, "part": p, "Key": k, "Ver": version, **({"Value": value} if value else {"Removed": True})}
                    for version, t, p, k, value in self.history if version > after and t == query["Table"]]
            left = end - time.monotonic()
            if rows or left <= 0:
                return 200, {"Rows": rows, **self.stamp()}
            event = self.changed
            try:
                await asyncio.wait_for(event.wait(), left)
            except TimeoutError:
                pass


# --- upstreams -------------------------------------------------------------------------------------------------------


class Upstream:
    """One incarnation of an upstream. Follows "Upstreams", "Service discovery" and "Keys that upstreams hold"."""

    def __init__(self, machine, identity, work_s, record, clock_ms=0):
        self.machine, self.id, self.work_s, self.record = machine, identity, work_s, record
        self.service, self.sharded = machine.service, machine.sharded
        self.born = int(time.time() * 1000) + clock_ms  # by the machine's time of day
        self.sequence = 0
        self.state = "ready"
        self.holds = []  # [from, to, fence, end of the hold]
        self.released = []  # [from, to, handover]
        self.retiring = set()  # keys that are to be released and still at work
        self.working = {}  # request id -> (key, fence, end of the hold)
        self.highest = {}  # (from, to) -> highest fence seen
        self.is_up = False
        self.writers = set()
        self.tasks = set()
        self.runs = []  # (time, request id, key)
        self.last_beat = None
        self.poison = None  # path of a request that crashes the upstream

    # Life

    async def start(self, beats=True):
        host, port = self.machine.upstream.rsplit(":", 1)
        self.server = await asyncio.start_server(self.serve, host, int(port), limit=1 << 22)
        self.is_up = True
        self.record("upstream", self.id, "started, born", self.born)
        if beats:
            self.beat_task = asyncio.create_task(self.beat_loop())
            self.tasks.add(self.beat_task)

    def crash(self):
        """Ends at once, as by SIGKILL: the listener is gone and all connections are reset."""
        if not self.is_up:
            return
        self.is_up = False
        self.holds = []
        self.record("upstream", self.id, "ended")
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        for task in list(self.tasks):
            if task is not asyncio.current_task():
                task.cancel()

    # Heartbeats

    def body(self, **changes):
        self.sequence += 1
        body = {"Service": self.service, "Address": self.machine.upstream, "Zone": self.machine.zone, "Version": "v1",
                "Slots": 12, "State": self.state, "ColdRemainingMs": 0, "Sequence": self.sequence, "born": self.born}
        if self.sharded:
            now = time.monotonic()
            rows = [hold[:3] for hold in self.holds if hold[3] > now]
            rows += [[key, key, fence] for key, fence, end in self.working.values() if end > now
                     and not any(row[0] <= key <= row[1] for row in rows)]
            body["Holds"], body["Released"] = rows, [list(row) for row in self.released]
        body.update(changes)
        return body

    async def beat(self):
        body = self.body()
        sent_released = len(body.get("Released", []))
        sent = time.monotonic()
        answer = await call(self.machine.control, "PUT", f"/instances/{self.id}", json.dumps(body).encode(),
                            [("Content-Type", "application/json")], timeout=1.0)
        if isinstance(answer, str) or answer[0] != 200:
            self.record("beat", self.id, body["State"], "sequence", body["Sequence"], "not acknowledged:",
                        answer if isinstance(answer, str) else answer[0])
            return False
        self.released = self.released[sent_released:]
        reply = json.loads(answer[2] or b"{}")
        self.record("beat", self.id, body["State"], "sequence", body["Sequence"], "holds", body.get("Holds", "-"),
                    "acknowledged:", json.dumps(reply))
        return self.take(reply, sent)

    def take(self, reply, sent):
        """Takes the answer to a heartbeat. Returns whether it has released all that was left out."""
        if "Holds" not in reply or not self.sharded:
            return True
        end = sent + reply["HoldMs"] / 1000
        old, self.holds = self.holds, []
        for first, last, fence, _ in reply["Holds"]:
            if any(low <= last and first <= high and seen > fence for (low, high), seen in self.highest.items()):
                self.record("upstream", self.id, "rejects row", [first, last, fence])
                continue
            self.highest[(first, last)] = max(fence, self.highest.get((first, last), 0))
            self.holds.append([first, last, fence, end])
        for request, (key, fence, _) in self.working.items():
            if held := self.hold_of(key):
                self.working[request] = (key, fence, held[1])
        now = time.monotonic()
        for first, last, fence, until in old:
            if until <= now or any(row[0] <= first and last <= row[1] for row in self.holds):
                continue
            # Keys at work are released when their work has ended.
            busy = {key for key, _, end in self.working.values() if end > now}
            for piece in subtract([first, last], [row[:2] for row in self.holds] + [[key, key] for key in busy]):
                self.release(piece)
            self.retiring |= {key for key in busy if first <= key <= last and not self.hold_of(key)}
        self.retiring = {key for key in self.retiring if not self.hold_of(key)}
        return not self.released and not self.retiring

    def release(self, piece):
        self.released.append([*piece, f"{random.getrandbits(64):016x}"])

    def end_work(self, request):
        entry = self.working.pop(request, None)
        if not entry or any(key == entry[0] for key, _, _ in self.working.values()):
            return
        if entry[0] in self.retiring:
            self.retiring.discard(entry[0])
            if entry[2] > time.monotonic():
                self.release([entry[0], entry[0]])

    async def beat_loop(self):
        while True:
            done = await self.beat()
            await asyncio.sleep(0.1 if not done and (self.released or self.retiring) else HEARTBEAT_S)

    # Requests

    def hold_of(self, key):
        now = time.monotonic()
        for first, last, fence, end in self.holds:
            if first <= key <= last and end > now:
                return fence, end
        return None

    async def serve(self, reader, writer):
        if not self.is_up:
            writer.transport.abort()
            return
        self.writers.add(writer)
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            while message := await read_message(reader):
                writer.write(await self.handle(reader, *message))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            self.tasks.discard(task)
            writer.close()

    async def handle(self, reader, line, headers, body):
        method, target, _ = line.split()
        request = headers.get("x-request-id", "")
        if target == "/healthz":
            return answer_bytes(200, b"", [("X-Instance-Id", self.id)])
        expected = headers.get("x-expected-instance")
        if expected and expected != self.id:
            self.record("upstream", self.id, "answers 421 to", request, "which expects", expected)
            return answer_bytes(421, b"", [("X-Instance-Id", self.id), ("X-Request-Id", request)])
        key = int(headers["x-shard-key"]) if "x-shard-key" in headers else None
        if self.sharded:
            held = self.hold_of(key) if key is not None else None
            if not held:
                self.record("upstream", self.id, "answers 421 to", request, "key", key, "is not held")
                return answer_bytes(421, b"", [("X-Not-Executed", "1"), ("X-Request-Id", request)])
            self.working[request] = (key, *held)
        self.record("upstream", self.id, "begins", request, method, target, "key", key, "caller",
                    headers.get("x-caller-service"))
        self.runs.append((time.monotonic(), request, key))
        if self.poison and target.startswith(self.poison):
            self.record("upstream", self.id, "crashes on", request)
            self.machine.on_crash(self)
            await asyncio.sleep(3600)
        try:
            seconds = self.work_s() if callable(self.work_s) else self.work_s
            await asyncio.sleep(min(seconds, int(headers.get("x-deadline-ms", "60000")) / 1000))
            outlasted = request in self.working and self.working[request][2] <= time.monotonic()
        finally:
            self.end_work(request)
        if outlasted:
            self.record("upstream", self.id, "has outlasted its hold with", request)
            return answer_bytes(500, b"", [("X-Request-Id", request), ("X-Response-Signature", f"sig.{request}")])
        self.record("upstream", self.id, "has run", request)
        text = f"{self.id} ran {request}".encode()
        return answer_bytes(200, text, [("X-Request-Id", request), ("X-Response-Signature", f"sig.{request}")])


def subtract(piece, others):
    """Parts of [first, last] that are in none of the others."""
    parts = [piece]
    for low, high in others:
        out = []
        for first, last in parts:
            if high < first or last < low:
                out.append([first, last])
                continue
            if first < low:
                out.append([first, low - 1])
            if high < last:
                out.append([high + 1, last])
        parts = out
    return parts


class OwnerWatch:
    """Looks every few milliseconds for keys that two upstreams of a service hold or are at work on."""

    def __init__(self, upstreams, record):
        self.upstreams, self.record = upstreams, record
        self.since = {}  # (id, id) -> begin of the present overlap
        self.longest = 0.0
        self.pairs = []  # (first id, second id, begin, end)
        self.given_at_work = []

    async def run(self):
        reported = set()
        while True:
            now = time.monotonic()
            live = [one for one in self.upstreams() if one.is_up and one.sharded]
            for i, one in enumerate(live):
                for two in live[i + 1:]:
                    self.look(one, two, now)
                for two in live:
                    if one is two:
                        continue
                    for request, (key, _, end) in list(one.working.items()):
                        if (request, two.id) in reported or end <= now or not two.hold_of(key):
                            continue
                        reported.add((request, two.id))
                        self.given_at_work.append((one.id, two.id, request, key))
                        self.record("OWNER: upstream", two.id, "is given key", key, "on which", one.id,
                                    "is at work for", request, f"its hold ends in {end - now:.2f} s")
            await asyncio.sleep(0.005)

    def look(self, one, two, now):
        common = [[max(a[0], b[0]), min(a[1], b[1])] for a in one.holds for b in two.holds
                  if a[3] > now and b[3] > now and a[0] <= b[1] and b[0] <= a[1]]
        pair = (one.id, two.id)
        if common:
            if pair not in self.since:
                self.since[pair] = now
                self.record("OWNER: upstreams", one.id, "and", two.id, "both hold", common[:6])
            self.longest = max(self.longest, now - self.since[pair])
        elif pair in self.since:
            begin = self.since.pop(pair)
            self.pairs.append((*pair, begin, now))
            self.record("OWNER: upstreams", one.id, "and", two.id, f"held the same keys for {now - begin:.3f} s")


# --- machines --------------------------------------------------------------------------------------------------------


class Machine:
    """One machine: a node of the project and the upstream beside it."""

    def __init__(self, deployment, name, service, sharded=False, zone="khi-hangar-a"):
        self.deployment, self.name, self.service, self.sharded, self.zone = deployment, name, service, sharded, zone
        self.entry, self.forward, self.ready, self.control, self.metrics, self.upstream = (
            f"127.0.0.1:{fresh_port()}" for _ in range(6))
        self.process = None
        self.starts = 0
        self.on_crash = lambda upstream: upstream.crash()

    def fields(self):
        return {
            "NodeName": self.name, "Zone": self.zone, "Service": self.service, "AppAddr": self.upstream,
            "Platform": {"Address": self.deployment.store.address}, "Ip": self.metrics.rsplit(":", 1)[0],
            "PortRange": [int(self.metrics.rsplit(":", 1)[1])],
            "Listen": {"Outbound": self.entry, "Inbound": self.forward, "Ready": self.ready, "Control": self.control},
            "Bootstrap": self.starts == 0, "HeartbeatMs": int(HEARTBEAT_S * 1000), "Bounds": BOUNDS,
            "Limits": {"LinkMbps": 1000.0},
        }

    def settings(self):
        with open(os.path.join(ROOT, "deploy/node.json.template"), encoding="utf-8") as file:
            template = file.read()

        def value(match):
            found = self.fields()
            for part in match[1].removesuffix("|json").split("."):
                found = found[int(part)] if isinstance(found, list) else found[part]
            return json.dumps(found) if match[1].endswith("|json") else str(found)
        return re.sub(r"\{\{([^}]+)\}\}", value, template)

    def start(self):
        path = os.path.join(self.deployment.folder, f"{self.name}.json")
        with open(path, "w", encoding="utf-8") as file:
            file.write(self.settings())
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as file:
            command = tomllib.load(file)["roles"]["node"]["run"].split()
        self.starts += 1
        with open(os.path.join(self.deployment.folder, f"{self.name}.log"), "ab") as log:
            self.process = subprocess.Popen([os.path.join(ROOT, command[0]), *command[1:]], cwd=ROOT, stdout=log,
                                            stderr=log, env={**os.environ, "HEATHERDRIFT_SETTINGS": path},
                                            preexec_fn=lambda: _libc.prctl(PR_SET_PDEATHSIG, signal.SIGKILL))
        self.started_at = time.monotonic()
        self.deployment.record("node", self.name, "started as process", self.process.pid)

    def signal(self, number):
        self.deployment.record("node", self.name, "gets", signal.Signals(number).name)
        self.process.send_signal(number)

    def resident_mb(self):
        with open(f"/proc/{self.process.pid}/statm", encoding="ascii") as file:
            return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6

    async def limit_memory(self, most_mb, restart_s=0.5):
        """The platform: "A process that exceeds MemoryMb is killed", and it is started again after a short delay."""
        self.memory_kills, self.memory_peak = 0, 0.0
        while True:
            await asyncio.sleep(0.003)
            if self.process.poll() is not None:
                continue
            used = self.resident_mb()
            self.memory_peak = max(self.memory_peak, used)
            if used > most_mb:
                self.memory_kills += 1
                self.deployment.record("node", self.name, f"uses {used:.0f} MB and is killed")
                self.process.kill()
                self.process.wait()
                await asyncio.sleep(restart_s)
                self.start()

    async def ended(self, timeout=10):
        end = time.monotonic() + timeout
        while self.process.poll() is None and time.monotonic() < end:
            await asyncio.sleep(0.01)
        self.deployment.record("node", self.name, "ended with", self.process.poll())
        return self.process.poll() is not None

    async def is_ready(self):
        answer = await call(self.ready, "GET", "/ready", timeout=0.5)
        return not isinstance(answer, str) and answer[0] == 200


class Deployment:
    def __init__(self, script, services):
        """services: list of (machine name, service, whether it is divided by key)."""
        case = os.path.dirname(os.path.abspath(script))
        self.record = Record(case)
        self.folder = tempfile.mkdtemp(prefix="heatherdrift-review-")
        self.store = Store()
        self.machines = [Machine(self, *one) for one in services]
        self.upstreams = []
        self.answers = {}  # request id -> (status or failure, headers, body, time)
        self.sent = {}  # request id -> (time, machine, path, key)
        self.next_id = 0

    def __getitem__(self, name):
        return next(machine for machine in self.machines if machine.name == name)

    async def start(self, routes, services, upstreams):
        """upstreams: machine name -> (id, seconds of work)."""
        await self.store.start()
        resources = [{"ResourceKind": "Routes", "Metadata": {"Name": name}, "Spec": spec} for name, spec in routes]
        resources += [{"ResourceKind": "Services", "Metadata": {"Name": name}, "Spec": spec} for name, spec in services]
        resources.append({"ResourceKind": "Limits", "Metadata": {}, "Spec": {
            "MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}})
        self.store.put("op", "config", json.dumps({"Version": "r1", "Resources": resources}))
        for machine in self.machines:
            machine.start()
        for name, (identity, work) in upstreams.items():
            await self.add_upstream(self[name], identity, work)

    async def add_upstream(self, machine, identity, work_s, beats=True, clock_ms=0):
        upstream = Upstream(machine, identity, work_s, self.record, clock_ms)
        self.upstreams.append(upstream)
        await upstream.start(beats)
        return upstream

    async def wait(self, condition, timeout, what):
        end = time.monotonic() + timeout
        while not condition():
            if time.monotonic() > end:
                raise CannotRun(what)
            await asyncio.sleep(0.02)

    async def wait_ready(self, timeout=15):
        end = time.monotonic() + timeout
        for machine in self.machines:
            while not await machine.is_ready():
                if machine.process.poll() is not None:
                    raise CannotRun(f"node {machine.name} has ended")
                if time.monotonic() > end:
                    raise CannotRun(f"node {machine.name} is not ready")
                await asyncio.sleep(0.05)

    async def request(self, machine, path, method="GET", key=None, deadline_ms=2500, body=b"", note=""):
        """One client attempt on a new connection. Returns its id."""
        self.next_id += 1
        request = f"c{self.next_id:05d}"
        headers = [("Host", HOST), ("X-Request-Id", request), ("X-Deadline-Ms", str(deadline_ms))]
        if key is not None:
            headers.append(("X-Shard-Key", str(key)))
        self.sent[request] = (time.monotonic(), machine.name, path, key)
        self.record("client sends", request, method, path, "key", key, "to", machine.name, note)
        host, port = machine.entry.rsplit(":", 1)
        writer, outcome = None, "no answer"
        try:
            async with asyncio.timeout(deadline_ms / 1000):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(request_bytes(method, path, body, headers))
                message = await read_message(reader)
            outcome = "closed" if message is None else (int(message[0].split()[1]), message[1], message[2])
        except TimeoutError:
            pass
        except (OSError, asyncio.IncompleteReadError, ValueError):
            outcome = "connection failed"
        finally:
            if writer:
                writer.close()
        self.answers[request] = (outcome, time.monotonic())
        if isinstance(outcome, str):
            self.record("client gets for", request, outcome)
        else:
            signature = outcome[1].get("x-response-signature")
            self.record("client gets for", request, outcome[0], "signature", signature, "retry-after",
                        outcome[1].get("retry-after"), outcome[2][:80])
        return request

    def stop(self):
        for upstream in self.upstreams:
            if upstream.is_up:
                upstream.crash()
        for machine in self.machines:
            if machine.process and machine.process.poll() is None:
                machine.process.kill()
                machine.process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


class CannotRun(Exception):
    pass


def main(scenario, make):
    """Runs a scenario and exits with 1 if it returns broken rules, 0 if none, 2 if it could not run."""
    async def run():
        deployment = make()
        try:
            async with asyncio.timeout(110):
                return deployment, await scenario(deployment)
        finally:
            deployment.stop()

    def end(*_):
        raise SystemExit(2)

    signal.signal(signal.SIGTERM, end)
    try:
        deployment, broken = asyncio.run(run())
    except Exception as reason:  # Any failure of the stand-ins says nothing about the rule.
        traceback.print_exc()
        print("could not run:", reason or "time limit")
        sys.exit(2)
    for text in broken:
        print("broken:", text)
        deployment.record("RULE BROKEN:", text)
    if not broken:
        print("the rule held")
        deployment.record("the rule held")
    sys.exit(1 if broken else 0)
