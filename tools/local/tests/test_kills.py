#!/usr/bin/env python3
"""kill -9 of any one process: a new caller is served again, and nothing committed is lost."""

import json
import signal
import time
import unittest

from support import ACCOUNT, DeploymentTest, in_thread, request, unique

SIGNAL_SPACING_SECONDS = 0.2  # distinct signals, all within a second


class KillTest(DeploymentTest):
    base_port = 23500

    def restart(self, name):
        self.deployment.start_process(name)
        entry = self.deployment.entry(name)
        if entry["role"] in ("gateway", "sidecar", "controller"):
            self.deployment.wait_until_ready(entry["admin_address"])
        else:
            self.eventually(lambda: request(entry["address"], "GET", "/health")[0] == 200, f"{name} listens")

    def history_turns(self, program):
        for gateway in self.gateways():
            try:
                status, _, text = request(gateway, "GET", f"/v1/programs/{program}/history", None, self.key())
                if status == 200:
                    return [t["turn"] for t in json.loads(text)["turns"]]
            except OSError:
                continue
        return None

    def test_any_one_process_killed(self):
        for entry in list(self.deployment.entries):
            with self.subTest(process=entry["name"]):
                program = self.open_program(self.gateways()[1])
                self.assertEqual(self.turn(program, 1, self.gateways()[1])[0], 200)
                self.deployment.kill(entry["name"])
                self.eventually(self.serves_new_caller, "a new caller is served")
                self.eventually(lambda: self.history_turns(program) == [1], "the committed turn is still there")
                self.restart(entry["name"])
                self.eventually(self.serves_new_caller, "a new caller is served after the restart")

    def test_payouts_at_most_once_while_each_process_dies(self):
        for entry in list(self.deployment.entries):
            if entry["role"] == "engine" or "engine" in entry["name"]:
                continue
            with self.subTest(process=entry["name"]):
                calls = [unique("payout") for _ in range(8)]
                pending = [in_thread(self.payout, call, self.gateways()[i % 2]) for i, call in enumerate(calls)]
                self.deployment.kill(entry["name"])
                for join in pending:
                    try:
                        join()
                    except OSError:
                        pass
                self.restart(entry["name"])
                # Side by side: each question about an outcome that stays unknown waits for it.
                for join in [in_thread(self.check_settles, call) for call in calls]:
                    join()

    def check_settles(self, call):
        """Resends through both gateways until the outcome is known; whatever it is must be true."""
        for gateway in self.gateways() * 2:
            status, _, text = self.payout(call, gateway)
            self.assertLessEqual(self.executions_ever(call), 1, call)
            if status == 200:
                return
            ran = json.loads(text).get("ran")
            self.assertIn(ran, ("not_run", "unknown"), text)
            if ran == "not_run":
                self.assertEqual(self.executions_ever(call), 0, text)

    def executions_ever(self, call):
        return self.executions(call)


class ShutdownTest(DeploymentTest):
    base_port = 23700
    # 20 ms a token: streams run for as long as max_tokens says, and not only until the first signal.
    options = {"engine_settings": {"answer_tokens": 256, "decode_step_us": 20000}}

    def test_graceful_shutdown_of_a_gateway_cuts_off_no_request(self):
        gateway = self.gateways()[0]
        programs = [self.open_program(gateway) for _ in range(8)]
        pending = [in_thread(self.turn, program, 1, gateway, stream=True, max_tokens=64) for program in programs]
        self.deployment.signal("gateway-1", signal.SIGTERM)
        for join in pending:
            status, _, text = join()
            self.assertEqual(status, 200, text)
            self.assertTrue(text.rstrip().endswith("data: [DONE]"))
        self.deployment.processes["gateway-1"].wait(30)
        self.assertEqual(self.deployment.processes["gateway-1"].returncode, 0)
        self.deployment.start_process("gateway-1")
        self.eventually(self.serves_new_caller, "served again")

    # Guards against a repeated SIGTERM that ends a draining process at once, with streams under way.
    def test_signals_in_series_during_a_graceful_shutdown_cut_off_no_request(self):
        gateway = self.gateways()[0]
        programs = [self.open_program(gateway) for _ in range(8)]
        pending = [in_thread(self.turn, program, 1, gateway, stream=True, max_tokens=256) for program in programs]
        self.eventually(lambda: self.streams_running("gateway-1") == len(programs), "every stream runs")
        for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM, signal.SIGTERM):
            self.deployment.signal("gateway-1", number)
            time.sleep(SIGNAL_SPACING_SECONDS)
        running = self.streams_running("gateway-1")
        for join in pending:
            status, _, text = join()
            self.assertEqual(status, 200, text)
            self.assertTrue(text.rstrip().endswith("data: [DONE]"))
        self.assertEqual(running, len(programs), "every stream still ran after the last signal")
        self.deployment.processes["gateway-1"].wait(30)
        self.assertEqual(self.deployment.processes["gateway-1"].returncode, 0)
        self.deployment.start_process("gateway-1")
        self.eventually(self.serves_new_caller, "served again")

    def streams_running(self, gateway):
        """Calls that the gateway has under way at a backend server; 0 if the gateway has ended."""
        try:
            return sum(call["backend"] != "" for call in self.dump(gateway)["calls"])
        except OSError:
            return 0

    def backend_state(self, backend):
        run = self.deployment.ctl("--output", "json", "backend", "list")
        return next(b["state"] for b in json.loads(run.stdout)["backends"] if b["backend"] == backend)

    def test_engine_that_died_gets_no_new_work_while_its_sidecar_lives(self):
        self.eventually(lambda: self.backend_state("engine-2") == "serving", "the engine serves")
        self.deployment.kill("engine-2")
        self.eventually(lambda: self.backend_state("engine-2") != "serving", "the dead engine is known")
        self.assertTrue(self.serves_new_caller())
        self.deployment.start_process("engine-2")
        self.eventually(lambda: self.backend_state("engine-2") == "serving", "the engine serves again")

    def test_withdrawn_key_stops_and_another_does_not(self):
        run = self.deployment.ctl("--output", "json", "key", "issue", ACCOUNT)
        issued = json.loads(run.stdout)
        headers = {"Authorization": f"Bearer {issued['key']}"}
        for gateway in self.gateways():
            self.eventually(
                lambda g=gateway: request(g, "POST", "/v1/programs", {"route": "quotes"}, headers)[0] == 201,
                "the new key works")
        self.deployment.ctl("key", "withdraw", issued["key_id"])
        for gateway in self.gateways():
            self.eventually(
                lambda g=gateway: request(g, "POST", "/v1/programs", {"route": "quotes"}, headers)[0] == 401,
                "the withdrawn key stops")
        self.assertTrue(self.serves_new_caller())


if __name__ == "__main__":
    unittest.main()
