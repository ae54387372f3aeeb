"""A proxy's way to the core: the two nearest controllers that answer and may serve, asked for news in turn.

Each answer says whether its controller has contact with a majority of the voters (an answer of the last version,
which does not
say, counts as yes). One that has none is not followed while another can be reached. If for LAST_RESORT_AFTER none with
contact answered, the nearest that answers at all is followed: what it holds was chosen once, and serving on with the
last known state is better than not serving.
"""

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
    has_contact: bool = True
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
    trusted_at: float = NEVER

    def step(self, *, now: float, sender: str | None, body: dict) -> list:
        """Note who answered, or ask those whose turn it is with this body."""
        if sender is not None:
            known = self.known.setdefault(sender, Known(post=sender))
            known.heard, known.unanswered = now, 0
            known.has_contact = body.get("contact") is not False
            self.trusted_at = now if known.has_contact else self.trusted_at
            self._note_named(named=body.get("controllers", []))
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

    def _note_named(self, *, named: object) -> None:
        """Note the other controllers that one without contact names."""
        for row in named if isinstance(named, list) else ():
            if isinstance(row, list) and len(row) == 3 and all(isinstance(word, str) for word in row):
                post, hall, region = row
                if post not in self.known:
                    self.known[post] = Known(post=post, hall=hall, region=region)
                    self.next_at = NEVER

    def is_last_resort(self, *, now: float) -> bool:
        """Has no controller with contact answered for so long that one without is followed?"""
        return self.began != NEVER and now - max(self.began, self.trusted_at) > constants.LAST_RESORT_AFTER

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
        """Is it one that is only tried now and then?"""
        if not known.has_contact and (known.post != self.lead or not self.is_last_resort(now=now)):
            return True
        return known.unanswered >= constants.ASKS_LOST and now - known.heard > constants.CONTROLLER_SILENT

    def _choose_lead(self, *, now: float) -> list:
        able = [known for known in self.known.values() if now - known.heard < constants.CONTROLLER_SILENT]
        trusted = [known for known in able if known.has_contact]
        able = trusted if trusted or not self.is_last_resort(now=now) else able
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
