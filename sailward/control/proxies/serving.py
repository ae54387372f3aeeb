"""What a controller gives the daemons that ask it.

Leases, the numbers of the newest values, and pushes of what is new.
"""

from __future__ import annotations

from sailward import constants
from sailward.consensus.learner import is_control
from sailward.control.controller_options import ControllerOptions
from sailward.control.endpoints.endpoint_list import WorkerList
from sailward.control.group.catch_up import CatchUp
from sailward.control.group.contact_watch import ContactWatch
from sailward.control.group.membership import Membership
from sailward.control.group.redirect import other_controllers
from sailward.control.group.voter import Voter
from sailward.control.proxies.aggregated_health import Standing
from sailward.control.proxies.proxy_registry import Fleet
from sailward.control.proxies.subscribers import Subscribers
from sailward.discovery.peer_table import Roster, kind_of
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
        contact_watch: ContactWatch,
        subscribers: Subscribers,
        worker_list: WorkerList,
        standing: Standing,
        fleet: Fleet,
        options: ControllerOptions,
    ) -> None:
        self._voter, self._roster, self._membership, self._catch_up = voter, roster, membership, catch_up
        self._subscribers, self._worker_list, self._standing, self._fleet = subscribers, worker_list, standing, fleet
        self._contact_watch = contact_watch
        self._tells_fleet, self._is_bootstrapped = options.tells_fleet, options.bootstrap is not None
        self.wall_offset = 0.0

    def answer(self, *, now: float, sender: str, body: dict) -> list[Command]:
        """Answer one `ask`: push what it lacks, and grant."""
        if self._tells_fleet and kind_of(entry=body["daemon"]) != "controller":
            return self._answer_proxy(now=now, sender=sender, body=body)
        commands = self._subscribers.step(now=now, event=(sender, body), news=self.news())
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
        """Push to each daemon what it lacks, unless nothing may be served."""
        news = self.news() if self._contact_watch.may_serve(now=now) else {}
        return self._subscribers.step(now=now, event=None, news=news)

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

    def _answer_proxy(self, *, now: float, sender: str, body: dict) -> list[Command]:
        """Push what a proxy lacks.

        Without contact with a majority only to one that finds no other controller, and marked so.
        """
        may_serve = self._contact_watch.may_serve(now=now)
        is_last_resort = body["report"].get("last_resort") is True
        news = self.news() if may_serve or is_last_resort else {}
        commands = self._subscribers.step(now=now, event=(sender, body), news=news)
        if not may_serve:
            commands = [Tell(to=push.to, body={**push.body, "contact": False}) for push in commands]
        commands += self._note_have(now=now, sender=sender, have=body["have"])
        return [*commands, self._say_present(sender=sender, body=body, may_serve=may_serve)]

    def _say_present(self, *, sender: str, body: dict, may_serve: bool) -> Tell:
        """No lease is asked for: only that this controller is there, where it stands, and whether it has contact.

        An answer that does not say has contact. One without names the other controllers that may be asked.
        """
        place = self._voter.place
        grant = {
            "kind": "grant",
            "seq": body["seq"],
            "newest": {},
            "identity": "",
            "voting": self._voter.voting,
            "proxies": 0,
            "view": {"place": [place.hall, place.region]},
        }
        if not may_serve:
            grant["contact"] = False
            members = self._voter.voters["members"]
            grant["controllers"] = other_controllers(roster=self._roster, members=members, own=place.post)
        return Tell(to=sender, body=grant)

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
