"""Starts a small fleet on loopback: stand-ins, routers and their configuration.

Used by utils/demo and utils/scenarios. Only processes started here are ended,
by their id.
"""

import hashlib
import http.client
import json
import os
import signal
import socket
import subprocess
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
OPERATOR_TOKEN = "operator-token"


def sha256(text):
    return hashlib.sha256(text.encode()).hexdigest()


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


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

    def __init__(self, fleet, role, name, *flags):
        self.name = name
        self.history = os.path.join(fleet.folder, name + ".jsonl")
        self.flags = flags
        self.fleet = fleet
        self.role = role
        self.port = 0
        self.start()

    def start(self):
        listen = f"127.0.0.1:{self.port}"
        command = [self.fleet.binary("standins", "pimentoladder-standins"), f"--role={self.role}", f"--name={self.name}",
                   f"--listen={listen}", f"--history={self.history}", *self.flags]
        self.process = subprocess.Popen(command, stdout=subprocess.PIPE)
        self.port = json.loads(self.process.stdout.readline())["port"]

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
        self.process = None
        self.log_path = os.path.join(fleet.folder, self.vm + ".log.jsonl")

    def write_settings(self):
        seeds = "".join(f"    - {{ vm: {r.vm}, address: 127.0.0.1:{r.peers} }}\n" for r in self.fleet.routers if r is not self)
        path = os.path.join(self.fleet.folder, self.vm + ".yaml")
        with open(path, "w") as file:
            file.write(f"vm: {self.vm}\ndata_centre: {self.data_centre}\n"
                       f"listen:\n  callers: 127.0.0.1:{self.callers}\n  admin: 127.0.0.1:{self.admin}\n  peers: 127.0.0.1:{self.peers}\n"
                       f"platform:\n  table: 127.0.0.1:{self.fleet.platform_port}\n  objects: 127.0.0.1:{self.fleet.platform_port}\n  vms: 127.0.0.1:{self.fleet.platform_port}\n"
                       f"fleet:\n  key: fleet-key-of-the-demonstration\n" + (f"  seeds:\n{seeds}" if seeds else "") +
                       f"operators:\n  - name: operator\n    token_sha256: {sha256(OPERATOR_TOKEN)}\n"
                       f"shutdown:\n  grace: 200ms\n  deadline: 20s\n")
        return path

    def start(self):
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
        """Returns the log lines of this event."""
        with open(self.log_path) as file:
            return [line for line in map(json.loads, file) if line["event"] == event]

    def metric(self, name):
        """Returns {labels: value} of one metric."""
        values = {}
        for line in call(self.admin, "GET", "/metrics")[2].decode().splitlines():
            if line.startswith(name + "{") or line.startswith(name + " "):
                labels, value = line[len(name):].rsplit(" ", 1)
                values[labels] = float(value)
        return values


class Fleet:
    """Stand-ins, routers and the configuration that joins them."""

    def __init__(self, build, routers=3, data_centres=2, engines=2, portals=2, workspaces=2):
        self.build = build
        self.folder = tempfile.mkdtemp(prefix="pimentoladder-")
        self.standins = []
        self.routers = []
        self.platform = self.standin("platform", "platform")
        self.platform_port = self.platform.port
        self.data_centres = [f"dc-{i}" for i in range(data_centres)]
        self.engines = [self.standin("engine", f"engine-{i}", f"--data_centre=dc-{i % data_centres}") for i in range(engines)]
        self.portals = [self.standin("portal", f"portal-{i}", f"--data_centre=dc-{i % data_centres}") for i in range(portals)]
        self.workspaces = [f"ws-{i}" for i in range(workspaces)]
        self.routers = [Router(self, i, self.data_centres[i % data_centres]) for i in range(routers)]

    def binary(self, folder, name):
        return os.path.join(self.build, "tools", folder, name)

    def standin(self, role, name, *flags):
        made = Standin(self, role, name, *flags)
        self.standins.append(made)
        return made

    def start(self):
        for router in self.routers:
            router.start()
        wait_until(lambda: all(r.is_ready() for r in self.routers), 20, "readiness of all routers")
        self.configure()

    def put(self, kind, name, value, router=0):
        """Creates an object, or replaces it, and returns the answer."""
        port = self.routers[router].admin
        headers = {"Authorization": "Bearer " + OPERATOR_TOKEN, "Content-Type": "application/json"}
        status, answer = call_json(port, "POST", f"/v1/{kind}", {"id": name, **value}, headers)
        if status == 409:
            headers["If-Match"] = "*"
            status, answer = call_json(port, "PUT", f"/v1/{kind}/{name}", value, headers)
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
        for router in self.routers:
            router.kill()
        for standin in self.standins:
            standin.stop()
