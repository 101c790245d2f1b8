#!/usr/bin/env python3
"""A request that ends every server that runs it, against the platform's programs as real processes."""

import time
import unittest

from platform_stage import PlatformTest

CRASHES_TO_QUARANTINE = 3


class CrashingRequestTest(PlatformTest):
    base_port = 26300

    def setUp(self):
        self.crashes = 0
        super().setUp()

    def restart_ended_servers(self):
        """Counts the servers that have ended and starts them again. Returns how many there were."""
        ended = [name for name in self.servers if self.processes[name].poll() is not None]
        for name in ended:
            self.start_server(name)
        self.crashes += len(ended)
        return len(ended)

    def is_quarantined(self, gateway):
        """Whether a try is refused as quarantined and ends no server."""
        status, text = self.send(gateway, self.crashing_body)
        time.sleep(0.3)  # ended servers stay away for a moment
        return self.restart_ended_servers() == 0 and status == 503 and "quarantined" in text

    # Guards against a request that ends one server after the other, as each gateway and each try begins from nothing.
    def test_is_refused_everywhere_and_others_are_served(self):
        for gateway in self.gateways:
            self.eventually(lambda gateway=gateway: self.is_quarantined(gateway), "the request is quarantined")
        self.assertGreaterEqual(self.crashes, CRASHES_TO_QUARANTINE)
        before = self.crashes
        for gateway in self.gateways * 5:
            self.assertTrue(self.is_quarantined(gateway))
        self.processes["gateway-0"].kill()
        self.processes["gateway-0"].wait()
        self.start_gateway(0)
        self.eventually(lambda: self.send(self.gateways[0], "another body")[0] == 200, "the new gateway serves others")
        self.assertTrue(self.is_quarantined(self.gateways[0]))
        self.assertEqual(self.crashes, before)
        for gateway in self.gateways:
            self.eventually(lambda gateway=gateway: self.send(gateway, "another body")[0] == 200, "others are served")


if __name__ == "__main__":
    unittest.main()
