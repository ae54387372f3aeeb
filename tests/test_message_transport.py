"""Messages between processes over loopback.

They arrive complete, in order and at any size; invalid bytes close only their own connection.
"""

from __future__ import annotations

import contextlib
import random
import socket
import threading
import time

import pytest

from sailward import constants
from sailward.runtime.reactor import Reactor
from sailward.transport.message_transport import LENGTH, PLAIN, MessageTransport, pack_body, read_body

WAIT_TIMEOUT = 10.0


def make_push(*, number: int, size: int = 10) -> dict:
    return {
        "kind": "push",
        "seq": number,
        "name": "config",
        "number": number,
        "ballot": [number, "x"],
        "value": {"number": number, "mark": "m", "trail": [], "text": "x" * size},
    }


class Node:
    """A message transport on a reactor with its own thread, and the messages it received."""

    def __init__(self, *, port: int = 0) -> None:
        self.received: list = []
        self.changed = threading.Condition()
        self.reactor = Reactor()
        self.address = f"127.0.0.1:{port or free_port()}"
        self.message_transport = MessageTransport(reactor=self.reactor, address=self.address, deliver=self.deliver)
        self.thread = threading.Thread(target=self.reactor.run, daemon=True)
        self.thread.start()

    def deliver(self, event: object) -> None:
        with self.changed:
            self.received.append(event)
            self.changed.notify_all()

    def send(self, *, to: str, body: dict) -> None:
        self.reactor.call_from_thread(callback=lambda: self.message_transport.send(to=to, body=body))

    def wait(self, count: int) -> list:
        with self.changed:
            assert self.changed.wait_for(lambda: len(self.received) >= count, WAIT_TIMEOUT), (
                f"{len(self.received)} of {count}"
            )
            return list(self.received)

    def stop(self) -> None:
        def close() -> None:
            for watch in list(self.reactor._selector.get_map().values()):
                if watch.fileobj is not self.reactor._wake_in:
                    self.reactor.watch(sock=watch.fileobj)
                    watch.fileobj.close()
            self.reactor.stop()

        self.reactor.call_from_thread(callback=close)
        self.thread.join(WAIT_TIMEOUT)


def free_port() -> int:
    with socket.create_server(("127.0.0.1", 0)) as sock:
        return sock.getsockname()[1]


@pytest.fixture
def nodes():
    nodes = [Node(), Node()]
    yield nodes
    for node in nodes:
        node.stop()


def wait_until(condition) -> None:
    end = time.monotonic() + WAIT_TIMEOUT
    while not condition():
        assert time.monotonic() < end
        time.sleep(0.01)


@pytest.mark.parametrize("size", [0, 10, constants.MESSAGE_TRANSPORT_COMPRESSION_MIN_BYTES * 3, 300_000])
def test_a_frame_reads_back_as_it_was(size: int) -> None:
    body = make_push(number=3, size=size)
    frame = pack_body(body=body)
    length, encoding = LENGTH.unpack_from(frame)
    assert len(frame) == LENGTH.size + length and read_body(payload=frame[LENGTH.size :], encoding=encoding) == body


def test_fields_beyond_the_known_ones_are_kept() -> None:
    frame = pack_body(body={**make_push(number=3), "later": [1]})
    assert read_body(payload=frame[LENGTH.size :], encoding=LENGTH.unpack_from(frame)[1])["later"] == [1]


def test_damaged_frames_are_reported_and_never_raise() -> None:
    rng = random.Random(1)
    for size in (5, 4000):
        frame = pack_body(body=make_push(number=3, size=size))
        for _ in range(300):
            payload = bytearray(frame[LENGTH.size :])
            payload[rng.randrange(len(payload))] ^= 1 << rng.randrange(8)
            read_body(payload=bytes(payload[: rng.randrange(len(payload) + 1)]), encoding=rng.randrange(3))


def test_messages_arrive_whole_and_in_order(nodes: list) -> None:
    near, far = nodes
    for number in range(200):
        near.send(to=far.address, body=make_push(number=number, size=(number % 7) * 3000))
    received = far.wait(200)
    assert [message.body["number"] for message in received] == list(range(200))
    assert {message.sender for message in received} == {near.address}
    assert all(len(message.body["value"]["text"]) == (message.body["number"] % 7) * 3000 for message in received)


def test_both_ways_at_once_and_to_itself(nodes: list) -> None:
    for at, node in enumerate(nodes):
        node.send(to=nodes[1 - at].address, body=make_push(number=1))
        node.send(to=node.address, body=make_push(number=2))
    for node in nodes:
        assert sorted(message.body["number"] for message in node.wait(2)) == [1, 2]


def test_an_absent_peer_is_no_fault_and_is_reached_once_it_listens(nodes: list) -> None:
    near, _ = nodes
    port = free_port()
    for number in range(5):
        near.send(to=f"127.0.0.1:{port}", body=make_push(number=number))
    late_node = Node(port=port)
    try:

        def is_received() -> bool:
            near.send(to=late_node.address, body=make_push(number=9))
            return any(message.body["number"] == 9 for message in late_node.received)

        wait_until(is_received)
    finally:
        late_node.stop()


@pytest.mark.parametrize(
    "invalid_bytes",
    [LENGTH.pack(3, PLAIN) + b"\xff\xff\xff", LENGTH.pack(1 << 31, PLAIN), b"GET / HTTP/1.1\r\n\r\n" * 9],
)
def test_foreign_bytes_end_their_connection_and_no_other(nodes: list, invalid_bytes: bytes) -> None:
    near, far = nodes
    near.send(to=far.address, body=make_push(number=1))
    far.wait(1)
    host, _, port = far.address.partition(":")
    with socket.create_connection((host, int(port)), timeout=WAIT_TIMEOUT) as sock:
        name = b"127.0.0.1:1"
        sock.sendall(LENGTH.pack(len(name), PLAIN) + name + invalid_bytes)
        sock.settimeout(WAIT_TIMEOUT)
        with contextlib.suppress(ConnectionResetError):
            assert sock.recv(10) == b""
    near.send(to=far.address, body=make_push(number=2))
    assert [message.body["number"] for message in far.wait(2)] == [1, 2]


def test_a_message_in_single_bytes_and_a_cut_one(nodes: list) -> None:
    _, far = nodes
    host, _, port = far.address.partition(":")
    name = b"127.0.0.1:1"
    whole = LENGTH.pack(len(name), PLAIN) + name + pack_body(body=make_push(number=7))
    with socket.create_connection((host, int(port)), timeout=WAIT_TIMEOUT) as sock:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        for at in range(len(whole)):
            sock.sendall(whole[at : at + 1])
        far.wait(1)
        sock.sendall(pack_body(body=make_push(number=8))[:-3])
    with socket.create_connection((host, int(port)), timeout=WAIT_TIMEOUT) as sock:
        sock.sendall(whole)
        assert [message.body["number"] for message in far.wait(2)] == [7, 7]
