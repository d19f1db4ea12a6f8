"""Starts a small fleet on loopback: stand-ins, routers and their configuration.

Used by the programs in utils/ that run real processes. Terminates only processes
that it started, by process id.
"""

import hashlib
import http.client
import json
import os
import random
import signal
import socket
import subprocess
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
OPERATOR_TOKEN = "operator-token"


def sha256(text):
    return hashlib.sha256(text.encode()).hexdigest()


# Below the kernel's ephemeral port range, so that no outgoing connection takes
# the port of a process that is about to restart.
LISTEN_PORTS = range(15000, 32000)
allocated_ports = set()


def free_port():
    while True:
        port = random.SystemRandom().choice(LISTEN_PORTS)
        if port in allocated_ports:
            continue
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
                allocated_ports.add(port)
                return port
            except OSError:
                continue


def boot_time_ns():
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME)


def read_events(path):
    """Returns the events of a history or log, up to the first incomplete line."""
    events = []
    with open(path) as file:
        for line in file:
            if not line.endswith("\n"):
                break
            event = json.loads(line)
            event.setdefault("at", event.get("time_ns"))
            events.append(event)
    return events


def call(port, method, path, body=None, headers=None, timeout=30):
    """Sends one request and returns (status, headers, body)."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    try:
        connection.request(method, path, body=body, headers=headers or {})
        answer = connection.getresponse()
        return answer.status, dict(answer.getheaders()), answer.read()
    finally:
        connection.close()


def call_json(port, method, path, body=None, headers=None, timeout=30):
    text = None if body is None else json.dumps(body)
    status, _, answer = call(port, method, path, text, headers, timeout)
    return status, json.loads(answer) if answer else None


def wait_until(condition, timeout, what):
    end = time.monotonic() + timeout
    while time.monotonic() < end:
        if condition():
            return
        time.sleep(0.05)
    raise RuntimeError(f"{what} did not happen within {timeout} s")


class Standin:
    """One process of pimentoladder-standins."""

    def __init__(self, fleet, role, name, *flags, port=None):
        self.name = name
        self.history = os.path.join(fleet.folder, name + ".jsonl")
        self.flags = flags
        self.fleet = fleet
        self.role = role
        self.port = port or free_port()
        self.start()

    def start(self):
        listen = f"127.0.0.1:{self.port}"
        command = [self.fleet.binary("standins", "pimentoladder-standins"), f"--role={self.role}", f"--name={self.name}",
                   f"--listen={listen}", f"--history={self.history}", *self.flags]
        self.process = subprocess.Popen(command, stdout=subprocess.PIPE)
        line = {}
        while "listening" not in line:  # A relay prints its links before the listening line.
            line = json.loads(self.process.stdout.readline())
        self.port = line["port"]

    def is_running(self):
        return self.process.poll() is None

    def fault(self, **fields):
        status, _ = call_json(self.port, "POST", "/fault", fields)
        if status != 200:
            raise RuntimeError(f"{self.name} refused the fault {fields}")

    def stop(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()


class Router:
    """One router process."""

    def __init__(self, fleet, index, data_centre):
        self.fleet = fleet
        self.vm = f"entry-{index}"
        self.data_centre = data_centre
        self.callers, self.admin, self.peers = free_port(), free_port(), free_port()
        self.advertised = self.peers  # Where the other routers connect to.
        self.process = None
        self.log_path = os.path.join(fleet.folder, self.vm + ".jsonl")

    def write_settings(self):
        seeds = "".join(f"    - {{ vm: {r.vm}, address: 127.0.0.1:{r.advertised} }}\n" for r in self.fleet.routers if r is not self)
        path = os.path.join(self.fleet.folder, self.vm + ".yaml")
        with open(path, "w") as file:
            file.write(f"vm: {self.vm}\ndata_centre: {self.data_centre}\n"
                       f"listen:\n  callers: 127.0.0.1:{self.callers}\n  admin: 127.0.0.1:{self.admin}\n  peers: 127.0.0.1:{self.peers}\n"
                       + (f"  peers_advertised: 127.0.0.1:{self.advertised}\n" if self.advertised != self.peers else "") +
                       f"platform:\n  table: 127.0.0.1:{self.fleet.platform_port}\n  objects: 127.0.0.1:{self.fleet.platform_port}\n  vms: 127.0.0.1:{self.fleet.platform_port}\n"
                       f"fleet:\n  key: fleet-key-of-the-demonstration\n" + (f"  seeds:\n{seeds}" if seeds else "") +
                       f"operators:\n  - name: operator\n    token_sha256: {sha256(OPERATOR_TOKEN)}\n"
                       f"shutdown:\n  grace: 200ms\n  deadline: 20s\n")
        return path

    def start(self):
        """Starts or restarts the process."""
        log = open(self.log_path, "a")
        self.process = subprocess.Popen([self.fleet.binary("pimentoladder", "pimentoladder"), "run", f"--config={self.write_settings()}"], stdout=log)
        log.close()

    def is_ready(self):
        try:
            return call(self.admin, "GET", "/readyz", timeout=2)[0] == 200
        except OSError:
            return False

    def send_signal(self, number):
        self.process.send_signal(number)

    def kill(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process:
            self.process.wait()

    def log(self, event):
        """Returns the log lines with this event name."""
        with open(self.log_path) as file:
            return [line for line in map(json.loads, file) if line["event"] == event]

    def metric(self, name):
        """Returns the samples of one metric as {labels: value}."""
        values = {}
        for line in call(self.admin, "GET", "/metrics")[2].decode().splitlines():
            if line.startswith(name + "{") or line.startswith(name + " "):
                labels, value = line[len(name):].rsplit(" ", 1)
                values[labels] = float(value)
        return values


class Load:
    """One process of pimentoladder-load."""

    def __init__(self, fleet, name, plan, seed=1):
        self.fleet = fleet
        self.history = os.path.join(fleet.folder, name + ".jsonl")
        self.report_path = os.path.join(fleet.folder, name + ".report.json")
        plan_path = os.path.join(fleet.folder, name + ".plan.yaml")
        with open(plan_path, "w") as file:
            json.dump(plan, file)  # JSON is YAML.
        self.seconds = plan["seconds"]
        self.timeout = plan["timeoutSeconds"]
        command = [fleet.binary("load", "pimentoladder-load"), f"--plan={plan_path}", f"--client={name}", f"--seed={seed}",
                   f"--history={self.history}", f"--report={self.report_path}"]
        self.started = time.monotonic()
        self.process = subprocess.Popen(command)

    def until(self, seconds):
        """Sleeps until this many seconds after the start of the load."""
        time.sleep(max(0, self.started + seconds - time.monotonic()))

    def wait(self):
        """Waits for the process to exit and returns its report."""
        status = self.process.wait(timeout=self.seconds + 3 * self.timeout + 10)
        if status != 0:
            raise RuntimeError(f"pimentoladder-load ended with {status}")
        with open(self.report_path) as file:
            return json.load(file)

    def stop(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()


class Fleet:
    """Stand-ins, routers and the configuration that connects them."""

    def __init__(self, build, routers=3, data_centres=2, engines=2, portals=2, workspaces=2, has_peer_relay=False):
        self.build = build
        self.loads = []
        self.driver_lock = threading.Lock()
        self.folder = tempfile.mkdtemp(prefix="pimentoladder-")
        self.standins = []
        self.routers = []
        self.platform = self.standin("platform", "platform")
        self.platform_port = self.platform.port
        self.data_centres = [f"dc-{i}" for i in range(data_centres)]
        self.engines = [self.server("engine", i) for i in range(engines)]
        self.portals = [self.server("portal", i) for i in range(portals)]
        self.workspaces = [f"ws-{i}" for i in range(workspaces)]
        self.routers = [Router(self, i, self.data_centres[i % data_centres]) for i in range(routers)]
        self.peer_relay = self.relay_peers() if has_peer_relay else None

    def binary(self, folder, name):
        return os.path.join(self.build, "tools", folder, name)

    def standin(self, role, name, *flags):
        standin = Standin(self, role, name, *flags)
        self.standins.append(standin)
        return standin

    def server(self, role, index):
        data_centre = self.data_centres[index % len(self.data_centres)]
        server = self.standin(role, f"{role}-{index}", f"--data_centre={data_centre}")
        server.data_centre = data_centre
        return server

    def relay_peers(self):
        """Routes peer connections to each router through a relay link that can be cut."""
        links = []
        for router in self.routers:
            router.advertised = free_port()
            links.append(f"{router.vm}=127.0.0.1:{router.advertised}>127.0.0.1:{router.peers}")
        return self.standin("relay", "relay", "--links=" + ",".join(links))

    def start(self):
        for router in self.routers:
            self.record("router_address", router=router.vm, target=f"127.0.0.1:{router.callers}")
            router.start()
        wait_until(lambda: all(r.is_ready() for r in self.routers), 20, "readiness of all routers")
        self.configure()

    def record(self, event, **fields):
        """Writes an event of the test driver; docs/history.md lists the events."""
        with self.driver_lock, open(self.driver_history, "a") as file:
            file.write(json.dumps({"at": boot_time_ns(), "event": event, "source": "driver", **fields}) + "\n")

    @property
    def driver_history(self):
        return os.path.join(self.folder, "driver.jsonl")

    def histories(self):
        """Returns the paths of all history and log files of this fleet."""
        files = [s.history for s in self.standins] + [r.log_path for r in self.routers] + [load.history for load in self.loads]
        return [path for path in files + [self.driver_history] if os.path.exists(path)]

    def load(self, name, plan, seed=1):
        started = Load(self, name, plan, seed)
        self.loads.append(started)
        return started

    def check(self):
        """Runs the history checker over all histories and returns its report."""
        checked = subprocess.run([self.binary("history", "pimentoladder-check-history"), *self.histories()], stdout=subprocess.PIPE)
        if checked.returncode not in (0, 1):
            raise RuntimeError(f"pimentoladder-check-history ended with {checked.returncode}")
        return json.loads(checked.stdout)

    def put(self, kind, name, value, router=0):
        """Creates or replaces an object and returns (status, answer)."""
        port = self.routers[router].admin
        headers = {"Authorization": "Bearer " + OPERATOR_TOKEN, "Content-Type": "application/json"}
        status, answer = call_json(port, "POST", f"/v1/{kind}", {"id": name, **value}, headers)
        if status == 409:
            headers["If-Match"] = "*"
            status, answer = call_json(port, "PUT", f"/v1/{kind}/{name}", value, headers)
        if status in (200, 201):
            self.record("accepted", revision=answer["revision"])
        return status, answer

    def delete(self, kind, name, router=0):
        headers = {"Authorization": "Bearer " + OPERATOR_TOKEN, "If-Match": "*"}
        return call_json(self.routers[router].admin, "DELETE", f"/v1/{kind}/{name}", None, headers)

    def configure(self):
        def create(kind, name, value):
            status, answer = self.put(kind, name, value)
            if status not in (200, 201, 202):
                raise RuntimeError(f"{kind}/{name} was refused with {status}: {answer}")
        create("pools", "model", {"kind": "model", "pathPrefix": "/v1", "defaultCost": 100})
        create("pools", "portal", {"kind": "service", "pathPrefix": "/", "defaultCost": 1})
        for name in self.data_centres:
            create("data-centres", name, {"labels": {"site": name}})
        for i, engine in enumerate(self.engines):
            create("servers", engine.name, self.server_value(engine, "model", i))
        for i, portal in enumerate(self.portals):
            create("servers", portal.name, self.server_value(portal, "portal", i))
        for name in self.workspaces:
            create("workspaces", name, {"weight": 1, "keyDigest": sha256("key-of-" + name)})
        create("access-rules", "all", {"workspaces": "", "servers": ""})

    def server_value(self, standin, pool, index):
        return {"pool": pool, "dataCentre": self.data_centres[index % len(self.data_centres)], "address": "127.0.0.1", "port": standin.port,
                "floor": 1, "ceiling": 8}

    def request(self, router, workspace, method, path, body=None, headers=None, timeout=30):
        merged = {"Authorization": "Bearer key-of-" + workspace, **(headers or {})}
        return call(self.routers[router].callers, method, path, body, merged, timeout)

    def stop(self):
        for load in self.loads:
            load.stop()
        for router in self.routers:
            router.kill()
        for standin in self.standins:
            standin.stop()
