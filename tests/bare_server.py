"""A server on a bare socket. It sends the bytes that a test gives it, also those that are no HTTP."""

import socket
import struct
import threading
import time

import harness

# Small enough that most of an upload is still with the sender while the server answers.
SMALL_BUFFER = 4096


class Request:
    """The head of a request; its body is left on the connection."""

    def __init__(self, head):
        lines = head.decode("latin-1").split("\r\n")
        self.method, self.path, _ = lines[0].split(" ", 2)
        self.headers = {name.lower(): value for name, _, value in (line.partition(": ") for line in lines[1:])}

    def field(self, name):
        return self.headers.get(name.lower(), "")


class BareServer:
    """Calls `answer(connection, request)` for the head of each request, one at a time on a connection, and closes the connection if that gives
    false. Connections that send nothing are left alone. `requests` are the heads received since a test cleared them."""

    def __init__(self, answer=None, host="127.0.0.1", receive_buffer=None):
        self.answer = answer
        self.requests = []
        self.listener = socket.socket()
        if receive_buffer:
            self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        self.listener.bind((host, 0))
        self.listener.listen(256)
        self.address = "%s:%d" % self.listener.getsockname()
        threading.Thread(target=self.run, daemon=True).start()

    def run(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        with connection:
            try:
                while request := read_request(connection):
                    self.requests.append(request)
                    if not self.answer(connection, request):
                        return
            except OSError:
                pass

    def stop(self):
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()


def read_request(connection):
    """Reads byte by byte, so that no byte of the body is taken. None at the end of the connection."""
    head = b""
    while not head.endswith(b"\r\n\r\n"):
        byte = connection.recv(1)
        if not byte:
            return None
        head += byte
    return Request(head[:-4])


def read_body(connection, request):
    """The body, or what of it arrives before the connection ends."""
    length = int(request.field("Content-Length") or 0)
    body = b""
    while len(body) < length:
        received = connection.recv(min(length - len(body), 65536))
        if not received:
            break
        body += received
    return body


def reset(connection):
    """Closes with a reset; what was sent before and isn't delivered yet is lost with it."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    connection.close()


def answer_and_reset(connection, answer, delay):
    """Sends the bytes while the request is still being written, and resets the connection after `delay` seconds."""
    connection.sendall(answer)
    time.sleep(delay)
    reset(connection)


class BareEndpoint(BareServer):
    """An endpoint as platform_fleet.Fleet lists it."""

    def __init__(self, name, **how):
        super().__init__(**how)
        self.name = name
        self.born = int(time.time() * 1000)

    def head(self, request, *lines, status="HTTP/1.1 200 OK"):
        """The head of an answer to the request, with further lines; without one of them, the answer ends with its connection."""
        fields = ["Bilberrybarrow-Request-Id: " + request.field("Bilberrybarrow-Request-Id"), "Bilberrybarrow-Response-Seal: seal", "Bilberrybarrow-Instance-Id: " + self.name, *lines]
        return "\r\n".join([status, *fields, "", ""]).encode("latin-1")


def add_endpoints(fleet, paths, count=6, **how):
    """Lists `count` endpoints for the service that is named like each path; gives them by path."""
    endpoints = {path: [BareEndpoint(f"{path.strip('/')}-{number}", **how) for number in range(count)] for path in dict.fromkeys(paths)}
    for path, row in endpoints.items():
        for endpoint in row:
            fleet.list_endpoint(endpoint, path.strip("/"))
            fleet.stand_ins.append(endpoint)
    return endpoints


def play_until_sent(play, count, what):
    """Plays again while the entry has fewer endpoints than `count` left to send to, after earlier failures. The last figure that `play` gives
    is how often its request was sent."""
    def play_once():
        result = play()
        return result if result[-1] >= count else None
    return harness.wait_until(play_once, 10, what)


def cut_first_run(endpoint, events, answer, connection, request):
    """Breaks the first run of a stream off after these events; the run that goes on with it gets the answer."""
    if request.field("Last-Event-Id"):
        return answer(connection, request)
    read_body(connection, request)
    begun = b"".join(events)
    connection.sendall(endpoint.head(request, "Content-Type: text/event-stream", "Transfer-Encoding: chunked") + b"%x\r\n%s\r\n" % (len(begun), begun))
    return False


def relay(connection, request, target, change=None):
    """Passes one request on to a process and its answer back, as it is or as `change(answer)` gives it; the connection ends with it."""
    body = read_body(connection, request)
    lines = [f"{request.method} {request.path} HTTP/1.1", *(f"{name}: {value}" for name, value in request.headers.items() if name != "connection"), "Connection: close", "", ""]
    host, port = target.rsplit(":", 1)
    with socket.create_connection((host, int(port)), 10) as process:
        process.sendall("\r\n".join(lines).encode("latin-1") + body)
        answer = b""
        while received := process.recv(65536):
            answer += received
    connection.sendall(change(answer) if change else answer)
