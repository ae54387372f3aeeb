"""Rules on configurations: in force in time, never back, nothing refused in force, acknowledged and read back."""

from __future__ import annotations

from typing import TYPE_CHECKING

from simulation.hosted.touch import Touch
from simulation.rules import Violation

if TYPE_CHECKING:
    from simulation.hosted.operators import Version
    from simulation.hosted.world import World

LARGE = 0.003
"""s more for each route of a configuration that is to be acknowledged."""


class Versions:
    """What each version that was sent allows."""

    def __init__(self, *, world: World) -> None:
        self._kinds = world.deployment.kinds
        self.all: list[Version] = sorted(world.operator.versions.values(), key=lambda version: version.number)
        self._routes = {id(one): one.routes() if one.is_valid else {} for one in self.all}

    def services(self, *, version: Version, host: str, path: str) -> frozenset | None:
        """The services that may run a request under this version; None if it has no route."""
        best = None
        for (name, prefix), (services, _) in self._routes[id(version)].items():
            if name == host and path.startswith(prefix) and (best is None or len(prefix) > len(best[0])):
                best = (prefix, services)
        return best[1] if best else None

    def may_hold(self, *, since: float, until: float) -> list[Version]:
        """The versions of which one must be in force for what is sent at `since` and handled by `until`."""
        newest = max((one.number for one in self.all if one.acked < since), default=0)
        return [
            one
            for one in self.all
            if one.number >= newest and one.outcome != "refused" and one.sent < until and one.is_valid
        ]

    def allowing(self, *, service: str, host: str, path: str) -> list[Version]:
        """All that let this service run it."""
        return [one for one in self.all if service in (self.services(version=one, host=host, path=path) or ())]


def judge_config(*, world: World, runs: list, attempts: dict, got: dict, touch: Touch):
    """ROUTE and CONFIG by what was run and what was refused."""
    versions, bounds = Versions(world=world), world.deployment.bounds
    newest: dict = {}
    for run in runs:
        sent = attempts.get(run["id"])
        if sent is None:
            continue
        allowing = versions.allowing(service=run["service"], host=sent["host"], path=sent["path"])
        if not allowing:
            yield Violation(
                rule="ROUTE", t=run["t"], detail=f"{run['service']} ran {sent['path']}, meant for {run['expect']}"
            )
            continue
        if all(one.outcome == "refused" or not one.is_valid for one in allowing):
            yield Violation(
                rule="CONFIG", t=run["t"], detail=f"r{allowing[0].number} was refused and is in force at {run['proxy']}"
            )
            continue
        due = versions.may_hold(since=sent["t"] - bounds["config_apply_s"], until=run["t"])
        if (
            not any(one in due for one in allowing)
            and touch.holds(machine=run["proxy"], t=run["t"])
            and touch.holds(machine=run["proxy"], t=sent["t"])
        ):
            yield Violation(
                rule="CONFIG",
                t=run["t"],
                detail=f"{sent['path']} ran at {run['service']}, which r{due[0].number if due else 0} "
                f"no longer lets, by {run['proxy']}",
            )
        location = (run["proxy"], run["life"])
        least, most = min(one.number for one in allowing), max(one.number for one in allowing)
        seen = [(number, t) for number, t in newest.get(location, ()) if t + bounds["downgrade_s"] < sent["t"]]
        if any(number > most for number, _ in seen):
            yield Violation(
                rule="CONFIG", t=run["t"], detail=f"{run['proxy']} went back to r{most} after r{max(seen)[0]} had shown"
            )
        newest.setdefault(location, []).append((least, run["t"]))
        newest[location] = newest[location][-200:]
    for row in got.values():
        sent = attempts[row["id"]]
        if row["code"] != 404:
            continue
        due = versions.may_hold(since=sent["t"] - bounds["config_apply_s"], until=row["t"])
        if (
            due
            and all(versions.services(version=one, host=sent["host"], path=sent["path"]) for one in due)
            and touch.holds(machine=sent["proxy"], t=row["t"])
            and touch.holds(machine=sent["proxy"], t=sent["t"])
        ):
            yield Violation(
                rule="CONFIG",
                t=row["t"],
                detail=f"404 for {sent['path']} at {sent['proxy']} though every version due has it",
            )


def judge_reads(*, world: World, touch: Touch):
    """CONFIG and LOST by what operators were told."""
    acked = [version for version in world.operator.versions.values() if version.outcome == "acked"]
    yield from _judge_acknowledged(acked=acked)
    yield from _judge_ended(world=world, touch=touch)
    for row in world.history.of(k="refused-taken"):
        told = f"r{row['number']} on r{row['base']} had been taken, was sent again and got {row['code']}"
        yield Violation(rule="CONFIG", t=row["t"], detail=told)
    for row in world.history.of(k="read-config"):
        yield from _judge_read(acked=acked, row=row)
    for row in world.history.of(k="read-back"):
        yield from _judge_read_back(world=world, acked=acked, row=row)


def _judge_acknowledged(*, acked: list):
    for one in acked:
        if not one.is_valid:
            yield Violation(rule="CONFIG", t=one.acked, detail=f"r{one.number} is invalid and was acknowledged")
    for base in {one.base for one in acked}:
        winners = sorted({one.number for one in acked if one.base == base})
        if len(winners) > 1 or sum(one.base == base for one in acked) > 1:
            yield Violation(rule="CONFIG", t=0.0, detail=f"{winners} were all acknowledged on top of r{base}")
    for number in {one.number for one in acked}:
        if sum(version.number == number for version in acked) > 1:
            yield Violation(rule="CONFIG", t=0.0, detail=f"two different changes were both acknowledged as r{number}")


def _judge_ended(*, world: World, touch: Touch):
    patience = world.deployment.bounds["ack_s"] + LARGE * world.operator.added
    for row in world.history.of(k="config-ended"):
        begun = row["waits_from"]
        took = row["t"] - begun
        is_late = not row["lost"] and touch.is_acked_late(begun=begun, ended=row["t"], patience=patience)
        if row["valid"] and is_late:
            yield Violation(rule="ACK", t=row["t"], detail=f"r{row['number']}: {row['code']} after {took:.2f} s")
        is_refused = 400 <= row["code"] < 500 and row["code"] != 412
        if row["valid"] and is_refused and not _is_passed(row=row, world=world):
            yield Violation(rule="DUTY", t=row["t"], detail=f"r{row['number']} is valid and got {row['code']}")


def _judge_read(*, acked: list, row: dict):
    """A read in the middle of a day may fail; what it gives is no older than what was acknowledged before it began."""
    newest = max((version.number for version in acked if version.acked <= row["begun"]), default=0)
    if row["code"] == 200 and int(row["written"]["generation"][1:]) < newest:
        told = f"{row['written']['generation']} was read after r{newest} had been acknowledged"
        yield Violation(rule="LOST", t=row["t"], detail=told)


def _judge_read_back(*, world: World, acked: list, row: dict):
    newest = max((one for one in acked if one.acked <= row["begun"]), key=lambda one: one.number, default=None)
    if row["code"] != 200:
        if newest is not None:
            yield Violation(rule="CONFIG", t=row["t"], detail=f"the configuration did not come: {row['code']}")
        return
    number = int(row["written"]["generation"][1:])
    if newest is not None and number < newest.number:
        yield Violation(
            rule="LOST", t=row["t"], detail=f"r{number} was read back after r{newest.number} had been acknowledged"
        )
    sent = [
        version
        for version in world.operator.versions.values()
        if version.number == number and version.outcome != "refused"
    ]
    if not any(normal_form(written=one.written) == normal_form(written=row["written"]) for one in sent):
        yield Violation(rule="CONFIG", t=row["t"], detail=f"what is read back as r{number} is not what was sent")


def _is_passed(*, row: dict, world: World) -> bool:
    """May a version with this number or a higher one have been in force when this one was refused?

    Then it was invalid, whatever it built on.
    """
    return any(
        version.number >= row["number"]
        and version.sent < row["t"]
        and version.outcome != "refused"
        and version.is_valid
        for version in world.operator.versions.values()
        if (version.number, version.sent) != (row["number"], row["begun"])
    )


def normal_form(*, written: dict) -> tuple:
    """The same for the same configuration, in whatever order its items stand."""
    rules = sorted(
        (listener["hostname"], rule["name"], repr(sorted(rule.items(), key=lambda item: item[0])))
        for listener in written["listeners"]
        for rule in listener["ruleset"]
    )
    return written["generation"], rules, sorted(repr(sorted(pool.items())) for pool in written["pools"])
