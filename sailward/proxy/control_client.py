"""A proxy's client of the controllers: polls the two nearest that answer and have quorum contact.

Each answer says whether its controller has contact with a majority of the voters; an answer of the previous version,
which lacks the field, counts as yes. A controller without contact is not followed while one with contact can be
reached. If no controller with contact has answered for LAST_RESORT_DELAY, the nearest that answers at all is followed:
the state it holds was chosen by a quorum once, and serving with the last known state is better than not serving.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from sailward import constants
from sailward.events import Command, LogEvent, SendMessage
from sailward.wire_types import Message

NEVER = -1e9


@dataclass(kw_only=True)
class ControllerState:
    """A controller that this proxy knows."""

    post: str
    zone: str = ""
    region: str = ""
    asked: float = NEVER
    unanswered: int = 0
    last_reply_at: float = NEVER
    has_contact: bool = True
    named: float = NEVER


@dataclass(kw_only=True)
class ControlClient:
    """Keeps the known controllers and polls them.

    `step` takes the sender of an answer, or None on a timer tick; `lead` is the controller whose lists are used.
    """

    zone: str
    region: str
    seeds: tuple
    known: dict = field(default_factory=dict)
    lead: str = ""
    seq: int = 0
    next_at: float = NEVER
    began: float = NEVER
    trusted_at: float = NEVER

    def step(self, *, now: float, sender: str | None, body: Message) -> list[Command]:
        """Record the controller that answered, or send this body to the controllers that are due for a poll."""
        if sender is not None:
            known = self.known.setdefault(sender, ControllerState(post=sender))
            known.last_reply_at, known.unanswered = now, 0
            known.has_contact = body.get("contact") is not False
            self.trusted_at = now if known.has_contact else self.trusted_at
            self._add_named_controllers(named=body.get("controllers", []))
            location = body.get("view", {}).get("place")
            if isinstance(location, list) and len(location) == 2:
                known.zone, known.region = location
            previous_lead, commands = self.lead, self._choose_lead(now=now)
            if self.lead != previous_lead:
                self.next_at = NEVER
            return commands
        if now < self.next_at:
            return []
        self.next_at = now + (constants.POLL_INTERVAL if self.lead else constants.INITIAL_POLL_INTERVAL)
        self.began = self.began if self.began != NEVER else now
        for seed in self.seeds:
            self.known.setdefault(seed, ControllerState(post=seed))
        commands = self._choose_lead(now=now)
        for known in self._controllers_to_poll(now=now):
            self.seq += 1
            known.asked, known.unanswered = now, known.unanswered + 1
            commands.append(SendMessage(to=known.post, body={**body, "seq": self.seq}))
        return commands

    def learn(self, *, controllers: list) -> None:
        """Apply the list of controllers that a controller sent: [[post, zone, region], ...].

        Controllers that are not in the list are dropped, unless they may still answer or are seeds.
        """
        listed = {post: (zone, region) for post, zone, region in controllers}
        for post, (zone, region) in listed.items():
            known = self.known.setdefault(post, ControllerState(post=post))
            known.zone, known.region, known.named = zone, region, self.next_at
        self.known = {
            post: known
            for post, known in self.known.items()
            if post in listed or post in self.seeds or self._may_answer(known=known)
        }

    def _add_named_controllers(self, *, named: object) -> None:
        """Record the other controllers that a controller without quorum contact names."""
        for row in named if isinstance(named, list) else ():
            if isinstance(row, list) and len(row) == 3 and all(isinstance(item, str) for item in row):
                post, zone, region = row
                if post not in self.known:
                    self.known[post] = ControllerState(post=post, zone=zone, region=region)
                    self.next_at = NEVER

    def is_last_resort(self, *, now: float) -> bool:
        """Has no controller with contact answered for so long that one without contact is followed?"""
        return self.began != NEVER and now - max(self.began, self.trusted_at) > constants.LAST_RESORT_DELAY

    def answers(self, *, now: float) -> bool:
        """Has any controller answered within CONTROLLER_TIMEOUT?"""
        return any(now - known.last_reply_at < constants.CONTROLLER_TIMEOUT for known in self.known.values())

    def _may_answer(self, *, known: ControllerState) -> bool:
        """Has it not missed too many polls, and was it named or has it answered within PEER_TTL?"""
        return (
            known.unanswered < constants.MAX_LOST_POLLS
            and self.next_at - max(known.last_reply_at, known.named) < constants.PEER_TTL
        )

    def _distance(self, known: ControllerState) -> tuple:
        return (known.zone != self.zone, known.region != self.region, known.zone == "", known.post)

    def _is_silent(self, *, known: ControllerState, now: float) -> bool:
        """Is it polled only now and then, as it does not answer or has no quorum contact?"""
        if not known.has_contact and (known.post != self.lead or not self.is_last_resort(now=now)):
            return True
        return known.unanswered >= constants.MAX_LOST_POLLS and now - known.last_reply_at > constants.CONTROLLER_TIMEOUT

    def _choose_lead(self, *, now: float) -> list[Command]:
        reachable = [known for known in self.known.values() if now - known.last_reply_at < constants.CONTROLLER_TIMEOUT]
        trusted = [known for known in reachable if known.has_contact]
        reachable = trusted if trusted or not self.is_last_resort(now=now) else reachable
        lead = self.known.get(self.lead)
        best = min(reachable, key=self._distance, default=None)
        if best is None or best.post == self.lead:
            return []
        if not self.lead and best.zone != self.zone and now - self.began < constants.SAME_ZONE_CONTROLLER_WAIT:
            # a nearer controller may answer soon: its lists do not have to cross regions
            return []
        if lead is not None and lead in reachable and self._distance(lead)[:2] <= self._distance(best)[:2]:
            return []
        self.lead = best.post
        return [LogEvent(event="leads", fields={"controller": best.post, "hall": best.zone or "unknown"})]

    def _controllers_to_poll(self, *, now: float) -> list[ControllerState]:
        answering = sorted(
            (known for known in self.known.values() if not self._is_silent(known=known, now=now)), key=self._distance
        )
        chosen = answering[: constants.CONTROLLERS_POLLED]
        # silent controllers are polled now and then, the least recently polled first, then the nearest
        silent = sorted(
            (
                known
                for known in self.known.values()
                if self._is_silent(known=known, now=now) and now - known.asked >= constants.POLL_TIMEOUT
            ),
            key=lambda known: (known.asked, self._distance(known)),
        )
        if len(answering) < constants.CONTROLLERS_POLLED:
            return chosen + silent
        return chosen + silent[:1]
