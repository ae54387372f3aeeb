"""The whole of a cellar: voter, proposer, desk, worker list, standing view, pushes."""

from __future__ import annotations

import json
import random

from sailward import constants
from sailward.config.dialect import OwnDialect
from sailward.consensus.acceptor import CLAIM, KNOWN, Acceptor, Slots, fold_record
from sailward.consensus.held import CONTROL, HeldBook, is_control, read_voters
from sailward.consensus.proposer import Accepted, Begin, Proposer
from sailward.control.admin_api import AdminApi
from sailward.control.bootstrap import make_founder
from sailward.control.fleet import Fleet
from sailward.control.freshness import newest_vote
from sailward.control.incarnations import Incarnations
from sailward.control.listing import Listing
from sailward.control.membership import Membership
from sailward.control.moves import Moves
from sailward.control.options import ControllerOptions
from sailward.control.quorum_contact import QuorumContact
from sailward.control.shard_leases import ShardLeases
from sailward.control.standing import Standing
from sailward.control.status_report import show_status
from sailward.control.subscribers import Subscribers
from sailward.control.turning_away import other_controllers, turn_away
from sailward.control.write_ahead import WriteAhead
from sailward.discovery.gossip import Place, Roster
from sailward.discovery.pages import Pager
from sailward.events import Asked, Called, Checked, DiskFailed, Heard, Log, Stop, StopAsked, Synced, Tell
from sailward.routing.exchange import answer_json
from sailward.routing.plan import plan_of, read_full

VOTING = ("prepare", "accept", "read", "first")
TOLD = ("promise", "voted", "nack", "told")
SERVED = ("config", "orders")
"""The registers whose newest numbers voters tell with their heartbeats."""


def make_identity(*, name: str, nonce: str) -> str:
    """A new voter's identity: an empty disk never takes over an old one."""
    return f"{name}#{nonce}"


class Controller:
    """Owner of a cellar process. `step` takes one event and gives commands."""

    def __init__(
        self,
        *,
        place: Place,
        platform: str,
        nonce: str,
        start: int,
        rng: random.Random,
        records: list[dict],
        now: float,
        options: ControllerOptions | None = None,
    ) -> None:
        self.options = options = options or ControllerOptions()
        slots = Slots()
        self.identity = ""
        copied, opened, known = False, 0, None
        for record in records:
            if record["k"] == "identity":
                self.identity = record["id"]
            elif record["k"] == "copied":
                copied = True
            elif record["k"] == "opened":
                opened = record["n"]
            elif record["k"] == "left":
                self.identity, copied, opened, slots = record["id"], False, 0, Slots()
            elif record.get("r") == KNOWN:
                known = record
            else:
                fold_record(slots=slots, record=record, now=now)
        new = not self.identity
        founds = new and options.bootstrap is not None and options.bootstrap.is_founder(post=place.post)
        self.identity = self.identity or (
            make_founder(post=place.post) if founds else make_identity(name=place.name, nonce=nonce)
        )
        self.place, self.start, self._nonce, self._left = place, start, nonce, 0
        self.held = HeldBook()
        self.acceptor = Acceptor(slots=slots)
        self.ledger = WriteAhead(identity=self.identity, slots=slots, copied=copied, opened=opened, known=known)
        if known is not None and "v" in known:
            self.held.step(name="voters", ballot=known["b"], value=known["v"])
        self.proposer = Proposer(identity=f"{place.name}#{nonce}", rng=rng)
        self.desk = AdminApi(
            identity=f"{place.name}#{nonce}",
            dialect=options.dialect or OwnDialect(),
            wait=options.operation_wait,
            halls=frozenset(hall for hall, _ in options.zones),
        )
        self.roster = Roster(
            place=place,
            start=start,
            identity=self.identity,
            every=options.gossip_every,
            suspect=options.suspect_after,
            is_mesh=options.is_mesh,
            has_disk=options.has_disk,
        )
        self.contact = QuorumContact(started=now)
        self.membership = Membership(cellar=self, now=now)
        self.moves = Moves()
        self.pager = Pager(platform=platform, reader=options.reader, rate=options.list_rate)
        self.listing = Listing(pager=self.pager, lives=Incarnations(post=place.post, number=start))
        self.subscribers = Subscribers(post=place.post if options.reader else "")
        self.standing = Standing()
        self.fleet = Fleet(post=place.post, hall=place.hall, region=place.region)
        self.minding = (
            ShardLeases(cellar=self, codec=options.grants, hold_max=options.hold_max) if options.grants else None
        )
        self.workers: tuple = (-1, -1, None)
        self.count = len(records)
        self._wall = 0.0
        founding = self.membership.found_alone(now=now) if founds else []
        self._begun = self.ledger.step(
            records=[{"k": "identity", "id": self.identity}, *founding] if new else [], replies=[]
        )
        self._reading: dict[str, str] = {}
        self._read_begun: dict[str, float] = {}
        self._read_at: dict[str, float] = {}
        self._behind: dict[str, float] = {}
        self._swept = now
        self._judged = -1e9
        self._ops = 0

    def step(self, *, now: float, event: object) -> list:
        """Answer one event with commands."""
        commands, self._begun = self._begun, []
        if isinstance(event, Heard):
            commands += self._hear(now=now, sender=event.sender, body=event.body)
        elif isinstance(event, Asked):
            commands += self._ask(now=now, event=event)
        elif isinstance(event, Called):
            is_grant = event.token.startswith(("grant ", "release "))
            commands += self.minding.step(now=now, event=event) if is_grant else self._page(now=now, event=event)
        elif isinstance(event, (Synced, DiskFailed)):
            commands += self.ledger.hear(event=event)
        elif isinstance(event, Checked):
            more, begins = self.desk.step(event=event)
            commands += more + self.begin(now=now, begins=begins)
        elif isinstance(event, StopAsked):
            commands.append(Stop(code=0))
        else:
            self._wall = event.wall - now
            commands += self._look_at_alarms(now=now)
        return commands

    @property
    def voters(self) -> dict:
        """The voters known to be chosen; until that is known again after a start, those voted for."""
        known = self.held.voters()
        slot = self.acceptor.slots.get("voters")
        if known["number"] or slot is None or slot.value is None:
            return known
        return read_voters(value=slot.value)

    @property
    def voting(self) -> bool:
        """May this cellar vote and grant?"""
        return (
            self.identity in self.voters["members"]
            and self.ledger.copied
            and self.ledger.usable
            and not self.membership.is_opening()
        )

    def may_serve(self, *, now: float) -> bool:
        """May control state be told? Only in contact with a majority, where heartbeats show contact."""
        if not self.options.is_mesh:
            return True
        return self.contact.may_serve(now=now, members=self.voters["members"], own=self.own_vote)

    @property
    def own_vote(self) -> str:
        """The identity under which this controller's own memory counts as a voter's; empty if it does not."""
        return self.identity if self.identity in self.voters["members"] and self.ledger.copied else ""

    def new_identity(self) -> str:
        """A further identity of this start: the one before never acts again."""
        self._left += 1
        return make_identity(name=self.place.name, nonce=f"{self._nonce}.{self._left}")

    def _hear(self, *, now: float, sender: str, body: dict) -> list:
        kind = body["kind"]
        if kind in VOTING:
            return self._vote(now=now, sender=sender, body=body)
        if kind in TOLD:
            if kind == "nack" and body["voters"]:
                return self.keep(now=now, name="voters", ballot=body["voters"][0], value=body["voters"][1], tell=False)
            if kind != "nack":
                self.contact.hear_answer(peer=sender, question=body["op"])
            commands, settled = self.proposer.step(now=now, voters=self.voters, event=(sender, body))
            return commands + self._settle(now=now, settled=settled)
        if kind == "chosen":
            return self.keep(now=now, name=body["register"], ballot=body["ballot"], value=body["value"], tell=False)
        if kind == "want" and body["register"] == "fleet":
            return self.fleet.step(now=now, event=(sender, body), proxies=[], cellars=[])
        if kind == "want":
            return self.held.tell(to=sender, name=body["register"])
        if kind == "push" and is_control(name=body["name"]):
            return self.keep(now=now, name=body["name"], ballot=body["ballot"], value=body["value"], tell=False)
        if kind in ("push", "grant"):
            return []
        if kind == "fleet":
            return self.fleet.step(now=now, event=(sender, body), proxies=[], cellars=[])
        if kind == "list":
            commands, is_news = self.listing.hear(now=now, body=body)
            return commands + self._take_lives(now=now, is_news=is_news)
        if kind in ("confirm", "confirmed"):
            return self.minding.hear(now=now, sender=sender, body=body) if self.minding else []
        if kind == "copy":
            return self.membership.tell_page(now=now, sender=sender, body=body)
        if kind == "copied":
            return self.membership.take_page(now=now, event=(sender, body))
        if kind == "ask":
            return self._grant(now=now, sender=sender, body=body)
        if kind == "ack":
            return self.subscribers.step(now=now, event=(sender, body), news={})
        if kind in ("gossip", "beat"):
            commands = self.roster.step(now=now, event=(sender, body))
            if kind == "beat":
                self._hear_echo(now=now, sender=sender, body=body)
            if self.options.is_mesh and any(isinstance(one, Log) for one in commands):
                self._read_at.clear()  # one that was lost is back, or this one is: all registers are read with the next tick
            return commands
        return [Log(event="message-unexpected", fields={"kind": kind, "from": sender})]

    def _hear_echo(self, *, now: float, sender: str, body: dict) -> None:
        """A voter's heartbeat answers one from here, and tells the numbers of the newest votes for what is served."""
        echo = body.get("echo")
        is_voter = self.voters["members"].get(body["identity"]) == sender
        if not is_voter or not isinstance(echo, list) or not all(isinstance(one, int) for one in echo):
            return
        number, *voted = echo
        self.contact.hear_answer(peer=sender, question=number)
        self._note_voted(now=now, voted=voted)

    def _note_voted(self, *, now: float, voted: list) -> None:
        """A voter voted for something newer than what is held here: if it was not told by then, it is read after a moment."""
        for name, newest in zip(SERVED, voted):
            if newest > self.held.number(name=name):
                self._behind.setdefault(name, now)

    def _vote(self, *, now: float, sender: str, body: dict) -> list:
        self._note_newer(now=now, number=body["voters"])
        if not self.voting:
            return []
        known, slot = self.voters["number"], self.acceptor.slots.get("voters")
        floor = slot.value["number"] if slot and slot.value and body["register"] != "voters" else known
        if body["voters"] != known or body["voters"] < floor:
            # a voter acts under one set at a time, and under none older than one that it voted for
            held = self.held.held.get("voters")
            return [
                Tell(
                    to=sender,
                    body={
                        "kind": "nack",
                        "op": body["op"],
                        "register": body["register"],
                        "ballot": body.get("ballot", [0, ""]),
                        "reason": "voters",
                        "round": 0,
                        "voters": [held.ballot, held.value] if held else [],
                    },
                )
            ]
        records, reply = self.acceptor.step(now=now, body=body)
        return self.ledger.step(records=records, replies=[Tell(to=sender, body=reply)])

    def _note_newer(self, *, now: float, number: int) -> None:
        """Who acts under a newer set shows that there is one: ask for it, or read it, soon."""
        if self.options.bootstrap and number > self.voters["number"]:
            self.membership.ask_soon()
            self._behind.setdefault("voters", now - constants.STALLED)

    def _grant(self, *, now: float, sender: str, body: dict) -> list:
        if self.options.tells_fleet and body["daemon"].get("kind") != "cellar":
            return self._answer_proxy(now=now, sender=sender, body=body)
        commands = self.subscribers.step(now=now, event=(sender, body), news=self._news())
        newest = {}
        for name in self.acceptor.slots.control:
            slot = self.acceptor.slots[name]
            value = slot.value or {"number": 0, "mark": ""}
            newest[name] = [value["number"], value["mark"], slot.ballot]
        if self.options.bootstrap:
            commands += self._hear_joiner(now=now, sender=sender, daemon=body["daemon"])
            held = self.held.held.get("voters")
            if held is not None and held.value["number"] > newest.get("voters", [0])[0]:
                # a consent of one that knows the next set is none under the set before
                newest["voters"] = [held.value["number"], held.value["mark"], held.ballot]
        commands += self._note_have(now=now, sender=sender, have=body["have"])
        warm = now - self.subscribers.members[sender].first < constants.WARM_TELL
        reply = {
            "kind": "grant",
            "seq": body["seq"],
            "newest": newest,
            "identity": self.identity,
            "voting": self.voting,
            "proxies": len(self.subscribers.proxies()),
            "view": {
                **self.standing.view(with_warm=warm),
                "doubt": self.membership.doubts(now=now),
                "wall": self._wall + now,
            },
        }
        return [*commands, Tell(to=sender, body=reply)]

    def _answer_proxy(self, *, now: float, sender: str, body: dict) -> list:
        """No lease is asked for: only that this controller is there, where it stands, and whether it may serve."""
        may_serve = self.may_serve(now=now)
        is_last_resort = body["report"].get("last_resort") is True
        commands = self.subscribers.step(
            now=now, event=(sender, body), news=self._news() if may_serve or is_last_resort else {}
        )
        if not may_serve:
            for one in commands:
                one.body["contact"] = False
        commands += self._note_have(now=now, sender=sender, have=body["have"])
        grant = {
            "kind": "grant",
            "seq": body["seq"],
            "newest": {},
            "identity": "",
            "voting": self.voting,
            "proxies": 0,
            "view": {"place": [self.place.hall, self.place.region]},
        }
        if not may_serve:
            grant["contact"] = False
            grant["cellars"] = other_controllers(
                roster=self.roster, members=self.voters["members"], own=self.place.post
            )
        return [*commands, Tell(to=sender, body=grant)]

    def _note_have(self, *, now: float, sender: str, have: dict) -> list:
        """One that asks holds something newer than this cellar: it is read at once."""
        commands = []
        for name, newest in have.items():
            if is_control(name=name) and isinstance(newest, list) and newest[0] > self.held.number(name=name):
                self.note_behind(now=now, name=name)
                if self.membership.is_opening():
                    commands.append(Tell(to=sender, body={"kind": "want", "register": name}))
        return commands

    def note_behind(self, *, now: float, name: str) -> None:
        """What is held of this register is known to be old: it is read with the next tick."""
        self._behind.setdefault(name, now - constants.STALLED)

    def _hear_joiner(self, *, now: float, sender: str, daemon: dict) -> list:
        if daemon.get("kind") != "cellar":
            return []
        return self.roster.step(now=now, event=(sender, {"entries": [daemon], "reply": True}))

    def _push_news(self, *, now: float) -> list:
        """Push what is due to all that follow this controller, if it may serve."""
        return self.subscribers.step(now=now, event=None, news=self._news() if self.may_serve(now=now) else {})

    def _news(self) -> dict:
        news = {
            name: (held.value["number"], held.ballot, held.value)
            for name, held in self.held.held.items()
            if held.value["number"]
        }
        epoch, revision, value = self.workers
        if value is not None:
            news["workers"] = (revision, [epoch, ""], value)
        fleet = self.fleet.value() if self.options.tells_fleet else None
        if fleet is not None:
            news["fleet"] = (fleet["number"], [0, ""], fleet)
        return news

    def _ask(self, *, now: float, event: Asked) -> list:
        if event.path == "/status" and event.method == "GET":
            return [answer_json(token=event.token, code=200, body=show_status(cellar=self, now=now))]
        if event.path == "/found" and event.method == "POST":
            return self.membership.found(now=now, event=event)
        if event.path == "/found-anew" and event.method == "POST":
            return self.membership.found_anew(now=now, event=event)
        if not self.may_serve(now=now) and not self.contact.is_starting(now=now):
            return [turn_away(now=now, event=event, dialect=self.desk.dialect, roster=self.roster)]
        if event.path == "/workers" and event.method == "GET":
            epoch, revision, value = self.workers
            rows = json.loads(value["text"]) if value else []
            return [
                answer_json(token=event.token, code=200, body={"epoch": epoch, "revision": revision, "workers": rows})
            ]
        commands, begins = self.desk.step(event=event)
        return commands + self.begin(now=now, begins=begins)

    def _page(self, *, now: float, event: Called | None) -> list:
        if self.options.reader is not None:
            return self._page_lives(now=now, event=event)
        commands, whole = self.pager.step(now=now, event=event)
        if whole is not None and (whole.epoch, whole.revision) > self.workers[:2]:
            rows = sorted(whole.workers, key=lambda row: row["id"])
            value = {"number": whole.revision, "mark": str(whole.epoch), "trail": [], "text": json.dumps(rows)}
            self.workers = (whole.epoch, whole.revision, value)
            commands.append(Log(event="list-news", fields={"revision": whole.revision, "workers": len(rows)}))
            commands += self._push_news(now=now)
        return commands

    def _page_lives(self, *, now: float, event: Called | None) -> list:
        # a cellar outside the core reads the list only for proxies that follow it
        is_wanted = not self.voters["members"] or self.voting or self.subscribers.has_followers()
        commands, is_news = self.listing.step(
            now=now,
            event=event,
            cellars=self.roster.alive(kind="cellar"),
            own=self.roster.own_entry(),
            is_wanted=is_wanted,
        )
        return commands + self._take_lives(now=now, is_news=is_news)

    def _take_lives(self, *, now: float, is_news: bool) -> list:
        self.workers = (0, self.listing.lives.number, self.listing.lives.value)
        return self._push_news(now=now) if is_news else []

    def begin(self, *, now: float, begins: list[Begin]) -> list:
        """Begin operations on registers."""
        commands = []
        for begin in begins:
            self.contact.ask(now=now, question=begin.op)
            more, settled = self.proposer.step(now=now, voters=self.voters, event=begin)
            commands += more + self._settle(now=now, settled=settled)
        return commands

    def _settle(self, *, now: float, settled: list) -> list:
        commands = []
        for one in settled:
            ballot, value = getattr(one.outcome, "ballot", [0, ""]), getattr(one.outcome, "value", None)
            if is_control(name=one.register) and value and value["number"]:
                commands += self.keep(now=now, name=one.register, ballot=ballot, value=value, tell=True)
            if one.op in self._reading:
                del self._reading[one.op]
                begun = self._read_begun.pop(one.op)
                if isinstance(one.outcome, Accepted):
                    self.contact.finish_read(now=now, register=one.register, begun=begun)
            else:
                more, begins = self.desk.step(event=one)
                commands += more + self.begin(now=now, begins=begins)
        return commands

    def keep(self, *, now: float, name: str, ballot: list, value: dict, tell: bool) -> list:
        """Hold a value that is known to have been chosen, push it on, and `tell` the other cellars."""
        if not is_control(name=name) or not self.held.step(name=name, ballot=ballot, value=value):
            return []
        if name == "voters" and self.membership.is_out(value=value):
            return [
                Log(event="in-force", fields={"register": name, "number": value["number"]}),
                *self.membership.leave(),
            ]
        if name == "config":
            self.desk.full = read_full(value=value, expand=self.options.expand)
            self.moves.plan = plan_of(full=self.desk.full, number=value["number"])
        commands = self.ledger.know(ballot=ballot, value=value) if name == "voters" else []
        commands += self._push_news(now=now)
        if tell:
            body = {"kind": "chosen", "register": name, "ballot": ballot, "value": value}
            others = {*self.voters["members"].values(), *(one["post"] for one in self.roster.alive(kind="cellar"))}
            commands += [Tell(to=address, body=body) for address in sorted(others - {self.place.post})]
        if self.minding is not None:
            commands = [*self.minding.step(now=now, event=None), *commands]
        return [Log(event="in-force", fields={"register": name, "number": value["number"]}), *commands]

    def _look_at_alarms(self, *, now: float) -> list:
        commands = self._look_at_contact(now=now)
        more, settled = self.proposer.step(now=now, voters=self.voters, event=None)
        commands += more + self._settle(now=now, settled=settled)
        commands += self._tell_heartbeats(now=now) + self._page(now=now, event=None)
        commands += self._move_slots(now=now)
        if self.options.tells_fleet:
            cellars = [*self.roster.alive(kind="cellar"), self.roster.own_entry()]
            commands += self.fleet.step(now=now, event=None, proxies=self.subscribers.proxies(), cellars=cellars)
        if self.minding is not None:
            commands += self.minding.step(now=now, event=None)
        commands += self._read_what_is_due(now=now) + self._sweep(now=now) + self.membership.step(now=now)
        self.roster.fit, self.roster.asks = self.voting, "" if self.options.is_mesh else self.subscribers.asks(now=now)
        if self.options.bootstrap:
            # one that waits and can't write is not brought in
            may_act = (self.ledger.usable and self.options.has_disk) or self.identity in self.voters["members"]
            self.roster.identity = self.identity if may_act else ""
        if now - self._judged >= constants.JUDGE_EVERY:
            self._judged = now
            commands += self._push_news(now=now)
            commands += self.standing.step(now=now, proxies=self.subscribers.proxies())
        if (
            not self.ledger.usable
            and not self.ledger.rewriting
            and now - self._read_at.get("disk", -1e9) > constants.REPAIR_EVERY
        ):
            self._read_at["disk"] = now
            commands.append(self.ledger.rewrite())
        return commands

    def _look_at_contact(self, *, now: float) -> list:
        """Find out whether there is contact with a majority; operators are not kept waiting for it."""
        if not self.options.is_mesh:
            return []
        had_contact = self.contact.had_contact
        if self.contact.step(now=now, members=self.voters["members"], own=self.own_vote):
            self._read_at.clear()  # what was chosen during the gap was not told here: all registers are read at once
        is_lost = had_contact and not self.contact.had_contact
        commands = self.desk.give_up(now=now, is_lost=is_lost)
        if had_contact != self.contact.had_contact:
            commands.append(Log(event="contact-lost" if is_lost else "contact-found"))
        return commands

    def _tell_heartbeats(self, *, now: float) -> list:
        before, self.roster.contact = self.roster.beat, self.may_serve(now=now)
        self.roster.voted = [newest_vote(slots=self.acceptor.slots, name=name)[0] for name in SERVED]
        commands = self.roster.step(now=now, event=None)
        if self.roster.beat != before:
            self.contact.ask(now=now, question=self.roster.echo_number())
        return commands

    def _move_slots(self, *, now: float) -> list:
        if not self.voting:
            return []
        cellars = [*self.roster.alive(kind="cellar"), self.roster.own_entry()]
        texts = self.moves.step(
            now=now,
            own=self.identity,
            cellars=cellars,
            held=self.held,
            standing=self.standing,
            workers=self.workers[2],
            proxies=self.subscribers.proxies(),
        )
        begins = []
        for name, number, text in texts:
            self._ops += 1
            begins.append(
                Begin(
                    op=f"{self.proposer.identity}/move{self._ops}",
                    register=name,
                    expected=number,
                    text=text,
                    wait=constants.ROUND_WAIT * 3,
                )
            )
        return self.begin(now=now, begins=begins)

    def _read_what_is_due(self, *, now: float) -> list:
        is_voter, unread = self.identity in self.voters["members"], self.contact.unread
        if not self.voters["members"] or not (is_voter or self.options.is_mesh):
            return []
        begins = []
        for name in sorted({*CONTROL, *self.acceptor.slots.control} if is_voter else {*unread, *self._behind}):
            slot = self.acceptor.slots.get(name)
            vote = [slot.value["number"], slot.value["mark"], slot.ballot] if slot and slot.value else [0, "", [0, ""]]
            if self.held.covers(name=name, newest=vote):
                if self._behind.get(name, now) >= now:
                    self._behind.pop(name, None)
            else:
                self._behind.setdefault(name, now)
            stalled = name in self._behind and now - self._behind[name] >= constants.STALLED
            stalled = stalled or (name in unread and self.contact.had_contact)
            due = now - self._read_at.get(name, -1e9) >= (constants.STALLED if stalled else self.options.read_every)
            if due and name not in self._reading.values():
                self._ops, self._read_at[name] = self._ops + 1, now
                self._behind.pop(name, None)
                op = f"{self.proposer.identity}/own{self._ops}"
                self._reading[op], self._read_begun[op] = name, now
                begins.append(Begin(op=op, register=name))
        return self.begin(now=now, begins=begins)

    def _sweep(self, *, now: float) -> list:
        if now - self._swept < constants.CLAIM_SWEEP:
            return []
        self._swept = now
        old = [
            name
            for name, slot in self.acceptor.slots.items()
            if name.startswith(CLAIM) and now - slot.since > constants.CLAIM_LIFE
        ]
        for name in old:
            del self.acceptor.slots[name]
        return self.ledger.step(records=[{"k": "drop", "r": name} for name in old], replies=[])
