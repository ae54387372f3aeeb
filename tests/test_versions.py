"""Compatibility between versions.

Messages and data files of the previous version are read; data files of a newer version are refused.
"""

from __future__ import annotations

import base64
import json
import random
from pathlib import Path

import pytest

from sailward import constants
from sailward.consensus.messages import FIELDS, read_message
from sailward.control.controller import Controller
from sailward.discovery.peer_table import Location, PeerTable, kind_of
from sailward.events import MessageReceived, TimerFired
from sailward.proxy.directory_server import DirectoryServer
from sailward.proxy.tenant_proxy import TenantProxy
from sailward.routing.plan import read_plan
from sailward.storage.disk import MAGIC, FileContents, NewerFormat, pack_frame, read_frames
from tests.test_words import GOOD, run

FIXTURES = Path(__file__).parent / "fixtures"
MESSAGES = json.loads((FIXTURES / "messages-0.1.0.json").read_text("utf-8"))
DATA = (FIXTURES / "registers-0.1.0").read_bytes()
NEW_KINDS = {"want", "keep", "fleet", "beat", "list", "confirm", "confirmed"}


def make_location(*, kind: str) -> Location:
    return Location(
        name=f"{kind}-9", kind=kind, zone="gdl-a", region="guadalajara", post="10.0.0.9:7000", http="10.0.0.9:7100"
    )


def make_controller(*, records: list) -> Controller:
    return Controller(
        location=make_location(kind="controller"),
        platform="",
        nonce="1",
        start=1,
        rng=random.Random(1),
        records=records,
        now=0.0,
    )


def test_every_message_of_the_previous_version_is_understood() -> None:
    assert set(MESSAGES) == set(FIELDS) - NEW_KINDS
    owners = [
        make_controller(records=read_frames(data=DATA).records),
        DirectoryServer(location=make_location(kind="directory"), start=1, rng=random.Random(1)),
        TenantProxy(location=make_location(kind="proxy"), nonce="1", start=1, rng=random.Random(1), now=0.0),
    ]
    commands_by_kind = {}
    for kind, rows in MESSAGES.items():
        for row in rows:
            body = read_message(payload=base64.b64decode(row))
            assert isinstance(body, dict) and body["kind"] == kind
            for owner in owners:
                commands = owner.step(now=1.0, event=MessageReceived(sender="10.0.0.1:7000", body=body))
                commands_by_kind.setdefault(kind, []).extend(commands)
    for owner in owners:
        owner.step(now=1.1, event=TimerFired())
    # old lease requests get grants and old gossip gets gossip in reply, so both were recognized
    assert any(getattr(command, "body", {}).get("kind") == "grant" for command in commands_by_kind["ask"])
    assert any(getattr(command, "body", {}).get("kind") == "gossip" for command in commands_by_kind["gossip"])


@pytest.mark.parametrize(
    ("kind", "wire_kind"), [("controller", "cellar"), ("proxy", "sommelier"), ("directory", "concierge")]
)
def test_the_kind_of_a_daemon_is_read_whichever_version_wrote_its_entry(kind: str, wire_kind: str) -> None:
    sender = PeerTable(location=make_location(kind=kind), start=1)
    written = sender.own_entry()
    assert written["kind"] == wire_kind, "the previous version knows only this word"
    for at, entry in enumerate((written, {**written, "kind": kind})):
        entries = [{**entry, "id": f"other-{at}"}]
        reader = PeerTable(location=make_location(kind="proxy"), start=1)
        reader.step(now=0.0, event=("10.0.0.2:7000", {"kind": "gossip", "entries": entries, "reply": True}))
        assert [peer["id"] for peer in reader.alive(kind=kind)] == [f"other-{at}"]


def test_the_kinds_in_entries_of_the_previous_version_are_read() -> None:
    gossips = [read_message(payload=base64.b64decode(row)) for row in MESSAGES["gossip"]]
    asks = [read_message(payload=base64.b64decode(row)) for row in MESSAGES["ask"]]
    entries = [*(entry for body in gossips for entry in body["entries"]), *(body["daemon"] for body in asks)]
    assert {entry["kind"] for entry in entries} == {"sommelier"}
    assert {kind_of(entry=entry) for entry in entries} == {"proxy"}


def test_new_message_kinds_are_not_sent_to_the_previous_version() -> None:
    assert "0.1.0" in constants.VERSIONS_WITHOUT_REPLICAS


def test_the_data_file_of_the_previous_version_is_read() -> None:
    found = read_frames(data=DATA)
    assert isinstance(found, FileContents) and found.length == len(DATA)
    controller = make_controller(records=found.records)
    assert controller.write_ahead.has_copied and len(controller.voters.members) == 4
    value = controller.acceptor.slots["config"].value
    assert value["number"] == 1 and read_plan(value=value).services["orders"].requires_timed_keys is False
    assert sum(name.startswith("exchange/") for name in controller.acceptor.slots) == 75


@pytest.mark.parametrize(
    ("name", "data"),
    [
        ("form", b"swf2" + DATA[4:]),
        ("record", DATA + pack_frame(records=[{"k": "moon", "r": "x"}])),
        ("later", DATA + b"swf9" + DATA[4:]),
    ],
)
def test_a_data_file_of_a_newer_version_is_refused_and_left_alone(name: str, data: bytes, tmp_path: Path) -> None:
    assert isinstance(read_frames(data=data), NewerFormat)
    folder = tmp_path / "data"
    folder.mkdir()
    (folder / "registers").write_bytes(data)
    settings = tmp_path / "controller.toml"
    settings.write_text(GOOD + f'data = "{folder}"\nplatform = "127.0.0.1:7002"\n')
    code, _, err = run("controller", "--settings", str(settings))
    assert code == constants.EXIT_DISK and "disk-newer" in err
    assert (folder / "registers").read_bytes() == data


def test_the_fixture_has_the_format_that_is_written() -> None:
    assert DATA.startswith(MAGIC) and pack_frame(records=[]).startswith(MAGIC)
