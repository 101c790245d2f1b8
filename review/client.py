"""A small HTTP client that knows exactly whether an answer came whole: a chunked body only with its last chunk, a body
with a length only in full, any other body only with an orderly end of the connection.
"""

import socket
import time


class CutOff(Exception):
    """The connection ended before the answer did."""


class Connection:
    """One connection to a front machine, for one request after the other."""

    def __init__(self, address, timeout):
        host, port = address.split(":")
        self.socket = socket.create_connection((host, int(port)), timeout=min(timeout, 1.0))
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.socket.settimeout(timeout)
        self.buffer = b""
        self.pace = None  # (bytes, seconds): what is read at once, and the pause after it

    def close(self):
        self.socket.close()

    def send(self, method, path, headers, body):
        lines = [f"{method} {path} HTTP/1.1"] + [f"{name}: {value}" for name, value in headers.items()]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        self.socket.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + body)

    def fill(self):
        if self.pace:
            time.sleep(self.pace[1])
        data = self.socket.recv(self.pace[0] if self.pace else 65536)
        if not data:
            raise CutOff("the connection ended")
        self.buffer += data

    def line(self):
        while b"\r\n" not in self.buffer:
            self.fill()
        line, self.buffer = self.buffer.split(b"\r\n", 1)
        return line.decode()

    def take(self, count):
        while len(self.buffer) < count:
            self.fill()
        data, self.buffer = self.buffer[:count], self.buffer[count:]
        return data

    def head(self):
        """Returns status and headers, with names in lower case."""
        status = int(self.line().split()[1])
        headers = {}
        while True:
            line = self.line()
            if not line:
                return status, headers
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()

    def body(self, headers):
        """Yields the pieces of the body as they come; raises CutOff if it does not come whole."""
        if headers.get("transfer-encoding", "") == "chunked":
            while True:
                size = int(self.line().split(";")[0], 16)
                if size == 0:
                    self.line()
                    return
                yield self.take(size)
                self.take(2)
        elif "content-length" in headers:
            yield self.take(int(headers["content-length"]))
        else:
            try:
                while True:
                    self.fill()
                    yield self.take(len(self.buffer))
            except CutOff:
                return


class EventReader:
    """Splits an event stream into (id, data)."""

    def __init__(self):
        self.partial = b""

    def feed(self, piece):
        self.partial += piece
        events = []
        while b"\n\n" in self.partial:
            text, self.partial = self.partial.split(b"\n\n", 1)
            number, data = "", []
            for line in text.decode().split("\n"):
                if line.startswith("id:"):
                    number = line[3:].strip()
                elif line.startswith("data:"):
                    data.append(line[5:].removeprefix(" "))
            if data:
                events.append((number, "\n".join(data)))
        return events
