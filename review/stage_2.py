"""A small deployment of the platform's programs on loopback, for the scripts of review/6 and later.

Each machine has a loopback address of its own and the ports are the same on all, as DEPLOY.md has it. The command lines
come from deploy/system.toml and the settings from its templates. The operator, the servers and the clients are here.
"""

import asyncio
import json
import os
import pathlib
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
import uuid

ROOT = pathlib.Path(__file__).resolve().parents[1]
DRAIN_MS = 2000
BEAT_S = 1.2
LIMITS = {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
HOST = "h.example"


class CannotRun(Exception):
    """The case could not be brought about, so it says nothing of the rule."""


class Record:
    """What was sent, answered and run, with the seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.began = time.monotonic()

    def __call__(self, what, **fields):
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        self.file.write(f"{time.monotonic() - self.began:8.3f} {what} {text}\n")
        self.file.flush()


def render(template, values):
    """Fills in a settings template; only what the templates of deploy/ use."""
    def value(match):
        path, _, form = match.group(1).partition("|")
        found = values
        for step in path.split("."):
            found = found[int(step)] if isinstance(found, list) else found.get(step)
            if found is None:
                break
        return json.dumps(found) if form == "json" else "" if found is None else str(found)
    return re.sub(r"\{\{([^}]+)\}\}", value, template)


class Machine:
    def __init__(self, stage, name, role, ip, zone, memory_mb):
        self.stage, self.name, self.role, self.ip, self.zone, self.memory_mb = stage, name, role, ip, zone, memory_mb
        self.folder = stage.folder / name
        (self.folder / "data").mkdir(parents=True)
        self.process = None
        self.starts = 0

    def start(self, bootstrap=False):
        stage = self.stage
        role = stage.deploy["roles"][self.role]
        values = {"node": self.name, "ip": self.ip, "zone": self.zone, "region": "r1", "zones": {"z1": "r1", "z2": "r1", "z3": "r1"},
                  "internal_ports": [stage.peer_port, stage.peer_port + 1],
                  "listen": {"front": f"{self.ip}:{stage.front_port}", "ready": f"{self.ip}:{stage.ready_port}",
                             "control": f"{self.ip}:{stage.control_port}"},
                  "seeds": stage.seeds, "bootstrap": bootstrap, "data_dir": str(self.folder / "data"),
                  "fault_tolerance": {"machines": 1, "zones": 0, "regions": 0},
                  "limits": {"memory_mb": self.memory_mb, "disk_mb": 0 if self.role == "gateway" else 128}}
        settings = self.folder / "local.yaml"
        settings.write_text(render((ROOT / role["template"]).read_text(), values))
        environment = {"PATH": os.environ["PATH"], "HOME": str(self.folder), "LANG": "C", "CUMINLEDGE_CONFIG": str(settings)}
        for key, text in role.get("env", {}).items():
            environment[key] = render(text, values)
        with open(self.folder / "log.txt", "ab") as log:
            self.process = subprocess.Popen(role["run"].split(), cwd=ROOT, env=environment, stdin=subprocess.DEVNULL,
                                            stdout=log, stderr=log)
        self.starts += 1
        stage.record("start", machine=self.name, pid=self.process.pid)

    def memory(self):
        """Resident MB now; 0 if the process has ended."""
        try:
            status = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
            return next(int(line.split()[1]) for line in status.splitlines() if line.startswith("VmRSS")) / 1024
        except (OSError, StopIteration):
            return 0

    def front(self):
        return self.ip, self.stage.front_port


class MemoryLimit:
    """What the platform does (DEPLOY.md): a process that uses more than its machine's memory is killed, and one that has ended
    is started again after a short delay."""

    def __init__(self, stage, machines):
        self.stage, self.machines = stage, machines
        self.peak = {machine.name: 0 for machine in machines}
        self.kills = {machine.name: 0 for machine in machines}
        self.task = asyncio.create_task(self.watch())

    async def watch(self):
        while True:
            for machine in self.machines:
                used = machine.memory()
                self.peak[machine.name] = max(self.peak[machine.name], round(used))
                if used > machine.memory_mb:
                    self.stage.record("killed_over_memory", machine=machine.name, mb=round(used), limit=machine.memory_mb)
                    self.kills[machine.name] += 1
                    machine.process.kill()
                    machine.process.wait()
                    await asyncio.sleep(0.3)
                    machine.start()
            await asyncio.sleep(0.01)

    def end(self):
        self.task.cancel()
        self.stage.record("memory", peak_mb=self.peak, kills=self.kills)


class Stage:
    """The machines, and the operator. `async with` ends all processes that it started."""

    def __init__(self, record_file, fronts=1, front_memory_mb=260):
        self.record = Record(record_file)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="cuminledge-review-"))
        self.deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.net = f"127.{random.randint(20, 220)}.{random.randint(1, 250)}"
        self.peer_port = free_port(self.net, 2)
        self.front_port, self.ready_port, self.control_port = (free_port(self.net, 1) for _ in range(3))
        self.cores = [Machine(self, f"core-z{i}-1", "controller", f"{self.net}.{10 + i}", f"z{i}", 256) for i in (1, 2, 3)]
        self.fronts = [Machine(self, f"front-z{i + 1}-1", "gateway", f"{self.net}.{21 + i}", f"z{i % 3 + 1}", front_memory_mb)
                       for i in range(fronts)]
        self.storage = [Machine(self, "storage-z1-1", "storage", f"{self.net}.31", "z1", 290)]
        self.seeds = [f"{machine.ip}:{self.control_port}" for machine in self.cores]
        self.servers = []
        self.next_server = 100
        self.version = 0

    async def __aenter__(self):
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
        for machine in self.cores + self.fronts + self.storage:
            machine.start(bootstrap=True)
        return self

    async def __aexit__(self, *_):
        for server in self.servers:
            await server.close()
        machines = [m for m in self.cores + self.fronts + self.storage if m.process is not None]
        for machine in machines:
            if machine.process.poll() is None:
                machine.process.send_signal(signal.SIGCONT)
                machine.process.kill()
        for machine in machines:
            machine.process.wait()
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def server_address(self):
        self.next_server += 1
        return f"{self.net}.{self.next_server}"

    async def control(self, method, path, document=None):
        """One call of the operator or a server, at one controller after the other. Returns the status."""
        status = 0
        for machine in self.cores:
            target = (machine.ip, self.control_port)
            for _ in range(3):
                try:
                    status, headers, _ = await asyncio.wait_for(request(target, method, path, {}, document), 1)
                except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
                    status = 0
                    break
                if status != 307:
                    break
                host = headers["location"].split("/")[2]
                target = (host.split(":")[0], int(host.split(":")[1]))
            if 200 <= status < 300 or status in (400, 404, 409):
                return status
        return status

    async def configure(self, document):
        """Sends the configuration until it is acknowledged."""
        self.version += 1
        whole = {"version": self.version, "limits": LIMITS, **document}
        deadline = time.monotonic() + 20
        while time.monotonic() < deadline:
            status = await self.control("POST", "/api/config/replace", json.dumps(whole).encode())
            if status == 200:
                self.record("config_acknowledged", version=self.version)
                return
            if status == 400:
                raise CannotRun("the configuration was refused")
            await asyncio.sleep(0.2)
        raise CannotRun("no configuration was acknowledged")

    async def until_ready(self, machines=None):
        for machine in machines or self.fronts:
            deadline = time.monotonic() + 20
            while True:
                try:
                    status, _, _ = await request((machine.ip, self.ready_port), "GET", "/api/readyz", {})
                    if status == 200:
                        break
                except (OSError, asyncio.IncompleteReadError, ValueError):
                    pass
                if time.monotonic() > deadline:
                    raise CannotRun(f"{machine.name} did not become ready")
                await asyncio.sleep(0.05)


def free_port(net, count):
    """A port that is free, with those behind it, on the addresses of the machines."""
    while True:
        port = random.randint(15000, 31000)
        sockets = []
        try:
            for offset in range(count):
                for last in (11, 12, 13, 21, 22, 23, 31):
                    taken = socket.socket()
                    sockets.append(taken)
                    taken.bind((f"{net}.{last}", port + offset))
            return port
        except OSError:
            continue
        finally:
            for each in sockets:
                each.close()


# ----------------------------------------------------------------------------------------------------------------------
# HTTP
# ----------------------------------------------------------------------------------------------------------------------

async def read_head(reader):
    """Returns the first line's words and the headers, their names in lower case."""
    text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = text.split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0].split(" ", 2), headers


async def read_body(reader, headers, is_answer):
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            piece = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += piece[:-2]
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    return await reader.read() if is_answer else b""


async def request(address, method, path, headers, body=None):
    """One request on a connection of its own. Raises where the answer is not whole."""
    reader, writer = await asyncio.open_connection(*address, limit=1 << 20)
    try:
        lines = [f"{method} {path} HTTP/1.1", f"Host: {headers.get('Host', address[0])}", "Connection: close"]
        lines += [f"{name}: {value}" for name, value in headers.items() if name != "Host"]
        if body is not None:
            lines.append(f"Content-Length: {len(body)}")
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + (body or b""))
        await writer.drain()
        words, answered = await read_head(reader)
        status = int(words[1])
        return status, answered, b"" if status in (204, 304) else await read_body(reader, answered, True)
    finally:
        writer.close()


def new_id():
    return uuid.uuid4().hex[:16]


class Client:
    """Sends requests as PROTOCOL.md tells, each with an id of its own, and records them."""

    def __init__(self, stage, machine, key):
        self.stage, self.machine, self.key = stage, machine, key

    async def send(self, method, path, body=None, deadline_ms=3000, headers=None, attempt=None):
        """Returns (attempt, status, headers, body); status 0: no whole answer."""
        attempt = attempt or new_id()
        sent = {"Host": HOST, "X-Cuminledge-Attempt-Id": attempt, "X-Cuminledge-Deadline-Ms": str(deadline_ms),
                **({"X-Cuminledge-Credential": self.key} if self.key else {}), **(headers or {})}
        self.stage.record("request", attempt=attempt, machine=self.machine.name, method=method, path=path,
                          bytes=len(body or b""))
        began = time.monotonic()
        try:
            status, answered, text = await asyncio.wait_for(
                request(self.machine.front(), method, path, sent, body), deadline_ms / 1000 + 1)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError) as problem:
            status, answered, text = 0, {}, b""
            self.stage.record("no_answer", attempt=attempt, problem=type(problem).__name__)
        self.stage.record("answer", attempt=attempt, status=status, ms=round((time.monotonic() - began) * 1000),
                          server=answered.get("x-cuminledge-response-signature", "-"), bytes=len(text))
        return attempt, status, answered, text


# ----------------------------------------------------------------------------------------------------------------------
# Servers
# ----------------------------------------------------------------------------------------------------------------------

class Server:
    """A sound server: it announces itself, answers, and rejects what is meant for another one.

    Subclasses override `work`, which writes the answer.
    """

    def __init__(self, stage, service, zone="z1", slots=6):
        self.stage, self.service, self.zone, self.slots = stage, service, zone, slots
        self.id = "i-" + new_id()[:8]
        self.ip = stage.server_address()
        self.port = 0
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.leaving = False  # says so in its answers
        self.ran = []  # attempts
        self.runs_at = {}  # attempt: when it reached the server
        self.beating = None
        self.listener = None
        self.writers = set()
        stage.servers.append(self)

    async def start(self):
        self.listener = await asyncio.start_server(self.serve, self.ip, 0, limit=32 << 20)
        self.port = self.listener.sockets[0].getsockname()[1]
        if not await self.beat():
            raise CannotRun("a server's first heartbeat was not acknowledged")
        self.beating = asyncio.create_task(self.keep_beating())
        return self

    def body_of_beat(self):
        self.sequence += 1
        return json.dumps({"service": self.service, "address": f"{self.ip}:{self.port}", "zone": self.zone, "version": "v1",
                           "slots": self.slots, "state": self.state, "cold_left_ms": 0, "seq": self.sequence,
                           "born": self.born}).encode()

    async def beat(self):
        status = await self.stage.control("POST", f"/api/instances/{self.id}/heartbeat", self.body_of_beat())
        return 200 <= status < 300

    async def keep_beating(self):
        while True:
            await asyncio.sleep(BEAT_S)
            await self.beat()

    def stop_beating(self):
        if self.beating is not None:
            self.beating.cancel()
            self.beating = None

    async def close(self):
        self.stop_beating()
        if self.listener is not None:
            self.listener.close()
            self.listener = None
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                words, headers = await read_head(reader)
                body = await read_body(reader, headers, False)
                if words[1] == "/healthz":
                    self.answer(writer, {}, 200, b"ok")
                elif headers.get("x-cuminledge-expect-instance", self.id) != self.id:
                    self.answer(writer, headers, 421, b"")
                else:
                    attempt = headers.get("x-cuminledge-attempt-id", "")
                    self.ran.append(attempt)
                    self.runs_at[attempt] = time.monotonic()
                    self.stage.record("run", attempt=attempt, server=self.id, path=words[1], bytes=len(body))
                    await self.work(writer, words[0], words[1], headers, body)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, ValueError, IndexError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def head(self, headers, status, extra):
        names = {"X-Cuminledge-Attempt-Id": headers.get("x-cuminledge-attempt-id", ""),
                 "X-Cuminledge-Response-Signature": f"{self.id}.{new_id()[:6]}", **extra}
        if status == 421:
            names["X-Cuminledge-Not-Executed"] = "1"
        if self.leaving:
            names["Server-Leaving"] = "1"
        return f"HTTP/1.1 {status} X\r\n" + "".join(f"{name}: {value}\r\n" for name, value in names.items())

    def answer(self, writer, headers, status, body, extra=None):
        writer.write((self.head(headers, status, extra or {}) + f"Content-Length: {len(body)}\r\n\r\n").encode() + body)

    async def work(self, writer, method, path, headers, body):
        self.answer(writer, headers, 200, b"done by " + self.id.encode())

    async def stream(self, writer, headers, events, pause_s):
        """Answers with numbered events, in chunks."""
        writer.write((self.head(headers, 200, {"Content-Type": "text/event-stream"}) + "Transfer-Encoding: chunked\r\n\r\n").encode())
        for number in range(1, events + 1):
            await asyncio.sleep(pause_s)
            event = f"id: {number}\ndata: token-{number}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")


def route(name, prefix, kind, service, timeout_ms=3000, **more):
    return {"name": name, "host": HOST, "path_prefix": prefix, "kind": kind, "timeout_ms": timeout_ms, "target_latency_ms": 200,
            "priority": 0, "service": service, "max_attempts": 2, "retain_context": False, "retain_s": 60.0, "public": False,
            "sticky": False, "resumable": False, **more}


def service(name, **more):
    return {"name": name, "health_path": "/healthz", "max_conns": 170, "protocol": "h1", "tls": False, **more}


ENGINE = {"slots": 16, "kv_capacity": 444000, "kv_token_bytes": 131072, "link_mbps": 2200000.0, "moves": True, "backups": True,
          "event_tokens": 35, "most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": [{"name": "m"}]}


def play(case):
    """Runs the case; `case(trouble)` returns why the rule was broken, or nothing. Exits as the issue asks."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        broken = asyncio.run(asyncio.wait_for(case(trouble), 110))
    except (CannotRun, asyncio.TimeoutError, OSError) as problem:
        print(f"could not run: {type(problem).__name__} {problem}")
        sys.exit(2)
    print(f"BROKEN: {broken}" if broken else "held")
    sys.exit(1 if broken else 0)
