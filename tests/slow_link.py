"""A link that delivers what is sent to a server late, also when the sender has reset its connection meanwhile."""

import queue
import socket
import threading
import time


class SlowLink:
    """Relays connections to `target` (IP:port). Bytes to the target take `delay` seconds, bytes from it none."""

    def __init__(self, target, delay=0.0):
        host, port = target.rsplit(":", 1)
        self.target = (host, int(port))
        self.delay = delay
        self.server = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.address = "%s:%d" % self.server.getsockname()
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                client, _ = self.server.accept()
            except OSError:
                return
            threading.Thread(target=self.relay, args=(client,), daemon=True).start()

    def relay(self, client):
        target = socket.create_connection(self.target)
        in_flight = queue.Queue()
        threading.Thread(target=self.deliver, args=(in_flight, target), daemon=True).start()
        threading.Thread(target=self.pass_back, args=(target, client), daemon=True).start()
        while True:
            try:
                data = client.recv(65536)
            except OSError:
                data = b""
            in_flight.put((time.monotonic() + self.delay, data))
            if not data:
                return

    def deliver(self, in_flight, target):
        while True:
            due, data = in_flight.get()
            time.sleep(max(0.0, due - time.monotonic()))
            try:
                if not data:
                    target.shutdown(socket.SHUT_WR)
                    return
                target.sendall(data)
            except OSError:
                return

    def pass_back(self, target, client):
        try:
            while data := target.recv(65536):
                client.sendall(data)
            client.shutdown(socket.SHUT_WR)
        except OSError:
            pass

    def stop(self):
        self.server.close()
