"""The platform's programs as real processes on loopback: controllers, gateways and small servers."""

import http.client
import json
import pathlib
import shutil
import subprocess
import sys
import time
import unittest
import uuid

ROOT = pathlib.Path(__file__).resolve().parents[3]
BIN = ROOT / "build" / "bin"
SECRET = "process-test-shared-secret"
HANG_GUARD_SECONDS = 60
STOP_TIMEOUT_SECONDS = 15

TABLE = {
    "version": 1,
    "routes": [{"name": "r", "host": "h.example", "path_prefix": "/work/", "kind": "safe", "timeout_ms": 3000,
                "target_latency_ms": 200, "priority": 0, "service": "s", "max_attempts": 2}],
    "services": [{"name": "s", "health_path": "/healthz", "max_conns": 100, "protocol": "h1", "tls": False}],
    "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
               "idle_timeout_ms": 15000},
    "tenants": [{"name": "alice", "api_keys": ["key-a"], "priority": 1}],
}


def call(address, method, path, body, headers=None):
    """Returns status and text."""
    connection = http.client.HTTPConnection(address, timeout=10)
    try:
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        return response.status, response.read().decode()
    finally:
        connection.close()


class PlatformTest(unittest.TestCase):
    """Starts the processes for each test. Subclasses set `base_port`, and may set what else stands here."""

    base_port = 0
    controllers = ["127.0.0.1", "127.0.0.2", "127.0.0.3"]
    gateway_count = 2
    server_count = 6
    crashing_body = "the body that ends servers"
    gateway_settings = {"max_connections": 100}

    def setUp(self):
        self.folder = ROOT / "build" / "process-tests" / type(self).__name__
        shutil.rmtree(self.folder, ignore_errors=True)
        self.folder.mkdir(parents=True)
        self.processes = {}
        self.control_port, self.peer_port, self.admin_port = self.base_port, self.base_port + 1, self.base_port + 2
        self.controls = [f"{ip}:{self.control_port}" for ip in self.controllers]
        self.gateways = [f"127.0.0.1:{self.base_port + 100 + 10 * i}" for i in range(self.gateway_count)]
        self.servers = {f"s{i}": f"127.0.0.1:{self.base_port + 200 + i}" for i in range(self.server_count)}
        self.addCleanup(self.stop)
        for ip in self.controllers:
            self.start_controller(ip)
        for i in range(self.gateway_count):
            self.start_gateway(i)
        self.eventually(self.accepts_table, "the route table is accepted")
        for name in self.servers:
            self.start_server(name)
        for gateway in self.gateways:
            self.eventually(lambda gateway=gateway: self.send(gateway, "warm up")[0] == 200, "a gateway serves")

    def stop(self):
        for process in self.processes.values():
            process.terminate()
        for process in self.processes.values():
            try:
                process.wait(STOP_TIMEOUT_SECONDS)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()

    def start(self, name, arguments):
        with open(self.folder / f"{name}.log", "ab") as log:
            self.processes[name] = subprocess.Popen(arguments, stdout=log, stderr=log)

    def start_program(self, name, program, settings):
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings))
        self.start(name, [BIN / program, "--config", path])

    def start_controller(self, ip):
        name = f"{ip}:{self.peer_port}"
        self.start_program(f"controller-{ip}", "platform-controller", {
            "name": name, "region": "r", "failure_domain": "a", "log_level": "info", "secret": SECRET, "peer_address": name,
            "admin_address": f"{ip}:{self.admin_port}", "control_address": f"{ip}:{self.control_port}",
            "data_folder": str(self.folder / ip), "tick_ms": 20,
            "controller": {"seeds": self.controls, "peer_port": self.peer_port, "groups": 1, "bootstrap": True,
                           "tolerated_losses": 1, "announce_lease_ms": 5000}})

    def start_gateway(self, i):
        port = self.base_port + 100 + 10 * i
        self.start_program(f"gateway-{i}", "platform-gateway", {
            "name": f"gateway-{i}", "region": "r", "failure_domain": "a", "log_level": "info", "secret": SECRET,
            "peer_address": f"127.0.0.1:{port + 1}", "admin_address": f"127.0.0.1:{port + 2}", "readiness_path": "/api/readyz",
            "caller_address": self.gateways[i], "tick_ms": 20, "connect_timeout_ms": 300,
            "forwarder": {"seeds": self.controls, "peer_port": self.peer_port}, **self.gateway_settings})

    def start_server(self, name):
        script = pathlib.Path(__file__).with_name("crashing_server.py")
        self.start(name, [sys.executable, script, name, self.servers[name], "s", self.crashing_body, *self.controls])

    def accepts_table(self):
        return any(call(control, "POST", "/api/config/replace", json.dumps(TABLE))[0] == 200 for control in self.controls)

    def send(self, gateway, body):
        """One try of a caller, with an id of its own."""
        headers = {"Host": "h.example", "X-Cuminledge-Attempt-Id": uuid.uuid4().hex, "X-Cuminledge-Deadline-Ms": "3000",
                   "X-Cuminledge-Credential": "key-a"}
        return call(gateway, "POST", "/work/1", body, headers)

    def eventually(self, holds, what):
        """The bound only keeps a broken system from hanging the test."""
        deadline = time.monotonic() + HANG_GUARD_SECONDS
        while True:
            try:
                if holds():
                    return
            except (OSError, http.client.HTTPException):
                pass
            self.assertLess(time.monotonic(), deadline, f"never happened: {what}")
            time.sleep(0.05)
