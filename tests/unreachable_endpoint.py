"""An endpoint that lives on while connections to it get no answer, as behind a link that loses their first packets."""

import socket
import threading
import time


class UnreachableEndpoint:
    """Takes requests, up to `count` that come within 0.3 s of each other, gives each at once a whole answer without a length, and leaves new connections without an answer for
    `silent_for` seconds; afterwards it answers each request when it comes."""

    def __init__(self, name, count, silent_for):
        self.name, self.count, self.silent_for = name, count, silent_for
        self.born = int(time.time() * 1000)
        self.answered = 0
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=4)
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        threading.Thread(target=self.run, daemon=True).start()

    def run(self):
        calls = self.read_call()
        self.listener.settimeout(0.3)
        try:
            while len(calls) < self.count:
                calls += self.read_call()
        except socket.timeout:
            pass
        fillers = self.fill_queue()
        for connection, request_id in calls:
            self.answer(connection, request_id)
        time.sleep(self.silent_for)
        self.empty_queue(fillers)
        while True:
            for connection, request_id in self.read_call():
                self.answer(connection, request_id)

    def read_call(self):
        connection, _ = self.listener.accept()
        text = b""
        while b"\r\n\r\n" not in text:
            received = connection.recv(4096)
            if not received:
                return []
            text += received
        lines = text.split(b"\r\n")
        return [(connection, line.split(b": ")[1]) for line in lines if line.lower().startswith(b"bilberrybarrow-request-id:")]

    def fill_queue(self):
        """Connections that are never accepted: while they wait, the system drops the first packets of all others."""
        fillers = []
        for _ in range(8):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self.listener.getsockname())
            fillers.append(filler)
        time.sleep(0.02)
        return fillers

    def empty_queue(self, fillers):
        for filler in fillers:
            filler.close()
        self.listener.settimeout(0.05)
        try:
            while True:
                self.listener.accept()[0].close()
        except OSError:
            self.listener.settimeout(None)

    def answer(self, connection, request_id):
        head = b"HTTP/1.1 200 OK\r\nBilberrybarrow-Request-Id: " + request_id + b"\r\nBilberrybarrow-Response-Seal: x\r\nBilberrybarrow-Instance-Id: " + self.name.encode() + b"\r\nConnection: close\r\n\r\n"
        connection.sendall(head + b"done by " + self.name.encode())
        connection.shutdown(socket.SHUT_WR)
        self.answered += 1
