#!/usr/bin/env python3
"""A recorded run of each program replays to the same effects."""

import subprocess
import unittest

from support import DeploymentTest, unique


class TraceTest(DeploymentTest):
    base_port = 25000

    @classmethod
    def setUpClass(cls):
        cls.options = {"trace": ("controller-1", "gateway-1", "sidecar-engine-1", "sidecar-service-1")}
        super().setUpClass()

    def test_recorded_runs_replay_to_the_same_effects(self):
        for number in range(1, 4):
            program = self.open_program()
            for turn in range(1, number + 1):
                self.assertEqual(self.turn(program, turn, stream=turn % 2 == 0)[0], 200)
        self.assertEqual(self.payout(unique("payout"))[0], 200)
        self.deployment.stop()
        for name in self.options["trace"]:
            entry = self.deployment.entry(name)
            command = [str(self.deployment.bin / entry["program"]), "--config", str(self.deployment.folder / f"{name}.json"),
                       "--replay", entry["settings"]["trace_file"]]
            run = subprocess.run(command, capture_output=True, text=True, check=False)
            self.assertEqual(run.returncode, 0, f"{name}: {run.stdout}{run.stderr}")
            self.assertIn("differences=0", run.stdout)
            self.assertNotIn("events=0 ", run.stdout)


if __name__ == "__main__":
    unittest.main()
