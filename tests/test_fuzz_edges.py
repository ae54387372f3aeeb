"""Fuzzing of list pages, the data file, settings files, responses to grants, request heads and addresses."""

from __future__ import annotations

import json
import random
import tempfile
import threading
import zlib
from pathlib import Path

import pytest
import yaml
from hypothesis import given, settings
from hypothesis import strategies as st

from sailward.control.controller import Controller
from sailward.control.shards.granting import GrantContext, Granting
from sailward.discovery.endpoint_pages import Pager
from sailward.discovery.endpoint_rows import is_generation_row, is_incarnation_row
from sailward.discovery.endpoint_table import Worker
from sailward.discovery.peer_table import Location
from sailward.events import CallFinished, StartCall, TimerFired
from sailward.runtime.adapter import load_part
from sailward.runtime.reactor import Reactor
from sailward.runtime.startup import CONTROLLER_SCHEMA, BadStartup, read_startup
from sailward.storage.disk import DamagedFile, FileContents, NewerFormat, pack_frame, read_frames
from sailward.transport.curl_client import CurlClient
from sailward.transport.http_server_head import Head, Refused, read_head
from sailward.transport.message_transport import MessageTransport
from tests.core_net import FOLDER, WORKERS
from tests.fuzz_kit import ANYTHING, BOUNDED, near
from tests.granting_fixture import Codec, ListedWorker
from tests.test_settings import GIVEN

SETTINGS = load_part(folder=FOLDER, name="settings")
HOSTING = load_part(folder=FOLDER, name="hosting")
DATA = (Path(__file__).parent / "fixtures" / "registers-0.1.0").read_bytes()
OWN_ROW = {"id": "w1", "generation": 0, "service": "s", "address": "10.0.0.1:80", "hall": "z", "leaving": False}
OWN_PAGE = {"epoch": 1, "revision": 2, "total": 1, "next": "", "workers": [OWN_ROW]}
ROW = {
    "id": "w1",
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "z",
    "state": "admitted",
    "capacity": 3,
    "cold_left_s": 1.5,
}
PAGE = {"instances": [ROW], "next_token": None}
ZONED_PAGE = {"instances": {"z": [ROW]}, "next_token": "é /x"}


def to_json(value: object) -> bytes:
    return json.dumps(value, default=lambda one: one.hex()).encode()


BODIES = (
    near(st.sampled_from([OWN_PAGE, PAGE, ZONED_PAGE])).map(to_json)
    | st.sampled_from([OWN_PAGE, PAGE, ZONED_PAGE, {**OWN_PAGE, "next": "a\r\nb: c"}]).map(to_json)
    | st.binary(max_size=20)
    | st.sampled_from([b"[" * 100_000, b'{"instances":' * 2000, b'{"instances": [], "next_token": "\\ud800"}'])
)


@pytest.mark.parametrize("is_platform", [False, True])
@settings(BOUNDED, max_examples=400)
@given(answers=st.lists(st.tuples(st.sampled_from([200, 200, 200, 0, 404, 503]), BODIES), min_size=1, max_size=5))
def test_any_pages_give_a_whole_sound_list_or_none(is_platform: bool, answers: list) -> None:
    pager = Pager(platform="10.0.0.9:80", reader=WORKERS.WorkersReader() if is_platform else None)
    now = 1.0
    for code, body in answers:
        commands, _ = pager.step(now=now, event=None)
        for call in [command for command in commands if isinstance(command, StartCall)] or [None]:
            token = call.token if call else pager.token
            if call:
                assert call.path.isascii() and call.path.isprintable() and " " not in call.path
            _, whole = pager.step(
                now=now, event=CallFinished(token=token, code=code, headers={}, body=body, fault="", sent=True)
            )
            if whole is not None:
                assert all(map(is_incarnation_row if is_platform else is_generation_row, whole.workers))
                json.dumps(whole.workers, ensure_ascii=False).encode()
        now += 60.0


def test_pages_without_end_are_broken_off() -> None:
    pager, body = Pager(platform="10.0.0.9:80"), to_json({**OWN_PAGE, "next": "more"})
    commands, _ = pager.step(now=1.0, event=None)
    for _ in range(100_000):
        calls = [one for one in commands if isinstance(one, StartCall)]
        if not calls:
            break
        commands, _ = pager.step(
            now=1.0, event=CallFinished(token=calls[0].token, code=200, headers={}, body=body, fault="", sent=True)
        )
    assert [command.fields for command in commands] == [{"reason": "endless"}]


VALUE = {"number": 1, "mark": "m", "trail": [], "text": '{"members": {"a": "b"}}'}
RECORDS = [
    {"k": "identity", "id": "c1#1"},
    {"k": "copied"},
    {"k": "opened", "n": 3},
    {"k": "vote", "r": "voters", "b": [1, "x"], "v": VALUE},
    {"k": "promise", "r": "known/voters", "b": [1, "x"], "v": VALUE},
    {"k": "promise", "r": "config", "b": [2, "x"]},
    {"k": "drop", "r": "exchange/1"},
    {"k": "left", "id": "c1#2"},
]


def start_on(*, data: bytes) -> FileContents | DamagedFile | NewerFormat:
    """Read a data file and start a controller with its records."""
    found = read_frames(data=data)
    if isinstance(found, FileContents):
        location = Location(name="c1", kind="controller", zone="z", region="r", post="10.0.0.1:1", http="10.0.0.1:2")
        owner = Controller(
            location=location, platform="", nonce="1", start=1, rng=random.Random(1), records=found.records, now=0.0
        )
        for heartbeat in range(1, 5):
            owner.step(now=float(heartbeat), event=TimerFired(wall=1.0))
    return found


def test_the_sound_file_and_the_sound_records_are_read() -> None:
    assert isinstance(start_on(data=DATA), FileContents)
    assert start_on(data=pack_frame(records=RECORDS)).records == RECORDS


@settings(BOUNDED, max_examples=150)
@given(
    cuts=st.lists(st.tuples(st.integers(0, len(DATA) - 1), st.integers(0, 255)), max_size=4),
    length=st.integers(0, len(DATA)) | st.just(len(DATA)),
    tail=st.binary(max_size=30),
)
def test_a_damaged_file_is_told_or_read_up_to_its_torn_end(cuts: list, length: int, tail: bytes) -> None:
    data = bytearray(DATA)
    for at, value in cuts:
        data[at] = value
    assert isinstance(start_on(data=bytes(data[:length]) + tail), (FileContents, DamagedFile, NewerFormat))


@settings(BOUNDED, max_examples=300)
@given(records=near(st.just(RECORDS)) | ANYTHING | st.lists(near(st.sampled_from(RECORDS)), max_size=3))
def test_a_frame_with_a_sound_checksum_and_foreign_records_is_told(records: object) -> None:
    body = to_json(records)
    frame = pack_frame(records=[])
    frame = frame[:4] + len(body).to_bytes(4, "big") + zlib.crc32(body).to_bytes(4, "big") + body
    assert isinstance(start_on(data=frame), (FileContents, DamagedFile, NewerFormat))


@settings(BOUNDED, max_examples=300)
@given(given_settings=near(st.just(GIVEN)) | ANYTHING, role=st.sampled_from(["controller", "proxy"]))
def test_any_platform_settings_make_a_host_or_give_faults(given_settings: object, role: str) -> None:
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "settings.yaml"
        try:
            path.write_text(yaml.safe_dump(given_settings), "utf-8")
        except (yaml.YAMLError, UnicodeEncodeError, ValueError):
            return
        read = SETTINGS.read_settings(role=role, path=str(path))
    if isinstance(read, SETTINGS.BadSettings):
        assert read.faults and all(str(path) in fault for fault in read.faults)
    else:
        HOSTING.hosted_daemon_of(settings=read, role=role)


@pytest.mark.parametrize(
    "text", ["[" * 5000, "a: 2001-99-99", "a: " + "9" * 5000, "? [a]\n: b", "\x00", "&a [*a]", "é: .nan"]
)
@pytest.mark.parametrize("name", ["settings.yaml", "settings.toml"])
def test_odd_settings_files_give_faults(tmp_path: Path, text: str, name: str) -> None:
    path = tmp_path / name
    path.write_text(text, "utf-8")
    if name.endswith("yaml"):
        assert SETTINGS.read_settings(role="controller", path=str(path)).faults
    else:
        assert read_startup(flags={"--settings": str(path)}, schema=CONTROLLER_SCHEMA).faults


@settings(BOUNDED, max_examples=200)
@given(text=st.text(max_size=60) | st.sampled_from(["name = 5", "seeds = [[1]]", "post = 1979-05-27", "x = {a = 1}"]))
def test_any_startup_file_gives_faults(text: str) -> None:
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "settings.toml"
        path.write_bytes(text.encode("utf-8", "surrogatepass"))
        read = read_startup(flags={"--settings": str(path)}, schema=CONTROLLER_SCHEMA)
    assert isinstance(read, BadStartup) and read.faults


@settings(BOUNDED, max_examples=300)
@given(
    raw=st.binary(max_size=60).map(lambda one: one + b"\r\n\r\n")
    | st.tuples(
        st.sampled_from([b"GET", b"PUT", b"\xff", b"G T", b""]),
        st.sampled_from([b"/", b"/config?a=%ff&a=b", b"*", b"//", b"/\x80", b"http://x/"]),
        st.sampled_from([b"HTTP/1.1", b"HTTP/1.0", b"HTTP/2", b""]),
        st.lists(
            st.sampled_from(
                [b"Host: x", b"Host: y", b"Content-Length: 9", b"Content-Length: -1", b"If-Match: \xff", b": x"]
            )
            | st.binary(max_size=12),
            max_size=4,
        ),
    ).map(lambda one: b" ".join(one[:3]) + b"\r\n" + b"\r\n".join(one[3]) + b"\r\n\r\n")
)
def test_any_head_is_read_or_refused(raw: bytes) -> None:
    try:
        head = read_head(raw=raw, head_bytes=1 << 14)
    except Refused as refused:
        assert refused.reason and 400 <= refused.code < 600
    else:
        assert isinstance(head, Head)


@settings(BOUNDED, max_examples=150)
@given(
    results=st.lists(
        st.tuples(
            st.sampled_from([0, 200, 200, 204, 409, 421, 500, 503]),
            st.dictionaries(st.sampled_from(["handover", "passed-on", "x"]), st.text(max_size=8), max_size=2),
            st.binary(max_size=8),
            st.booleans(),
        ),
        min_size=1,
        max_size=12,
    )
)
def test_any_answers_to_grants_and_releases_are_taken(results: list) -> None:
    granting = Granting(service="cart", own_name="c1#1", codec=Codec())
    listed = {name: ListedWorker(name=name, service="cart", address="10.0.0.1:80", zone="z") for name in ("w1", "w2")}
    value, now = {"number": 0, "text": ""}, 100.0
    for code, headers, body, is_sent in results:
        workers = {name: _as_worker(listed=one) for name, one in listed.items()}
        context = GrantContext(
            value=value,
            workers=workers,
            fresh_until=now + 5.0,
            is_acting=True,
            evacuated_zones=frozenset(),
            down_since={},
            lease_max=10.0,
        )
        commands, changes = granting.step(now=now, event=None, context=context)
        for _, _, text in changes:
            value = {"number": value["number"] + 1, "text": text}
        for call in [command for command in commands if isinstance(command, StartCall)]:
            result = CallFinished(
                token=call.token, code=code, headers=headers, body=body, fault="" if code else "reset", sent=is_sent
            )
            granting.step(now=now, event=result, context=context)
        now += 1.0
    assert value["number"]


def _as_worker(*, listed: ListedWorker) -> Worker:
    return Worker(
        name=listed.name,
        generation=0,
        service="cart",
        address=listed.address,
        zone="z",
        leaving=False,
        is_incarnation=True,
    )


ADDRESSES = [
    "",
    ":",
    "x",
    "10.0.0.1",
    "10.0.0.1:x",
    "10.0.0.1:99999999",
    "10.0.0.1:-1",
    "é:1",
    "\ud800:1",
    "a b:1",
    "\x00:1",
]


@pytest.mark.parametrize("address", ADDRESSES)
def test_a_message_to_no_address_is_lost_and_ends_nothing(address: str) -> None:
    reactor = Reactor()
    message_transport = MessageTransport(reactor=reactor, address="127.0.0.1:0", deliver=lambda event: None)
    message_transport.send(to=address, body={"kind": "want", "register": "config"})
    message_transport.send(to="127.0.0.1:1", body={"kind": "want", "register": "\ud800"})
    assert message_transport.counts["unsendable"] == 1


@pytest.mark.parametrize("address", ADDRESSES)
def test_a_call_to_no_address_ends_with_a_fault(address: str) -> None:
    finished: list[CallFinished] = []
    ended = threading.Event()

    def deliver(result: CallFinished) -> None:
        finished.append(result)
        ended.set()

    calls = CurlClient(deliver=deliver)
    threading.Thread(target=calls.run, daemon=True).start()
    calls.start(
        call=StartCall(
            token="t",
            owner="o",
            address=address,
            method="GET",
            path="/",
            headers={"a": "é"},
            body=b"",
            timeout=1.0,
            fresh=False,
        )
    )
    assert ended.wait(20.0) and finished[0].code == 0 and finished[0].fault
