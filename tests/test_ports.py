"""Ports for the processes of one test program. They lie below those that the system gives to outgoing connections, in a block that
the program holds until it ends, so that nothing else takes one between its choice and its use."""

import os
import pathlib
import socket
import threading

FIRST_PORT = 10_000
PORTS_PER_BLOCK = 200

lock = threading.Lock()
guard = None
owner = None
next_port = 0


def end_of_ports():
    """The first port that the system may give to an outgoing connection."""
    try:
        return int(pathlib.Path("/proc/sys/net/ipv4/ip_local_port_range").read_text().split()[0])
    except OSError:
        return 32_768


def take_block():
    """Takes the first free block, by a socket on its first port that is held from now on."""
    blocks = (end_of_ports() - FIRST_PORT) // PORTS_PER_BLOCK
    for i in range(blocks):
        first = FIRST_PORT + (os.getpid() + i) % blocks * PORTS_PER_BLOCK
        held = socket.socket()
        try:
            held.bind(("127.0.0.1", first))
            return held, first
        except OSError:
            held.close()
    raise RuntimeError("no block of ports is free")


def is_free(port):
    """Whether nothing listens there; a port of a block that an ended test has left may still be in use."""
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(type=kind) as probe:
            try:
                probe.bind(("", port))
            except OSError:
                return False
    return True


def free_port():
    """A port that no other test uses, on any address."""
    global guard, owner, next_port
    with lock:
        # A process that this one has started by fork needs a block of its own.
        if owner != os.getpid():
            guard, next_port = take_block()
            owner = os.getpid()
        while True:
            next_port += 1
            if next_port % PORTS_PER_BLOCK == 0:
                raise RuntimeError("the block of ports is used up")
            if is_free(next_port):
                return next_port
