"""Measure the cost of many changes of the configuration: size of the data file, start from disk, and catch-up.

Usage:
  many_changes [--routes=LIST] [--changes=LIST] [--cases=LIST] [--json=FILE]

Options:
  --routes=LIST   Routes of the configuration, with commas [default: 350].
  --changes=LIST  Changes made while the member is away, with commas [default: 100,1000,10000].
  --cases=LIST    Of restart, wipe, freeze, cut, replace [default: restart,wipe,freeze,cut,replace].
  --json=FILE     Append each row to this file, one JSON object a line.

Three controllers found a group in virtual time, with real data files; one of them is absent during all the changes and
then returns.
Catch-up time is virtual time (links and syncs of 2 ms each); the time to start from disk is real time of this machine.
Bytes are those of uncompressed messages to the member.
"""

from __future__ import annotations

import json
import sys
import tempfile
import time
from dataclasses import asdict, dataclass
from pathlib import Path

from docopt import docopt

from simulation.core_group import CoreGroup, Member

CATCH_UP_WAIT = 20.0
"""s that a member may take to catch up before it counts as lost."""
SETTLE_TIME = 3.0
"""s of virtual time after the founding of the group, and before the member returns."""
FIRST_NUMBER = 100_000_000
"""The versions count from here, so that all texts have the same length."""
PROGRESS_EVERY = 1000
"""Number of changes between two lines of progress."""


@dataclass(frozen=True, kw_only=True)
class Row:
    """The measurements of one case. Times in s, sizes in bytes.

    The file, its rewrites and the time to start from it are those of a member that took part in all the changes.
    """

    case: str
    routes: int
    changes: int
    value_bytes: int
    file_largest: int
    rewrites: int
    own_file: int
    present_file: int
    start_time: float
    catch_up: float
    voting_after: float
    received_bytes: int
    older_held: int


def make_text(*, routes: int, number: int) -> str:
    """The register text of a labelled configuration with so many routes."""
    routing = [
        {
            "name": f"route-{at}",
            "route_kind": "idempotent" if at % 2 else "nonidempotent",
            "target_s": 0.4,
            "priority": at % 3,
            "matcher": {"path_prefix": f"/part{at}/"},
            "verdict": {
                "split_to": [{"service": "red", "weight": 90}, {"service": "white", "weight": 10}],
                "deadline_s": 2.5,
                "max_tries": 2,
                "home_regions": ["north"] if at % 4 == 0 else [],
            },
        }
        for at in range(routes)
    ]
    history = [[label, f"{label:024x}"] for label in range(max(1, number - 31), number + 1)]
    written = {"generation": f"r{number}", "listeners": [{"hostname": "one.example", "ruleset": routing}]}
    return json.dumps({"written": written, "label": number, "history": history}, separators=(",", ":"))


class RegisterTexts:
    """Texts with increasing numbers and the same routes, as building each anew would take most of the time."""

    def __init__(self, *, routes: int) -> None:
        self._template = make_text(routes=routes, number=777777777)
        self.length = len(self._template)

    def make(self, *, number: int) -> str:
        """The text with this number; its history has the same length each time."""
        return self._template.replace("777777777", str(FIRST_NUMBER + number))


def measure(*, case: str, routes: int, changes: int, folder: Path) -> Row:
    """Measure one case: a member is absent during all the changes."""
    group = CoreGroup(folder=folder, size=3)
    for member in group.members:
        group.start(member=member, is_first=True)
    if not group.run(seconds=10.0, until=lambda: all(member.controller.is_voting for member in group.members)):
        raise RuntimeError("the group was not founded")
    texts = RegisterTexts(routes=routes)
    group.run(seconds=SETTLE_TIME)
    first, absent = group.members[0], group.members[2]
    _require_accepted(is_accepted=group.change(text=texts.make(number=1), at=first))
    group.run(seconds=SETTLE_TIME)
    _take_away(group=group, member=absent, case=case)
    largest = 0
    for number in range(2, changes + 2):
        _require_accepted(is_accepted=group.change(text=texts.make(number=number), at=first))
        largest = max(largest, first.file_bytes())
        if number % PROGRESS_EVERY == 0:
            print(f"{case}, {routes} routes: {number} of {changes} changes", file=sys.stderr, flush=True)
    group.run(seconds=SETTLE_TIME)
    begun = group.now
    returned = _bring_back(group=group, member=absent, case=case)
    newest = first.controller.learner.number(name="config")
    older = _catch_up(group=group, member=returned, newest=newest)
    catch_up = group.now - begun if older >= 0 else float("inf")
    is_voting = (
        group.run(seconds=CATCH_UP_WAIT, until=lambda: returned.controller.is_voting) or returned.controller.is_voting
    )
    group.measured = None
    own_file, present_file, rewrites = (
        returned.file_bytes(),
        first.file_bytes(),
        first.controller.write_ahead.rewrite_count,
    )
    start_time = _time_start(group=group, member=first)
    return Row(
        case=case,
        routes=routes,
        changes=changes,
        value_bytes=texts.length,
        file_largest=largest,
        rewrites=rewrites,
        own_file=own_file,
        present_file=present_file,
        start_time=round(start_time, 4),
        catch_up=round(catch_up, 3),
        voting_after=round(group.now - begun, 3) if is_voting else float("inf"),
        received_bytes=sum(returned.received_bytes.values()),
        older_held=older,
    )


def _require_accepted(*, is_accepted: bool) -> None:
    if not is_accepted:
        raise RuntimeError("a change was not accepted")


def _take_away(*, group: CoreGroup, member: Member, case: str) -> None:
    if case == "freeze":
        group.freeze(member=member)
    elif case == "cut":
        member.is_cut = True
    else:
        group.kill(member=member)


def _bring_back(*, group: CoreGroup, member: Member, case: str) -> Member:
    returned = group.add() if case == "replace" else member
    group.measured = returned
    if case == "freeze":
        group.thaw(member=returned)
    elif case == "cut":
        returned.is_cut = False
    else:
        if case == "wipe":
            returned.files.remove(name="registers")
        group.start(member=returned)
    return returned


def _time_start(*, group: CoreGroup, member: Member) -> float:
    """Real time in s in which a member that took part in all changes starts from its disk."""
    group.kill(member=member)
    begun = time.perf_counter()
    group.start(member=member)
    return time.perf_counter() - begun


def _catch_up(*, group: CoreGroup, member: Member, newest: int) -> int:
    """How many older values it adopted before it got to the newest; -1 if it never got there."""
    numbers = {member.controller.learner.number(name="config")}

    def has_caught_up() -> bool:
        number = member.controller.learner.number(name="config")
        numbers.add(number)
        return number >= newest

    if not has_caught_up() and not group.run(seconds=CATCH_UP_WAIT, until=has_caught_up):
        return -1
    return len(numbers - {newest, 0}) - (1 if min(numbers) > 0 and min(numbers) < newest else 0)


def main() -> None:
    """Measure and print a table."""
    flags = docopt(__doc__)
    print(
        "| case | routes | changes | value B | largest file B | rewrites | start s | catch-up s | votes after s "
        "| received B |"
    )
    print("|---|---|---|---|---|---|---|---|---|---|")
    for routes in [int(count) for count in flags["--routes"].split(",")]:
        for changes in [int(count) for count in flags["--changes"].split(",")]:
            for case in flags["--cases"].split(","):
                with tempfile.TemporaryDirectory(prefix="sailward-changes-") as folder:
                    row = measure(case=case, routes=routes, changes=changes, folder=Path(folder))
                cells = (
                    row.case,
                    row.routes,
                    row.changes,
                    row.value_bytes,
                    row.file_largest,
                    row.rewrites,
                    row.start_time,
                    row.catch_up,
                    row.voting_after,
                    row.received_bytes,
                )
                print("| " + " | ".join(str(cell) for cell in cells) + " |", flush=True)
                if flags["--json"]:
                    with Path(flags["--json"]).open("a", encoding="utf-8") as file:
                        file.write(json.dumps(asdict(row)) + "\n")


if __name__ == "__main__":
    main()
