"""What a controller gives the daemons that ask it.

Leases, the numbers of the newest values, and pushes of what is new.
"""

from __future__ import annotations

from sailward import constants
from sailward.consensus.held import is_control
from sailward.control.catch_up import CatchUp
from sailward.control.fleet import Fleet
from sailward.control.membership import Membership
from sailward.control.options import ControllerOptions
from sailward.control.standing import Standing
from sailward.control.subscribers import Subscribers
from sailward.control.voter import Voter
from sailward.control.worker_list import WorkerList
from sailward.discovery.gossip import Roster, kind_of
from sailward.events import Command, Tell


class Serving:
    """Owner of the answers to askers.

    `answer` grants, `acknowledge` folds an acknowledgement, `push` sends what is new.

    `wall_offset`: s from this process's steady clock to the machine's time of day, set with each tick.
    """

    def __init__(
        self,
        *,
        voter: Voter,
        roster: Roster,
        membership: Membership,
        catch_up: CatchUp,
        subscribers: Subscribers,
        worker_list: WorkerList,
        standing: Standing,
        fleet: Fleet,
        options: ControllerOptions,
    ) -> None:
        self._voter, self._roster, self._membership, self._catch_up = voter, roster, membership, catch_up
        self._subscribers, self._worker_list, self._standing, self._fleet = subscribers, worker_list, standing, fleet
        self._tells_fleet, self._is_bootstrapped = options.tells_fleet, options.bootstrap is not None
        self.wall_offset = 0.0

    def answer(self, *, now: float, sender: str, body: dict) -> list[Command]:
        """Answer one `ask`: push what it lacks, and grant."""
        commands = self._subscribers.step(now=now, event=(sender, body), news=self.news())
        if self._tells_fleet and kind_of(entry=body["daemon"]) != "controller":
            commands += self._note_have(now=now, sender=sender, have=body["have"])
            return [*commands, self._say_present(sender=sender, body=body)]
        # before the joiner is heard: what is granted from is what was known when it asked
        newest = self._voter.newest()
        if self._is_bootstrapped:
            commands += self._hear_joiner(now=now, sender=sender, daemon=body["daemon"])
            held = self._voter.held.held.get("voters")
            if held is not None and held.value["number"] > newest.get("voters", [0])[0]:
                # a consent of one that knows the next set is none under the set before
                newest["voters"] = [held.value["number"], held.value["mark"], held.ballot]
        commands += self._note_have(now=now, sender=sender, have=body["have"])
        return [*commands, self._grant(now=now, sender=sender, body=body, newest=newest)]

    def acknowledge(self, *, now: float, sender: str, body: dict) -> list[Command]:
        """Fold one `ack` of a push."""
        return self._subscribers.step(now=now, event=(sender, body), news={})

    def push(self, *, now: float) -> list[Command]:
        """Push to each daemon what it lacks."""
        return self._subscribers.step(now=now, event=None, news=self.news())

    def news(self) -> dict[str, tuple]:
        """{name: (number, ballot, value)} of all that is pushed."""
        news = {
            name: (held.value["number"], held.ballot, held.value)
            for name, held in self._voter.held.held.items()
            if held.value["number"]
        }
        workers = self._worker_list
        if workers.value is not None:
            news["workers"] = (workers.revision, [workers.epoch, ""], workers.value)
        fleet = self._fleet.value() if self._tells_fleet else None
        if fleet is not None:
            news["fleet"] = (fleet["number"], [0, ""], fleet)
        return news

    def _say_present(self, *, sender: str, body: dict) -> Tell:
        """No lease is asked for: only that this controller is there, and where it stands."""
        place = self._voter.place
        return Tell(
            to=sender,
            body={
                "kind": "grant",
                "seq": body["seq"],
                "newest": {},
                "identity": self._voter.identity,
                "voting": self._voter.voting,
                "proxies": 0,
                "view": {"place": [place.hall, place.region]},
            },
        )

    def _grant(self, *, now: float, sender: str, body: dict, newest: dict) -> Tell:
        is_warm = now - self._subscribers.members[sender].first < constants.WARM_TELL
        return Tell(
            to=sender,
            body={
                "kind": "grant",
                "seq": body["seq"],
                "newest": newest,
                "identity": self._voter.identity,
                "voting": self._voter.voting,
                "proxies": len(self._subscribers.proxies()),
                "view": {
                    **self._standing.view(with_warm=is_warm),
                    "doubt": self._membership.doubts(now=now),
                    "wall": self.wall_offset + now,
                },
            },
        )

    def _note_have(self, *, now: float, sender: str, have: dict) -> list[Command]:
        """One that asks holds something newer than this controller: it is read at once."""
        commands: list[Command] = []
        for name, newest in have.items():
            is_newer = isinstance(newest, list) and newest[0] > self._voter.held.number(name=name)
            if is_control(name=name) and is_newer:
                self._catch_up.note_behind(now=now, name=name)
                if self._voter.is_opening:
                    commands.append(Tell(to=sender, body={"kind": "want", "register": name}))
        return commands

    def _hear_joiner(self, *, now: float, sender: str, daemon: dict) -> list[Command]:
        if kind_of(entry=daemon) != "controller":
            return []
        return self._roster.step(now=now, event=(sender, {"entries": [daemon], "reply": True}))
