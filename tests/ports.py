"""Ports on the loopback interface that no other test process takes meanwhile."""

import os
import socket

HOST = "127.0.0.1"
# A port is reserved by a socket that is bound to it on a second loopback address, so
# that the port stays free on ``HOST`` for the process under test.
GUARD_HOST = "127.0.0.2"
# Below the range from which the kernel takes the ports of outgoing connections.
FIRST_PORT = 10_000
LAST_PORT = 32_000

_guards: list[socket.socket] = []


def free_ports(count: int) -> list[int]:
    """Reserve ``count`` consecutive ports until this process ends."""
    size = (LAST_PORT - FIRST_PORT) // count
    # Test processes start their search at different ports.
    offset = os.getpid() * 7_919
    for number in range(size):
        first = FIRST_PORT + (offset + number) % size * count
        if _reserve(range(first, first + count)):
            return list(range(first, first + count))
    raise AssertionError(f"no {count} consecutive ports are free")


def _reserve(ports: range) -> bool:
    guards: list[socket.socket] = []
    for port in ports:
        guard = socket.socket()
        guards.append(guard)
        if not _can_bind(guard, GUARD_HOST, port) or not _is_free(port):
            for taken in guards:
                taken.close()
            return False
    _guards.extend(guards)
    return True


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        return _can_bind(probe, HOST, port)


def _can_bind(sock: socket.socket, host: str, port: int) -> bool:
    try:
        sock.bind((host, port))
    except OSError:
        return False
    return True
