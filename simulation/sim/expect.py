"""Judges the `expect` lines of a scenario, which go beyond the rules, from the history of its run."""

from __future__ import annotations

from typing import TYPE_CHECKING

from simulation.sim.chaos import KINDS

if TYPE_CHECKING:
    from simulation.sim.world import World


def judge_expectation(*, words: list[str], world: World, begin: float) -> tuple[str, object]:
    """(failure or "", measured value) of one expectation; `begin` is the start of the run on the clock."""
    name, arguments = words[0], words[1:]
    judge = {
        "share": _judge_share,
        "good": _judge_good,
        "rows": _judge_rows,
        "runs": _judge_runs,
        "answers": _judge_answers,
        "split": _judge_split,
        "moving": _judge_moving,
        "kinds": _judge_kinds,
        "unresolved": _judge_unresolved,
        "says": _judge_says,
    }[name]
    return judge(words=arguments, world=world, begin=begin)


def _window(*, words: list[str], begin: float) -> tuple[list[str], float, float]:
    if "from" not in words:
        return words, 0.0, float("inf")
    index = words.index("from")
    return words[:index], begin + float(words[index + 1]), begin + float(words[index + 3])


def _rows_between(*, rows: list, low: float, high: float) -> list:
    return [row for row in rows if low <= row["t"] < high]


def _read_filters(*, words: list[str]) -> dict:
    return dict(word.split("=", 1) for word in words if "=" in word)


def _judge_share(*, words: list[str], world: World, begin: float) -> tuple[str, object]:
    """`share PLACE LOW HIGH [field=value ...] from A to B`: the share of the runs in a region, zone or worker."""
    words, low, high = _window(words=words, begin=begin)
    location, minimum, maximum = words[0], float(words[1]), float(words[2])
    runs = _rows_between(rows=world.history.of(k="run"), low=low, high=high)
    for name, value in _read_filters(words=words).items():
        runs = [run for run in runs if str(run[name]) == value]
    if not runs:
        return f"share {location}: no runs", None
    share = sum(location in (run["region"], run["hall"], run["worker"]) for run in runs) / len(runs)
    return (
        ""
        if minimum <= share <= maximum
        else f"share {location} is {share:.3f} of {len(runs)}, not {minimum} to {maximum}"
    ), round(share, 4)


def _judge_split(*, words: list[str], world: World, begin: float) -> tuple[str, object]:
    """`split SERVICE from A to B`: reports the share of each zone; fails only without runs."""
    words, low, high = _window(words=words, begin=begin)
    runs = [
        run for run in _rows_between(rows=world.history.of(k="run"), low=low, high=high) if run["service"] == words[0]
    ]
    zones = {
        zone: round(sum(run["hall"] == zone for run in runs) / max(1, len(runs)), 3) for zone in world.deployment.zones
    }
    return ("" if runs else "split: no runs"), {**zones, "runs": len(runs)}


def _judge_good(*, words: list[str], world: World, begin: float) -> tuple[str, object]:
    """`good LEAST [field=value ...] from A to B`: the share of attempts with a good result."""
    words, low, high = _window(words=words, begin=begin)
    rows = _rows_between(rows=world.history.of(k="got"), low=low, high=high)
    for name, value in _read_filters(words=words).items():
        rows = [row for row in rows if str(row[name]) == value]
    if not rows:
        return "good: no results", None
    share = sum(row["verdict"] == "good" for row in rows) / len(rows)
    minimum = float(words[0])
    reasons: dict = {}
    for row in rows:
        if row["verdict"] != "good":
            name = f"{row['code']}-{row['reason']}-{row['ran']}"
            reasons[name] = reasons.get(name, 0) + 1
    return ("" if share >= minimum else f"good is {share:.4f} of {len(rows)}, under {minimum}: {reasons}"), round(
        share, 4
    )


def _judge_rows(*, words: list[str], world: World, begin: float) -> tuple[str, object]:
    """`rows KIND LEAST MOST [field=value ...] from A to B`: the number of history rows."""
    words, low, high = _window(words=words, begin=begin)
    rows = _rows_between(rows=world.history.of(k=words[0]), low=low, high=high)
    for name, value in _read_filters(words=words).items():
        rows = [row for row in rows if str(row[name]) == value]
    minimum, maximum = float(words[1]), float(words[2])
    return (
        ""
        if minimum <= len(rows) <= maximum
        else f"rows {words[0]} {_read_filters(words=words)}: {len(rows)}, not {minimum} to {maximum}"
    ), len(rows)


def _judge_runs(*, words: list[str], world: World, begin: float) -> tuple[str, object]:
    """`runs LEAST MOST [field=value ...] from A to B`: the number of requests that workers ran."""
    return _judge_rows(words=["run", *words], world=world, begin=begin)


def _judge_unresolved(*, words: list[str], world: World, begin: float) -> tuple[str, object]:
    """`unresolved MOST from A to B`.

    The share of orders whose caller lost the first answer and never learned the outcome.
    """
    words, low, high = _window(words=words, begin=begin)
    orders: dict = {}
    for row in world.history.of(k="got"):
        if row["unsafe"]:
            orders.setdefault((row["tenant"], row["nonce"]), []).append(row)
    lost = [rows for rows in orders.values() if low <= rows[0]["t"] < high and rows[0]["code"] == 0]
    if not lost:
        return "unresolved: no answer was lost", None
    share = sum(not any(row["verdict"] == "good" for row in rows) for rows in lost) / len(lost)
    return ("" if share <= float(words[0]) else f"unresolved is {share:.3f} of {len(lost)}, over {words[0]}"), (
        round(share, 4),
        len(lost),
    )


def _judge_kinds(*, words: list[str], world: World, begin: float) -> tuple[str, object]:
    """`kinds LEAST`.

    The number of kinds of faults that occurred and were followed by an answer within 3 s; `all` for every kind.
    """
    rows = world.history.of(k="chaos")
    times = [row["t"] for row in world.history.of(k="got")]
    answered_kinds = {row["kind"] for row in rows if any(row["t"] <= t <= row["t"] + 3.0 for t in times)}
    minimum = len(KINDS) if words[0] == "all" else int(words[0])
    return (
        ""
        if len(answered_kinds) >= minimum
        else f"kinds: {len(answered_kinds)} of {minimum}, not {sorted(set(KINDS) - answered_kinds)}"
    ), len(answered_kinds)


def _judge_says(*, words: list[str], world: World, begin: float) -> tuple[str, object]:
    """`says EVENT LEAST MOST from A to B`: the number of daemons that logged the event."""
    words, low, high = _window(words=words, begin=begin)
    daemons = [
        node.location.name
        for node in world.nodes.values()
        if any(event == words[0] and low <= t < high for t, event, _ in node.logs)
    ]
    return ("" if float(words[1]) <= len(daemons) <= float(words[2]) else f"says {words[0]}: {daemons}"), len(daemons)


def _judge_moving(*, words: list[str], world: World, begin: float) -> tuple[str, object]:
    """`moving MEDIAN_MOST from A to B`: median s from a key's first refusal as moving to its next good result."""
    words, low, high = _window(words=words, begin=begin)
    began: dict = {}
    spans = []
    for row in _rows_between(rows=world.history.of(k="got"), low=low, high=high):
        name = (row["tenant"], row["path"], row["part"])
        if row["reason"] == "key-moving":
            began.setdefault(name, [row["t"], row["t"]])[1] = row["t"]
        elif row["verdict"] == "good" and name in began:
            first, _ = began.pop(name)
            spans.append(row["t"] - first)
    if not spans:
        return "moving: no key moved", None
    spans.sort()
    median = spans[len(spans) // 2]
    return ("" if median <= float(words[0]) else f"moving: median {median:.2f} s of {len(spans)}"), {
        "median": round(median, 2),
        "most": round(spans[-1], 2),
        "keys": len(spans),
    }


def _judge_answers(*, words: list[str], world: World, begin: float) -> tuple[str, object]:
    """`answers LEAST MOST [field=value ...] from A to B`: the number of attempts that ended."""
    return _judge_rows(words=["got", *words], world=world, begin=begin)
