"""Stand-ins of the users' platform for the scripts in review/: store, runners, clients and machines.

They speak what PROTOCOL.md and DEPLOY.md say. All run in the process of the script; the routers are
processes of their own, started with the command and the settings template of the deploy file.
"""

import asyncio
import base64
import json
import os
import random
import re
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
START = time.monotonic()
HOP_HEADERS = ("connection", "keep-alive", "transfer-encoding")
BOUNDS = {"revoke_ms": 5000, "config_apply_ms": 2000, "drain_ms": 2000, "retry_budget_extra": 56, "retry_budget_ratio": 0.2}


def now():
    return time.monotonic() - START


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")

    def write(self, text):
        self.file.write(f"{now():9.3f} {text}\n")
        self.file.flush()


class CannotRun(Exception):
    """The case couldn't run."""


async def read_head(reader):
    """Returns the first line and the headers (names in lower case) of a message, or None at the end."""
    try:
        text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = text[:-4].split("\r\n")
    headers = [(line.split(":", 1)[0].strip().lower(), line.split(":", 1)[1].strip()) for line in lines[1:]]
    return lines[0], headers


def header(headers, name):
    return next((value for key, value in headers if key == name), None)


async def read_body(reader, headers, until_close=False):
    """Returns the body of a message and whether it is complete."""
    try:
        if (header(headers, "transfer-encoding") or "").lower() == "chunked":
            body = b""
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                chunk = await reader.readexactly(size + 2)
                body += chunk[:-2]
                if size == 0:
                    return body, True
        length = header(headers, "content-length")
        if length is not None:
            return await reader.readexactly(int(length)), True
        if until_close:
            return await reader.read(-1), True
        return b"", True
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return b"", False


class Store:
    """The platform's store: rows under conditions, lists and the feed."""

    def __init__(self, record):
        self.record = record
        self.rows = {}  # (table, key) -> (value, row_version)
        self.log = []  # (row_version, table, key, value or None)
        self.version = 1
        self.changed = asyncio.Event()
        self.is_silent = False
        self.calls = []  # (time, port) of each read

    async def listen(self):
        """Opens one more address; each machine gets one of its own, so that its calls can be told apart."""
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        return server.sockets[0].getsockname()[1]

    def put(self, table, key, value):
        """A write of the operator or of a runner. Returns the time of the acknowledgement."""
        self.version += 1
        if value is None:
            self.rows.pop((table, key), None)
        else:
            value = base64.b64encode(value if isinstance(value, bytes) else json.dumps(value).encode()).decode()
            self.rows[(table, key)] = (value, self.version)
        self.log.append((self.version, table, key, value))
        self.changed.set()
        self.changed = asyncio.Event()
        return now()

    def row(self, table, key, value, version):
        row = {"table": table, "part": "", "key": key, "row_version": version}
        return {**row, "deleted": True} if value is None else {**row, "value": value}

    async def serve(self, reader, writer):
        port = writer.get_extra_info("sockname")[1]
        is_dead = False
        try:
            while (head := await read_head(reader)) is not None:
                body, _ = await read_body(reader, head[1])
                if self.is_silent or is_dead:
                    is_dead = True  # A connection on which a response is lost delivers nothing further.
                    continue
                status, answer = await self.answer(head[0], body, port)
                if self.is_silent:
                    is_dead = True
                    continue
                await asyncio.sleep(0.004)
                text = json.dumps(answer).encode()
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {len(text)}\r\n\r\n".encode() + text)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def answer(self, line, body, port):
        method, target, _ = line.split(" ")
        path, _, query = target.partition("?")
        asked = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        common = lambda: {"row_version": self.version, "now_ms": int(now() * 1000)}
        if path == "/v1/rows-get":
            self.calls.append((now(), port))
            found = sorted((key, *row) for (table, key), row in self.rows.items() if table == asked["table"] and key >= asked.get("start_key", ""))
            rows = [self.row(asked["table"], key, value, version) for key, value, version in found]
            return 200, {"rows": rows[:500], "has_more": len(rows) > 500, **common()}
        if path == "/v1/rows-feed":
            self.calls.append((now(), port))
            since, end = int(asked["since_revision"]), now() + int(asked.get("wait_ms", 0)) / 1000
            while True:
                newest = {}
                for version, table, key, value in self.log:
                    if table == asked["table"] and version > since:
                        newest[key] = (version, value)
                if newest or now() >= end:
                    rows = [self.row(asked["table"], key, value, version) for key, (version, value) in sorted(newest.items(), key=lambda each: each[1][0])]
                    return 200, {"rows": rows, **common()}
                try:
                    await asyncio.wait_for(self.changed.wait(), max(0.001, end - now()))
                except asyncio.TimeoutError:
                    pass
        if path == "/v1/rows-tx":
            change = json.loads(body)
            for each in change.get("expect", []):
                held = self.rows.get((each["table"], each["key"]), (None, 0))
                if held[1] != each["row_version"]:
                    return 412, {"rows": [], **common()}
            for each in change.get("write", []):
                if each["table"] in ("op", "servers"):
                    return 403, {}
                self.put(each["table"], each["key"], base64.b64decode(each["value"]))
            for each in change.get("remove", []):
                self.put(each["table"], each["key"], None)
            return 200, common()
        return 404, {}


class Runner:
    """A runner of a service with short answers. Registers itself every 1.2 s."""

    def __init__(self, store, record, service, zone, slots=6, work_s=0.015):
        self.store, self.record, self.service, self.zone, self.slots, self.work_s = store, record, service, zone, slots, work_s
        self.id = f"i-{random.getrandbits(40):010x}"
        self.state = "ready"
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.ran = []  # (time, attempt id)

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self.register()
        self.task = asyncio.ensure_future(self.beat())
        return self

    def register(self):
        self.sequence += 1
        return self.store.put("servers", self.id, {"service": self.service, "address": f"127.0.0.1:{self.port}", "zone": self.zone, "version": "v1",
            "slots": self.slots, "state": self.state, "cold_left_ms": 0, "sequence": self.sequence, "born": self.born})

    async def beat(self):
        while True:
            await asyncio.sleep(1.2)
            if not self.store.is_silent:  # The store is the same for runners; their entries stay, as the store keeps them while it is down.
                self.register()

    async def serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                body, is_whole = await read_body(reader, head[1])
                if not is_whole:
                    return
                await self.handle(head[0], head[1], body, writer)
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def handle(self, line, headers, body, writer):
        attempt = header(headers, "x-attempt-id") or ""
        expected = header(headers, "x-expected-instance")
        if expected not in (None, self.id):
            writer.write(f"HTTP/1.1 421 X\r\nX-Attempt-Id: {attempt}\r\nX-Instance-Id: {self.id}\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n".encode())
            return
        self.ran.append((now(), attempt))
        self.record.write(f"run {attempt} by {self.id} of {self.service}: {line}")
        await asyncio.sleep(self.work_s)
        text = f"{attempt} {self.service}\n".encode()
        writer.write(f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Response-Seal: {self.id}.{len(text)}\r\nContent-Length: {len(text)}\r\n\r\n".encode() + text)
        await writer.drain()


class Machine:
    """An edge machine with its router process."""

    def __init__(self, store, folder, name, zone):
        self.store, self.folder, self.name, self.zone = store, folder, name, zone
        self.process = None

    def fields(self):
        return {"node_name": self.name, "zone": self.zone, "ip": self.ip, "limits": {"cpu_share": 0.25}, "internal_ports": [self.peers, self.peers + 1],
            "listen": {"frontend": f"{self.ip}:{self.front}", "ready": f"{self.ip}:{self.ready}"}, "platform": {"address": self.platform_address}, "bounds": BOUNDS}

    async def start(self):
        if not hasattr(self, "ip"):
            # Each machine has a loopback address of its own, since the metrics port of the template is fixed.
            self.ip = f"127.{random.randint(16, 250)}.{random.randint(1, 250)}.{random.randint(2, 250)}"
            self.front, self.ready, self.peers = 8783, 8780, 7400
            self.store_port = await self.store.listen()
            self.platform_address = f"127.0.0.1:{self.store_port}"
        with open(os.path.join(ROOT, "deploy", "system.toml")) as file:
            command = re.search(r'^run = "(.*)"', file.read(), re.M).group(1).split(" ")
        with open(os.path.join(ROOT, "deploy", "router.yaml")) as file:
            text = render(file.read(), self.fields())
        path = os.path.join(self.folder, self.name + ".yaml")
        with open(path, "w") as file:
            file.write(text)
        command = [each.replace("/etc/pimentoladder/local.yaml", path) for each in command]
        command[0] = os.environ.get("ROUTER", os.path.join(ROOT, command[0]))
        if not os.path.exists(command[0]):
            raise CannotRun(f"{command[0]} has not been built")
        self.log_path = os.path.join(self.folder, self.name + ".log")
        with open(self.log_path, "a") as log:
            self.process = await asyncio.create_subprocess_exec(*command, cwd=ROOT, stdout=log, stderr=log, env={"PATH": os.environ["PATH"], "PIMENTOLADDER_NODE_FILE": path})
        return self

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.ip, self.ready)
            writer.write(f"GET /readyz HTTP/1.1\r\nHost: {self.ip}\r\nConnection: close\r\n\r\n".encode())
            head = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return head is not None and " 200 " in head[0]
        except (OSError, asyncio.TimeoutError):
            return False

    async def wait_ready(self, seconds=20):
        end = now() + seconds
        while not await self.is_ready():
            if now() > end or self.process.returncode is not None:
                raise CannotRun(f"{self.name} did not become ready")
            await asyncio.sleep(0.05)

    def signal(self, number):
        if self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self):
        if self.process and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process:
            await self.process.wait()

    async def terminate(self, grace_s=8):
        """SIGTERM, and SIGKILL after `grace_s`, as the platform does."""
        self.signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(self.process.wait(), grace_s)
        except asyncio.TimeoutError:
            await self.end()


def render(template, fields):
    """Fills in a template of settings as DEPLOY.md says, as far as deploy/router.yaml needs it."""

    def value(path):
        found = fields
        for part in path.split("."):
            found = found[int(part)] if isinstance(found, list) else found.get(part)
            if found is None:
                return None
        return found

    section = lambda match: match.group(2) if value(match.group(1)) not in (None, False) else ""
    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda match: str(value(match.group(1))), text)


class Client:
    """A client that keeps one connection to a machine and sends one request at a time on it."""

    def __init__(self, record, machine):
        self.record, self.machine = record, machine
        self.reader = self.writer = None
        self.sent = {}  # attempt id -> (time sent, machine, status or None)

    async def send(self, method, path, headers=(), body=b"", deadline_s=1.0):
        """Returns (attempt id, status or None, headers, body); None if the connection broke."""
        attempt = f"{random.getrandbits(64):016x}"
        lines = [f"{method} {path} HTTP/1.1", "Host: review.example", f"X-Attempt-Id: {attempt}", f"X-Deadline-Ms: {int(deadline_s * 1000)}", *headers]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        at = now()
        self.record.write(f"send {attempt} to {self.machine.name}: {method} {path}")
        self.sent[attempt] = (at, self.machine, None)
        status, answer = None, ([], b"")
        try:
            if self.writer is None:
                self.reader, self.writer = await asyncio.wait_for(asyncio.open_connection(self.machine.ip, self.machine.front), 1)
            self.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            status, *answer = await asyncio.wait_for(self.receive(), deadline_s + 1)
        except (OSError, asyncio.TimeoutError):
            self.close()
        self.record.write(f"answer {attempt}: {status if status else 'none'} {answer[1].decode('latin-1').strip()[:60]}")
        self.sent[attempt] = (at, self.machine, status)
        return attempt, status, answer[0], answer[1]

    async def receive(self):
        head = await read_head(self.reader)
        if head is None:
            raise ConnectionError("closed")
        body, is_whole = await read_body(self.reader, head[1], until_close=True)
        if not is_whole:
            raise ConnectionError("cut")
        if (header(head[1], "connection") or "").lower() == "close":
            self.close()
        return int(head[0].split(" ")[1]), head[1], body

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


def run_case(case, folder, limit_s=110):
    """Runs `case(record, temporary folder)`, which returns the broken rules as texts, and exits with 0, 1 or 2."""

    async def whole():
        # A script that is told to end still ends its routers.
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            asyncio.get_running_loop().add_signal_handler(number, asyncio.current_task().cancel)
        record = Record(folder)
        machines = []
        with tempfile.TemporaryDirectory(prefix="review-") as temporary:
            try:
                broken = await asyncio.wait_for(case(record, temporary, machines), limit_s)
            finally:
                for machine in machines:
                    await machine.end()
                if os.environ.get("KEEP"):
                    os.system(f"cp {temporary}/*.log {os.environ['KEEP']}")
        for text in broken[:20]:
            record.write("BROKEN " + text)
        record.write(f"{len(broken)} times broken")
        print(f"trouble {int(TROUBLE)}: {len(broken)} times broken" + (f"; the first: {broken[0]}" if broken else ""))
        return 1 if broken else 0

    try:
        code = asyncio.run(whole())
    except (CannotRun, asyncio.TimeoutError, asyncio.CancelledError, OSError) as fault:
        print(f"the case couldn't run: {fault!r}")
        code = 2
    sys.exit(code)
