"""Rules on configurations.

A configuration comes into force in time and is not replaced by an older one; a refused one never comes into force; an
acknowledged one is read back.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from simulation.hosted.contact_history import ContactHistory
from simulation.rules import Violation

if TYPE_CHECKING:
    from simulation.hosted.operators import Version
    from simulation.hosted.world import World

ACK_EXTRA_PER_ROUTE = 0.003
"""s added to the time limit of an acknowledgement for each route that was added to the configuration."""


class SentVersions:
    """All versions that operators sent, and which services each lets run a request."""

    def __init__(self, *, world: World) -> None:
        self._kinds = world.deployment.kinds
        self.versions: list[Version] = sorted(world.operator.versions.values(), key=lambda version: version.number)
        self._routes = {id(version): version.routes() if version.is_valid else {} for version in self.versions}

    def services(self, *, version: Version, host: str, path: str) -> frozenset | None:
        """The services that may run a request under this version; None if no route matches it."""
        best = None
        for (name, prefix), (services, _) in self._routes[id(version)].items():
            if name == host and path.startswith(prefix) and (best is None or len(prefix) > len(best[0])):
                best = (prefix, services)
        return best[1] if best else None

    def may_be_in_force(self, *, sent_at: float, handled_at: float) -> list[Version]:
        """The versions of which one must be in force for a request sent at `sent_at` and handled at `handled_at`."""
        newest = max((version.number for version in self.versions if version.acked_at < sent_at), default=0)
        return [
            version
            for version in self.versions
            if version.number >= newest
            and version.outcome != "refused"
            and version.sent_at < handled_at
            and version.is_valid
        ]

    def allowing(self, *, service: str, host: str, path: str) -> list[Version]:
        """All versions that let this service run the request."""
        return [
            version
            for version in self.versions
            if service in (self.services(version=version, host=host, path=path) or ())
        ]


def judge_config(*, world: World, runs: list, attempts: dict, answers: dict, contact: ContactHistory):
    """Check which configuration was in force for each run and each 404.

    ROUTE: a service ran a request that no version routes to it. CONFIG: a refused, outdated or older version was in
    force, or a request got 404 though each version that may be in force has a route for it.
    """
    versions, bounds = SentVersions(world=world), world.deployment.bounds
    numbers_run: dict = {}
    for run in runs:
        attempt = attempts.get(run["id"])
        if attempt is None:
            continue
        allowing = versions.allowing(service=run["service"], host=attempt["host"], path=attempt["path"])
        if not allowing:
            yield Violation(
                rule="ROUTE", t=run["t"], detail=f"{run['service']} ran {attempt['path']}, meant for {run['expect']}"
            )
            continue
        if all(version.outcome == "refused" or not version.is_valid for version in allowing):
            yield Violation(
                rule="CONFIG",
                t=run["t"],
                detail=f"r{allowing[0].number} was refused or invalid and is in force at {run['proxy']}",
            )
            continue
        due = versions.may_be_in_force(sent_at=attempt["t"] - bounds["config_apply_s"], handled_at=run["t"])
        if (
            not any(version in due for version in allowing)
            and contact.is_in_contact(machine=run["proxy"], t=run["t"])
            and contact.is_in_contact(machine=run["proxy"], t=attempt["t"])
        ):
            yield Violation(
                rule="CONFIG",
                t=run["t"],
                detail=f"{attempt['path']} ran at {run['service']} through {run['proxy']}, though "
                f"r{due[0].number if due else 0} no longer routes it there",
            )
        location = (run["proxy"], run["life"])
        lowest, highest = min(version.number for version in allowing), max(version.number for version in allowing)
        earlier = [
            (number, t) for number, t in numbers_run.get(location, ()) if t + bounds["downgrade_s"] < attempt["t"]
        ]
        if any(number > highest for number, _ in earlier):
            yield Violation(
                rule="CONFIG",
                t=run["t"],
                detail=f"{run['proxy']} went back to r{highest} after r{max(earlier)[0]} had been in force",
            )
        numbers_run.setdefault(location, []).append((lowest, run["t"]))
        numbers_run[location] = numbers_run[location][-200:]
    for row in answers.values():
        attempt = attempts[row["id"]]
        if row["code"] != 404:
            continue
        due = versions.may_be_in_force(sent_at=attempt["t"] - bounds["config_apply_s"], handled_at=row["t"])
        if (
            due
            and all(versions.services(version=version, host=attempt["host"], path=attempt["path"]) for version in due)
            and contact.is_in_contact(machine=attempt["proxy"], t=row["t"])
            and contact.is_in_contact(machine=attempt["proxy"], t=attempt["t"])
        ):
            yield Violation(
                rule="CONFIG",
                t=row["t"],
                detail=f"404 for {attempt['path']} at {attempt['proxy']} though every version due has a route for it",
            )


def judge_reads(*, world: World, contact: ContactHistory):
    """Check what operators were answered: CONFIG, ACK, DUTY and LOST."""
    acked = [version for version in world.operator.versions.values() if version.outcome == "acked"]
    yield from _judge_acknowledged(acked=acked)
    yield from _judge_ended(world=world, contact=contact)
    for row in world.history.of(k="refused-taken"):
        detail = f"r{row['number']} on r{row['base']} had been accepted; sent again, it got {row['code']}"
        yield Violation(rule="CONFIG", t=row["t"], detail=detail)
    for row in world.history.of(k="read-config"):
        yield from _judge_read(acked=acked, row=row)
    for row in world.history.of(k="read-back"):
        yield from _judge_read_back(world=world, acked=acked, row=row)


def _judge_acknowledged(*, acked: list):
    for version in acked:
        if not version.is_valid:
            yield Violation(
                rule="CONFIG", t=version.acked_at, detail=f"r{version.number} is invalid and was acknowledged"
            )
    for base in {version.base for version in acked}:
        winners = sorted({version.number for version in acked if version.base == base})
        if len(winners) > 1 or sum(version.base == base for version in acked) > 1:
            yield Violation(rule="CONFIG", t=0.0, detail=f"{winners} were all acknowledged on top of r{base}")
    for number in {version.number for version in acked}:
        if sum(version.number == number for version in acked) > 1:
            yield Violation(rule="CONFIG", t=0.0, detail=f"two different changes were both acknowledged as r{number}")


def _judge_ended(*, world: World, contact: ContactHistory):
    limit = world.deployment.bounds["ack_s"] + ACK_EXTRA_PER_ROUTE * world.operator.wanted.extra_routes
    for row in world.history.of(k="config-ended"):
        begun = row["waits_from"]
        elapsed = row["t"] - begun
        is_late = not row["lost"] and contact.is_acknowledged_late(begun=begun, ended=row["t"], limit=limit)
        if row["valid"] and is_late:
            yield Violation(rule="ACK", t=row["t"], detail=f"r{row['number']}: {row['code']} after {elapsed:.2f} s")
        is_refused = 400 <= row["code"] < 500 and row["code"] != 412
        if row["valid"] and is_refused and not _may_be_superseded(row=row, world=world):
            yield Violation(rule="DUTY", t=row["t"], detail=f"r{row['number']} is valid and got {row['code']}")


def _judge_read(*, acked: list, row: dict):
    """A read during the run may fail, but must not return a version older than one acknowledged before it began."""
    newest = max((version.number for version in acked if version.acked_at <= row["begun"]), default=0)
    if row["code"] == 200 and int(row["written"]["generation"][1:]) < newest:
        detail = f"{row['written']['generation']} was read after r{newest} had been acknowledged"
        yield Violation(rule="LOST", t=row["t"], detail=detail)


def _judge_read_back(*, world: World, acked: list, row: dict):
    newest = max(
        (version for version in acked if version.acked_at <= row["begun"]),
        key=lambda version: version.number,
        default=None,
    )
    if row["code"] != 200:
        if newest is not None:
            yield Violation(rule="CONFIG", t=row["t"], detail=f"the configuration could not be read: {row['code']}")
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
    if not any(normal_form(written=version.written) == normal_form(written=row["written"]) for version in sent):
        yield Violation(rule="CONFIG", t=row["t"], detail=f"what is read back as r{number} is not what was sent")


def _may_be_superseded(*, row: dict, world: World) -> bool:
    """Whether a version with this number or a higher one may have been in force when this one was refused.

    If so, the refusal was right, whichever version this one built on.
    """
    return any(
        version.number >= row["number"]
        and version.sent_at < row["t"]
        and version.outcome != "refused"
        and version.is_valid
        for version in world.operator.versions.values()
        if (version.number, version.sent_at) != (row["number"], row["begun"])
    )


def normal_form(*, written: dict) -> tuple:
    """A form of a configuration that does not depend on the order of its items."""
    rules = sorted(
        (listener["hostname"], rule["name"], repr(sorted(rule.items(), key=lambda item: item[0])))
        for listener in written["listeners"]
        for rule in listener["ruleset"]
    )
    return written["generation"], rules, sorted(repr(sorted(pool.items())) for pool in written["pools"])
