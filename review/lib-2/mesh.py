"""Stand-ins of the platform for the cases of review 2, and a small deployment made of them.

Everything runs on loopback: each machine has a loopback address of its own, and all machines use the same ports, as
on the platform. The node is the project's own program, started with the command of the deploy file and with settings
rendered from its template. Store, upstreams and clients are threads of the script and follow PROTOCOL.md.
"""

import base64
import collections
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
import threading
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2

# The values that `fleetbench wire SITE` prints for iarc-mesh.
BOUNDS = {"DrainMs": 2000, "HoldMaxMs": 10000, "GraceS": 6, "RetryBudgetRatio": 0.2, "StableWindowMs": 3000}
MEMORY_MB = 260
HEARTBEAT_MS = 870
LINK_MBPS = 1000.0
LIMITS = {"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}


class CannotRun(Exception):
    """The case could not be played; says nothing about the rule."""


class Record:
    """record.txt: what was sent, answered and run, with the seconds since the start of the script."""

    def __init__(self, folder):
        self.started = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.lock = threading.Lock()

    def now(self):
        return time.monotonic() - self.started

    def line(self, text):
        with self.lock:
            self.file.write(f"{self.now():8.3f} {text}\n")
            self.file.flush()


class HeadError(Exception):
    pass


class Reader:
    """HTTP/1.1 messages from a socket."""

    def __init__(self, sock):
        self.sock, self.buffer = sock, b""

    def _more(self):
        data = self.sock.recv(65536)
        if not data:
            raise EOFError
        self.buffer += data

    def head(self):
        """First line and headers (lower case names); None at an orderly end between two messages."""
        while b"\r\n\r\n" not in self.buffer:
            try:
                self._more()
            except EOFError:
                if self.buffer:
                    raise
                return None
        head, self.buffer = self.buffer.split(b"\r\n\r\n", 1)
        lines = head.decode("latin-1").split("\r\n")
        headers = {}
        for line in lines[1:]:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
        return lines[0], headers

    def take(self, size, keep=True):
        if not keep:
            size -= len(self.buffer)
            self.buffer = b"" if size >= 0 else self.buffer[size:]
            while size > 0:
                size -= len(self.sock.recv(min(size, 1 << 20)) or self._end())
            return b""
        while len(self.buffer) < size:
            self._more()
        data, self.buffer = self.buffer[:size], self.buffer[size:]
        return data

    @staticmethod
    def _end():
        raise EOFError

    def line(self):
        while b"\r\n" not in self.buffer:
            self._more()
        line, self.buffer = self.buffer.split(b"\r\n", 1)
        return line

    def body(self, headers, keep=True, until_close=False):
        if headers.get("transfer-encoding", "").lower() == "chunked":
            parts = []
            while size := int(self.line().split(b";")[0], 16):
                parts.append(self.take(size))
                self.line()
            while self.line():
                pass
            return b"".join(parts)
        if "content-length" in headers:
            return self.take(int(headers["content-length"]), keep)
        if not until_close:
            return b""
        while True:
            try:
                self._more()
            except EOFError:
                data, self.buffer = self.buffer, b""
                return data


def message(first, headers, body=b""):
    lines = [first] + [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Server:
    """Accepts connections; handle(method, target, headers, body, connection) is called in a thread for each."""

    def __init__(self, address):
        self.address = address
        self.listener = socket.create_server(address, backlog=512, reuse_port=False)
        self.connections = set()
        self.is_closed = False
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.connections.add(sock)
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock):
        reader = Reader(sock)
        try:
            while head := reader.head():
                method, target, _ = head[0].split(" ", 2)
                if not self.handle(method, target, head[1], reader, sock):
                    break
        except (OSError, EOFError, ValueError):
            pass
        finally:
            self.connections.discard(sock)
            try:
                sock.close()
            except OSError:
                pass

    def handle(self, method, target, headers, reader, sock):
        raise NotImplementedError

    def close(self):
        """As the end of the process: the port refuses connections, and open ones are reset or closed."""
        self.is_closed = True
        try:
            self.listener.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.listener.close()
        for sock in list(self.connections):
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


def query(target):
    from urllib.parse import parse_qsl, urlsplit
    parts = urlsplit(target)
    return parts.path, dict(parse_qsl(parts.query, keep_blank_values=True))


class Store(Server):
    """The platform's metadata store. `fault`, if set, is asked for each rows-tx: None, or seconds after which the
    transaction is applied without an answer (its connection is closed at once)."""

    ANSWER_S = 0.004
    HISTORY = 20000

    def __init__(self, address, record):
        self.record = record
        self.rows, self.version, self.feed = {}, 0, collections.deque(maxlen=self.HISTORY)
        self.changed = threading.Condition()
        self.fault = lambda call: None
        self.mode = lambda peer: "up"  # "up", "busy" (503), "silent"
        self.log = []  # (seconds, Ver, Table, Key, value or None)
        super().__init__(address)

    def put(self, table, key, value):
        """A write by the operator or an upstream."""
        with self.changed:
            self._write(table, "", key, base64.b64encode(value).decode(), self.version + 1)
            self.version += 1
            self.changed.notify_all()

    def value(self, table, key):
        with self.changed:
            row = self.rows.get((table, "", key))
            return base64.b64decode(row[1]) if row else None

    def _write(self, table, part, key, value, version):
        if value is None:
            if self.rows.pop((table, part, key), None) is None:
                return
        else:
            self.rows[(table, part, key)] = (version, value)
        self.feed.append((version, table, part, key, value))
        self.log.append((self.record.now(), version, table, key, base64.b64decode(value) if value else None))

    def _row(self, name):
        version, value = self.rows[name]
        return {"Table": name[0], "part": name[1], "Key": name[2], "Value": value, "Ver": version}

    def transact(self, call):
        with self.changed:
            checked = [(e["Table"], e.get("part", ""), e["Key"]) for e in call.get("ExpectedRev", [])]
            for name, entry in zip(checked, call.get("ExpectedRev", [])):
                if self.rows.get(name, (0,))[0] != entry["Ver"]:
                    return 412, {"Rows": [self._row(n) for n in checked if n in self.rows], "Ver": self.version,
                                 "NowMs": int(time.monotonic() * 1000)}
            version = self.version + 1
            for e in call.get("Writes", []):
                self._write(e["Table"], e.get("part", ""), e["Key"], e["Value"], version)
            for e in call.get("Remove", []):
                self._write(e["Table"], e.get("part", ""), e["Key"], None, version)
            self.version = version
            self.changed.notify_all()
            return 200, {"Ver": version, "NowMs": int(time.monotonic() * 1000)}

    def handle(self, method, target, headers, reader, sock):
        body = reader.body(headers)
        mode = self.mode(sock.getpeername()[0])
        if mode == "silent":
            time.sleep(60)
            return False
        if mode == "busy":
            return self._answer(sock, 503, {})
        path, fields = query(target)
        time.sleep(self.ANSWER_S)
        if path == "/rows-tx":
            call = json.loads(body)
            late = self.fault(call)
            if late is not None:
                threading.Timer(late, self.transact, [call]).start()
                return False
            return self._answer(sock, *self.transact(call))
        if path == "/rows-get":
            with self.changed:
                names = sorted(n for n in self.rows if n[0] == fields["Table"] and n[1] == fields.get("part", "")
                               and n[2] >= fields.get("From", ""))
                rows = [self._row(n) for n in names[:500]]
                answer = {"Rows": rows, "HasMore": len(names) > 500, "Ver": self.version,
                          "NowMs": int(time.monotonic() * 1000)}
            return self._answer(sock, 200, answer)
        if path == "/rows-feed":
            return self._answer(sock, 200, self._wait(fields["Table"], int(fields["after"]), int(fields["WaitMs"])))
        return self._answer(sock, 404, {})

    def _wait(self, table, after, wait_ms):
        until = time.monotonic() + min(wait_ms, 30000) / 1000
        with self.changed:
            while True:
                found = {}
                for version, name, part, key, value in reversed(self.feed):
                    if version <= after:
                        break
                    if name == table and (part, key) not in found:
                        found[(part, key)] = (version, value)
                left = until - time.monotonic()
                if found or left <= 0 or self.is_closed:
                    rows = [{"Table": table, "part": part, "Key": key, "Ver": version,
                             **({"Value": value} if value is not None else {"Removed": True})}
                            for (part, key), (version, value) in found.items()]
                    rows.sort(key=lambda row: row["Ver"])
                    return {"Rows": rows, "Ver": self.version, "NowMs": int(time.monotonic() * 1000)}
                self.changed.wait(left)

    def _answer(self, sock, status, document):
        body = json.dumps(document).encode()
        sock.sendall(message(f"HTTP/1.1 {status} -", {"Content-Type": "application/json",
                                                     "Content-Length": len(body)}, body))
        return True


class Upstream(Server):
    """A sound upstream. `work(headers)` says how many seconds a request takes; runs are kept in `runs`."""

    def __init__(self, machine, identity=None, work=0.05, sharded=False, slots=12, born=None):
        self.machine, self.record = machine, machine.mesh.record
        self.identity = identity or f"i-{random.randrange(1 << 32):08x}"
        self.born = int(time.time() * 1000) if born is None else born
        self.work_s, self.sharded, self.slots = work, sharded, slots
        self.runs = []  # (seconds, request id, method, target, caller service, body size)
        self.holds, self.released, self.sequence, self.state = {}, [], 0, "ready"
        self.lock = threading.Lock()
        self.is_beating = True
        self.hold_log = []  # (seconds, event, rows)
        super().__init__((machine.ip, machine.ports["AppAddr"]))
        threading.Thread(target=self._beat_forever, daemon=True).start()

    # Requests

    def work(self, headers):
        return self.work_s

    def answer(self, headers, body):
        return b"answer to " + headers.get("x-request-id", "").encode()

    def may_run(self, headers):
        expected = headers.get("x-expected-instance")
        if expected is not None and expected != self.identity:
            return 421
        key = headers.get("x-shard-key")
        if self.sharded and key is not None:
            with self.lock:
                if not any(low <= int(key) <= high and time.monotonic() < end
                           for (low, high), (_, end) in self.holds.items()):
                    return 421
        return 200

    def handle(self, method, target, headers, reader, sock):
        size = int(headers.get("content-length", 0))
        body = reader.body(headers, keep=size < 1 << 20)
        identity = headers.get("x-request-id", "")
        if (status := self.may_run(headers)) != 200:
            sock.sendall(message(f"HTTP/1.1 {status} -", {"X-Request-Id": identity, "X-Not-Executed": "1",
                                                         "X-Instance-Id": self.identity, "Content-Length": 0}))
            return True
        self.runs.append((self.record.now(), identity, method, target, headers.get("x-caller-service"),
                          max(size, len(body))))
        self.record.line(f"run at {self.machine.name} {self.identity}: {identity} {method} {target} "
                         f"body={max(size, len(body))}")
        time.sleep(self.work(headers))
        answer = self.answer(headers, body)
        sock.sendall(message("HTTP/1.1 200 OK", {"X-Request-Id": identity,
                                                 "X-Response-Signature": f"s.{self.identity}.{len(answer)}",
                                                 "Content-Length": len(answer)}, answer))
        return True

    # Heartbeats

    def beat_body(self):
        with self.lock:
            self.sequence += 1
            now = time.monotonic()
            self.holds = {keys: hold for keys, hold in self.holds.items() if now < hold[1]}
            body = {"Service": self.machine.service, "Address": f"{self.machine.ip}:{self.machine.ports['AppAddr']}",
                    "Zone": self.machine.zone, "Version": "v1", "Slots": self.slots, "State": self.state,
                    "ColdRemainingMs": 0, "Sequence": self.sequence, "born": self.born}
            if self.sharded:
                body["Holds"] = [[low, high, fence] for (low, high), (fence, _) in sorted(self.holds.items())]
                body["Released"] = list(self.released)
            return body

    def beat(self):
        """One heartbeat; returns whether keys were released."""
        body, sent = self.beat_body(), time.monotonic()
        reported = len(self.released)
        status, _, answer = call(self.machine.address("Control"), "PUT", f"/instances/{self.identity}",
                                 {"Content-Type": "application/json"}, json.dumps(body).encode(), timeout=1)
        if status != 200:
            return False
        del self.released[:reported]
        grant = json.loads(answer or b"{}")
        return self._take(grant, sent) if "Holds" in grant else False

    def _take(self, grant, sent):
        with self.lock:
            before = {keys: hold for keys, hold in self.holds.items() if time.monotonic() < hold[1]}
            end = sent + grant.get("HoldMs", 0) / 1000
            self.holds = {(low, high): (fence, end) for low, high, fence, _ in grant["Holds"]}
            left = [keys for keys in before if not any(low <= keys[0] and keys[1] <= high for low, high in self.holds)]
            self.released += [[low, high, f"{random.randrange(1 << 64):016x}"] for low, high in left]
            rows = [(low, high, fence) for (low, high), (fence, _) in sorted(self.holds.items())]
        self.hold_log.append((self.record.now(), rows, end - time.monotonic()))
        return bool(left)

    def _beat_forever(self):
        while not self.is_closed:
            if self.is_beating:
                try:
                    if self.beat():
                        time.sleep(0.05)
                        continue
                except (OSError, EOFError, TypeError, ValueError):
                    pass
            time.sleep(HEARTBEAT_MS / 1000)

    def leave(self):
        """DELETE /instances/ID; returns the status, or 0 without an answer within a second."""
        try:
            return call(self.machine.address("Control"), "DELETE", f"/instances/{self.identity}", {}, timeout=1)[0]
        except (OSError, EOFError, TypeError):
            return 0


def call(address, method, target, headers, body=b"", timeout=10.0, source=None):
    """One request on a connection of its own: (status, headers, body)."""
    with socket.create_connection(address, timeout, source_address=(source, 0) if source else None) as sock:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return exchange(sock, method, target, headers, body)


def exchange(sock, method, target, headers, body=b""):
    fields = {"Host": "node", **headers}
    if body or method not in ("GET", "DELETE"):
        fields["Content-Length"] = len(body)
    sock.sendall(message(f"{method} {target} HTTP/1.1", fields, body))
    reader = Reader(sock)
    head = reader.head()
    if head is None:
        raise EOFError
    return int(head[0].split(" ")[1]), head[1], reader.body(head[1], until_close=True)


class Machine:
    """One `sidecar` machine: its node, run as the deploy file says, and its upstream."""

    def __init__(self, mesh, index, name, zone, service, memory_mb=MEMORY_MB):
        self.mesh, self.name, self.zone, self.service = mesh, name, zone, service
        self.ip, self.ports, self.memory_mb = f"127.77.{mesh.number}.{index}", mesh.ports, memory_mb
        self.process, self.upstream, self.starts = None, None, 0
        self.settings_path = os.path.join(mesh.folder, f"{name}.json")

    def address(self, listener):
        return self.ip, self.ports[listener]

    def fields(self):
        """The settings of DEPLOY.md that the template uses."""
        flat = {"NodeName": self.name, "Zone": self.zone, "Service": self.service, "Ip": self.ip,
                "Bootstrap": self.mesh.is_first_start, "HeartbeatMs": HEARTBEAT_MS,
                "AppAddr": f"{self.ip}:{self.ports['AppAddr']}", "PortRange.0": self.ports["First"],
                "PortRange.1": self.ports["First"], "Platform.Address": "%s:%d" % self.mesh.store.address,
                "Limits.LinkMbps": LINK_MBPS, "Limits.MemoryMb": self.memory_mb, "Limits.MaxFds": 4100}
        flat.update({f"Bounds.{name}": value for name, value in BOUNDS.items()})
        for listener in ("Outbound", "Inbound", "Ready", "Control"):
            flat[f"Listen.{listener}"] = f"{self.ip}:{self.ports[listener]}"
        return flat

    def render(self):
        fields = self.fields()

        def value(match):
            name, _, form = match.group(1).partition("|")
            if name not in fields:
                raise CannotRun(f"the template names {name}, which this stand-in of the platform does not know")
            return json.dumps(fields[name]) if form == "json" else str(fields[name])

        with open(os.path.join(ROOT, self.mesh.role["template"]), encoding="utf-8") as file:
            text = re.sub(r"\{\{([^{}]+)\}\}", value, file.read())
        with open(self.settings_path, "w", encoding="utf-8") as file:
            file.write(text)

    def start(self):
        self.render()
        self.starts += 1
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["HEATHERDRIFT_SETTINGS"] = self.settings_path
        command = self.mesh.role["run"].split(" ")
        if not os.path.exists(os.path.join(ROOT, command[0])):
            raise CannotRun(f"{command[0]} is not built")
        with self.mesh.starting, open(os.path.join(self.mesh.folder, f"{self.name}.log"), "ab") as output:
            if self.mesh.is_closed:
                return
            self.process = subprocess.Popen(command, cwd=ROOT, env=environment, stdout=output, stderr=output)
        self.mesh.record.line(f"start of the node on {self.name}, process {self.process.pid}")

    def signal(self, number):
        self.mesh.record.line(f"{signal.Signals(number).name} to the node on {self.name}")
        self.process.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.process.wait()

    def is_ready(self):
        try:
            return call(self.address("Ready"), "GET", "/ready", {}, timeout=1)[0] == 200
        except (OSError, EOFError):
            return False

    def resident_mb(self):
        """Memory of the node in use; None if it does not run."""
        try:
            with open(f"/proc/{self.process.pid}/status", encoding="ascii") as file:
                return int(re.search(r"VmRSS:\s+(\d+) kB", file.read()).group(1)) / 1024
        except (OSError, AttributeError):
            return None

    def request(self, method, target, host, identity, deadline_ms, body=b"", key=None, timeout=None, headers=()):
        """A client of this machine sends one request on a new connection: (status or 0, headers, body)."""
        fields = {"Host": host, "X-Request-Id": identity, "X-Deadline-Ms": deadline_ms, **dict(headers)}
        if key is not None:
            fields["X-Shard-Key"] = key
        record = self.mesh.record
        record.line(f"sent to {self.name}: {identity} {method} {target}" + (f" key={key}" if key is not None else ""))
        try:
            answer = call(self.address("Outbound"), method, target, fields, body,
                          timeout or deadline_ms / 1000 + 1, source=self.ip)
        except (OSError, EOFError, ValueError) as reason:
            answer = 0, {}, b""
            record.line(f"no answer: {identity} ({type(reason).__name__})")
        else:
            record.line(f"answer: {identity} {answer[0]} bytes={len(answer[2])}")
        return answer


class Mesh:
    """A small deployment. services: name -> (number of machines, sharded)."""

    ZONES = ("khi-hangar-a", "khi-hangar-b", "khi-apron")

    def __init__(self, folder, services, store=Store):
        self.record = Record(folder)
        self.starting, self.is_closed = threading.Lock(), False
        self.folder = tempfile.mkdtemp(prefix="review-2-")
        self.number = random.randrange(1, 250)
        self.ports = self._free_ports()
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            self.role = next(iter(tomllib.load(file)["roles"].values()))
        self.is_first_start = True
        self.store = store((f"127.77.{self.number}.250", self.ports["Store"]), self.record)
        self.services = services
        self.machines = []
        for service, (count, _) in services.items():
            for _ in range(count):
                index = len(self.machines) + 1
                zone = self.ZONES[index % len(self.ZONES)]
                self.machines.append(Machine(self, index, f"sidecar-{zone}-{index}", zone, service))
        self.config_version = 0

    def _free_ports(self):
        """Ports below the range of outgoing connections that are free on all loopback addresses."""
        names = ("Outbound", "Inbound", "Ready", "Control", "AppAddr", "Store", "First")
        ports = {}
        while len(ports) < len(names):
            port = random.randrange(11000, 32000)
            try:
                with socket.create_server((f"127.77.{self.number}.250", port)):
                    pass
            except OSError:
                continue
            if port not in ports.values():
                ports[names[len(ports)]] = port
        return ports

    def of(self, service):
        return [machine for machine in self.machines if machine.service == service]

    def configure(self, routes, limits=LIMITS):
        """routes: (name, Host, Prefix, Type, Service, TimeoutMs, Attempts)."""
        self.config_version += 3
        resources = [{"ResourceKind": "Routes", "Metadata": {"Name": name},
                      "Spec": {"Host": host, "Prefix": prefix, "Type": kind, "TimeoutMs": timeout,
                               "TargetLatencyMs": timeout // 2, "Priority": 1, "Service": service,
                               "Attempts": attempts}}
                     for name, host, prefix, kind, service, timeout, attempts in routes]
        for service, (_, sharded) in self.services.items():
            spec = {"HealthPath": "/healthz", "MaxConnections": 130, "Protocol": "h1", "Tls": False}
            if sharded:
                spec.update({"Sharded": True, "WarmupS": 2.0, "Grants": "heartbeat"})
            resources.append({"ResourceKind": "Services", "Metadata": {"Name": service}, "Spec": spec})
        resources.append({"ResourceKind": "Limits", "Metadata": {}, "Spec": limits})
        self.store.put("op", "config",
                       json.dumps({"Version": f"r{self.config_version}", "Resources": resources}).encode())
        self.record.line(f"configuration r{self.config_version} is acknowledged by the store")

    def start(self, upstream=Upstream, **options):
        for machine in self.machines:
            machine.start()
            machine.upstream = upstream(machine, sharded=self.services[machine.service][1], **options)
        self.wait(lambda: all(machine.is_ready() for machine in self.machines), 20, "all nodes are ready")
        self.is_first_start = False

    def wait(self, condition, seconds, what):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if condition():
                return
            time.sleep(0.05)
        raise CannotRun(f"not within {seconds} s: {what}")

    def logs(self, machine):
        with open(os.path.join(self.folder, f"{machine.name}.log"), encoding="utf-8", errors="replace") as file:
            return file.read()

    def close(self):
        with self.starting:
            self.is_closed = True
        for machine in self.machines:
            if machine.process and machine.process.poll() is None:
                machine.process.send_signal(signal.SIGCONT)
                machine.process.kill()
                machine.process.wait()
            if machine.upstream:
                machine.upstream.close()
        self.store.close()
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def play(folder, services, case, **options):
    """Runs case(mesh) -> findings, and exits as the issue says. Ends all nodes that were started, also on SIGTERM."""
    def give_up(*_):
        raise CannotRun("ended by SIGTERM")

    signal.signal(signal.SIGTERM, give_up)
    mesh, status = None, NOT_RUN
    try:
        mesh = Mesh(folder, services, **options)
        findings = case(mesh)
        for finding in findings:
            mesh.record.line(f"BROKEN: {finding}")
            print(f"broken: {finding}")
        if not findings:
            mesh.record.line("the rule held")
            print("held")
        status = BROKEN if findings else HELD
    except Exception as reason:  # pylint: disable=broad-except
        print(f"could not run: {type(reason).__name__}: {reason}")
        if mesh:
            mesh.record.line(f"could not run: {type(reason).__name__}: {reason}")
    finally:
        signal.signal(signal.SIGTERM, signal.SIG_IGN)
        if mesh:
            mesh.close()
        sys.stdout.flush()
        os._exit(status)
