"""Messages between processes, over loopback.

Whole, in order, of any size; what can't be believed ends its connection alone.
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

PATIENCE = 10.0


def make_push(*, number: int, size: int = 10) -> dict:
    return {
        "kind": "push",
        "seq": number,
        "name": "config",
        "number": number,
        "ballot": [number, "x"],
        "value": {"number": number, "mark": "m", "trail": [], "text": "x" * size},
    }


class Station:
    """A courier on a reactor of its own thread, and what it heard."""

    def __init__(self, *, port: int = 0) -> None:
        self.heard: list = []
        self.changed = threading.Condition()
        self.reactor = Reactor()
        self.address = f"127.0.0.1:{port or free_port()}"
        self.message_transport = MessageTransport(reactor=self.reactor, address=self.address, deliver=self.deliver)
        self.thread = threading.Thread(target=self.reactor.run, daemon=True)
        self.thread.start()

    def deliver(self, event: object) -> None:
        with self.changed:
            self.heard.append(event)
            self.changed.notify_all()

    def send(self, *, to: str, body: dict) -> None:
        self.reactor.call_from_thread(call=lambda: self.message_transport.send(to=to, body=body))

    def wait(self, count: int) -> list:
        with self.changed:
            assert self.changed.wait_for(lambda: len(self.heard) >= count, PATIENCE), f"{len(self.heard)} of {count}"
            return list(self.heard)

    def stop(self) -> None:
        def close() -> None:
            for watch in list(self.reactor._selector.get_map().values()):
                if watch.fileobj is not self.reactor._wake_in:
                    self.reactor.watch(sock=watch.fileobj)
                    watch.fileobj.close()
            self.reactor.stop()

        self.reactor.call_from_thread(call=close)
        self.thread.join(PATIENCE)


def free_port() -> int:
    with socket.create_server(("127.0.0.1", 0)) as sock:
        return sock.getsockname()[1]


@pytest.fixture
def stations():
    made = [Station(), Station()]
    yield made
    for one in made:
        one.stop()


def until(question) -> None:
    end = time.monotonic() + PATIENCE
    while not question():
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


def test_damaged_frames_are_told_and_never_raise() -> None:
    rng = random.Random(1)
    for size in (5, 4000):
        frame = pack_body(body=make_push(number=3, size=size))
        for _ in range(300):
            payload = bytearray(frame[LENGTH.size :])
            payload[rng.randrange(len(payload))] ^= 1 << rng.randrange(8)
            read_body(payload=bytes(payload[: rng.randrange(len(payload) + 1)]), encoding=rng.randrange(3))


def test_messages_arrive_whole_and_in_order(stations: list) -> None:
    near, far = stations
    for number in range(200):
        near.send(to=far.address, body=make_push(number=number, size=(number % 7) * 3000))
    heard = far.wait(200)
    assert [one.body["number"] for one in heard] == list(range(200)) and {one.sender for one in heard} == {near.address}
    assert all(len(one.body["value"]["text"]) == (one.body["number"] % 7) * 3000 for one in heard)


def test_both_ways_at_once_and_to_itself(stations: list) -> None:
    for at, station in enumerate(stations):
        station.send(to=stations[1 - at].address, body=make_push(number=1))
        station.send(to=station.address, body=make_push(number=2))
    for station in stations:
        assert sorted(one.body["number"] for one in station.wait(2)) == [1, 2]


def test_nobody_there_is_no_fault_and_he_is_reached_when_he_comes(stations: list) -> None:
    near, _ = stations
    port = free_port()
    for number in range(5):
        near.send(to=f"127.0.0.1:{port}", body=make_push(number=number))
    late = Station(port=port)
    try:

        def is_received() -> bool:
            near.send(to=late.address, body=make_push(number=9))
            return any(one.body["number"] == 9 for one in late.heard)

        until(is_received)
    finally:
        late.stop()


@pytest.mark.parametrize(
    "poison", [LENGTH.pack(3, PLAIN) + b"\xff\xff\xff", LENGTH.pack(1 << 31, PLAIN), b"GET / HTTP/1.1\r\n\r\n" * 9]
)
def test_foreign_bytes_end_their_connection_and_no_other(stations: list, poison: bytes) -> None:
    near, far = stations
    near.send(to=far.address, body=make_push(number=1))
    far.wait(1)
    host, _, port = far.address.partition(":")
    with socket.create_connection((host, int(port)), timeout=PATIENCE) as sock:
        name = b"127.0.0.1:1"
        sock.sendall(LENGTH.pack(len(name), PLAIN) + name + poison)
        sock.settimeout(PATIENCE)
        with contextlib.suppress(ConnectionResetError):
            assert sock.recv(10) == b""
    near.send(to=far.address, body=make_push(number=2))
    assert [one.body["number"] for one in far.wait(2)] == [1, 2]


def test_a_message_in_single_bytes_and_a_cut_one(stations: list) -> None:
    _, far = stations
    host, _, port = far.address.partition(":")
    name = b"127.0.0.1:1"
    whole = LENGTH.pack(len(name), PLAIN) + name + pack_body(body=make_push(number=7))
    with socket.create_connection((host, int(port)), timeout=PATIENCE) as sock:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        for at in range(len(whole)):
            sock.sendall(whole[at : at + 1])
        far.wait(1)
        sock.sendall(pack_body(body=make_push(number=8))[:-3])
    with socket.create_connection((host, int(port)), timeout=PATIENCE) as sock:
        sock.sendall(whole)
        assert [one.body["number"] for one in far.wait(2)] == [7, 7]
