"""Versions side by side.

What the last landed version said and wrote is understood, what a newer one wrote is refused.
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
from sailward.discovery.gossip import Place
from sailward.events import Heard, Ticked
from sailward.proxy.concierge import Concierge
from sailward.proxy.sommelier import Sommelier
from sailward.routing.plan import read_plan
from sailward.storage.disk import MAGIC, Newer, Read, pack_frame, read_frames
from tests.test_words import GOOD, run

FIXTURES = Path(__file__).parent / "fixtures"
MESSAGES = json.loads((FIXTURES / "messages-0.1.0.json").read_text("utf-8"))
DATA = (FIXTURES / "registers-0.1.0").read_bytes()
NEW_KINDS = {"want", "keep", "fleet", "beat", "list", "confirm", "confirmed"}


def make_place(*, kind: str) -> Place:
    return Place(
        name=f"{kind}-9", kind=kind, hall="gdl-a", region="guadalajara", post="10.0.0.9:7000", http="10.0.0.9:7100"
    )


def make_cellar(*, records: list) -> Controller:
    return Controller(
        place=make_place(kind="cellar"), platform="", nonce="1", start=1, rng=random.Random(1), records=records, now=0.0
    )


def test_every_message_of_the_last_version_is_understood() -> None:
    assert set(MESSAGES) == set(FIELDS) - NEW_KINDS
    owners = [
        make_cellar(records=read_frames(data=DATA).records),
        Concierge(place=make_place(kind="concierge"), start=1, rng=random.Random(1)),
        Sommelier(place=make_place(kind="sommelier"), nonce="1", start=1, rng=random.Random(1), now=0.0),
    ]
    heard = {}
    for kind, rows in MESSAGES.items():
        for row in rows:
            body = read_message(payload=base64.b64decode(row))
            assert isinstance(body, dict) and body["kind"] == kind
            for owner in owners:
                commands = owner.step(now=1.0, event=Heard(sender="10.0.0.1:7000", body=body))
                heard.setdefault(kind, []).extend(commands)
    for owner in owners:
        owner.step(now=1.1, event=Ticked())
    # askings get grants, gossip gets gossip: the old ones were taken for what they are
    assert any(getattr(one, "body", {}).get("kind") == "grant" for one in heard["ask"])
    assert any(getattr(one, "body", {}).get("kind") == "gossip" for one in heard["gossip"])


def test_new_kinds_are_not_told_to_the_last_version() -> None:
    assert "0.1.0" in constants.WITHOUT_COPIES


def test_the_data_file_of_the_last_version_is_read() -> None:
    found = read_frames(data=DATA)
    assert isinstance(found, Read) and found.length == len(DATA)
    cellar = make_cellar(records=found.records)
    assert cellar.ledger.copied and len(cellar.voters["members"]) == 4
    value = cellar.acceptor.slots["config"].value
    assert value["number"] == 1 and read_plan(value=value).services["orders"].timed_keys is False
    assert sum(name.startswith("exchange/") for name in cellar.acceptor.slots) == 75


@pytest.mark.parametrize(
    ("name", "data"),
    [
        ("form", b"swf2" + DATA[4:]),
        ("record", DATA + pack_frame(records=[{"k": "moon", "r": "x"}])),
        ("later", DATA + b"swf9" + DATA[4:]),
    ],
)
def test_a_data_file_of_a_newer_version_is_refused_and_left_alone(name: str, data: bytes, tmp_path: Path) -> None:
    assert isinstance(read_frames(data=data), Newer)
    folder = tmp_path / "data"
    folder.mkdir()
    (folder / "registers").write_bytes(data)
    settings = tmp_path / "cellar.toml"
    settings.write_text(GOOD + f'data = "{folder}"\nplatform = "127.0.0.1:7002"\n')
    code, _, err = run("cellar", "--settings", str(settings))
    assert code == constants.EXIT_DISK and "disk-newer" in err
    assert (folder / "registers").read_bytes() == data


def test_the_form_is_the_one_that_is_written() -> None:
    assert DATA.startswith(MAGIC) and pack_frame(records=[]).startswith(MAGIC)
