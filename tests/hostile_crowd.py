"""Callers that nobody controls: a crowd of connections that send what a list says and then stay open, and what a process holds meanwhile.

Nothing here depends on the machine's speed: a crowd ends to send when no connection takes or loses bytes any more.
"""

import contextlib
import fcntl
import os
import pathlib
import selectors
import socket
import struct
import termios
import time

import harness

# The crowd and the bounds of all tests; they are fixed before the product is changed.
CALLERS = 160
SOURCES = 4
BODY_BYTES = 1 << 20
MEMORY_MB = 64
MAX_DESCRIPTORS = 512
# One connection in so many sends its request to the end.
WHOLE_EVERY = 20
SMALL_BUFFER = 4096
QUIET_SECONDS = 1.5
LONGEST_SECONDS = 20


def settings():
    """The settings of a VM, by environment: a process that doesn't know one starts all the same."""
    os.environ["FLAGS_memory_mb"] = str(MEMORY_MB)
    os.environ["FLAGS_max_descriptors"] = str(MAX_DESCRIPTORS)


def head(path="/plain/", method="POST", host="service.example", number=0, **headers):
    fields = {"Host": host, "Authorization": "Token key-of-acme", "Bilberrybarrow-Request-Id": f"hostile-{number}", "Bilberrybarrow-Deadline-Ms": "4000", **headers}
    return (f"{method} {path} HTTP/1.1\r\n" + "".join(f"{name.replace('_', '-')}: {value}\r\n" for name, value in fields.items()) + "\r\n").encode()


def chunks(data, size):
    return b"".join(b"%x\r\n%s\r\n" % (len(data[i:i + size]), data[i:i + size]) for i in range(0, len(data), size))


# What a crowd sends: the bytes that all connections share, after a head of its own.

TEXT = b"x" * BODY_BYTES
TRAILERS = b"5\r\nhello\r\n0\r\n" + b"X-Filler: " + b"y" * 90 + b"\r\n"
SHAPES = {
    "trailers without end": ({"Transfer_Encoding": "chunked"}, TRAILERS + (b"X-Filler: " + b"y" * 90 + b"\r\n") * (BODY_BYTES // 102)),
    "one trailer without end": ({"Transfer_Encoding": "chunked"}, b"5\r\nhello\r\n0\r\nX-Filler: " + TEXT),
    "chunk extension without end": ({"Transfer_Encoding": "chunked"}, b"5;name=" + TEXT),
    "bodies with a length": ({"Content_Length": str(BODY_BYTES)}, TEXT),
    "bodies in large chunks": ({"Transfer_Encoding": "chunked"}, chunks(TEXT, 64 << 10) + b"0\r\n\r\n"),
    "bodies in very small chunks": ({"Transfer_Encoding": "chunked"}, chunks(TEXT[:96 << 10], 1) + b"0\r\n\r\n"),
    "heads that stop short": ({}, None),
}


class Caller:
    def __init__(self, address, parts, source, reads=True):
        self.parts = [memoryview(part) for part in parts if part]
        self.reads = reads
        self.received = 0
        self.is_gone = False
        self.socket = socket.socket()
        if not reads:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER)
        self.socket.bind((source, 0))
        self.socket.setblocking(False)
        host, port = address.rsplit(":", 1)
        self.socket.connect_ex((host, int(port)))

    def send_some(self, most):
        """Whether bytes were taken."""
        if not self.parts:
            return False
        try:
            count = self.socket.send(self.parts[0][:most])
        except BlockingIOError:
            return False
        except OSError:
            self.leave()
            return False
        self.parts[0] = self.parts[0][count:]
        if not len(self.parts[0]):
            self.parts.pop(0)
        return count > 0

    def receive(self):
        try:
            data = self.socket.recv(1 << 16)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        self.received += len(data)
        if not data:
            self.leave()

    def has_answer(self):
        try:
            self.socket.recv(1, socket.MSG_PEEK)
            return True
        except BlockingIOError:
            return False
        except OSError:
            return True

    def unsent(self):
        """Bytes that the system holds for the process, at this end."""
        with contextlib.suppress(OSError):
            return struct.unpack("i", fcntl.ioctl(self.socket, termios.TIOCOUTQ, b"\0" * 4))[0]
        return 0

    def leave(self):
        self.is_gone = True
        self.parts = []

    def close(self):
        with contextlib.suppress(OSError):
            self.socket.close()


class Crowd:
    """Connections that send their parts side by side, each at most `piece` bytes in a turn, and stay open. Use it as a context manager."""

    def __init__(self, address, parts_of_each, piece=1 << 20, reads=True):
        self.callers = [Caller(address, parts, f"127.0.3.{1 + number % SOURCES}", reads) for number, parts in enumerate(parts_of_each)]
        self.piece = piece

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for caller in self.callers:
            caller.close()

    def send(self):
        """Sends until nothing is left or nobody takes anything for a while."""
        selector = selectors.DefaultSelector()
        for caller in self.callers:
            selector.register(caller.socket, selectors.EVENT_WRITE | (selectors.EVENT_READ if caller.reads else 0), caller)
        end = time.monotonic() + LONGEST_SECONDS
        quiet_since = time.monotonic()
        while selector.get_map() and time.monotonic() < min(end, quiet_since + QUIET_SECONDS):
            for key, events in selector.select(0.1):
                caller = key.data
                if events & selectors.EVENT_READ:
                    caller.receive()
                if caller.send_some(self.piece):
                    quiet_since = time.monotonic()
                if not caller.parts:
                    selector.unregister(caller.socket)
        selector.close()

    def send_in_waves(self, size=2):
        """Sends of a few connections at a time; the next ones follow once each of them has bytes of an answer, which stay unread."""
        everyone = self.callers
        for first in range(0, len(everyone), size):
            self.callers = everyone[first:first + size]
            self.send()
            end = time.monotonic() + LONGEST_SECONDS / 4
            while time.monotonic() < end and not all(caller.has_answer() for caller in self.callers):
                time.sleep(0.01)
        self.callers = everyone

    def settle(self, watched, ports):
        """Waits until what was sent has been read as far as it will be, and the process's memory doesn't change any more."""
        end = time.monotonic() + LONGEST_SECONDS
        last, since = None, time.monotonic()
        while time.monotonic() < min(end, since + QUIET_SECONDS):
            for caller in self.callers:
                if caller.reads and not caller.is_gone:
                    caller.receive()
            state = (sum(caller.unsent() for caller in self.callers), unread_bytes(ports), watched.resident_mb())
            if state != last:
                last, since = state, time.monotonic()
            time.sleep(0.1)


class Watched:
    """What a process holds: its peak memory since the start, and its descriptors."""

    def __init__(self, pid):
        self.pid = pid
        self.most_descriptors = 0

    def status_kib(self, name):
        try:
            lines = pathlib.Path(f"/proc/{self.pid}/status").read_text().splitlines()
        except OSError:
            return 0
        return next((int(line.split()[1]) for line in lines if line.startswith(name)), 0)

    def peak_mb(self):
        return self.status_kib("VmHWM") / 1024

    def resident_mb(self):
        return self.status_kib("VmRSS") // 1024

    def descriptors(self):
        with contextlib.suppress(OSError):
            self.most_descriptors = max(self.most_descriptors, len(os.listdir(f"/proc/{self.pid}/fd")))


def unread_bytes(ports):
    """Bytes that wait unread in the system at sockets of these ports; reported only."""
    total = 0
    for line in pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        if int(fields[1].split(":")[1], 16) in ports:
            total += int(fields[4].split(":")[1], 16)
    return total


def parts_of(shape, path="/plain/", method="POST"):
    """Each caller's parts; most stop one byte short of their end."""
    headers, text = SHAPES[shape]
    if text is None:
        return [[head(path, method, number=number, X_Filler="y" * (15 << 10))[:-2]] for number in range(CALLERS)]
    view = memoryview(text)
    return [[head(path, method, number=number, **headers), view if number % WHOLE_EVERY == 0 else view[:-1]] for number in range(CALLERS)]


def check(name, process, crowd, ask, ports=(), in_waves=False):
    """Lets the crowd send, asks as an ordinary caller while it stays open, and checks what the process holds. Gives the figures."""
    watched = Watched(process.pid)
    if in_waves:
        crowd.send_in_waves()
    else:
        crowd.send()
    watched.descriptors()
    crowd.settle(watched, ports)
    unread = unread_bytes(ports)
    harness.wait_until(lambda: process.poll() is not None or ask(), 20, f"{name}: an ordinary request is answered")
    assert process.poll() is None, (name, "the process has ended", process.returncode)
    watched.descriptors()
    peak = watched.peak_mb()
    figures = f"{name}: peak {peak:.0f} MB of {MEMORY_MB}, {watched.most_descriptors} descriptors of {MAX_DESCRIPTORS}, {unread >> 10} KiB unread, {sum(caller.is_gone for caller in crowd.callers)} of {len(crowd.callers)} connections closed"
    print(figures, flush=True)
    faults = []
    if peak > MEMORY_MB:
        faults.append(f"{name}: {peak:.0f} MB of {MEMORY_MB}")
    if watched.most_descriptors > MAX_DESCRIPTORS:
        faults.append(f"{name}: {watched.most_descriptors} descriptors of {MAX_DESCRIPTORS}")
    return faults


def run_rows(rows):
    """Runs all rows, each with processes of its own, and fails with all faults at once."""
    faults = []
    for row in rows:
        try:
            faults += row()
        except AssertionError as error:
            faults.append(str(error))
    assert not faults, faults
