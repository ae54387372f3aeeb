"""Messages between daemons on the reactor: one persistent outgoing connection to each peer that is sent messages."""

from __future__ import annotations

import collections
import ipaddress
import socket
import struct
import zlib
from collections.abc import Callable
from dataclasses import dataclass, field

from flatbuffers import flexbuffers

from sailward import constants
from sailward.consensus.messages import FIELDS, BadMessage, check_message
from sailward.events import MessageReceived
from sailward.runtime.logs import write_log
from sailward.runtime.reactor import Reactor
from sailward.transport.address import split_address

LENGTH = struct.Struct(">IB")
"""Header of a frame: length of the payload in bytes, and its encoding."""
PLAIN, COMPRESSED = 0, 1
"""Encodings of a payload."""


@dataclass(kw_only=True)
class Peer:
    """The outgoing connection to one daemon, its buffer, and when it last progressed or may be retried."""

    sock: socket.socket | None = None
    is_connected: bool = False
    outgoing: bytearray = field(default_factory=bytearray)
    progress_at: float = 0.0
    retry_at: float = 0.0


class MessageTransport:
    """Task that owns the message sockets. Delivery is best effort: `send` may drop a message."""

    def __init__(self, *, reactor: Reactor, address: str, deliver: Callable[[object], None]) -> None:
        self._reactor, self._address, self._deliver = reactor, address, deliver
        self._peers: dict[str, Peer] = {}
        self.counts: collections.Counter = collections.Counter()
        host, port = split_address(address=address)
        self._listener = socket.create_server((host, port), backlog=128)
        self._listener.setblocking(False)
        reactor.watch(sock=self._listener, readable=self._accept)
        reactor.call_later(delay=constants.MESSAGE_TRANSPORT_SWEEP_INTERVAL, callback=self._sweep)

    def send(self, *, to: str, body: dict) -> None:
        """Send a message, or drop it if the peer can't take it."""
        if to == self._address:
            self._reactor.call_soon(callback=lambda: self._deliver(MessageReceived(sender=to, body=body)))
            return
        peer = self._peers.setdefault(to, Peer())
        if len(peer.outgoing) > constants.MAX_FRAME_BYTES or self._reactor.clock() < peer.retry_at:
            self.counts["dropped"] += 1
            return
        if peer.sock is None and not self._dial(to=to, peer=peer):
            return
        try:
            payload = pack_body(body=body)
        except Exception as error:  # noqa: BLE001 - the encoder raises various exceptions for unsupported values
            self.counts["unsendable"] += 1
            fields = {"to": to, "kind": body["kind"], "reason": error, "count": self.counts["unsendable"]}
            write_log(event="message-unsendable", fields=fields, level="error")
            return
        self.counts["sent"] += 1
        self.counts["sent-bytes"] += len(payload) + LENGTH.size
        self.counts[f"sent-{body['kind']}"] += len(payload) + LENGTH.size
        was_empty = not peer.outgoing
        if was_empty:
            peer.progress_at = self._reactor.clock()
        peer.outgoing += payload
        if peer.is_connected and was_empty:
            self._flush(to=to, peer=peer)

    def _dial(self, *, to: str, peer: Peer) -> bool:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(constants.LEASE_DURATION * 1000))
        try:
            host, port = split_address(address=to)
            # only IP addresses: resolving a host name would block the whole process
            sock.connect((str(ipaddress.IPv4Address(host)), port))
        except BlockingIOError:
            pass
        except (OSError, ValueError, TypeError, OverflowError):
            sock.close()
            self._back_off(peer=peer)
            return False
        own = self._address.encode()
        peer.sock, peer.is_connected, peer.progress_at = sock, False, self._reactor.clock()
        peer.outgoing = bytearray(LENGTH.pack(len(own), PLAIN) + own)
        self._reactor.watch(
            sock=sock,
            readable=lambda: self._check_connection(to=to, peer=peer, sock=sock),
            writable=lambda: self._flush(to=to, peer=peer),
        )
        return True

    def _back_off(self, *, peer: Peer) -> None:
        peer.sock, peer.is_connected = None, False
        peer.outgoing = bytearray()
        # the buffered messages are out of date, and the owners retry by themselves
        peer.retry_at = self._reactor.clock() + constants.CONNECT_BACKOFF

    def _drop(self, *, peer: Peer) -> None:
        if peer.sock is not None:
            self._reactor.watch(sock=peer.sock)
            peer.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            peer.sock.close()
        self._back_off(peer=peer)

    def _check_connection(self, *, to: str, peer: Peer, sock: socket.socket) -> None:
        # the peer never sends on this connection, so readable means that it ended
        try:
            if sock.recv(4096):
                return
        except BlockingIOError:
            return
        except OSError:
            pass
        if peer.sock is sock:
            self._drop(peer=peer)

    def _flush(self, *, to: str, peer: Peer) -> None:
        sock = peer.sock
        if sock is None:
            return None
        try:
            if not peer.is_connected:
                error = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
                if error:
                    return self._drop(peer=peer)
                peer.is_connected = True
            while peer.outgoing:
                sent = sock.send(memoryview(peer.outgoing)[: constants.MESSAGE_TRANSPORT_CHUNK_BYTES])
                peer.progress_at = self._reactor.clock()
                del peer.outgoing[:sent]
        except BlockingIOError:
            pass
        except OSError:
            return self._drop(peer=peer)
        self._reactor.watch(
            sock=sock,
            readable=lambda: self._check_connection(to=to, peer=peer, sock=sock),
            writable=(lambda: self._flush(to=to, peer=peer)) if peer.outgoing else None,
        )
        return None

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            sock.setblocking(False)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, constants.MESSAGE_TRANSPORT_KEEPALIVE_INTERVAL)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, constants.MESSAGE_TRANSPORT_KEEPALIVE_INTERVAL)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 3)
            reader = IncomingConnection(sock=sock, message_transport=self)
            self._reactor.watch(sock=sock, readable=reader.read)

    def receive(self, *, sender: str, payload: bytes, encoding: int) -> bool:
        """Handle one received message; False if its connection can no longer be trusted."""
        body = read_body(payload=payload, encoding=encoding)
        if isinstance(body, BadMessage):
            self.counts["bad"] += 1
            write_log(
                event="bad-message",
                fields={"from": sender, "reason": body.reason, "count": self.counts["bad"]},
                level="warning",
            )
            return False
        self.counts["heard"] += 1
        self._deliver(MessageReceived(sender=sender, body=body))
        return True

    def close_incoming(self, *, sock: socket.socket) -> None:
        """Close an incoming connection."""
        self._reactor.watch(sock=sock)
        sock.close()

    def _sweep(self) -> None:
        now = self._reactor.clock()
        for peer in self._peers.values():
            if peer.sock is None:
                continue
            time_limit = constants.LEASE_DURATION if peer.is_connected else constants.MESSAGE_TRANSPORT_CONNECT_TIMEOUT
            if (peer.outgoing or not peer.is_connected) and now - peer.progress_at > time_limit:
                self._drop(peer=peer)
        self._reactor.call_later(delay=constants.MESSAGE_TRANSPORT_SWEEP_INTERVAL, callback=self._sweep)


@dataclass(kw_only=True)
class IncomingConnection:
    """One incoming connection; its first frame holds the sender's address."""

    sock: socket.socket
    message_transport: MessageTransport
    sender: str = ""
    data: bytearray = field(default_factory=bytearray)

    def read(self) -> None:
        """Read the available bytes and deliver complete messages."""
        try:
            chunk = self.sock.recv(constants.MESSAGE_TRANSPORT_CHUNK_BYTES)
        except BlockingIOError:
            return None
        except OSError:
            chunk = b""
        if not chunk:
            return self.message_transport.close_incoming(sock=self.sock)
        self.data += chunk
        while len(self.data) >= LENGTH.size:
            length, encoding = LENGTH.unpack_from(self.data)
            if length > constants.MAX_FRAME_BYTES:
                return self.message_transport.close_incoming(sock=self.sock)
            if len(self.data) < LENGTH.size + length:
                return None
            payload = bytes(memoryview(self.data)[LENGTH.size : LENGTH.size + length])
            del self.data[: LENGTH.size + length]
            if not self.sender:
                self.sender = payload.decode("ascii", "replace")
            elif not self.message_transport.receive(sender=self.sender, payload=payload, encoding=encoding):
                return self.message_transport.close_incoming(sock=self.sock)
        return None


def pack_body(*, body: dict) -> bytes:
    """Encode a message as a frame: fields by position instead of name, compressed if long."""
    kind = body["kind"]
    rest = {name: value for name, value in body.items() if name != "kind" and name not in FIELDS[kind]}
    row = [kind, *(body[name] for name in FIELDS[kind]), *([rest] if rest else [])]
    payload, encoding = bytes(flexbuffers.Dumps(row)), PLAIN
    if len(payload) > constants.MESSAGE_TRANSPORT_COMPRESSION_MIN_BYTES:
        compressed = zlib.compress(payload, 6)
        if len(compressed) < len(payload):
            payload, encoding = compressed, COMPRESSED
    return LENGTH.pack(len(payload), encoding) + payload


def read_body(*, payload: bytes, encoding: int) -> dict | BadMessage:
    """Decode the message in a frame, or say what is wrong with it."""
    try:
        if encoding == COMPRESSED:
            decompressor = zlib.decompressobj()
            payload = decompressor.decompress(payload, constants.MAX_FRAME_BYTES)
            if decompressor.unconsumed_tail:
                return BadMessage(reason="too-long")
        row = flexbuffers.Loads(payload)
        kind = row[0]
        names = list(FIELDS[kind])
        body = {"kind": kind, **dict(zip(names, row[1 : len(names) + 1], strict=True))}
        if len(row) > len(names) + 1:
            body |= row[len(names) + 1]
    except Exception as error:  # noqa: BLE001 - the decoder raises various exceptions for invalid bytes
        return BadMessage(reason=f"undecodable:{type(error).__name__}")
    return check_message(body=body)
