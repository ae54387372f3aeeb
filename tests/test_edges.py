"""The edges with real sockets, real files and the HTTP library."""

from __future__ import annotations

import queue
import random
import socket
import struct
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import pytest

from sailward import constants
from sailward.consensus.messages import pack_message
from sailward.discovery.rendezvous import choose_names
from sailward.events import (
    AppendRecords,
    CallFinished,
    MessageReceived,
    RecordsSynced,
    RequestReceived,
    Respond,
    RewriteRecords,
    StartCall,
)
from sailward.routing.shard_owners import slot_of
from sailward.runtime.logs import start_logs
from sailward.runtime.loop import Loop
from sailward.storage.disk import DamagedFile, Disk, FileContents, FolderInUse, pack_frame, read_frames
from sailward.transport.address import GREETING, ThreadedMessageTransport
from sailward.transport.curl_client import CurlClient
from sailward.transport.wsgi_server import WsgiServer
from simulation.real.callers import send_request
from simulation.real.fleet import free_addresses

WAIT = 10.0


class ClosingServer(threading.Thread):
    """A server that answers one request on a connection, then reads the next and closes without a response."""

    def __init__(self) -> None:
        super().__init__(daemon=True)
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        self.seen: list[bytes] = []

    def run(self) -> None:
        while True:
            connection, _ = self.listener.accept()
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection: socket.socket) -> None:
        self.seen.append(connection.recv(65536))
        if len(self.seen) == 1:
            connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
            self.seen.append(connection.recv(65536))
        connection.close()


def make_calls() -> tuple[CurlClient, queue.Queue]:
    events: queue.Queue = queue.Queue()
    calls = CurlClient(deliver=events.put)
    threading.Thread(target=calls.run, daemon=True).start()
    return calls, events


def make_call(*, address: str, method: str = "POST", fresh: bool = True, begin_by: float = float("inf")) -> StartCall:
    return StartCall(
        token="x",
        owner="w/1",
        address=address,
        method=method,
        path="/",
        headers={},
        body=b"{}" if method == "POST" else b"",
        timeout=2.0,
        fresh=fresh,
        begin_by=begin_by,
    )


def test_an_unsafe_call_is_sent_once_though_its_connection_dies() -> None:
    server = ClosingServer()
    server.start()
    calls, events = make_calls()
    calls.start(call=make_call(address=server.address, method="GET", fresh=False))
    assert events.get(timeout=WAIT).code == 200
    calls.start(call=make_call(address=server.address))
    result = events.get(timeout=WAIT)
    assert (result.code, result.sent) == (0, True)
    assert sum(request.startswith(b"POST") for request in server.seen) == 1


def test_a_kept_connection_that_dies_is_tried_again_by_the_library() -> None:
    """The reason why unsafe exchanges use fresh connections: on a reused one the library sends them twice."""
    server = ClosingServer()
    server.start()
    calls, events = make_calls()
    calls.start(call=make_call(address=server.address, method="GET", fresh=False))
    assert events.get(timeout=WAIT).code == 200
    calls.start(call=make_call(address=server.address, fresh=False))
    assert events.get(timeout=WAIT).code == 0
    assert sum(request.startswith(b"POST") for request in server.seen) == 2


class UnreadingServer(threading.Thread):
    """A server that accepts a connection and reads nothing until `may_read` is set, then counts what arrives."""

    def __init__(self) -> None:
        super().__init__(daemon=True)
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen()
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        self.may_read, self.count, self.ended = threading.Event(), 0, threading.Event()

    def run(self) -> None:
        connection, _ = self.listener.accept()
        self.may_read.wait(WAIT)
        try:
            while data := connection.recv(65536):
                self.count += len(data)
        except ConnectionResetError:
            pass
        self.ended.set()


@pytest.mark.parametrize("is_safe", [True, False])
def test_what_a_call_given_up_had_not_sent_is_never_sent(is_safe: bool, monkeypatch) -> None:
    """Without the reset (second run) the complete exchange arrives after its proxy has abandoned it."""
    if not is_safe:
        monkeypatch.setattr("sailward.transport.curl_client.RESET_ON_CLOSE", struct.pack("ii", 0, 0))
    server = UnreadingServer()
    server.start()
    calls, events = make_calls()
    body = b"x" * (1 << 20)
    calls.start(
        call=StartCall(
            token="x",
            owner="w/1",
            address=server.address,
            method="POST",
            path="/",
            headers={},
            body=body,
            timeout=0.5,
            fresh=True,
        )
    )
    result = events.get(timeout=WAIT)
    assert (result.fault, result.sent) == ("timed-out", True)
    server.may_read.set()
    assert server.ended.wait(WAIT)
    assert (server.count < len(body)) is is_safe


def test_nothing_is_sent_where_nobody_listens_or_after_its_time() -> None:
    calls, events = make_calls()
    calls.start(call=make_call(address=free_addresses(count=1)[0]))
    result: CallFinished = events.get(timeout=WAIT)
    assert (result.fault, result.sent) == ("no-connection", False)
    server = ClosingServer()
    server.start()
    calls.start(call=make_call(address=server.address, begin_by=time.monotonic() - 1))
    result = events.get(timeout=WAIT)
    assert (result.fault, result.sent, server.seen) == ("too-late", False, [])


def test_ill_formed_messages_close_the_connection_and_change_nothing() -> None:
    events: queue.Queue = queue.Queue()
    address = free_addresses(count=1)[0]
    post = ThreadedMessageTransport(address=address, deliver=events.put, threads=ThreadPoolExecutor(max_workers=16))
    post.start()
    host, port = address.split(":")
    greeting = struct.pack(">I", len(GREETING) + 3) + GREETING + b"a:1"
    valid = pack_message(body={"kind": "ack", "seq": 1, "name": "config", "number": 2})
    invalid_messages = (
        b"\x00\x01",
        pack_message(body={"kind": "ack", "seq": "one", "name": "config", "number": 2}),
        pack_message(body={"kind": "nothing"}),
        pack_message(body={"kind": "chosen", "register": "x", "ballot": [1], "value": {}}),
    )
    for count, invalid in enumerate(invalid_messages, start=1):
        with socket.create_connection((host, int(port)), timeout=WAIT) as peer:
            peer.sendall(
                greeting
                + struct.pack(">I", len(valid))
                + valid
                + struct.pack(">I", len(invalid))
                + invalid
                + struct.pack(">I", len(valid))
                + valid
            )
            received = events.get(timeout=WAIT)
            assert isinstance(received, MessageReceived) and received.body["number"] == 2
            assert peer.recv(1) == b""
        assert post.counts["bad"] == count
    with socket.create_connection((host, int(port)), timeout=WAIT) as peer:
        peer.sendall(b"GET / HTTP/1.1\r\n\r\n")
        assert peer.recv(1) == b""
    assert events.empty()


def test_malformed_and_oversized_requests_get_json_and_reach_no_owner_whole() -> None:
    requests: list[RequestReceived] = []

    def deliver(event: RequestReceived) -> None:
        requests.append(event)
        server.answer(command=Respond(token=event.token, code=413 if event.body is None else 200, body=b"{}"))

    address = free_addresses(count=1)[0]
    server = WsgiServer(
        address=address, max_body_bytes=1000, deliver=deliver, threads=ThreadPoolExecutor(max_workers=8)
    )
    threading.Thread(target=server.run, daemon=True).start()
    assert send_request(address=address, method="POST", path="/a?b=c", body=b"x" * 1000)[0] == 200
    assert (requests[0].path, requests[0].query, len(requests[0].body)) == ("/a", {"b": "c"}, 1000)
    assert send_request(address=address, method="POST", path="/a", body=b"x" * 1001)[0] == 413
    assert requests[1].body is None
    host, port = address.split(":")
    with socket.create_connection((host, int(port)), timeout=WAIT) as peer:
        peer.sendall(b"NONSENSE\r\n\r\n")
        reply = peer.makefile("rb").read()
    assert reply.startswith(b"HTTP/1.1 400") and b'"ran": "not-run"' in reply and b"Sailward-Ran: not-run" in reply
    with socket.create_connection((host, int(port)), timeout=WAIT) as peer:
        peer.sendall(b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 50\r\n\r\nhalf")
        peer.shutdown(socket.SHUT_WR)
        peer.makefile("rb").read()
    assert len(requests) == 2


def test_the_file_keeps_what_was_synced_and_is_rewritten(tmp_path: Path) -> None:
    events: queue.Queue = queue.Queue()
    disk = Disk(folder=tmp_path, deliver=events.put)
    assert disk.open() == FileContents(records=[], length=0)
    threading.Thread(target=disk.run, daemon=True).start()
    for seq in range(1, 6):
        disk.submit(command=AppendRecords(seq=seq, records=({"k": "drop", "r": "x", "n": seq},)))
    while events.get(timeout=WAIT) != RecordsSynced(seq=5):
        pass
    assert [row["n"] for row in read_frames(data=(tmp_path / "registers").read_bytes()).records] == [1, 2, 3, 4, 5]
    disk.submit(command=RewriteRecords(seq=6, records=({"k": "drop", "r": "x", "n": 9},)))
    disk.submit(command=AppendRecords(seq=7, records=({"k": "drop", "r": "x", "n": 10},)))
    while events.get(timeout=WAIT) != RecordsSynced(seq=7):
        pass
    assert [row["n"] for row in read_frames(data=(tmp_path / "registers").read_bytes()).records] == [9, 10]
    assert isinstance(Disk(folder=tmp_path, deliver=events.put).open(), FolderInUse)


def test_a_torn_end_is_cut_and_damage_before_it_is_refused() -> None:
    frames = [pack_frame(records=[{"k": "drop", "r": "x", "n": n, "text": "x" * 20}]) for n in range(3)]
    whole = b"".join(frames)
    for cut in range(len(frames[0]) + len(frames[1]), len(whole)):
        found = read_frames(data=whole[:cut])
        assert isinstance(found, FileContents) and [row["n"] for row in found.records] == [0, 1]
    rng = random.Random(1)
    for at in range(len(whole)):
        found = read_frames(data=whole[:at] + bytes([whole[at] ^ rng.randrange(1, 256)]) + whole[at + 1 :])
        if at < len(frames[0]) + len(frames[1]):
            assert isinstance(found, DamagedFile), at
        else:
            assert isinstance(found, FileContents) and len(found.records) == 2, at


def test_hashing_moves_only_what_it_must() -> None:
    names = [f"w{n}" for n in range(8)]
    before = {key: choose_names(key=str(key), names=names, count=1)[0] for key in range(2000)}
    after = {key: choose_names(key=str(key), names=names[:-1], count=1)[0] for key in range(2000)}
    assert all(after[key] == owner for key, owner in before.items() if owner != "w7")
    assert 150 < sum(owner == "w7" for owner in before.values()) < 350
    assert len({slot_of(key=f"k{n}", slots=64) for n in range(2000)}) == 64


def test_an_owner_that_ends_by_a_fault_leaves_its_journal(capfd) -> None:
    def step(*, now: float, event: object) -> list:
        if isinstance(event, MessageReceived) and event.body["kind"] == "last":
            raise RuntimeError("by intent")
        return []

    loop = Loop()
    start_logs(level="info", name="x")
    for kind in ("first", "last"):
        loop.deliver(MessageReceived(sender="a:1", body={"kind": kind}))
    assert loop.run(step=step).code == constants.EXIT_FAULT
    lines = [line for line in capfd.readouterr().err.splitlines() if "event=journal" in line]
    assert ["kind=first" in lines[0], "kind=last" in lines[-1]] == [True, True]
