#!/usr/bin/env python3
"""Runs a whole local deployment on loopback: writes the settings, starts the processes, runs a sample program.

The processes are the shipped programs, started here because no process of the system starts another. Used by run.sh
and by the process tests; `deployment.json` in the run folder tells what runs where.
"""

import argparse
import http.client
import json
import os
import pathlib
import shutil
import signal
import subprocess
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
CONTROLLERS = 3
GATEWAYS = 2
ENGINES = 3
SERVICES = 2
REGION = "lk-central"
FAILURE_DOMAINS = ["a", "b", "c"]
SECRET = "local-deployment-shared-secret"
START_TIMEOUT_SECONDS = 30
STOP_TIMEOUT_SECONDS = 15


class Deployment:
    """The processes of one local deployment, their ports and settings."""

    def __init__(self, base_port, build, folder, extra_gateway=None, controllers=CONTROLLERS, gateways=GATEWAYS,
                 engines=ENGINES, services=SERVICES, engine_settings=None, log_level="info", trace=()):
        self.base_port = base_port
        self.bin = pathlib.Path(build) / "bin"
        self.folder = pathlib.Path(folder)
        self.counts = (controllers, gateways, engines, services)
        self.engine_settings = engine_settings or {}
        self.extra_gateway = extra_gateway or {}
        self.log_level = log_level
        self.trace = trace
        self.processes = {}
        self.entries = []
        self.keys = {}
        self._plan()

    def _address(self, offset):
        return f"{HOST}:{self.base_port + offset}"

    def _common(self, name, domain, peer, admin):
        settings = {"name": name, "region": REGION, "failure_domain": FAILURE_DOMAINS[domain % len(FAILURE_DOMAINS)],
                    "log_level": self.log_level, "secret": SECRET,
                    "peer_address": self._address(peer), "admin_address": self._address(admin)}
        if name in self.trace:
            settings["trace_file"] = str(self.folder / f"{name}.trace")
        return settings

    def _plan(self):
        controllers, gateways, engines, services = self.counts
        self.controllers = [{"name": f"controller-{i + 1}", "address": self._address(100 + i)}
                            for i in range(controllers)]
        for i in range(controllers):
            self._plan_controller(i)
        for i in range(engines):
            self._plan_engine(i)
        for i in range(services):
            self._plan_service(i)
        for i in range(gateways):
            self._plan_gateway(i)

    def _add(self, name, role, program, settings, address, admin, data=""):
        self.entries.append({"name": name, "role": role, "program": program, "settings": settings, "pid": 0,
                             "address": address, "admin_address": admin, "data_folder": data})

    def _plan_controller(self, i):
        name = f"controller-{i + 1}"
        settings = self._common(name, i, 100 + i, 120 + i)
        settings["operator_address"] = self._address(110 + i)
        settings["data_folder"] = str(self.folder / "data" / name)
        settings["controller"] = {"controllers": self._controllers_with_operators(), "groups": 4}
        self._add(name, "controller", "cuminledge-controller", settings, settings["operator_address"],
                  settings["admin_address"], settings["data_folder"])

    def _controllers_with_operators(self):
        return [dict(c, operator_address=self._address(110 + i)) for i, c in enumerate(self.controllers)]

    def _plan_gateway(self, i):
        name = f"gateway-{i + 1}"
        settings = self._common(name, i, 10 + i, 20 + i)
        settings["caller_address"] = self._address(i)
        settings["gateway"] = dict({"controllers": self.controllers}, **self.extra_gateway)
        self._add(name, "gateway", "cuminledge-gateway", settings, settings["caller_address"],
                  settings["admin_address"])

    def _plan_engine(self, i):
        engine = f"engine-{i + 1}"
        address = self._address(300 + i)
        self._add(engine, "engine", "standin_engine", dict({"listen_address": address, "name": engine, "models": ["talker"]}, **self.engine_settings), address,
                  address)
        self._plan_sidecar(f"sidecar-{engine}", engine, i, 200 + i, 220 + i, address, "engine", ["talker", "talker@1", "talker@2"])

    def _plan_service(self, i):
        service = f"service-{i + 1}"
        address = self._address(400 + i)
        settings = {"listen_address": address, "name": service,
                    "executions_file": str(self.folder / f"{service}.executions")}
        self._add(service, "service", "standin_service", settings, address, address)
        self._plan_sidecar(f"sidecar-{service}", service, i, 240 + i, 260 + i, address, "service", ["orders", "ledger"])

    def _plan_sidecar(self, name, backend, i, peer, admin, backend_address, kind, models):
        settings = self._common(name, i, peer, admin)
        settings["sidecar"] = {"controllers": self.controllers, "backend": backend, "kind": kind,
                               "backend_address": backend_address, "peer_address": settings["peer_address"],
                               "models": models}
        if kind == "engine":
            settings["sidecar"]["batch_limit"] = 32
            settings["sidecar"]["cache_tokens"] = 200000
        self._add(name, "sidecar", "cuminledge-sidecar", settings, settings["peer_address"],
                  settings["admin_address"])

    # --------------------------------------------------------------------------------------------------------------
    # Processes
    # --------------------------------------------------------------------------------------------------------------

    def start(self):
        """Starts every process and waits until each gateway is ready."""
        shutil.rmtree(self.folder, ignore_errors=True)
        (self.folder / "data").mkdir(parents=True)
        for entry in self.entries:
            self.start_process(entry["name"])
        self.wait_for_controllers()

    def start_process(self, name):
        """Starts (again) one process with its settings."""
        entry = self.entry(name)
        settings_file = self.folder / f"{name}.json"
        settings_file.write_text(json.dumps(entry["settings"], indent=2) + "\n")
        with open(self.folder / f"{name}.log", "ab") as log:
            process = subprocess.Popen([str(self.bin / entry["program"]), "--config", str(settings_file)],
                                       stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        self.processes[name] = process
        entry["pid"] = process.pid
        self.write_description()

    def entry(self, name):
        return next(e for e in self.entries if e["name"] == name)

    def signal(self, name, number):
        self.processes[name].send_signal(number)

    def kill(self, name):
        """kill -9, and waits for the process to be gone."""
        self.processes[name].kill()
        self.processes[name].wait()

    def stop(self):
        """SIGTERM to all, callers' side first; SIGKILL to what is left. Returns the names that did not exit with 0."""
        order = ["gateway", "sidecar", "engine", "service", "controller"]
        failed = []
        for role in order:
            names = [e["name"] for e in self.entries if e["role"] == role and e["name"] in self.processes]
            for name in names:
                if self.processes[name].poll() is None:
                    self.processes[name].send_signal(signal.SIGCONT)
                    self.processes[name].terminate()
            deadline = time.monotonic() + STOP_TIMEOUT_SECONDS
            for name in names:
                process = self.processes[name]
                try:
                    process.wait(max(0.1, deadline - time.monotonic()))
                except subprocess.TimeoutExpired:
                    process.kill()
                    process.wait()
                if process.returncode != 0:
                    failed.append(f"{name} ({process.returncode})")
        return failed

    def write_description(self):
        shown = [{k: v for k, v in e.items() if k not in ("settings", "program")} for e in self.entries]
        text = json.dumps({"processes": shown, "keys": self.keys, "controllers": self.operator_addresses()}, indent=2)
        (self.folder / "deployment.json").write_text(text + "\n")

    # --------------------------------------------------------------------------------------------------------------
    # Operators and callers
    # --------------------------------------------------------------------------------------------------------------

    def operator_addresses(self):
        return ",".join(self._address(110 + i) for i in range(self.counts[0]))

    def ctl(self, *arguments, check=True):
        command = [str(self.bin / "cuminledgectl"), "--controllers", self.operator_addresses(), *arguments]
        run = subprocess.run(command, capture_output=True, text=True, timeout=30)
        if check and run.returncode != 0:
            raise RuntimeError(f"{' '.join(arguments)}: exit {run.returncode}: {run.stdout}{run.stderr}")
        return run

    def wait_for_controllers(self):
        deadline = time.monotonic() + START_TIMEOUT_SECONDS
        while True:
            run = self.ctl("status", check=False)
            if run.returncode == 0:
                return
            if time.monotonic() > deadline:
                raise RuntimeError(f"the controllers have no leader: {run.stdout}{run.stderr}")
            time.sleep(0.1)

    def prepare(self, manifest):
        """Accepts the manifest, issues a key for each of its client accounts, waits for the gateways to serve."""
        self.ctl("manifest", "accept", str(manifest))
        for account in json.loads(pathlib.Path(manifest).read_text())["client_accounts"]:
            run = self.ctl("--output", "json", "key", "issue", account["id"])
            self.keys[account["id"]] = json.loads(run.stdout)["key"]
        self.write_description()
        for entry in self.entries:
            if entry["role"] == "gateway":
                self.wait_until_ready(entry["admin_address"])
                self.wait_for_keys(entry["address"])

    def wait_for_keys(self, gateway):
        """A key is in force everywhere within 3 s of its issue."""
        deadline = time.monotonic() + START_TIMEOUT_SECONDS
        for key in self.keys.values():
            headers = {"Authorization": f"Bearer {key}"}
            while request(gateway, "GET", "/v1/programs/none", None, headers)[0] == 401:
                if time.monotonic() > deadline:
                    raise RuntimeError(f"{gateway} does not know the keys")
                time.sleep(0.05)

    def wait_until_ready(self, admin_address):
        deadline = time.monotonic() + START_TIMEOUT_SECONDS
        while True:
            try:
                if request(admin_address, "GET", "/readyz")[0] == 200:
                    return
            except OSError:
                pass
            if time.monotonic() > deadline:
                raise RuntimeError(f"{admin_address} did not become ready")
            time.sleep(0.05)


def request(address, method, target, body=None, headers=None, timeout=30):
    """One HTTP exchange. Returns (status, headers, text)."""
    host, port = address.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        text = json.dumps(body) if body is not None else None
        all_headers = dict(headers or {})
        if text is not None:
            all_headers.setdefault("Content-Type", "application/json")
        connection.request(method, target, text, all_headers)
        answer = connection.getresponse()
        return answer.status, dict(answer.getheaders()), answer.read().decode()
    finally:
        connection.close()


def run_sample(deployment, account="franchise-counter"):
    """A program of several turns with a non-repeatable call in between; prints what happened and where it ran."""
    gateways = [e["address"] for e in deployment.entries if e["role"] == "gateway"]
    key = {"Authorization": f"Bearer {deployment.keys[account]}"}
    status, _, text = request(gateways[0], "POST", "/v1/programs", {"route": "quotes"}, key)
    expect(status == 201, f"open program: {status} {text}")
    program = json.loads(text)["id"]
    print(f"program {program} opened, budget {json.loads(text)['budget_tokens']} tokens")
    for turn in range(1, 5):
        gateway = gateways[turn % len(gateways)]
        if turn == 3:
            run_payout(deployment, gateways, key, program)
        run_turn(gateway, key, program, turn)
    status, _, text = request(gateways[0], "GET", f"/v1/programs/{program}/history", None, key)
    expect(status == 200 and len(json.loads(text)["turns"]) == 4, f"history: {status} {text}")
    print("history: 4 committed turns")
    status, _, text = request(gateways[0], "DELETE", f"/v1/programs/{program}", None, key)
    expect(status in (200, 204), f"end program: {status} {text}")
    print(deployment.ctl("program", "show", program).stdout.strip())


def run_turn(gateway, key, program, turn):
    body = {"model": "talker", "max_tokens": 24,
            "messages": [{"role": "user", "content": f"turn {turn}: which handle fits a number two mamoty?"}],
            "stream": turn % 2 == 0}
    headers = dict(key, **{"Cuminledge-Program": program, "Cuminledge-Turn": str(turn)})
    status, answer, text = request(gateway, "POST", "/v1/chat/completions", body, headers)
    expect(status == 200, f"turn {turn}: {status} {text}")
    if body["stream"]:
        expect(text.rstrip().endswith("data: [DONE]"), f"turn {turn}: stream not complete: {text[-200:]}")
    kind = "streamed" if body["stream"] else "whole"
    where = {k.lower(): v for k, v in answer.items()}.get("cuminledge-backend", "")
    print(f"turn {turn}: {kind} answer of {len(text)} bytes by way of {gateway} {where}".rstrip())


def run_payout(deployment, gateways, key, program):
    """The same payout sent through both gateways: it runs once, and both get the same answer."""
    headers = dict(key, **{"Idempotency-Key": f"payout-{program}", "Cuminledge-Program": program})
    answers = []
    for gateway in gateways:
        status, _, text = request(gateway, "POST", "/v1/services/orders/payout", {"amount": 1250}, headers)
        expect(status == 200, f"payout: {status} {text}")
        answers.append(text)
    expect(len(set(answers)) == 1, f"payout answers differ: {answers}")
    executions = {}
    for entry in deployment.entries:
        if entry["role"] == "service":
            for call, times in json.loads(request(entry["address"], "GET", "/executions")[2]).items():
                executions[call] = executions.get(call, 0) + times
    expect(sum(executions.values()) == 1, f"executions: {executions}")
    print(f"payout sent twice, executed {sum(executions.values())} time: {answers[0]}")


def expect(holds, message):
    if not holds:
        raise RuntimeError(message)


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--keep", action="store_true", help="leave everything running until Ctrl-C")
    parser.add_argument("--base-port", type=int, default=18000)
    parser.add_argument("--build", default=str(ROOT / "build"))
    parser.add_argument("--folder", default=str(ROOT / "build" / "run"))
    arguments = parser.parse_args()
    deployment = Deployment(arguments.base_port, arguments.build, arguments.folder)
    try:
        deployment.start()
        deployment.prepare(ROOT / "examples" / "manifest.json")
        run_sample(deployment)
        if arguments.keep:
            print(f"running; see {os.path.relpath(deployment.folder / 'deployment.json')}; Ctrl-C ends it", flush=True)
            signal.signal(signal.SIGTERM, lambda *_: (_ for _ in ()).throw(KeyboardInterrupt()))
            signal.pause()
    except KeyboardInterrupt:
        pass
    except (RuntimeError, OSError, subprocess.SubprocessError) as problem:
        print(f"failed: {problem}; logs are in {deployment.folder}", file=sys.stderr)
        deployment.stop()
        return 1
    failed = deployment.stop()
    if failed:
        print(f"did not end cleanly: {', '.join(failed)}", file=sys.stderr)
        return 1
    print("all processes ended")
    return 0


if __name__ == "__main__":
    sys.exit(main())
