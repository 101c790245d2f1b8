"""A small deployment on loopback for the cases of the third review: the two programs of the deploy file as separate
processes, and stand-ins for the platform, the operator, servers and clients. Python's standard library only.

The stand-ins keep to the users' pages. Each machine has a loopback address of its own, since controllers find one another by
one port on all machines.
"""

import base64
import http.client
import itertools
import json
import os
import re
import resource
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
HELD, BROKEN, NOT_RUN = 0, 1, 2

FRONT_MB, CORE_MB, CORE_DISK_MB = 110, 256, 128  # kgs-handle
GRACE_S = 8


class CannotRun(Exception):
    pass


def now():
    return time.monotonic()


# ---------------------------------------------------------------------------------------------------------------------
# Record
# ---------------------------------------------------------------------------------------------------------------------

class Record:
    """record.txt in the folder of the case: what was sent, answered and run."""

    def __init__(self, folder):
        self.lock = threading.Lock()
        self.start = now()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def __call__(self, text):
        with self.lock:
            self.file.write("%8.3f %s\n" % (now() - self.start, text))
            self.file.flush()


# ---------------------------------------------------------------------------------------------------------------------
# Settings templates of the deploy file
# ---------------------------------------------------------------------------------------------------------------------

def look_up(fields, path):
    value = fields
    for part in path.split("."):
        value = value[int(part)] if isinstance(value, list) else value[part]
    return value


def render(template, fields):
    def fill(match):
        path, _, form = match.group(1).partition("|")
        value = look_up(fields, path)
        if form == "json" or isinstance(value, (dict, list)):
            return json.dumps(value)
        return "" if value is None else str(value)
    return re.sub(r"\{\{([^}]+)\}\}", fill, template)


def read_template(name):
    with open(os.path.join(ROOT, "platform", "settings", name), encoding="utf-8") as file:
        return file.read()


# ---------------------------------------------------------------------------------------------------------------------
# The platform: machines and their processes
# ---------------------------------------------------------------------------------------------------------------------

class Machine:
    def __init__(self, stage, node, kind, ip, memory_mb, disk_mb):
        self.stage, self.node, self.kind, self.ip = stage, node, kind, ip
        self.memory_mb, self.disk_mb = memory_mb, disk_mb
        self.process = None
        self.bootstrap = True
        self.peak_mb = 0.0
        self.ends = []  # why each process of the machine has ended without being told to
        self.wanted = False
        self.folder = os.path.join(stage.folder, node)
        os.makedirs(os.path.join(self.folder, "data"), exist_ok=True)
        self.log = open(os.path.join(self.folder, "log"), "ab")
        self.is_disk_full = False

    def fields(self):
        ports = self.stage.ports
        return {
            "node": self.node, "zone": "zone-a", "region": "region-a", "zones": {"zone-a": "region-a", "zone-b": "region-a"},
            "ip": self.ip,
            "listen": {"front": "%s:%d" % (self.ip, ports["front"]), "ready": "%s:%d" % (self.ip, ports["ready"]),
                       "control": "%s:%d" % (self.ip, ports["control"])},
            "internal_ports": [ports["peer"], ports["admin"]], "seeds": self.stage.seeds, "bootstrap": self.bootstrap,
            "data_dir": os.path.join(self.folder, "data"), "fault_tolerance": {"machines": 1, "zones": 0, "regions": 0},
            "limits": {"memory_mb": self.memory_mb, "disk_mb": self.disk_mb},
        }

    def start(self):
        is_front = self.kind == "front"
        template = "gateway.json.tmpl" if is_front else "controller.json.tmpl"
        settings = os.path.join(self.folder, "local.json")
        with open(settings, "w", encoding="utf-8") as file:
            file.write(render(read_template(template), self.fields()))
        program = os.path.join("target", "bin", "platform-gateway" if is_front else "platform-controller")
        if not os.path.exists(os.path.join(ROOT, program)):
            raise CannotRun("no program " + program + "; run the build of the deploy file")
        environment = {"PATH": os.environ.get("PATH", ""), "HOME": self.folder, "LANG": "C.UTF-8",
                       "CUMINLEDGE_CONFIG": settings, "CUMINLEDGE_MEMORY_LIMIT_MB": str(self.memory_mb),
                       "CUMINLEDGE_DISK_LIMIT_MB": str(self.disk_mb)}
        # A full disk is played by the process's limit on file sizes, so its log goes through a pipe.
        self.process = subprocess.Popen([program], cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=subprocess.PIPE,
                                        stderr=subprocess.STDOUT, start_new_session=True, restore_signals=False,
                                        preexec_fn=lambda: signal.signal(signal.SIGXFSZ, signal.SIG_IGN))
        threading.Thread(target=shutil.copyfileobj, args=(self.process.stdout, self.log, 4096), daemon=True).start()
        self.is_disk_full = False
        self.wanted = True
        self.stage.record("platform: %s started, process %d" % (self.node, self.process.pid))

    def signal(self, number):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)
            self.stage.record("platform: %s gets signal %d" % (self.node, number))

    def kill(self):
        """SIGKILL without a restart; start() brings the machine's process back."""
        self.wanted = False
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()
        self.bootstrap = False

    def resident_mb(self):
        """Resident memory that belongs to the process: without the pages of program files."""
        try:
            with open("/proc/%d/status" % self.process.pid, encoding="ascii") as file:
                fields = dict(line.split(":", 1) for line in file if ":" in line)
            return int(fields["RssAnon"].split()[0]) / 1024.0
        except (OSError, KeyError, ValueError):
            return 0.0


    def disk_used_mb(self):
        used = 0
        for folder, _, names in os.walk(os.path.join(self.folder, "data")):
            for name in names:
                try:
                    used += os.stat(os.path.join(folder, name)).st_size
                except OSError:
                    pass
        return used / 1048576.0

    def limit_disk(self):
        """A full disk refuses every write (DEPLOY.md)."""
        is_full = self.disk_used_mb() >= self.disk_mb
        if is_full != self.is_disk_full:
            self.is_disk_full = is_full
            self.stage.record("platform: the disk of %s %s" % (self.node, "is full" if is_full else "has space"))
            try:
                resource.prlimit(self.process.pid, resource.RLIMIT_FSIZE, (0 if is_full else resource.RLIM_INFINITY, resource.RLIM_INFINITY))
            except OSError:
                pass


class Stage:
    """@param limits whether a process over its machine's memory is killed and started again, as the platform does."""

    def __init__(self, record, fronts=1, cores=3, limits=True):
        self.record = record
        self.limits = limits
        self.folder = tempfile.mkdtemp(prefix="cuminledge-case-")
        self.block = "127.%d.%d" % (16 + os.getpid() // 200 % 200, os.getpid() % 200)
        self.ports = self.choose_ports(["%s.%d" % (self.block, i) for i in range(1, 30)])
        core_ips = ["%s.%d" % (self.block, 11 + i) for i in range(cores)]
        self.seeds = ["%s:%d" % (ip, self.ports["control"]) for ip in core_ips[:3]]
        self.cores = [Machine(self, "core-%d" % (i + 1), "core", ip, CORE_MB, CORE_DISK_MB) for i, ip in enumerate(core_ips)]
        self.fronts = [Machine(self, "front-%d" % (i + 1), "front", "%s.%d" % (self.block, 21 + i), FRONT_MB, 0)
                       for i in range(fronts)]
        self.machines = self.cores + self.fronts
        self.servers = []
        self.stopping = threading.Event()
        self.watcher = threading.Thread(target=self.watch, daemon=True)

    @staticmethod
    def choose_ports(ips):
        for base in itertools.islice(itertools.count(20000 + os.getpid() % 20000, 37), 200):
            ports = {"control": base, "front": base + 1, "ready": base + 2, "peer": base + 3, "admin": base + 4}
            if ports["admin"] > 60000:
                continue
            try:
                for ip in ips[:3] + ips[10:14] + ips[20:26]:
                    for port in ports.values():
                        with socket.socket() as probe:
                            probe.bind((ip, port))
                return ports
            except OSError:
                continue
        raise CannotRun("no free ports")

    def start(self):
        for machine in self.machines:
            machine.start()
        self.watcher.start()

    def watch(self):
        """Restarts what ends, ends what is over its machine's memory, and refuses writes to full disks (DEPLOY.md)."""
        for rounds in itertools.count():
            if self.stopping.is_set():
                return
            for machine in self.machines:
                process = machine.process
                if process is None or not machine.wanted:
                    continue
                code = process.poll()
                if code is None:
                    if self.limits and machine.disk_mb and rounds % 20 == 0:
                        machine.limit_disk()
                    used = machine.resident_mb()
                    machine.peak_mb = max(machine.peak_mb, used)
                    if used > machine.memory_mb and self.limits:
                        self.record("platform: %s uses %.0f MB of %d and is killed" % (machine.node, used, machine.memory_mb))
                        machine.ends.append("memory %.0f MB of %d" % (used, machine.memory_mb))
                        process.kill()
                        process.wait()
                        self.restart(machine)
                else:
                    self.record("platform: %s has ended by itself, code %d" % (machine.node, code))
                    machine.ends.append("code %d" % code)
                    self.restart(machine)
            time.sleep(0.004)

    def restart(self, machine):
        machine.bootstrap = False
        machine.wanted = False

        def later():
            time.sleep(0.3)
            if not self.stopping.is_set():
                machine.start()
        threading.Thread(target=later, daemon=True).start()

    def stop(self):
        self.stopping.set()
        if self.watcher.is_alive():
            self.watcher.join(2)
        for server in self.servers:
            server.stop()
        for machine in self.machines:
            if machine.process is not None and machine.process.poll() is None:
                machine.process.kill()
                machine.process.wait()
        if os.environ.get("KEEP"):
            print("kept " + self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def wait_ready(self, seconds=20):
        until = now() + seconds
        for front in self.fronts:
            while not is_ready(front.ip, self.ports["ready"]):
                if now() > until:
                    raise CannotRun(front.node + " doesn't become ready")
                time.sleep(0.05)

    # The operator

    def control(self, method, path, body=None, timeout=1.0, cores=None):
        """One call of the operator or a server: any node, two redirects at most. @return status and body, or None."""
        data = None if body is None else (body if isinstance(body, bytes) else json.dumps(body).encode())
        for core in cores or self.cores:
            target = "%s:%d" % (core.ip, self.ports["control"])
            for _ in range(3):
                status, headers, text = call(target, method, path, data, timeout)
                if status != 307:
                    break
                target = headers.get("location", "").split("//")[-1].split("/")[0]
            if status is not None and status < 500 and status not in (307, 408, 429):
                return status, text
        return None, b""

    def configure(self, document, seconds=15):
        until = now() + seconds
        while now() < until:
            status, text = self.control("POST", "/api/config/replace", document)
            if status is not None:
                self.record("operator: configuration %d answered %d" % (document["version"], status))
                if status != 200:
                    raise CannotRun("the configuration is refused: %r" % text)
                return
            time.sleep(0.2)
        raise CannotRun("no acknowledgement of the configuration")


def call(target, method, path, data=None, timeout=1.0, headers=None):
    host, port = target.rsplit(":", 1) if ":" in target else (target, "0")
    try:
        connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
        connection.request(method, path, body=data, headers=headers or {"Content-Type": "application/json"})
        answer = connection.getresponse()
        text = answer.read()
        found = {name.lower(): value for name, value in answer.getheaders()}
        connection.close()
        return answer.status, found, text
    except (OSError, http.client.HTTPException, ValueError):
        return None, {}, b""


def is_ready(ip, port):
    return call("%s:%d" % (ip, port), "GET", "/api/readyz")[0] == 200


# ---------------------------------------------------------------------------------------------------------------------
# Configuration
# ---------------------------------------------------------------------------------------------------------------------

LIMITS = {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}


def engine_service(name):
    return {"name": name, "health_path": "/healthz", "max_conns": 170, "protocol": "h1", "tls": False,
            "engine": {"slots": 16, "kv_capacity": 444000, "kv_token_bytes": 131072, "link_mbps": 2200000.0, "moves": True,
                       "backups": True, "event_tokens": 35, "most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0,
                       "models": [{"name": "m"}]}}


def plain_service(name):
    return {"name": name, "health_path": "/healthz", "max_conns": 100, "protocol": "h1", "tls": False}


def stream_route(name, prefix, service, retain, **more):
    route = {"name": name, "host": "a.example", "path_prefix": prefix, "kind": "streaming", "timeout_ms": 3000,
             "target_latency_ms": 200, "priority": 0, "service": service, "max_attempts": 2, "retain_context": retain,
             "retain_s": 60.0, "public": False, "sticky": True, "resumable": False, "gap_aim_ms": 250}
    route.update(more)
    return route


def plain_route(name, prefix, service, kind, **more):
    route = {"name": name, "host": "a.example", "path_prefix": prefix, "kind": kind, "timeout_ms": 1500,
             "target_latency_ms": 150, "priority": 2, "service": service, "max_attempts": 2 if kind == "safe" else 1,
             "retain_context": False, "retain_s": 60.0, "public": False, "sticky": False, "resumable": False,
             "gap_aim_ms": 250}
    route.update(more)
    return route


def tenant(name, key, rate=255, burst=255):
    return {"name": name, "api_keys": [key], "priority": 1, "rate_per_s": rate, "burst": burst}


# ---------------------------------------------------------------------------------------------------------------------
# Servers
# ---------------------------------------------------------------------------------------------------------------------

class Server:
    """A sound server: announces itself, runs each request, answers it whole. A model server streams `events` events; the
    data of each is `data` bytes long. One that leaves says so in its answers, and in heartbeats, which come `late_s` late."""

    def __init__(self, stage, ident, service, ip, is_engine, events=2, data=20, work_s=0.01, zone="zone-a"):
        self.zone, self.leaves_at, self.late_s = zone, None, 0
        self.stage, self.id, self.service, self.ip = stage, ident, service, ip
        self.is_engine, self.events, self.data, self.work_s = is_engine, events, data, work_s
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.runs = []  # (attempt, tenant, bytes of the body, time) in the order in which they began
        self.lock = threading.Lock()
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.bind((ip, 0))
        self.socket.listen(256)
        self.address = "%s:%d" % (ip, self.socket.getsockname()[1])
        self.stopping = threading.Event()
        stage.servers.append(self)
        threading.Thread(target=self.accept, daemon=True).start()
        threading.Thread(target=self.announce, daemon=True).start()

    def stop(self):
        self.stopping.set()
        self.socket.close()

    def leave(self, late_s=0):
        self.late_s = late_s
        self.leaves_at = now()
        self.stage.record("%s: leaves; its heartbeats come %g s late" % (self.id, late_s))

    def announce(self):
        while not self.stopping.is_set():
            if self.leaves_at is not None and now() < self.leaves_at + self.late_s:
                self.stopping.wait(0.05)
                continue
            self.sequence += 1
            beat = {"service": self.service, "address": self.address, "zone": self.zone, "version": "v1",
                    "slots": 16 if self.is_engine else 6, "state": "ready" if self.leaves_at is None else "draining",
                    "cold_left_ms": 0, "seq": self.sequence, "born": self.born}
            if self.is_engine:
                beat.update({"phase": "mixed", "models": [{"name": "m", "version": 1, "adapters": []}]})
            status, _ = self.stage.control("POST", "/api/instances/%s/heartbeat" % self.id, beat)
            if beat["state"] == "draining" and status == 200:
                self.stage.record("%s: its draining is acknowledged" % self.id)
            self.stopping.wait(1.2 if status == 200 else 0.2)

    def accept(self):
        while not self.stopping.is_set():
            try:
                connection, _ = self.socket.accept()
            except OSError:
                return
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        reader = connection.makefile("rb")
        try:
            while not self.stopping.is_set():
                request = read_request(reader)
                if request is None:
                    return
                self.answer(connection, *request)
        except (OSError, ValueError):
            pass
        finally:
            connection.close()

    def answer(self, connection, method, target, headers, body):
        attempt = headers.get("x-cuminledge-attempt-id", "")
        if headers.get("x-cuminledge-expect-instance", self.id) != self.id:
            connection.sendall(b"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\nX-Cuminledge-Not-Executed: 1\r\n"
                               + ("X-Cuminledge-Attempt-Id: %s\r\n\r\n" % attempt).encode())
            return
        with self.lock:
            self.runs.append((attempt, headers.get("x-cuminledge-tenant", ""), len(body), now()))
        self.stage.record("%s: runs %s %s %s, tenant %s, body of %d bytes" % (
            self.id, attempt, method, target, headers.get("x-cuminledge-tenant", "-"), len(body)))
        time.sleep(self.work_s() if callable(self.work_s) else self.work_s)
        head = "HTTP/1.1 200 OK\r\nX-Cuminledge-Attempt-Id: %s\r\nX-Cuminledge-Response-Signature: s.%s\r\n" % (attempt, attempt)
        head += "" if self.leaves_at is None else "Server-Leaving: 1\r\n"
        if not self.is_engine:
            text = ("done " + attempt).encode()
            connection.sendall((head + "Content-Length: %d\r\n\r\n" % len(text)).encode() + text)
            return
        connection.sendall((head + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n").encode())
        for number in range(1, self.events + 1):
            event = ("id: %d\ndata: %s\n\n" % (number, (attempt + "." + str(number) + ".").ljust(self.data, "x"))).encode()
            connection.sendall(b"%x\r\n%s\r\n" % (len(event), event))
        connection.sendall(b"0\r\n\r\n")


def read_head(reader):
    first = reader.readline(65536)
    if not first:
        return None
    headers = {}
    while True:
        line = reader.readline(65536)
        if not line:
            return None
        if line in (b"\r\n", b"\n"):
            return first.decode("latin-1").strip(), headers
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()


def read_chunks(reader):
    while True:
        line = reader.readline(1024)
        if not line:
            raise ValueError("broken off")
        size = int(line.split(b";")[0], 16)
        data = reader.read(size)
        if len(data) != size:
            raise ValueError("broken off")
        reader.readline(1024)
        if size == 0:
            return
        yield data


def read_body(reader, headers):
    if "chunked" in headers.get("transfer-encoding", ""):
        return b"".join(read_chunks(reader))
    length = int(headers.get("content-length", "0"))
    body = reader.read(length)
    if len(body) != length:
        raise ValueError("broken off")
    return body


def read_request(reader):
    head = read_head(reader)
    if head is None:
        return None
    method, target, _ = head[0].split(" ", 2)
    return method, target, head[1], read_body(reader, head[1])


# ---------------------------------------------------------------------------------------------------------------------
# Clients
# ---------------------------------------------------------------------------------------------------------------------

counter = itertools.count(1)


def new_attempt(name):
    return "%s-%06d" % (name, next(counter))


def request_bytes(method, path, headers, body):
    lines = ["%s %s HTTP/1.1" % (method, path), "Host: a.example"]
    lines += ["%s: %s" % entry for entry in headers.items()]
    if body or method != "GET":
        lines.append("Content-Length: %d" % len(body))
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def send(stage, front, name, method, path, headers, body=b"", deadline_s=3.0, heads=None):
    """One client attempt on a new connection. @return its id, the status (None: no answer) and the body (None: not whole).
    The answer's head is noted in `heads`, where that is given."""
    attempt = headers.get("X-Cuminledge-Attempt-Id") or new_attempt(name)
    headers = dict(headers)
    headers["X-Cuminledge-Attempt-Id"] = attempt
    headers.setdefault("X-Cuminledge-Deadline-Ms", str(int(deadline_s * 1000)))
    status, text, why = None, None, ""
    try:
        with socket.create_connection((front.ip, stage.ports["front"]), timeout=1.0) as connection:
            connection.settimeout(deadline_s)
            connection.sendall(request_bytes(method, path, headers, body))
            with connection.makefile("rb") as reader:
                head = read_head(reader)
                if head is not None:
                    status = int(head[0].split(" ")[1])
                    if heads is not None:
                        heads[attempt] = head[1]
                    text = read_body(reader, head[1])
    except (OSError, ValueError) as problem:
        why = " (%s)" % problem
    stage.record("client: %s %s %s with %d bytes: %s%s" % (attempt, method, path, len(body),
                 "no answer" if status is None else "%d%s" % (status, "" if text is not None else ", not whole"), why))
    return attempt, status, text


def run_case(folder, play, **deployment):
    """Runs `play(stage, trouble)`; exits with 1 if it returns a text that says how the rule was broken."""
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    record("trouble: %s" % ("yes" if trouble else "no"))
    stage = None
    try:
        stage = Stage(record, **deployment)
        broken = play(stage, trouble)
    except CannotRun as problem:
        record("could not run: %s" % problem)
        print("could not run: %s" % problem)
        code = NOT_RUN
    else:
        record("broken: %s" % broken if broken else "held")
        print("broken: %s" % broken if broken else "held")
        code = BROKEN if broken else HELD
    finally:
        if stage is not None:
            stage.stop()
    sys.exit(code)
