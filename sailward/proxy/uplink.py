"""A proxy's way to the core: the two nearest controllers that answer, asked for news in turn."""

from __future__ import annotations

from dataclasses import dataclass, field

from sailward import constants
from sailward.events import Log, Tell

NEVER = -1e9


@dataclass(kw_only=True)
class Known:
    """One controller as this proxy knows it."""

    post: str
    hall: str = ""
    region: str = ""
    asked: float = NEVER
    unanswered: int = 0
    heard: float = NEVER
    named: float = NEVER


@dataclass(kw_only=True)
class Uplink:
    """Owner of the askings.

    `step` takes an answer's sender, or None for time going on; `lead` is whose lists are believed.
    """

    hall: str
    region: str
    seeds: tuple
    known: dict = field(default_factory=dict)
    lead: str = ""
    seq: int = 0
    next_at: float = NEVER
    began: float = NEVER

    def step(self, *, now: float, sender: str | None, body: dict) -> list:
        """Note who answered, or ask those whose turn it is with this body."""
        if sender is not None:
            known = self.known.setdefault(sender, Known(post=sender))
            known.heard, known.unanswered = now, 0
            place = body.get("view", {}).get("place")
            if isinstance(place, list) and len(place) == 2:
                known.hall, known.region = place
            before, commands = self.lead, self._choose_lead(now=now)
            if self.lead != before:
                self.next_at = NEVER
            return commands
        if now < self.next_at:
            return []
        self.next_at = now + (constants.ASK_EVERY if self.lead else constants.ASK_FIRST)
        self.began = self.began if self.began != NEVER else now
        for seed in self.seeds:
            self.known.setdefault(seed, Known(post=seed))
        commands = self._choose_lead(now=now)
        for known in self._to_ask(now=now):
            self.seq += 1
            known.asked, known.unanswered = now, known.unanswered + 1
            commands.append(Tell(to=known.post, body={**body, "seq": self.seq}))
        return commands

    def learn(self, *, controllers: list) -> None:
        """Take the core as a controller tells it: [[post, hall, region], ...].

        Those it does not name go, unless they answer or are seeds.
        """
        told = {post: (hall, region) for post, hall, region in controllers}
        for post, (hall, region) in told.items():
            known = self.known.setdefault(post, Known(post=post))
            known.hall, known.region, known.named = hall, region, self.next_at
        self.known = {
            post: known
            for post, known in self.known.items()
            if post in told or post in self.seeds or self._may_answer(known=known)
        }

    def answers(self, *, now: float) -> bool:
        """Has any controller answered of late?"""
        return any(now - known.heard < constants.CONTROLLER_SILENT for known in self.known.values())

    def _may_answer(self, *, known: Known) -> bool:
        """Is it not known to be silent, and was it named or heard of within the time that a daemon is remembered?"""
        return (
            known.unanswered < constants.ASKS_LOST and self.next_at - max(known.heard, known.named) < constants.FORGET
        )

    def _rank(self, known: Known) -> tuple:
        return (known.hall != self.hall, known.region != self.region, known.hall == "", known.post)

    def _is_silent(self, *, known: Known, now: float) -> bool:
        return known.unanswered >= constants.ASKS_LOST and now - known.heard > constants.CONTROLLER_SILENT

    def _choose_lead(self, *, now: float) -> list:
        able = [known for known in self.known.values() if now - known.heard < constants.CONTROLLER_SILENT]
        lead = self.known.get(self.lead)
        best = min(able, key=self._rank, default=None)
        if best is None or best.post == self.lead:
            return []
        if not self.lead and best.hall != self.hall and now - self.began < constants.LEAD_WAIT:
            # a nearer one may answer in a moment: its lists need not cross regions
            return []
        if lead is not None and lead in able and self._rank(lead)[:2] <= self._rank(best)[:2]:
            return []
        self.lead = best.post
        return [Log(event="leads", fields={"controller": best.post, "hall": best.hall or "unknown"})]

    def _to_ask(self, *, now: float) -> list[Known]:
        able = sorted(
            (known for known in self.known.values() if not self._is_silent(known=known, now=now)), key=self._rank
        )
        chosen = able[: constants.CONTROLLERS_ASKED]
        # who is silent is tried now and then, the nearest and the longest unasked first
        silent = sorted(
            (
                known
                for known in self.known.values()
                if self._is_silent(known=known, now=now) and now - known.asked >= constants.ASK_SILENT
            ),
            key=lambda known: (known.asked, self._rank(known)),
        )
        if len(able) < constants.CONTROLLERS_ASKED:
            return chosen + silent
        return chosen + silent[:1]
