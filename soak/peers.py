"""Owners of the loopback connections that the proxies accept."""

import os
import socket
import struct
from collections.abc import Mapping
from pathlib import Path

from soak.proxy import HOST

# Kernel interface that looks up one socket; the table of all sockets takes too long to
# read on a machine with many connections.
NETLINK_SOCK_DIAG = 4
SOCK_DIAG_BY_FAMILY = 20
NLM_F_REQUEST = 1
ALL_STATES = 0xFFFFFFFF
NO_COOKIE = 0xFFFFFFFF
HEADER = struct.Struct("=IHHII")
FAMILY = struct.Struct("=BBBBI")
ADDRESSES = struct.Struct("!HH4s12x4s12x")
# Interface and cookie of the socket.
IDENTITY = struct.Struct("=III")
# Offset of the inode in a reply, after its header.
INODE_AT = HEADER.size + 4 + ADDRESSES.size + IDENTITY.size + 16
REPLY_BYTES = 8_192


def find_owner(port: int, remote_port: int, processes: Mapping[str, int]) -> str:
    """Return the name of the process with a connection, empty if none has it."""
    inode = _socket_inode(port, remote_port)
    link = f"socket:[{inode}]"
    for name, process in processes.items():
        if inode and _holds(Path(f"/proc/{process}/fd"), link):
            return name
    return ""


def _socket_inode(port: int, remote_port: int) -> int:
    """Return the inode of a connected socket, 0 if there is none."""
    host = socket.inet_aton(HOST)
    body = (
        FAMILY.pack(socket.AF_INET, socket.IPPROTO_TCP, 0, 0, ALL_STATES)
        + ADDRESSES.pack(port, remote_port, host, host)
        + IDENTITY.pack(0, NO_COOKIE, NO_COOKIE)
    )
    size = HEADER.size + len(body)
    with socket.socket(
        socket.AF_NETLINK, socket.SOCK_RAW, NETLINK_SOCK_DIAG
    ) as netlink:
        header = HEADER.pack(size, SOCK_DIAG_BY_FAMILY, NLM_F_REQUEST, 0, 0)
        netlink.send(header + body)
        reply = netlink.recv(REPLY_BYTES)
    if HEADER.unpack_from(reply)[1] != SOCK_DIAG_BY_FAMILY:
        return 0
    return int(struct.unpack_from("=I", reply, INODE_AT)[0])


def _holds(folder: Path, link: str) -> bool:
    try:
        return any(os.readlink(entry) == link for entry in folder.iterdir())
    except OSError:
        # The process or one of its files is gone.
        return False
