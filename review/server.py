#!/usr/bin/env python3
"""A stand-in for a server of the platform (PROTOCOL.md): runs requests, streams events, announces itself.

Usage: server.py SETTINGS.json
Settings: id, address, service, zone, version, slots, controls, runs_file, heartbeat_s, first_beat_after_s, events, event_s.
It streams as many events as a request's X-Cuminledge-Token-Usage allows, or `events` where a request has none.
It appends one line of JSON to runs_file for each request that it begins to run, and for each event that it writes.
"""

import hashlib
import http.client
import http.server
import json
import socket
import sys
import threading
import time

CALL_TIMEOUT_S = 1
MAX_REDIRECTS = 2
EVENT_TOKENS = 35


class Announcer:
    """Sends a heartbeat about every heartbeat_s, to the address that the last answer named or to any control address."""

    def __init__(self, settings):
        self.settings = settings
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.preferred = None

    def run(self):
        time.sleep(self.settings["first_beat_after_s"])
        while True:
            self.beat("ready")
            time.sleep(self.settings["heartbeat_s"])

    def beat(self, state):
        self.sequence += 1
        document = {"service": self.settings["service"], "address": self.settings["address"],
                    "zone": self.settings["zone"], "version": self.settings["version"],
                    "slots": self.settings["slots"], "state": state, "cold_left_ms": 0, "seq": self.sequence,
                    "born": self.born}
        if self.settings.get("engine"):
            document["phase"] = "mixed"
            document["models"] = [{"name": "m", "version": 1, "adapters": []}]
        targets = ([self.preferred] if self.preferred else []) + list(self.settings["controls"])
        return any(self.call(target, document) for target in targets)

    def call(self, address, document):
        for _ in range(MAX_REDIRECTS + 1):
            connection = http.client.HTTPConnection(address, timeout=CALL_TIMEOUT_S)
            try:
                connection.request("POST", f"/api/instances/{self.settings['id']}/heartbeat", json.dumps(document),
                                   {"Content-Type": "application/json"})
                response = connection.getresponse()
                text = response.read()
                if response.status == 307:
                    address = response.headers["Location"].split("/")[2]
                    continue
                if response.status == 200:
                    self.preferred = json.loads(text or b"{}").get("heartbeat_addr") or self.preferred
                    return True
                return False
            except (OSError, http.client.HTTPException, ValueError):
                self.preferred = None
                return False
            finally:
                connection.close()
        return False


class Runs:
    """The file of what the server ran and wrote."""

    def __init__(self, path, server_id, version):
        self.file = open(path, "a", encoding="utf-8", buffering=1)
        self.lock = threading.Lock()
        self.common = {"server": server_id, "version": version}

    def note(self, what, **fields):
        with self.lock:
            self.file.write(json.dumps(dict(self.common, t=time.time(), what=what, **fields)) + "\n")


def make_handler(settings, runs):
    class Handler(http.server.BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"

        def handle_one_request(self):
            try:
                super().handle_one_request()
            except (ConnectionError, socket.timeout):
                self.close_connection = True

        def do_GET(self):  # pylint: disable=invalid-name
            if self.path == "/healthz":
                self.answer(200, b"", {"X-Cuminledge-Instance-Id": settings["id"]})
                return
            self.run()

        def do_POST(self):  # pylint: disable=invalid-name
            self.run()

        def run(self):
            body = self.rfile.read(int(self.headers.get("Content-Length", "0")))
            attempt = self.headers.get("X-Cuminledge-Attempt-Id", "")
            expected = self.headers.get("X-Cuminledge-Expect-Instance", settings["id"])
            if not attempt or expected != settings["id"]:
                self.answer(421 if attempt else 400, b"", {"X-Cuminledge-Not-Executed": "1"})
                return
            runs.note("run", attempt=attempt, path=self.path, bytes=len(body), digest=hashlib.sha256(body).hexdigest(),
                      tenant=self.headers.get("X-Cuminledge-Tenant", ""),
                      last_event=self.headers.get("Last-Event-Id", ""))
            if self.path.startswith("/call/"):
                self.answer(200, b"done " + attempt.encode(), {})
                return
            self.stream(attempt)

        def stream(self, attempt):
            last = int(self.headers.get("Last-Event-Id") or 0)
            usage = self.headers.get("X-Cuminledge-Token-Usage", "")
            events = int(usage.split(",")[1]) // EVENT_TOKENS if usage else settings["events"]
            self.send_response(200)
            self.send_header("Content-Type", "text/event-stream")
            self.send_header("X-Cuminledge-Attempt-Id", attempt)
            self.send_header("X-Cuminledge-Response-Signature", "s." + settings["id"])
            self.send_header("Transfer-Encoding", "chunked")
            self.end_headers()
            for number in range(last + 1, events + 1):
                time.sleep(settings["event_s"])
                event = f"id: {number}\ndata: {settings['version']}.{settings['id']}.{number}\n\n".encode()
                self.wfile.write(b"%x\r\n%s\r\n" % (len(event), event))
                runs.note("event", attempt=attempt, number=number)
            self.wfile.write(b"0\r\n\r\n")
            runs.note("end", attempt=attempt)

        def answer(self, status, body, headers):
            self.send_response(status)
            attempt = self.headers.get("X-Cuminledge-Attempt-Id", "")
            if attempt:
                self.send_header("X-Cuminledge-Attempt-Id", attempt)
            if status == 200:
                self.send_header("X-Cuminledge-Response-Signature", "s." + settings["id"])
            for name, value in headers.items():
                self.send_header(name, value)
            self.send_header("Content-Length", str(len(body)))
            self.end_headers()
            self.wfile.write(body)

        def log_message(self, *arguments):
            pass

    return Handler


class Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128
    allow_reuse_address = True

    def handle_error(self, request, client_address):
        pass


def main():
    with open(sys.argv[1], encoding="utf-8") as file:
        settings = json.load(file)
    runs = Runs(settings["runs_file"], settings["id"], settings["version"])
    host, port = settings["address"].split(":")
    server = Server((host, int(port)), make_handler(settings, runs))
    threading.Thread(target=Announcer(settings).run, daemon=True).start()
    server.serve_forever()


if __name__ == "__main__":
    main()
