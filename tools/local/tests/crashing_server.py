#!/usr/bin/env python3
"""A stand-in for a backend server that announces itself and ends when it is asked to run a certain body.

Usage: crashing_server.py ID ADDRESS SERVICE CRASHING_BODY CONTROL_ADDRESS...
It prints a line for each request that it begins to run.
"""

import http.client
import http.server
import itertools
import json
import os
import sys
import threading
import time

ANNOUNCE_INTERVAL_SECONDS = 0.3
CALL_TIMEOUT_SECONDS = 1
MAX_REDIRECTS = 2


def announce(control, server_id, document):
    """Sends one heartbeat to a controller, or to the one that it names. Returns whether it was acknowledged."""
    address = control
    for _ in range(MAX_REDIRECTS + 1):
        connection = http.client.HTTPConnection(address, timeout=CALL_TIMEOUT_SECONDS)
        try:
            connection.request("POST", f"/api/instances/{server_id}/heartbeat", json.dumps(document))
            response = connection.getresponse()
            if response.status != 307:
                return response.status == 200
            address = response.headers["Location"].split("/")[2]
        except OSError:
            return False
        finally:
            connection.close()
    return False


def announce_for_ever(controls, server_id, address, service):
    born = int(time.time() * 1000)
    for sequence in itertools.count(1):
        document = {"service": service, "address": address, "zone": "a", "version": "v1", "slots": 4, "state": "ready",
                    "cold_left_ms": 0, "seq": sequence, "born": born}
        any(announce(control, server_id, document) for control in controls)
        time.sleep(ANNOUNCE_INTERVAL_SECONDS)


def make_handler(crashing_body):
    class Handler(http.server.BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"

        def do_POST(self):  # pylint: disable=invalid-name
            body = self.rfile.read(int(self.headers["Content-Length"]))
            attempt = self.headers["X-Cuminledge-Attempt-Id"]
            print(attempt, flush=True)
            if body == crashing_body:
                os._exit(1)
            self.send_response(200)
            self.send_header("X-Cuminledge-Attempt-Id", attempt)
            self.send_header("X-Cuminledge-Response-Signature", "stand-in")
            self.send_header("Content-Length", "2")
            self.end_headers()
            self.wfile.write(b"ok")

        def log_message(self, *arguments):
            pass

    return Handler


def main():
    server_id, address, service, crashing_body, *controls = sys.argv[1:]
    host, port = address.split(":")
    server = http.server.ThreadingHTTPServer((host, int(port)), make_handler(crashing_body.encode()))
    threading.Thread(target=announce_for_ever, args=(controls, server_id, address, service), daemon=True).start()
    server.serve_forever()


if __name__ == "__main__":
    main()
