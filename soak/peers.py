"""Owners of the loopback connections that the proxies accept."""

import os
from collections.abc import Mapping
from pathlib import Path

SOCKETS = Path("/proc/net/tcp")


def find_owner(port: int, remote_port: int, processes: Mapping[str, int]) -> str:
    """Return the name of the process with a connection, empty if none has it."""
    inode = _socket_inode(f":{port:04X}", f":{remote_port:04X}")
    if inode is None:
        return ""
    link = f"socket:[{inode}]"
    for name, process in processes.items():
        if _holds(Path(f"/proc/{process}/fd"), link):
            return name
    return ""


def _socket_inode(local: str, remote: str) -> str | None:
    for line in SOCKETS.read_text().splitlines()[1:]:
        fields = line.split()
        # Sockets without an inode no longer belong to a process.
        is_open = fields[9] != "0"
        if is_open and fields[1].endswith(local) and fields[2].endswith(remote):
            return fields[9]
    return None


def _holds(folder: Path, link: str) -> bool:
    try:
        return any(os.readlink(entry) == link for entry in folder.iterdir())
    except OSError:
        # The process or one of its files is gone.
        return False
