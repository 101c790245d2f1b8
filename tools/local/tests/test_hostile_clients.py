#!/usr/bin/env python3
"""Clients that send without an end, against the platform's programs as real processes.

Each case looks at what does not depend on the machine's speed: the process lives, its memory and its open descriptors stay
under a bound, and an ordinary request is answered while the crowd still holds its connections, and afterwards.
"""

import os
import pathlib
import socket
import unittest

from platform_stage import PlatformTest

CROWD = 40  # connections, half of what the gateway takes
MAX_CONNECTIONS = 80
BYTES_OF_EACH = 4 << 20  # sent by each client, unless it is closed before
PIECE = 64 << 10
MAX_MEMORY_KB = 64 << 10  # the most memory a process may have had; it has 13 MB at rest
MAX_DESCRIPTORS = MAX_CONNECTIONS + 60  # the rest are listeners, peers, servers and files
SEND_TIMEOUT_SECONDS = 0.25  # for a client that is not read any more
LARGEST_BODY = 4 << 20

HEAD = (b"POST /work/1 HTTP/1.1\r\nHost: h.example\r\nX-Cuminledge-Attempt-Id: %d\r\nX-Cuminledge-Deadline-Ms: 3000\r\n"
        b"X-Cuminledge-Credential: key-a\r\n")
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
ENDLESS = {
    "an endless field of a head": (HEAD + b"X-Long: ", b"a" * PIECE),
    "endless fields of a head": (HEAD, b"X-Some: thing\r\n" * (PIECE // 15)),
    "an endless chunk size": (CHUNKED, b"0" * PIECE),
    "an endless chunk extension": (CHUNKED + b"5;a=", b"a" * PIECE),
    "endless chunks of one byte": (CHUNKED, b"1\r\na\r\n" * (PIECE // 6)),
    "an endless trailer field": (CHUNKED + b"5\r\nabcde\r\n0\r\nX-Long: ", b"a" * PIECE),
    "endless trailer fields": (CHUNKED + b"5\r\nabcde\r\n0\r\n", b"X-Some: thing\r\n" * (PIECE // 15)),
    "endless pipelined requests": (b"", (HEAD % 7 + b"Content-Length: 3\r\n\r\nabc") * (PIECE // 160)),
    "an endless request line": (b"POST /work/", b"a" * PIECE),
}


class Client:
    """One connection that sends until it is closed or has sent all that it should."""

    def __init__(self, address, number, beginning):
        host, port = address.split(":")
        self.socket = socket.create_connection((host, int(port)), timeout=SEND_TIMEOUT_SECONDS)
        self.open = True
        self.send(beginning.replace(b"%d", b"%d" % number))

    def send(self, data):
        if not self.open:
            return
        try:
            self.socket.sendall(data)
        except OSError:
            self.open = False

    def close(self):
        self.socket.close()


class HostileClientTest(PlatformTest):
    base_port = 27300
    controllers = ["127.0.0.1"]
    gateway_count = 1
    server_count = 2
    gateway_settings = {"max_connections": MAX_CONNECTIONS}

    def restart(self, name):
        """An earlier case may have left the process with more memory than it needs."""
        self.processes[name].kill()
        self.processes[name].wait()
        if name.startswith("gateway"):
            self.start_gateway(0)
        else:
            self.start_controller(self.controllers[0])
            self.eventually(self.accepts_table, "the controller is back")
        self.serves()

    def peak_memory_kb(self, name):
        status = pathlib.Path(f"/proc/{self.processes[name].pid}/status").read_text()
        return next(int(line.split()[1]) for line in status.splitlines() if line.startswith("VmHWM"))

    def descriptors(self, name):
        return len(os.listdir(f"/proc/{self.processes[name].pid}/fd"))

    def check_process(self, name):
        self.assertIsNone(self.processes[name].poll(), f"{name} has ended")
        self.assertLess(self.peak_memory_kb(name), MAX_MEMORY_KB, name)
        self.assertLess(self.descriptors(name), MAX_DESCRIPTORS, name)

    def serves(self):
        self.eventually(lambda: self.send(self.gateways[0], "an ordinary body")[0] == 200, "an ordinary request is served")

    def press(self, name, address, beginning, piece, length):
        """Sends from all clients by turns, and looks at the process while they hold their connections and afterwards."""
        self.restart(name)
        clients = [Client(address, number, beginning) for number in range(CROWD)]
        try:
            for _ in range(length // len(piece)):
                for client in clients:
                    client.send(piece)
                self.check_process(name)
            self.serves()
        finally:
            for client in clients:
                client.close()
        self.serves()
        self.check_process(name)

    # Guards against a part of a request that is kept without being counted.
    def test_requests_without_end_at_a_gateway(self):
        for case, (beginning, piece) in ENDLESS.items():
            with self.subTest(case):
                self.press("gateway-0", self.gateways[0], beginning, piece, BYTES_OF_EACH)

    # Guards against the same at the listener of servers and operators, which has no key to ask for.
    def test_requests_without_end_at_a_controller(self):
        for case, (beginning, piece) in ENDLESS.items():
            with self.subTest(case):
                self.press("controller-127.0.0.1", self.controls[0], beginning, piece, BYTES_OF_EACH)

    # Guards against bodies that are each inside the limit but together outgrow the memory.
    def test_largest_bodies_on_all_connections_at_once(self):
        beginning = HEAD + b"Content-Length: %d\r\n\r\n" % LARGEST_BODY
        with self.subTest("bodies that stop before their end"):
            self.press("gateway-0", self.gateways[0], beginning, b"a" * PIECE, LARGEST_BODY - PIECE)
        with self.subTest("bodies that end"):
            self.press("gateway-0", self.gateways[0], beginning, b"a" * PIECE, LARGEST_BODY)

    # Guards against connections that keep a large buffer once their request is answered.
    def test_largest_heads_on_idle_connections(self):
        padding = b"X-Some: " + b"a" * (12 << 10) + b"\r\n"
        request = HEAD + padding + b"Content-Length: 3\r\n\r\nabc"
        self.press("gateway-0", self.gateways[0], b"", request.replace(b"%d", b"7"), len(request))

    # Guards against a bound that refuses the largest request that callers may send.
    def test_one_largest_request_is_served(self):
        self.assertEqual(self.send(self.gateways[0], b"a" * LARGEST_BODY)[0], 200)
        self.assertEqual(self.send(self.gateways[0], b"a" * (LARGEST_BODY + 1))[0], 413)


if __name__ == "__main__":
    unittest.main()
