"""HTTP server in a thread of its own, which replies while the test's loop stands."""

import socket
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager

HOST = "127.0.0.1"
REPLY = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nnull"
HEAD_BYTES = 65_536


@contextmanager
def delayed_replies(delay_s: float) -> Iterator[int]:
    """Serve connections one after the other; yield the port."""
    listener = socket.create_server((HOST, 0))
    thread = threading.Thread(target=_serve, args=(listener, delay_s), daemon=True)
    thread.start()
    yield listener.getsockname()[1]
    listener.shutdown(socket.SHUT_RDWR)
    listener.close()
    thread.join()


def _serve(listener: socket.socket, delay_s: float) -> None:
    while True:
        try:
            conn, _ = listener.accept()
        except OSError:
            return
        with conn:
            if conn.recv(HEAD_BYTES):
                time.sleep(delay_s)
                conn.sendall(REPLY)
