"""What the process tests share: a deployment for each test class, and callers."""

import json
import pathlib
import sys
import threading
import time
import unittest
import uuid

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from deployment import Deployment, ROOT, request  # noqa: E402

ACCOUNT = "franchise-counter"
OTHER_ACCOUNT = "gauntlet-workshop"
ROUTE = "quotes"
MODEL = "talker"
HANG_GUARD_SECONDS = 40
JOIN_GUARD_SECONDS = 120


class DeploymentTest(unittest.TestCase):
    """Starts a deployment for the class. Subclasses set `base_port` and may set `options`."""

    base_port = 0
    options = {}

    @classmethod
    def setUpClass(cls):
        folder = ROOT / "build" / "process-tests" / cls.__name__
        cls.deployment = Deployment(cls.base_port, ROOT / "build", folder, **cls.options)
        try:
            cls.deployment.start()
            cls.deployment.prepare(ROOT / "examples" / "manifest.json")
        except Exception:
            cls.deployment.stop()
            raise

    @classmethod
    def tearDownClass(cls):
        cls.deployment.stop()

    # --------------------------------------------------------------------------------------------------------------

    def gateways(self):
        return [e["address"] for e in self.deployment.entries if e["role"] == "gateway"]

    def key(self, account=ACCOUNT):
        return {"Authorization": f"Bearer {self.deployment.keys[account]}"}

    def open_program(self, gateway=None, account=ACCOUNT, **fields):
        body = dict({"route": ROUTE}, **fields)
        status, _, text = request(gateway or self.gateways()[0], "POST", "/v1/programs", body, self.key(account))
        self.assertEqual(status, 201, text)
        return json.loads(text)["id"]

    def turn(self, program, number, gateway=None, account=ACCOUNT, content="which handle fits?", **fields):
        """One turn of a program. Returns (status, headers, text)."""
        body = dict({"model": MODEL, "max_tokens": 16, "messages": [{"role": "user", "content": content}]}, **fields)
        headers = dict(self.key(account), **{"Cuminledge-Program": program, "Cuminledge-Turn": str(number)})
        return request(gateway or self.gateways()[0], "POST", "/v1/chat/completions", body, headers)

    def payout(self, call, gateway=None, account=ACCOUNT, body=None, timeout=30):
        headers = dict(self.key(account), **{"Idempotency-Key": call})
        return request(gateway or self.gateways()[0], "POST", "/v1/services/orders/payout", body or {"amount": 3},
                       headers, timeout)

    def executions(self, call=None):
        """Times executed, over all services, by call id (as the services know it)."""
        total = {}
        for entry in self.deployment.entries:
            if entry["role"] == "service" and self.is_running(entry["name"]):
                for name, times in json.loads(request(entry["address"], "GET", "/executions")[2]).items():
                    total[name] = total.get(name, 0) + times
        if call is None:
            return total
        return sum(times for name, times in total.items() if call in name)

    def is_running(self, name):
        process = self.deployment.processes.get(name)
        return process is not None and process.poll() is None

    def dump(self, name):
        return json.loads(request(self.deployment.entry(name)["admin_address"], "GET", "/debug/state")[2])

    def eventually(self, holds, what):
        """Waits until `holds()` is true. The bound only keeps a broken system from hanging the test."""
        deadline = time.monotonic() + HANG_GUARD_SECONDS
        while True:
            try:
                if holds():
                    return
            except (OSError, ValueError):
                pass
            self.assertLess(time.monotonic(), deadline, f"never happened: {what}")
            time.sleep(0.05)

    def serves_new_caller(self):
        """A new caller opens a program and gets a whole answer, through any gateway that takes connections."""
        for gateway in self.gateways():
            try:
                status, _, text = request(gateway, "POST", "/v1/programs", {"route": ROUTE}, self.key(), timeout=3)
                if status != 201:
                    continue
                program = json.loads(text)["id"]
                if self.turn(program, 1, gateway)[0] == 200:
                    return True
            except OSError:
                continue
        return False


def unique(prefix):
    return f"{prefix}-{uuid.uuid4().hex[:12]}"


def in_thread(function, *arguments, **named):
    """Runs a call in a thread. Returns a function that joins it and gives its result (or raises its exception)."""
    box = {}

    def body():
        try:
            box["value"] = function(*arguments, **named)
        except Exception as problem:  # pylint: disable=broad-except
            box["problem"] = problem

    thread = threading.Thread(target=body, daemon=True)
    thread.start()

    def join():
        thread.join(JOIN_GUARD_SECONDS)
        if thread.is_alive():
            raise TimeoutError("the call never ended")
        if "problem" in box:
            raise box["problem"]
        return box["value"]

    return join
