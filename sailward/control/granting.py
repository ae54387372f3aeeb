"""Grants of key ranges: one worker at a time holds a key, whichever controllers act, and as few changes as it takes.

The table of a service is one register (`routing/shards.py`), changed by compare-and-swap. It names its granter: one
life of one controller. The argument that no two workers that are up hold a key at one time:

1. Only the granter that the newest table names sends grants, and only of open shards, with their owner and fence. It
   acts until `fresh_until`: GRANT_LEASE after it asked a blocking set of voters, who all told that the newest table
   they voted for is the one held here. A newer table is chosen by a majority, so one of that set voted for it after it
   answered: whoever holds an older table begins its last grant before GRANT_LEASE is over, counted from the choice.
   A call may take GRANT_WAIT, and bytes of a call given up may fly for GRANT_FLIGHT: GRANT_QUIET after a table was
   first held here, nothing sent on an older one arrives any more.
2. So GRANT_QUIET after it first held a table that names it, a granter is the only one whose grants can still arrive
   (`_sole_at`). A later granter writes another name or another number of the takeover.
3. A shard that has a living owner first becomes moving, and what is moving is never granted. It opens for another
   owner, under a new fence, when the old one has certainly let go: (a) it answered a release that was sent when the
   granter was the only one and none of its own grants of these keys was under way; or (b) its process has ended:
   another worker answered at its address (a connection that is refused proves nothing: a cut may refuse too, while the
   worker lives and holds); or (c) its hold has run out: GRANT_HOLD by the slowest clock after the last moment at which
   a grant can have arrived. That moment is GRANT_QUIET after the shard was first seen moving here, or, for the only
   granter, the later of `_sole_at` and the last of its own.
4. Each of these stays true as long as the table does not change, and the change is conditional on its number.

Fences are in the table, grow with each opening, and are never used again.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from sailward import constants
from sailward.control.shard_plan import Span, place, strain, weigh
from sailward.events import Call, Called, Log
from sailward.routing.shards import KEYS, MOVING, OPEN, Shard, ShardTable, read_shards, write_shards
from sailward.routing.slots import PREFIX

NEVER = -1e9


@dataclass(frozen=True, kw_only=True)
class GrantScene:
    """What the granting looks at in one moment.

    `value` is the register's as held here; `fresh_until` when the confirmation that it is the newest runs out (s, the
    clock of `now`); `down` tells since when workers have been called unreachable; `loads` has requests/s by bucket of
    keys, `paces` how long workers take for one: (s, from so many times).
    """

    value: dict
    workers: dict
    fresh_until: float
    is_acting: bool
    emptied: frozenset = frozenset()
    down: dict = field(default_factory=dict)
    loads: dict = field(default_factory=dict)
    paces: dict = field(default_factory=dict)
    hold_max: float = constants.GRANT_HOLD


@dataclass(kw_only=True)
class Renewing:
    """The grants of one open shard."""

    due: float = NEVER
    token: str = ""
    handover: str = ""


@dataclass(kw_only=True)
class Releasing:
    """What is known of one moving shard: since when it is seen moving, and whether its owner has let go."""

    shard: Shard
    since: float
    due: float = NEVER
    token: str = ""
    is_released: bool = False
    handover: str = ""


@dataclass(frozen=True, kw_only=True)
class Sent:
    """A call under way; none of its bytes leave after `until`."""

    shard: Shard
    is_grant: bool
    since: float
    until: float


class Granting:
    """Owner of one service's grants in a controller's process. `step` gives (commands, changes).

    A change is (register, expected number, text); it is done when the register's value shows it. `own` names this life
    of this controller. `codec` makes the calls: grant(start, end, fence, hold, handover, owner) and release(start, end,
    fence, owner) give (method, path, headers, body), handover(headers) the handover's text, or "".
    """

    def __init__(self, *, service: str, own: str, codec: object) -> None:
        self._service, self._own, self._codec = service, own, codec
        self._table: ShardTable | None = None
        self._number = -1
        self._named_at = float("inf")
        self._granter_at = NEVER
        self._renewing: dict[Shard, Renewing] = {}
        self._moving: list[Releasing] = []
        self._sent: dict[str, Sent] = {}
        self._arrived: dict[str, float] = {}
        self._failing: dict[str, tuple[float, float]] = {}
        self._outrun: set[Shard] = set()
        self._handovers: dict[Shard, str] = {}
        self._addresses: dict[str, str] = {}
        self._ended: set[str] = set()
        self._asked = (-1, NEVER)
        self._uneven_since: float | None = None
        self._balanced = NEVER
        self._look_at = NEVER
        self._count = 0

    def step(self, *, now: float, event: Called | None, scene: GrantScene) -> tuple[list, list]:
        """Take the result of a call of ours, or None for time going on."""
        commands = self._take_result(now=now, event=event) if event is not None else []
        self._take_table(now=now, value=scene.value)
        self._addresses |= {key: worker.address for key, worker in self._listed(scene=scene).items()}
        if now >= scene.fresh_until:
            return commands, []
        if self._is_named():
            commands += self._release(now=now, scene=scene) + self._grant(now=now, scene=scene)
        return commands, self._change(now=now, scene=scene) if scene.is_acting else []

    def is_own(self, *, token: str) -> bool:
        """Is this the token of a call of ours?"""
        return token in self._sent

    def _is_named(self) -> bool:
        return self._table is not None and self._table.granter == self._own

    def _sole_at(self) -> float:
        return self._named_at + constants.GRANT_QUIET

    def _take_table(self, *, now: float, value: dict) -> None:
        if value["number"] == self._number:
            return
        before, self._number = self._table, value["number"]
        self._table = read_shards(text=value["text"])
        shards = self._table.shards if self._table else ()
        term = (self._table.granter, self._table.since) if self._table else ("", 0)
        if before is None or (before.granter, before.since) != term:
            self._named_at = now if self._is_named() else float("inf")
            self._granter_at = NEVER if before is None else now
            self._renewing = {}
        self._renewing = {
            shard: self._renewing.get(shard) or Renewing(handover=self._handovers.get(shard, ""))
            for shard in shards
            if shard.is_open and shard.owner
        }
        self._moving = [
            self._known(shard=shard) or Releasing(shard=shard, since=now) for shard in shards if not shard.is_open
        ]
        self._outrun &= set(self._renewing)
        self._look_at = NEVER

    def _known(self, *, shard: Shard) -> Releasing | None:
        return next(
            (
                replace(one, shard=shard)
                for one in self._moving
                if (one.shard.owner, one.shard.fence) == (shard.owner, shard.fence)
                and one.shard.start <= shard.start
                and shard.end <= one.shard.end
            ),
            None,
        )

    def _take_result(self, *, now: float, event: Called) -> list:
        sent = self._sent.pop(event.token, None)
        if sent is None:
            return []
        owner, self._look_at = sent.shard.owner, NEVER
        if event.code == 421:
            self._ended.add(owner)
        if event.code in (200, 409):
            self._failing.pop(owner, None)
        else:
            self._failing[owner] = (self._failing.get(owner, (sent.since, now))[0], now)
        if sent.is_grant:
            return self._take_grant(now=now, shard=sent.shard, event=event)
        for one in self._moving:
            if one.token == event.token:
                one.due, one.token = now + constants.GRANT_AGAIN, ""
                one.is_released = one.is_released or event.code == 200
                one.handover = self._codec.handover(headers=event.headers) if event.code == 200 else one.handover
        return [] if event.code == 200 else [self._complain(shard=sent.shard, event=event, name="release-failed")]

    def _take_grant(self, *, now: float, shard: Shard, event: Called) -> list:
        if event.code or event.sent:
            late = 0.0 if event.code else constants.GRANT_FLIGHT
            self._arrived[shard.owner] = max(self._arrived.get(shard.owner, NEVER), now + late)
        renewing = self._renewing.get(shard)
        if renewing is None or renewing.token != event.token:
            return []
        renewing.token = ""
        if event.code == 200:
            renewing.handover = ""
            self._handovers.pop(shard, None)
            return []
        renewing.due = now + constants.GRANT_AGAIN
        if event.code == 409:
            self._outrun.add(shard)
        return [self._complain(shard=shard, event=event, name="grant-failed")]

    def _complain(self, *, shard: Shard, event: Called, name: str) -> Log:
        return Log(
            event=name,
            fields={
                "service": self._service,
                "worker": shard.owner,
                "start": shard.start,
                "end": shard.end,
                "fence": shard.fence,
                "reason": event.fault or f"code:{event.code}",
            },
        )

    def _grant(self, *, now: float, scene: GrantScene) -> list:
        commands = []
        for shard, renewing in self._renewing.items():
            if renewing.token or now < renewing.due or shard.owner in self._ended or shard.owner not in self._addresses:
                continue
            hold = min(constants.GRANT_HOLD, scene.hold_max)
            made = self._codec.grant(
                start=shard.start,
                end=shard.end,
                fence=shard.fence,
                hold=hold,
                handover=renewing.handover,
                owner=shard.owner,
            )
            renewing.due = now + constants.GRANT_RENEW
            renewing.token = self._call(
                now=now,
                kind="grant",
                shard=shard,
                made=made,
                wait=constants.GRANT_WAIT,
                begin_by=scene.fresh_until,
                commands=commands,
            )
        return commands

    def _release(self, *, now: float, scene: GrantScene) -> list:
        commands = []
        for one in self._moving:
            shard = one.shard
            if (
                one.token
                or one.is_released
                or now < max(one.due, self._sole_at())
                or shard.owner in self._ended
                or shard.owner not in self._addresses
                or self._may_arrive(now=now, shard=shard)
            ):
                continue
            made = self._codec.release(start=shard.start, end=shard.end, fence=shard.fence, owner=shard.owner)
            one.token = self._call(
                now=now,
                kind="release",
                shard=shard,
                made=made,
                wait=constants.GRANT_RELEASE_WAIT,
                begin_by=scene.fresh_until,
                commands=commands,
            )
        return commands

    def _may_arrive(self, *, now: float, shard: Shard) -> bool:
        """May a grant of ours of these keys still be under way to their owner?"""
        return self._arrived.get(shard.owner, NEVER) > now or any(
            sent.is_grant
            and sent.shard.owner == shard.owner
            and sent.shard.start <= shard.end
            and shard.start <= sent.shard.end
            and now < sent.until + constants.GRANT_FLIGHT
            for sent in self._sent.values()
        )

    def _call(
        self, *, now: float, kind: str, shard: Shard, made: tuple, wait: float, begin_by: float, commands: list
    ) -> str:
        self._count += 1
        token = f"{kind} {self._service} {self._count}"
        method, path, headers, body = made
        commands.append(
            Call(
                token=token,
                owner=shard.owner,
                address=self._addresses[shard.owner],
                method=method,
                path=path,
                headers=headers,
                body=body,
                wait=wait,
                fresh=False,
                begin_by=begin_by,
            )
        )
        self._sent[token] = Sent(shard=shard, is_grant=kind == "grant", since=now, until=begin_by + wait)
        return token

    def _change(self, *, now: float, scene: GrantScene) -> list:
        number, asked = self._asked
        if now < self._look_at or (number == self._number and now - asked < constants.GRANT_CHANGE_WAIT):
            return []
        self._look_at = now + constants.GRANT_LOOK
        table = self._next_table(now=now, scene=scene)
        if table is None or table == self._table:
            return []
        self._asked = (self._number, now)
        return [(PREFIX + self._service, self._number, write_shards(table=table))]

    def _next_table(self, *, now: float, scene: GrantScene) -> ShardTable | None:
        if self._table is None:
            able = self._able(now=now, scene=scene)
            spans = [Span(start=0, end=KEYS - 1, owner="")]
            spans = place(spans=spans, able=able, loads=scene.loads, is_balancing=False) if able else []
            shards = tuple(
                Shard(start=one.start, end=one.end, owner=one.owner, fence=at + 1, state=OPEN)
                for at, one in enumerate(spans)
            )
            return (
                ShardTable(granter=self._own, since=self._number + 1, fence=len(shards) + 1, shards=shards)
                if shards
                else None
            )
        if not self._is_named():
            if now - self._granter_at < constants.GRANT_TAKEOVER:
                return None
            return replace(self._table, granter=self._own, since=self._number + 1)
        shards, fence, is_sole = [], self._table.fence, now >= self._sole_at()
        wanted = self._wanted(now=now, scene=scene)
        for shard in self._table.shards:
            parts = [
                replace(one, start=max(one.start, shard.start), end=min(one.end, shard.end))
                for one in wanted
                if one.start <= shard.end and shard.start <= one.end
            ]
            for drawn in self._redraw(now=now, shard=shard, parts=parts, is_sole=is_sole):
                if drawn.fence != 0:
                    shards.append(drawn)
                    continue
                # where a worker knows a higher fence than we do, doubling soon steps over it
                fenced = replace(drawn, fence=2 * fence if shard in self._outrun else fence)
                self._handovers[fenced] = self._handover_of(shard=shard) if fenced.owner != shard.owner else ""
                fence = fenced.fence + 1
                shards.append(fenced)
        if shards != list(self._table.shards) or len(shards) > constants.GRANT_ROWS * max(
            1, len(self._able(now=now, scene=scene))
        ):
            shards, fence = self._join(shards=shards, fence=fence)
        return replace(self._table, shards=tuple(shards), fence=fence)

    def _redraw(self, *, now: float, shard: Shard, parts: list[Span], is_sole: bool) -> list[Shard]:
        """What becomes of a shard; a fence of 0 stands for a new one."""
        fresh = [Shard(start=one.start, end=one.end, owner=one.owner, fence=0, state=OPEN) for one in parts]
        if not shard.is_open:
            if self._is_free(now=now, shard=shard):
                return fresh
            largest = max(parts, key=lambda one: one.end - one.start).owner
            return [replace(shard, next_owner=largest)]
        if shard in self._outrun and shard.owner not in self._ended:
            return [replace(shard, fence=0)]
        if shard.owner == "" or shard.owner in self._ended:
            return fresh if any(one.owner != shard.owner for one in parts) else [shard]
        if not is_sole or all(one.owner == shard.owner for one in parts):
            return [shard]
        return [
            replace(
                shard,
                start=one.start,
                end=one.end,
                **({} if one.owner == shard.owner else {"state": MOVING, "next_owner": one.owner}),
            )
            for one in parts
        ]

    def _is_free(self, *, now: float, shard: Shard) -> bool:
        """Has the owner of a moving shard certainly let go?"""
        one = self._known(shard=shard)
        if one.is_released or shard.owner in self._ended:
            return True
        ends = [
            sent.until + constants.GRANT_FLIGHT
            for sent in self._sent.values()
            if sent.is_grant and sent.shard.owner == shard.owner
        ]
        last = max([self._sole_at(), self._arrived.get(shard.owner, NEVER), *ends])
        last = min(last, one.since + constants.GRANT_QUIET)
        return now >= last + constants.GRANT_HOLD * constants.GRANT_SLOW + constants.GRANT_MARGIN

    def _handover_of(self, *, shard: Shard) -> str:
        one = self._known(shard=shard)
        return one.handover if one else ""

    def _wanted(self, *, now: float, scene: GrantScene) -> list[Span]:
        """Where all keys should be; what is moving counts as where it goes."""
        spans = [
            Span(start=one.start, end=one.end, owner=one.owner if one.is_open else one.next_owner)
            for one in self._table.shards
        ]
        able = self._able(now=now, scene=scene)
        if not able:
            listed = self._listed(scene=scene)
            return [
                one if one.owner in listed and self._may_stay(key=one.owner, scene=scene) else replace(one, owner="")
                for one in spans
            ]
        wanted = place(spans=spans, able=able, loads=scene.loads, is_balancing=False)
        if any(not one.is_open for one in self._table.shards) or now < self._sole_at():
            self._uneven_since = None
            return wanted
        even = place(spans=spans, able=able, loads=scene.loads, is_balancing=True)
        if even == wanted:
            self._uneven_since = None
            return wanted
        self._uneven_since = now if self._uneven_since is None else self._uneven_since
        is_urgent = strain(spans=wanted, able=able, loads=scene.loads) > constants.GRANT_BLAZING
        if now - max(self._uneven_since, self._balanced) < (
            constants.GRANT_URGENT if is_urgent else constants.GRANT_SUSTAINED
        ):
            return wanted
        self._uneven_since, self._balanced = None, now
        return even

    def _listed(self, *, scene: GrantScene) -> dict:
        return {key: worker for key, worker in scene.workers.items() if worker.service == self._service}

    def _may_stay(self, *, key: str, scene: GrantScene) -> bool:
        worker = scene.workers[key]
        return key not in self._ended and not worker.leaving and worker.hall not in scene.emptied

    def _able(self, *, now: float, scene: GrantScene) -> dict:
        """The requests/s that each worker which may own keys can do; cold ones only where there are no others."""
        well = {
            key: worker
            for key, worker in self._listed(scene=scene).items()
            if self._may_stay(key=key, scene=scene)
            and now - scene.down.get(key, now) < constants.GRANT_SILENT
            and not self._is_failing(now=now, key=key)
        }
        warm = {key: worker for key, worker in well.items() if getattr(worker, "cold", 0.0) <= 0}
        return weigh(
            capacities={
                key: getattr(worker, "capacity", 0) or constants.WORKER_CAPACITY
                for key, worker in (warm or well).items()
            },
            paces=scene.paces,
        )

    def _is_failing(self, *, now: float, key: str) -> bool:
        since, last = self._failing.get(key, (now, now))
        return last - since >= constants.GRANT_SILENT and now - last < constants.GRANT_AVOID

    def _join(self, *, shards: list[Shard], fence: int) -> tuple[list[Shard], int]:
        """Neighbouring ranges of one owner under one new fence, as each is granted by itself.

        What is new may have a handover to come.
        """
        joined: list[Shard] = []
        for one in shards:
            last = joined[-1] if joined else None
            if (
                last
                and last.owner == one.owner
                and self._is_granted(shard=one)
                and ((last.fence == fence - 1 and last not in shards) or self._is_granted(shard=last))
            ):
                if last in shards:
                    fence += 1
                joined[-1] = replace(last, end=one.end, fence=fence - 1)
            else:
                joined.append(one)
        return joined, fence

    def _is_granted(self, *, shard: Shard) -> bool:
        renewing = self._renewing.get(shard)
        return renewing is not None and renewing.due > NEVER and not renewing.handover
