"""Calls that grant key ranges to workers and release them: those in flight, and what their results show."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from sailward import constants
from sailward.control.grant_codec import GrantCodec
from sailward.events import CallFinished, Command, LogEvent, StartCall
from sailward.routing.shards import Shard

NEVER = -1e9
GRANT, RELEASE = "grant", "release"


@dataclass(kw_only=True)
class Renewal:
    """The state of the repeated grants of one open shard."""

    due_at: float = NEVER
    token: str = ""
    handover: str = ""


@dataclass(kw_only=True)
class PendingRelease:
    """The state of one moving shard: since when it has been seen moving, and whether its owner has released it."""

    shard: Shard
    moving_since: float
    due_at: float = NEVER
    token: str = ""
    is_released: bool = False
    handover: str = ""


@dataclass(frozen=True, kw_only=True)
class CallInFlight:
    """A call in flight; none of its bytes are sent after `send_until`."""

    shard: Shard
    is_grant: bool
    sent_at: float
    send_until: float


@dataclass(kw_only=True)
class GrantCalls:
    """The calls of one service. The table passed to `take_table` determines which shards are open and which move."""

    service: str
    codec: GrantCodec
    addresses: dict[str, str] = field(default_factory=dict)
    ended_workers: set[str] = field(default_factory=set)
    fence_rejected: set[Shard] = field(default_factory=set)
    handovers: dict[Shard, str] = field(default_factory=dict)
    _renewals: dict[Shard, Renewal] = field(default_factory=dict)
    _releases: list[PendingRelease] = field(default_factory=list)
    _in_flight: dict[str, CallInFlight] = field(default_factory=dict)
    _last_arrival_at: dict[str, float] = field(default_factory=dict)
    _failure_spans: dict[str, tuple[float, float]] = field(default_factory=dict)
    _call_count: int = 0

    def is_own(self, *, token: str) -> bool:
        """Is this the token of a call in flight?"""
        return token in self._in_flight

    def take_table(self, *, now: float, shards: Iterable[Shard], is_new_term: bool) -> None:
        """Adopt a new table: open shards are granted and renewed, moving ones released. A new term grants all again."""
        shards = list(shards)
        known = {} if is_new_term else self._renewals
        self._renewals = {
            shard: known.get(shard) or Renewal(handover=self.handovers.get(shard, ""))
            for shard in shards
            if shard.is_open and shard.owner
        }
        self._releases = [
            self._release_of(shard=shard) or PendingRelease(shard=shard, moving_since=now)
            for shard in shards
            if not shard.is_open
        ]
        self.fence_rejected &= set(self._renewals)

    def _release_of(self, *, shard: Shard) -> PendingRelease | None:
        return next(
            (
                replace(pending, shard=shard)
                for pending in self._releases
                if (pending.shard.owner, pending.shard.fencing_token) == (shard.owner, shard.fencing_token)
                and pending.shard.start <= shard.start
                and shard.end <= pending.shard.end
            ),
            None,
        )

    def take_result(self, *, now: float, event: CallFinished) -> list[Command]:
        """Handle the result of one of these calls; returns log events."""
        call = self._in_flight.pop(event.token, None)
        if call is None:
            return []
        owner = call.shard.owner
        if event.code == 421:
            self.ended_workers.add(owner)
        if event.code in (200, 409):
            self._failure_spans.pop(owner, None)
        else:
            self._failure_spans[owner] = (self._failure_spans.get(owner, (call.sent_at, now))[0], now)
        if call.is_grant:
            return self._take_grant_result(now=now, shard=call.shard, event=event)
        for pending in self._releases:
            if pending.token == event.token:
                pending.due_at, pending.token = now + constants.GRANT_RETRY_INTERVAL, ""
                if event.code == 200:
                    pending.is_released = True
                    pending.handover = self.codec.handover(headers=event.headers)
        return [] if event.code == 200 else [self._failure_event(shard=call.shard, event=event, name="release-failed")]

    def _take_grant_result(self, *, now: float, shard: Shard, event: CallFinished) -> list[Command]:
        if event.code or event.sent:
            flight_margin = 0.0 if event.code else constants.GRANT_IN_FLIGHT_LIMIT
            self._last_arrival_at[shard.owner] = max(self._last_arrival_at.get(shard.owner, NEVER), now + flight_margin)
        renewal = self._renewals.get(shard)
        if renewal is None or renewal.token != event.token:
            return []
        renewal.token = ""
        if event.code == 200:
            renewal.handover = ""
            self.handovers.pop(shard, None)
            return []
        renewal.due_at = now + constants.GRANT_RETRY_INTERVAL
        if event.code == 409:
            self.fence_rejected.add(shard)
        return [self._failure_event(shard=shard, event=event, name="grant-failed")]

    def _failure_event(self, *, shard: Shard, event: CallFinished, name: str) -> LogEvent:
        return LogEvent(
            event=name,
            fields={
                "service": self.service,
                "worker": shard.owner,
                "start": shard.start,
                "end": shard.end,
                "fence": shard.fencing_token,
                "reason": event.fault or f"code:{event.code}",
            },
        )

    def grant(self, *, now: float, hold: float, fresh_until: float) -> list[Command]:
        """Grant each open shard that is due, for `hold` s; no bytes of a call are sent after `fresh_until`."""
        commands: list = []
        for shard, renewal in self._renewals.items():
            if (
                renewal.token
                or now < renewal.due_at
                or shard.owner in self.ended_workers
                or shard.owner not in self.addresses
            ):
                continue
            request = self.codec.grant(
                start=shard.start,
                end=shard.end,
                fencing_token=shard.fencing_token,
                hold=hold,
                handover=renewal.handover,
                owner=shard.owner,
            )
            renewal.due_at = now + constants.GRANT_RENEWAL_INTERVAL
            renewal.token = self._call(
                now=now,
                kind=GRANT,
                shard=shard,
                request=request,
                wait=constants.GRANT_TIMEOUT,
                begin_by=fresh_until,
                commands=commands,
            )
        return commands

    def release(self, *, now: float, sole_granter_at: float, fresh_until: float) -> list[Command]:
        """Ask the owners of moving shards for release; from `sole_granter_at` on no other granter's grants arrive."""
        commands: list = []
        for pending in self._releases:
            shard = pending.shard
            if (
                pending.token
                or pending.is_released
                or now < max(pending.due_at, sole_granter_at)
                or shard.owner in self.ended_workers
                or shard.owner not in self.addresses
                or self._may_arrive(now=now, shard=shard)
            ):
                continue
            request = self.codec.release(
                start=shard.start, end=shard.end, fencing_token=shard.fencing_token, owner=shard.owner
            )
            pending.token = self._call(
                now=now,
                kind=RELEASE,
                shard=shard,
                request=request,
                wait=constants.GRANT_RELEASE_TIMEOUT,
                begin_by=fresh_until,
                commands=commands,
            )
        return commands

    def _may_arrive(self, *, now: float, shard: Shard) -> bool:
        """May a grant of these keys by this granter still be on its way to their owner?"""
        return self._last_arrival_at.get(shard.owner, NEVER) > now or any(
            call.is_grant
            and call.shard.owner == shard.owner
            and call.shard.start <= shard.end
            and shard.start <= call.shard.end
            and now < call.send_until + constants.GRANT_IN_FLIGHT_LIMIT
            for call in self._in_flight.values()
        )

    def _call(
        self, *, now: float, kind: str, shard: Shard, request: tuple, wait: float, begin_by: float, commands: list
    ) -> str:
        self._call_count += 1
        token = f"{kind} {self.service} {self._call_count}"
        method, path, headers, body = request
        commands.append(
            StartCall(
                token=token,
                owner=shard.owner,
                address=self.addresses[shard.owner],
                method=method,
                path=path,
                headers=headers,
                body=body,
                timeout=wait,
                # the response carries no request id, so only on a new connection is the first response certain to
                # belong to this call; a surplus response taken for the end of a release would let a second worker
                # hold the keys
                fresh=kind == RELEASE,
                begin_by=begin_by,
            )
        )
        self._in_flight[token] = CallInFlight(
            shard=shard, is_grant=kind == GRANT, sent_at=now, send_until=begin_by + wait
        )
        return token

    def is_relinquished(self, *, now: float, shard: Shard, sole_granter_at: float) -> bool:
        """Is it certain that the owner of a moving shard no longer holds it?"""
        pending = self._release_of(shard=shard) or PendingRelease(shard=shard, moving_since=now)
        if pending.is_released or shard.owner in self.ended_workers:
            return True
        grant_ends = [
            call.send_until + constants.GRANT_IN_FLIGHT_LIMIT
            for call in self._in_flight.values()
            if call.is_grant and call.shard.owner == shard.owner
        ]
        last_possible_arrival_at = max([sole_granter_at, self._last_arrival_at.get(shard.owner, NEVER), *grant_ends])
        last_possible_arrival_at = min(last_possible_arrival_at, pending.moving_since + constants.GRANT_FENCE_DELAY)
        return (
            now
            >= last_possible_arrival_at
            + constants.GRANT_DURATION * constants.GRANT_CLOCK_DRIFT_FACTOR
            + constants.GRANT_EXPIRY_MARGIN
        )

    def handover_of(self, *, shard: Shard) -> str:
        """The handover data that the owner of a moving shard returned, or ""."""
        pending = self._release_of(shard=shard)
        return pending.handover if pending else ""

    def is_failing(self, *, now: float, key: str) -> bool:
        """Have calls to this worker failed for some time, and was the last failure recent?"""
        first_failure_at, last_failure_at = self._failure_spans.get(key, (now, now))
        return (
            last_failure_at - first_failure_at >= constants.GRANT_FAILURE_TIMEOUT
            and now - last_failure_at < constants.GRANT_FAILURE_BACKOFF
        )

    def is_granted(self, *, shard: Shard) -> bool:
        """Has a grant of the shard been sent, with no handover data left to deliver?"""
        renewal = self._renewals.get(shard)
        return renewal is not None and renewal.due_at > NEVER and not renewal.handover
