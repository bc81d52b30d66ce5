"""Starts a small mesh of plain processes on loopback: stand-ins, backend servers and nodes.

Used by scripts/demo, scripts/bench and the fault checks. Every process that is started here is ended here, by its id.
"""

import http.client
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))


class Shape:
    """Pools and availability zones of a deployment. pools: name -> (backend servers, labels, slots)."""

    def __init__(self, name, zones, pools, configuration):
        self.name = name
        self.zones = zones
        self.pools = pools
        self.configuration = configuration


SHAPES = {
    "indus": Shape("indus", 3, {"records": (6, 12), "findings": (5, 12), "media": (3, 12)},
                   "examples/indus/configuration.json"),
    "gelo-seco": Shape("gelo-seco", 4, {"stock": (4, 17), "orders": (4, 17), "documents": (4, 17)},
                       "examples/gelo-seco/configuration.json"),
}


# Below the range from which the kernel takes the ports of outgoing connections (net.ipv4.ip_local_port_range):
# otherwise a connection of a process that is already running can take a port before its listener is bound.
FIRST_PORT, LAST_PORT = 10000, 32000
_next_port = random.randrange(FIRST_PORT, LAST_PORT)


def free_ports(count):
    """Ports that were free a moment ago, each given out once."""
    global _next_port
    ports = []
    while len(ports) < count:
        _next_port = _next_port + 1 if _next_port < LAST_PORT else FIRST_PORT
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", _next_port))
            except OSError:
                continue
            ports.append(_next_port)
    return ports


def call(address, method, target, body=None, headers=None, timeout=10):
    """One HTTP request; returns (status, headers, body bytes)."""
    host, port = address.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        data = json.dumps(body) if isinstance(body, (dict, list)) else body
        connection.request(method, target, data, headers or {})
        answer = connection.getresponse()
        return answer.status, {name.lower(): value for name, value in answer.getheaders()}, answer.read()
    finally:
        connection.close()


class Instance:
    """One instance: a backend server and the node beside it."""

    def __init__(self, mesh, name, zone, pool, slots, region="region-1"):
        self.mesh, self.name, self.zone, self.pool, self.slots, self.region = mesh, name, zone, pool, slots, region
        ports = free_ports(6)
        self.entry, self.forward, self.control, self.admin, self.backend, self.backend_control = (
            f"127.0.0.1:{port}" for port in ports)
        self.node_process = None
        self.backend_process = None

    def settings(self):
        return {
            "instance_id": self.name, "availability_zone": self.zone, "region": self.region,
            "listeners": {"entry": self.entry, "forward": self.forward, "control": self.control, "admin": self.admin},
            "table_service": [self.mesh.table],
            **self.mesh.node_settings,
        }

    def start_backend(self, *flags):
        self.backend_process = self.mesh.run(
            f"{self.name}.backend", "src/standin/heatherdrift-standin", "backend", f"--listen={self.backend}",
            f"--control={self.backend_control}", f"--announce_to={self.admin}",
            f"--labels=pool={self.pool}", f"--slots={self.slots}", "--checks_grants=true", *flags)

    def start_node(self):
        path = os.path.join(self.mesh.directory, f"{self.name}.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(self.settings(), file)
        self.node_process = self.mesh.run(f"{self.name}.node", "src/node/heatherdriftd", f"--settings={path}")

    def status(self):
        return json.loads(call(self.admin, "GET", "/v1/status")[2])

    def metrics(self):
        """Samples of GET /metrics by name with labels."""
        lines = call(self.admin, "GET", "/metrics")[2].decode().splitlines()
        return {name: float(value) for name, value in (line.rsplit(" ", 1) for line in lines if line[:1] not in "#")}

    def journal(self):
        """Executions of the backend server stand-in."""
        return json.loads(call(self.backend_control, "GET", "/journal", timeout=60)[2])["executions"]

    def is_running(self):
        return self.node_process is not None and self.node_process.poll() is None

    def terminate(self):
        """Starts a drain: the node hands over, finishes its streams and exits."""
        self.node_process.send_signal(signal.SIGTERM)

    def pause(self):
        self.node_process.send_signal(signal.SIGSTOP)

    def resume(self):
        self.node_process.send_signal(signal.SIGCONT)

    def lose(self):
        """As kill(), but the backend server is only stopped, so that its journal can be read after resume_backend()."""
        self.node_process.kill()
        self.backend_process.send_signal(signal.SIGSTOP)
        self.node_process.wait()

    def resume_backend(self):
        self.backend_process.send_signal(signal.SIGCONT)

    def kill(self):
        """Ends the node and the backend server at once, as the loss of the machine would."""
        for process in (self.node_process, self.backend_process):
            if process and process.poll() is None:
                process.kill()
                process.wait()


class Mesh:
    def __init__(self, shape, build="build", backend_flags=(), node_settings=None, table_flags=()):
        self.shape = SHAPES[shape] if isinstance(shape, str) else shape
        self.build = os.path.join(ROOT, build)
        self.directory = tempfile.mkdtemp(prefix="heatherdrift-")
        self.processes = []
        self.backend_flags = backend_flags
        self.node_settings = node_settings or {}
        self.table_flags = table_flags
        ports = free_ports(2)
        self.table, self.table_control = (f"127.0.0.1:{port}" for port in ports)
        self.instances = []
        index = 0
        for pool, (count, slots) in self.shape.pools.items():
            for number in range(1, count + 1):
                zone = f"zone-{index % self.shape.zones + 1}"
                self.instances.append(Instance(self, f"{pool}-{number}", zone, pool, slots))
                index += 1

    def run(self, log, program, *arguments):
        with open(os.path.join(self.directory, f"{log}.log"), "ab") as output:
            process = subprocess.Popen([os.path.join(self.build, program), *arguments], stdout=output, stderr=output)
        self.processes.append(process)
        return process

    def start_table(self):
        return self.run("table", "src/standin/heatherdrift-standin", "table-store", f"--listen={self.table}",
                        f"--control={self.table_control}", *self.table_flags)

    def start(self):
        self.start_table()
        for instance in self.instances:
            instance.start_node()
            instance.start_backend(*self.backend_flags)

    def apply(self, path=None, node=None, timeout=30):
        """Applies the shape's configuration and waits until it is in force everywhere."""
        with open(os.path.join(ROOT, path or self.shape.configuration), encoding="utf-8") as file:
            document = json.load(file)
        node = node or self.instances[0]
        self.wait(lambda: node.status()["is_registered"], timeout)
        version = json.loads(call(node.admin, "GET", "/v1/configuration")[2])["version"]
        status, _, body = call(node.admin, "PUT", "/v1/configuration",
                               {"base_version": version, "configuration": document})
        if status != 200:
            raise RuntimeError(f"configuration was refused: {body.decode()}")
        return json.loads(body)["version"]

    def partitions(self, pool, node=None):
        status, _, body = call((node or self.instances[0]).admin, "GET", f"/v1/partitions?pool={pool}")
        return json.loads(body)["partitions"] if status == 200 else []

    def owners(self, pool, node=None):
        """Partition -> (owner, epoch)."""
        return {entry["partition"]: (entry["owner"], entry["epoch"]) for entry in self.partitions(pool, node)}

    def keys_by_partition(self, pool, node=None):
        """One key of each partition."""
        node = node or self.instances[0]
        count = len(self.partitions(pool, node))
        keys = {}
        number = 0
        while len(keys) < count and number < 100 * count:
            key = f"probe-{number}"
            status, _, body = call(node.admin, "GET", f"/v1/owner?pool={pool}&key={key}")
            if status == 200:
                keys.setdefault(json.loads(body)["partition"], key)
            number += 1
        return keys

    def of_pool(self, pool):
        return [instance for instance in self.instances if instance.pool == pool]

    def table_faults(self, faults):
        status, _, body = call(self.table_control, "PUT", "/faults", faults)
        if status != 200:
            raise RuntimeError(f"faults were refused: {body.decode()}")

    def wait_ready(self, timeout=60):
        """Until every partition of every pool has an owner in the view of every node."""
        def ready():
            for instance in self.instances:
                if not instance.is_running():
                    # Positive: the node gave up by itself, as it does if it cannot bind its listeners.
                    if instance.node_process and instance.node_process.poll() > 0:
                        raise RuntimeError(f"node {instance.name} ended, see {self.directory}")
                    continue
                if not instance.status()["has_lease"]:
                    return False
                for pool in self.shape.pools:
                    partitions = self.partitions(pool, instance)
                    if not partitions or any(not entry["owner"] for entry in partitions):
                        return False
            return True
        self.wait(ready, timeout)

    @staticmethod
    def wait(condition, timeout, interval=0.05):
        end = time.monotonic() + timeout
        while True:
            try:
                if condition():
                    return
            except (OSError, ValueError, http.client.HTTPException):
                pass
            if time.monotonic() >= end:
                raise TimeoutError("the expected state was not reached")
            time.sleep(interval)

    def stop(self):
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            process.wait()

    def __enter__(self):
        # Without a handler, SIGTERM ends the script without __exit__, and the mesh's processes go on.
        signal.signal(signal.SIGTERM, self._terminated)
        return self

    @staticmethod
    def _terminated(*_):
        # timeout(1) sends the signal twice; the second one would interrupt __exit__.
        signal.signal(signal.SIGTERM, signal.SIG_IGN)
        sys.exit(128 + signal.SIGTERM)

    def __exit__(self, *_):
        self.stop()
