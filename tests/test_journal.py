"""What is logged when an owner ends by an exception, and how commands are dispatched to the edges."""

from __future__ import annotations

import pytest

from sailward.events import CallFinished, ExitProcess, LogEvent, MessageReceived, TimerFired
from sailward.runtime import journal
from sailward.runtime.journal import Journal, carry_out


@pytest.fixture
def logged(monkeypatch: pytest.MonkeyPatch) -> list[tuple[str, dict]]:
    rows: list[tuple[str, dict]] = []
    monkeypatch.setattr(journal, "write_log", lambda *, event, fields, level="info": rows.append((event, fields)))
    return rows


def test_a_fault_is_logged_with_the_last_events_but_without_their_contents(logged: list) -> None:
    journal_under_test = Journal(dump_length=3)
    body = {"kind": "push", "value": "a tenant's"}
    called = CallFinished(token="t", code=500, headers={"x": "a caller's"}, body=b"a caller's", fault="", sent=True)
    events = [
        MessageReceived(sender="old", body=body),
        TimerFired(wall=1.0),
        MessageReceived(sender="new", body=body),
        called,
    ]
    for at, event in enumerate(events):
        journal_under_test.add(now=float(at), event=event)
    try:
        raise OSError("away")
    except OSError:
        journal_under_test.write_fault(event=events[-1])
    (name, fault), *rows = logged
    assert name == "fault" and fault["on"] == "CallFinished" and "OSError: away" in fault["trace"]
    assert rows == [
        ("journal", {"at": "2.000", "event": "MessageReceived", "from": "new", "kind": "push"}),
        ("journal", {"at": "3.000", "event": "CallFinished", "token": "t", "code": 500, "fault": ""}),
    ]


def test_a_command_goes_to_the_edge_for_its_type_and_an_unknown_one_is_logged(logged: list) -> None:
    seen: list = []
    carry_out(command=ExitProcess(code=3), handlers={ExitProcess: seen.append})
    carry_out(command=LogEvent(event="said", fields={"a": 1}), handlers={})
    carry_out(command=ExitProcess(code=4), handlers={})
    assert [command.code for command in seen] == [3]
    assert logged == [("said", {"a": 1}), ("command-unexpected", {"type": "ExitProcess"})]
