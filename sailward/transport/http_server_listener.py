"""The listening socket of an HTTP server: accepts connections, and pauses while file descriptors run out."""

from __future__ import annotations

import errno
import socket
from collections.abc import Callable

from sailward import constants
from sailward.runtime.reactor import Reactor

_OUT_OF_RESOURCES = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)


class Listener:
    """Listens at `address` ("ip:port", port 0 for any free port) and passes each connection to `on_accepted`.

    Raises OSError if it can't listen at the address.
    """

    def __init__(self, *, reactor: Reactor, address: str, on_accepted: Callable[[socket.socket], None]) -> None:
        self._reactor = reactor
        self._on_accepted = on_accepted
        host, _, port = address.rpartition(":")
        self._socket: socket.socket | None = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self._socket.setblocking(False)
            self._socket.bind((host, int(port)))
            self._socket.listen(constants.HTTP_SERVER_BACKLOG)
        except OSError:
            self._socket.close()
            raise
        self.port: int = self._socket.getsockname()[1]
        self._reactor.watch(sock=self._socket, readable=self._accept)

    def close(self) -> None:
        """Accept the connections that wait, then no more: closing the socket would reset them."""
        self._accept()
        if self._socket is not None:
            self._reactor.watch(sock=self._socket)
            self._socket.close()
            self._socket = None

    def _accept(self) -> None:
        while self._socket is not None:
            try:
                connection, _ = self._socket.accept()
            except (BlockingIOError, InterruptedError):
                return
            except OSError as error:
                if error.errno in _OUT_OF_RESOURCES:
                    self._reactor.watch(sock=self._socket)
                    self._reactor.call_later(
                        delay=constants.HTTP_SERVER_ACCEPT_BACKOFF, callback=self._resume_accepting
                    )
                    return
                continue
            self._on_accepted(connection)

    def _resume_accepting(self) -> None:
        if self._socket is not None:
            self._reactor.watch(sock=self._socket, readable=self._accept)
