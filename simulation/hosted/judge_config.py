"""Rules on configurations: in force in time, never back, nothing refused in force, acknowledged and read back."""

from __future__ import annotations

from typing import TYPE_CHECKING

from simulation.hosted.contact_history import ContactHistory
from simulation.rules import Broken

if TYPE_CHECKING:
    from simulation.hosted.operators import Version
    from simulation.hosted.world import World

ACK_EXTRA_PER_ROUTE = 0.003
"""s more for each route of a configuration that is to be acknowledged."""


class SentVersions:
    """What each version that was sent allows."""

    def __init__(self, *, world: World) -> None:
        self._kinds = world.deployment.kinds
        self.versions: list[Version] = sorted(world.operator.versions.values(), key=lambda version: version.number)
        self._routes = {id(version): version.routes() if version.is_valid else {} for version in self.versions}

    def services(self, *, version: Version, host: str, path: str) -> frozenset | None:
        """The services that may run a request under this version; None if it has no route."""
        best = None
        for (name, prefix), (services, _) in self._routes[id(version)].items():
            if name == host and path.startswith(prefix) and (best is None or len(prefix) > len(best[0])):
                best = (prefix, services)
        return best[1] if best else None

    def may_be_in_force(self, *, sent_at: float, handled_at: float) -> list[Version]:
        """The versions of which one must be in force for what is sent at `since` and handled by `until`."""
        newest = max((version.number for version in self.versions if version.acked < sent_at), default=0)
        return [
            version
            for version in self.versions
            if version.number >= newest
            and version.outcome != "refused"
            and version.sent < handled_at
            and version.is_valid
        ]

    def allowing(self, *, service: str, host: str, path: str) -> list[Version]:
        """All that let this service run it."""
        return [
            version
            for version in self.versions
            if service in (self.services(version=version, host=host, path=path) or ())
        ]


def judge_config(*, world: World, runs: list, attempts: dict, answers: dict, contact: ContactHistory):
    """ROUTE and CONFIG by what was run and what was refused."""
    versions, bounds = SentVersions(world=world), world.deployment.bounds
    numbers_run: dict = {}
    for run in runs:
        attempt = attempts.get(run["id"])
        if attempt is None:
            continue
        allowing = versions.allowing(service=run["service"], host=attempt["host"], path=attempt["path"])
        if not allowing:
            yield Broken(
                rule="ROUTE", t=run["t"], detail=f"{run['service']} ran {attempt['path']}, meant for {run['expect']}"
            )
            continue
        if all(version.outcome == "refused" or not version.is_valid for version in allowing):
            yield Broken(
                rule="CONFIG", t=run["t"], detail=f"r{allowing[0].number} was refused and is in force at {run['proxy']}"
            )
            continue
        due = versions.may_be_in_force(sent_at=attempt["t"] - bounds["config_apply_s"], handled_at=run["t"])
        if (
            not any(version in due for version in allowing)
            and contact.is_in_contact(machine=run["proxy"], t=run["t"])
            and contact.is_in_contact(machine=run["proxy"], t=attempt["t"])
        ):
            yield Broken(
                rule="CONFIG",
                t=run["t"],
                detail=f"{attempt['path']} ran at {run['service']}, which r{due[0].number if due else 0} "
                f"no longer lets, by {run['proxy']}",
            )
        location = (run["proxy"], run["life"])
        lowest, highest = min(version.number for version in allowing), max(version.number for version in allowing)
        earlier = [
            (number, t) for number, t in numbers_run.get(location, ()) if t + bounds["downgrade_s"] < attempt["t"]
        ]
        if any(number > highest for number, _ in earlier):
            yield Broken(
                rule="CONFIG",
                t=run["t"],
                detail=f"{run['proxy']} went back to r{highest} after r{max(earlier)[0]} had shown",
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
            yield Broken(
                rule="CONFIG",
                t=row["t"],
                detail=f"404 for {attempt['path']} at {attempt['proxy']} though every version due has it",
            )


def judge_reads(*, world: World, contact: ContactHistory):
    """CONFIG and LOST by what operators were told."""
    acked = [version for version in world.operator.versions.values() if version.outcome == "acked"]
    yield from _judge_acknowledged(acked=acked)
    yield from _judge_ended(world=world, contact=contact)
    for row in world.history.of(k="refused-taken"):
        detail = f"r{row['number']} on r{row['base']} had been taken, was sent again and got {row['code']}"
        yield Broken(rule="CONFIG", t=row["t"], detail=detail)
    for row in world.history.of(k="read-config"):
        yield from _judge_read(acked=acked, row=row)
    for row in world.history.of(k="read-back"):
        yield from _judge_read_back(world=world, acked=acked, row=row)


def _judge_acknowledged(*, acked: list):
    for version in acked:
        if not version.is_valid:
            yield Broken(rule="CONFIG", t=version.acked, detail=f"r{version.number} is invalid and was acknowledged")
    for base in {version.base for version in acked}:
        winners = sorted({version.number for version in acked if version.base == base})
        if len(winners) > 1 or sum(version.base == base for version in acked) > 1:
            yield Broken(rule="CONFIG", t=0.0, detail=f"{winners} were all acknowledged on top of r{base}")
    for number in {version.number for version in acked}:
        if sum(version.number == number for version in acked) > 1:
            yield Broken(rule="CONFIG", t=0.0, detail=f"two different changes were both acknowledged as r{number}")


def _judge_ended(*, world: World, contact: ContactHistory):
    limit = world.deployment.bounds["ack_s"] + ACK_EXTRA_PER_ROUTE * world.operator.added
    for row in world.history.of(k="config-ended"):
        begun = row["waits_from"]
        elapsed = row["t"] - begun
        is_late = not row["lost"] and contact.is_acknowledged_late(begun=begun, ended=row["t"], limit=limit)
        if row["valid"] and is_late:
            yield Broken(rule="ACK", t=row["t"], detail=f"r{row['number']}: {row['code']} after {elapsed:.2f} s")
        is_refused = 400 <= row["code"] < 500 and row["code"] != 412
        if row["valid"] and is_refused and not _may_be_superseded(row=row, world=world):
            yield Broken(rule="DUTY", t=row["t"], detail=f"r{row['number']} is valid and got {row['code']}")


def _judge_read(*, acked: list, row: dict):
    """A read in the middle of a day may fail; what it gives is no older than what was acknowledged before it began."""
    newest = max((version.number for version in acked if version.acked <= row["begun"]), default=0)
    if row["code"] == 200 and int(row["written"]["generation"][1:]) < newest:
        detail = f"{row['written']['generation']} was read after r{newest} had been acknowledged"
        yield Broken(rule="LOST", t=row["t"], detail=detail)


def _judge_read_back(*, world: World, acked: list, row: dict):
    newest = max(
        (version for version in acked if version.acked <= row["begun"]),
        key=lambda version: version.number,
        default=None,
    )
    if row["code"] != 200:
        if newest is not None:
            yield Broken(rule="CONFIG", t=row["t"], detail=f"the configuration did not come: {row['code']}")
        return
    number = int(row["written"]["generation"][1:])
    if newest is not None and number < newest.number:
        yield Broken(
            rule="LOST", t=row["t"], detail=f"r{number} was read back after r{newest.number} had been acknowledged"
        )
    sent = [
        version
        for version in world.operator.versions.values()
        if version.number == number and version.outcome != "refused"
    ]
    if not any(normal_form(written=version.written) == normal_form(written=row["written"]) for version in sent):
        yield Broken(rule="CONFIG", t=row["t"], detail=f"what is read back as r{number} is not what was sent")


def _may_be_superseded(*, row: dict, world: World) -> bool:
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
