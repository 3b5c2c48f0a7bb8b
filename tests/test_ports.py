"""Tests of the ports that tests hand to the processes that they start."""

import socket
import subprocess
import sys

from tests.ports import HOST, free_ports

# Finds ports in another test process and keeps them until its input ends.
OTHER_RUN = """
import sys
from tests import ports
ports.os.getpid = lambda: int(sys.argv[1])
print(*ports.free_ports(4), flush=True)
sys.stdin.read()
"""


def test_two_test_runs_get_different_ports() -> None:
    """Guards against a port that another run takes before the instance binds it."""
    command = [sys.executable, "-c", OTHER_RUN, "77"]
    runs = [
        subprocess.Popen(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE)
        for _ in range(2)
    ]
    try:
        found = [[int(port) for port in run.stdout.readline().split()] for run in runs]
    finally:
        for run in runs:
            run.communicate(timeout=10)
    assert all(len(ports) == 4 for ports in found)
    assert not set(found[0]) & set(found[1])


def test_reserved_port_can_be_bound() -> None:
    """Guards against a reservation that keeps the process under test out as well."""
    ports = free_ports(3)
    assert len(set(ports + free_ports(3))) == 6
    for port in ports:
        with socket.socket() as sock:
            sock.bind((HOST, port))
