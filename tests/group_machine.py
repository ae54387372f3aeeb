"""A hypothesis state machine over a control group of complete controllers.

It generates changes, kills, power failures, wiped disks, partitions and lossy networks.
"""

from __future__ import annotations

import random

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule

from sailward.consensus.proposer import Accepted
from simulation.core_group import LINK_DELAY, CoreGroup, Member

MEMBERS = st.integers(0, 3)
HEAL_TIME = 40.0
"""s of simulated time in which all members must agree once all faults are removed."""


class GroupMachine(RuleBasedStateMachine):
    """Three founders and a spare. Fault budget: one disk lost at a time, the next once the group is complete again."""

    @initialize(seed=st.integers(0, 1000))
    def found(self, seed: int) -> None:
        self.group = CoreGroup(folder=None, size=4, seed=seed)
        self.random = random.Random(seed)
        self.network, self.is_sound = "calm", True
        self.marks: dict[int, str] = {}
        self.acknowledged = 0
        self.floors: dict[str, int] = {}
        self.changes = 0
        self.group.on_start = self._instrument
        self.group.delays = self._delays
        self.group.sync_time = lambda: self.random.choice((0.002, 0.002, 0.03))
        for at, member in enumerate(self.group.members):
            self.group.start(member=member, is_first=at < 3)
        self.group.run(seconds=1.0)  # all power lost before the founding is synced: no core
        assert self._count_voting() == 3

    @rule(at=MEMBERS, seconds=st.sampled_from([0.0, 0.02, 0.4]))
    def change(self, at: int, seconds: float) -> None:
        member = self.group.members[at]
        if member.controller is not None:
            self.changes += 1
            self.group.begin_change(text=f'{{"written":{{}},"label":{self.changes}}}', at=member)
        self.go_on(seconds=seconds)

    @rule(seconds=st.sampled_from([0.004, 0.05, 0.5, 2.5]))
    def go_on(self, seconds: float) -> None:
        self.group.run(seconds=seconds)
        self._check()

    @rule(at=MEMBERS)
    def kill(self, at: int) -> None:
        self.group.kill(member=self.group.members[at])

    @rule(at=MEMBERS, data=st.data())
    def lose_power(self, at: int, data: st.DataObject) -> None:
        self.group.lose_power(member=self.group.members[at], choose=lambda options: data.draw(st.sampled_from(options)))

    @rule()
    def lose_all_power(self) -> None:
        """Every machine loses power and its unsynced writes; all restart."""
        for member in self.group.members:
            self.group.lose_power(member=member, choose=lambda options: options[-1])
        self.start_all()

    @rule(at=MEMBERS, seconds=st.sampled_from([0.01, 0.02, 0.04]))
    def change_and_lose_all_power(self, at: int, seconds: float) -> None:
        self.change(at=at, seconds=seconds)
        self.lose_all_power()

    @rule(at=MEMBERS)
    def start(self, at: int) -> None:
        member = self.group.members[at]
        if member.controller is None:
            self.group.start(member=member)

    @rule()
    def start_all(self) -> None:
        for at in range(len(self.group.members)):
            self.start(at=at)

    @precondition(lambda self: self._is_complete())
    @rule(at=MEMBERS, seconds=st.sampled_from([0.0, 0.3, 3.0]))
    def wipe(self, at: int, seconds: float) -> None:
        """A disk is lost, and the machine comes back with an empty one."""
        member = self.group.members[at]
        self.group.wipe(member=member)
        self.floors.pop(member.name, None)
        self.group.run(seconds=seconds)
        self.group.start(member=member)

    @rule(at=MEMBERS)
    def cut(self, at: int) -> None:
        self.group.members[at].is_cut = True

    @rule()
    def join_all(self) -> None:
        for member in self.group.members:
            member.is_cut = False

    @rule(network=st.sampled_from(["calm", "late", "lossy"]))
    def change_network(self, network: str) -> None:
        self.network = network

    @rule(behind=MEMBERS, at=MEMBERS)
    def leave_one_behind(self, behind: int, at: int) -> None:
        """A change is made while one member is partitioned; after the partition its disk still has the old vote."""
        self.cut(at=behind)
        self.change(at=at, seconds=0.4)
        self.join_all()
        self.go_on(seconds=0.5)

    @precondition(lambda self: self._is_complete())
    @rule(order=st.permutations(range(4)))
    def lose_two_in_turn(self, order: list[int]) -> None:
        """One member has stale votes and a second loses its disk; once the replacement votes, a third is lost."""
        behind, wiped, lost, at = order
        self.leave_one_behind(behind=behind, at=at)
        self.wipe(at=wiped, seconds=0.0)
        self.group.run(seconds=3.0, until=lambda: self._count_voting() == 3)
        self.lose_one_and_change(lost=lost, at=behind)

    @rule(lost=MEMBERS, at=MEMBERS)
    def lose_one_and_change(self, lost: int, at: int) -> None:
        """One member is killed, and the others change the configuration without it."""
        self.kill(at=lost)
        self.go_on(seconds=2.5)
        self.change(at=at, seconds=0.4)

    def teardown(self) -> None:
        """Remove all faults; all members must catch up, and again after a restart.

        The restart leaves only what is on disk, as values in memory may hide what the voters lost.
        """
        if not hasattr(self, "group") or not self.is_sound:
            return
        self.network = "calm"
        self.join_all()
        self.start_all()
        self._catch_up()
        for member in self.group.members:
            self.group.kill(member=member)
        self.start_all()
        self._catch_up()

    def _catch_up(self) -> None:
        is_healed = self.group.run(seconds=HEAL_TIME, until=self._is_caught_up)
        self._check()
        numbers = [member.controller.learner.number(name="config") for member in self.group.members]
        assert is_healed, f"held {numbers}, acknowledged {self.acknowledged}, {self._count_voting()} vote"

    def _instrument(self, member: Member) -> None:
        """Check every value that this incarnation of a member learns, and every change reported to it as accepted."""
        controller = member.controller
        floor = self.acknowledged if member.incarnation > 1 and controller.write_ahead.has_copied else 0
        self.floors[member.name] = floor
        learn, propose = controller.learner.step, controller.proposer.step

        def learn_checked(*, name: str, ballot: list, value: dict) -> bool:
            before = controller.learner.number(name=name)
            is_newer = learn(name=name, ballot=ballot, value=value)
            if name == "config":
                number = controller.learner.number(name=name)
                self._fail_unless(number >= before, f"{member.name} went back from {before} to {number}")
                self._fail_unless(
                    number >= floor, f"{member.name} holds {number} after a start, {floor} was acknowledged before"
                )
                self._record_mark(number=number, mark=controller.learner.values[name].value["mark"])
            return is_newer

        def propose_checked(**fields: object) -> tuple:
            commands, finished = propose(**fields)
            for operation in finished:
                if (
                    operation.register == "config"
                    and "/measure" in operation.op
                    and isinstance(operation.outcome, Accepted)
                ):
                    self._record_accepted(outcome=operation.outcome)
            return commands, finished

        controller.learner.step, controller.proposer.step = learn_checked, propose_checked

    def _record_accepted(self, *, outcome: Accepted) -> None:
        value = outcome.value
        marks = [value["mark"], *value["trail"]]
        self._record_mark(number=outcome.number, mark=marks[value["number"] - outcome.number])
        self.acknowledged = max(self.acknowledged, outcome.number)

    def _record_mark(self, *, number: int, mark: str) -> None:
        known = self.marks.setdefault(number, mark)
        self._fail_unless(known == mark, f"two values under {number}: {known} and {mark}")

    def _fail_unless(self, is_satisfied: bool, message: str) -> None:
        if not is_satisfied:
            self.is_sound = False
            raise AssertionError(message)

    def _check(self) -> None:
        for member in self.group.members:
            if member.controller is not None and "config" in member.controller.learner.values:
                value = member.controller.learner.values["config"].value
                self._record_mark(number=value["number"], mark=value["mark"])

    def _delays(self) -> list[float]:
        if self.network == "calm":
            return [LINK_DELAY]
        count = 1 if self.network == "late" else self.random.choice((0, 1, 1, 1, 2))
        return [LINK_DELAY + self.random.choice((0.0, 0.0, 0.05, 0.4)) for _ in range(count)]

    def _count_voting(self) -> int:
        return sum(member.controller is not None and member.controller.is_voting for member in self.group.members)

    def _is_complete(self) -> bool:
        """Are all members running and connected, and do three vote under one voter set that all members know?"""
        members = self.group.members
        if self.network != "calm" or any(member.controller is None or member.is_cut for member in members):
            return False
        sets = {member.controller.voters.number for member in members}
        return len(sets) == 1 and self._count_voting() == len(members[0].controller.voters.members) == 3

    def _is_caught_up(self) -> bool:
        numbers = {member.controller.learner.number(name="config") for member in self.group.members}
        return len(numbers) == 1 and numbers >= {max(self.acknowledged, *numbers)} and self._count_voting() >= 3
