"""A worker of the soak test: it runs a request until its work is done or its connection closes.

It can stall and lose answers.
"""

from __future__ import annotations

import asyncio
import contextlib
import random

from simulation.soak.http_head import HttpMessage, read_message, write_message
from simulation.soak.records import Records, Run, RunEnd

WORK_HEADER = "x-soak-work"
"""The header by which a caller sets how many s its request takes."""
SIZE_HEADER = "x-soak-size"
"""The header by which a caller sets how many bytes its answer has at least."""
CONNECTION_ERRORS = (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError)
"""Errors raised when a connection ends before a message is complete."""


def body_of(*, name: str, size: int = 0) -> bytes:
    """The body of the answer to a request, at least `size` bytes long."""
    text = f"body of {name}".encode()
    return text * max(1, -(-size // len(text)))


class SoakWorker:
    """One worker, listening on loopback. `start` returns its address."""

    def __init__(self, *, name: str, records: Records, rng: random.Random) -> None:
        self.name, self._records, self._rng = name, records, rng
        self.lost_share = 0.0
        self._is_responsive = asyncio.Event()
        self._is_responsive.set()
        self._server: asyncio.Server | None = None
        self._serving: set[asyncio.Task] = set()

    async def start(self) -> str:
        """Start to listen; returns "ip:port"."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        return f"{host}:{port}"

    async def end(self) -> None:
        """Accept no more connections and close those that are open."""
        if self._server is not None:
            self._server.close()
        for task in self._serving:
            task.cancel()
        await asyncio.gather(*self._serving, return_exceptions=True)

    async def stall(self, *, seconds: float) -> None:
        """Handle no requests for some seconds; those that arrive meanwhile are handled afterwards."""
        self._is_responsive.clear()
        await asyncio.sleep(seconds)
        self._is_responsive.set()

    async def lose_answers(self, *, seconds: float, share: float) -> None:
        """For some seconds, reset the connections of a share of the requests after they have run."""
        self.lost_share = share
        await asyncio.sleep(seconds)
        self.lost_share = 0.0

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._serving.add(task)
        try:
            with contextlib.suppress(*CONNECTION_ERRORS, asyncio.CancelledError):
                while await self._serve_request(reader=reader, writer=writer):
                    pass
        finally:
            self._serving.discard(task)
            writer.close()

    async def _serve_request(self, *, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Serve one request; False if the connection ends after it."""
        message = await read_message(reader=reader)
        await self._is_responsive.wait()
        headers = {"Instance-Id": self.name}
        if message.start_line[1] == "/health":
            writer.write(write_message(start_line="HTTP/1.1 200 OK", headers=headers))
            return True
        if message.headers.get("expect-instance", self.name) != self.name:
            writer.write(write_message(start_line="HTTP/1.1 421 Other", headers={**headers, "Not-Executed": "1"}))
            return True
        name = message.headers["attempt-id"]
        run = self._records.run(name=name, worker=self.name)
        if not await self._run_until_done(message=message, reader=reader):
            run.finish(end=RunEnd.CLOSED)
            return False
        size = int(message.headers.get(SIZE_HEADER, "0"))
        return self._answer(name=name, run=run, writer=writer, size=size)

    async def _run_until_done(self, *, message: HttpMessage, reader: asyncio.StreamReader) -> bool:
        """Take as long as the request asks for; False if its connection closes first."""
        closing = asyncio.ensure_future(reader.read(1))
        try:
            await asyncio.wait({closing}, timeout=float(message.headers.get(WORK_HEADER, "0")))
            await self._is_responsive.wait()
            return not closing.done()
        finally:
            closing.cancel()
            await asyncio.gather(closing, return_exceptions=True)

    def _answer(self, *, name: str, run: Run, writer: asyncio.StreamWriter, size: int) -> bool:
        if self._rng.random() < self.lost_share:
            run.finish(end=RunEnd.LOST)
            writer.transport.abort()
            return False
        run.finish(end=RunEnd.ANSWERED)
        headers = {"Instance-Id": self.name, "Attempt-Id": name, "Server-Seal": f"seal {name}"}
        writer.write(write_message(start_line="HTTP/1.1 200 OK", headers=headers, body=body_of(name=name, size=size)))
        return True
