"""Expectations of a scenario beyond the rules.

They concern the share of requests served, the time of refusals, rows of the history and log lines.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from simulation.hosted.world import World

LATE_REFUSAL_SHARE = 0.25
"""Share of a request's aim after which a refusal by the proxy is late."""
ANSWER_DELAY = 0.06
"""s that an answer takes to reach its client."""


def judge_expectation(*, words: list[str], world: World) -> tuple[str, object]:
    """(what is wrong or "", the measured figure)."""
    return JUDGES[words[0]](words=words[1:], world=world)


def _window(*, words: list[str], world: World) -> tuple[list[str], float, float]:
    """Split off `from A to B` at the end, and give the rest and the span."""
    if "from" not in words:
        return words, world.begin, world.end
    at = words.index("from")
    return words[:at], world.begin + float(words[at + 1]), world.begin + float(words[at + 3])


def _judge_served(*, words: list[str], world: World) -> tuple[str, object]:
    """`served LEAST [KIND ...] from A to B`: the share of the requests begun in this span that were served in time."""
    words, low, high = _window(words=words, world=world)
    rows = [
        row
        for row in world.history.of(k="end")
        if low <= row["begun"] < high and (len(words) == 1 or row["kind"] in words[1:])
    ]
    if not rows:
        return "served: no requests", None
    share = sum(row["good"] for row in rows) / len(rows)
    return ("" if share >= float(words[0]) else f"served {share:.4f} of {len(rows)}, under {words[0]}"), (
        round(share, 4),
        len(rows),
    )


def _judge_aim(*, words: list[str], world: World) -> tuple[str, object]:
    """`aim LEAST [KIND ...] from A to B`: the share of these requests that was served within its aim."""
    words, low, high = _window(words=words, world=world)
    rows = [
        row
        for row in world.history.of(k="end")
        if low <= row["begun"] < high and (len(words) == 1 or row["kind"] in words[1:])
    ]
    if not rows:
        return "aim: no requests", None
    share = sum(row["good"] and row["took"] <= row["aim"] for row in rows) / len(rows)
    return ("" if share >= float(words[0]) else f"aim {share:.4f} of {len(rows)}, under {words[0]}"), (
        round(share, 4),
        len(rows),
    )


def _judge_held(*, words: list[str], world: World) -> tuple[str, object]:
    """`held MOST [KIND ...] from A to B`.

    Requests that the proxy held too long before it refused them with 503, without offering them to a worker.
    """
    words, low, high = _window(words=words, world=world)
    reads = {row["id"]: row["t"] for row in world.history.of(k="read")}
    offered = {row["id"] for row in world.history.of(k="arrival")}
    aims = {kind.name: kind.latency_target for kind in world.deployment.kinds}
    late = [
        row
        for row in world.history.of(k="got")
        if row["code"] == 503
        and (len(words) == 1 or row["kind"] in words[1:])
        and row["id"] in reads
        and row["id"] not in offered
        and low <= row["t"] < high
        and row["t"] - reads[row["id"]] > LATE_REFUSAL_SHARE * aims[row["kind"]] + ANSWER_DELAY
    ]
    return ("" if len(late) <= int(words[0]) else f"held: {len(late)}, as {late[0]['id']} ({late[0]['reason']})"), len(
        late
    )


def _judge_rows(*, words: list[str], world: World) -> tuple[str, object]:
    """`rows KIND LEAST MOST [FIELD=VALUE ...] from A to B`: the number of such rows in the history."""
    words, low, high = _window(words=words, world=world)
    fields = dict(word.split("=", 1) for word in words[3:])
    rows = [
        row
        for row in world.history.of(k=words[0])
        if low <= row["t"] < high and all(str(row.get(name)) == value for name, value in fields.items())
    ]
    is_right = float(words[1]) <= len(rows) <= float(words[2])
    return ("" if is_right else f"rows {' '.join(words)}: {len(rows)}"), len(rows)


def _judge_says(*, words: list[str], world: World) -> tuple[str, object]:
    """`says EVENT LEAST MOST from A to B`: the number of daemons that logged this event."""
    words, low, high = _window(words=words, world=world)
    daemons = [
        process.name
        for machine in world.machines.values()
        for process in machine.processes.values()
        if any(event == words[0] and low <= t < high for t, event, _ in process.logs)
    ]
    return ("" if float(words[1]) <= len(daemons) <= float(words[2]) else f"says {words[0]}: {daemons}"), len(daemons)


def _judge_voters(*, words: list[str], world: World) -> tuple[str, object]:
    """`voters LEAST`: the number of controllers that report at the end that they vote."""
    count = sum(controller.owner is not None and controller.owner.is_voting for controller in world.controllers())
    return ("" if count >= int(words[0]) else f"voters: {count}"), count


def _judge_caught_up(*, words: list[str], world: World) -> tuple[str, object]:
    """`caught-up`: every running controller and proxy holds the newest configuration at the end."""
    numbers = {
        process.name: process.owner.learner.number(name="config")
        for machine in world.machines.values()
        for process in machine.processes.values()
        if process.owner is not None
    }
    newest = max(numbers.values())
    behind = {name: number for name, number in numbers.items() if number < newest}
    return (f"caught-up: {behind} behind {newest}" if behind else ""), (newest, len(numbers))


def _judge_count(*, words: list[str], world: World) -> tuple[str, object]:
    """`count WHAT MOST`: a counter of the run, such as calls to the list, probes, new connections or messages."""
    count = world.count[words[0]]
    return ("" if count <= float(words[1]) else f"count {words[0]}: {count}"), count


def _judge_spoilt(*, words: list[str], world: World) -> tuple[str, object]:
    """`spoilt`: each surplus answer disturbed one call at most, as its connection was then closed."""
    surplus, misnamed = world.count["surplus"], world.count["misnamed"]
    return ("" if 0 < misnamed <= surplus else f"spoilt: {misnamed} calls by {surplus} surplus answers"), (
        misnamed,
        surplus,
    )


JUDGES = {
    "spoilt": _judge_spoilt,
    "served": _judge_served,
    "aim": _judge_aim,
    "held": _judge_held,
    "rows": _judge_rows,
    "says": _judge_says,
    "voters": _judge_voters,
    "caught-up": _judge_caught_up,
    "count": _judge_count,
}
