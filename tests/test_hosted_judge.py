"""The judge of the hosted simulation on hand-written histories: each rule is broken in one case and kept in another."""

from __future__ import annotations

import pytest

from simulation.hosted.contact_history import ContactHistory
from simulation.hosted.deployment import make_small, make_written
from simulation.hosted.judge_config import judge_reads
from simulation.hosted.judge_placement import judge_evacuations
from simulation.hosted.operators import Version
from simulation.hosted.world import World


class Day:
    """A world that never ran, with a hand-written history. Times are in s from the start of the day."""

    def __init__(self) -> None:
        self.world = World(deployment=make_small(), seed=1, end=60.0)

    def version(
        self, *, number: int, base: int = 0, sent: float = 1.0, outcome: str = "acked", acked: float = 2.0
    ) -> None:
        written = make_written(deployment=self.world.deployment, number=number)
        versions, begin = self.world.operator.versions, self.world.begin
        versions[(number, len(versions))] = Version(
            number=number,
            base=base,
            written=written,
            sent_at=begin + sent,
            outcome=outcome,
            acked_at=begin + acked if outcome == "acked" else float("inf"),
        )

    def row(self, *, k: str, t: float, **fields: object) -> None:
        fields.setdefault("lost", 0)
        if "begun" in fields:
            fields["begun"] = self.world.begin + fields["begun"]
            fields.setdefault("waits_from", fields["begun"])
        self.world.history.add(t=self.world.begin + t, k=k, **fields)

    def written(self, *, number: int) -> dict:
        return make_written(deployment=self.world.deployment, number=number)

    def cut(self, *, begin: float, end: float) -> None:
        made = self.world.network.cut(left=frozenset({"gdl-nave-0"}), right=frozenset({"core"}))
        made.begin, made.end = self.world.begin + begin, self.world.begin + end

    def reads(self) -> list:
        return [breach.rule for breach in judge_reads(world=self.world, contact=ContactHistory(world=self.world))]

    def evacuations(self, *, arrivals: list) -> list:
        found = judge_evacuations(world=self.world, arrivals=arrivals, contact=ContactHistory(world=self.world))
        return [breach.rule for breach in found]


def test_an_accepted_change_is_refused_when_sent_again() -> None:
    day = Day()
    day.version(number=3)
    assert day.reads() == []
    day.row(k="refused-taken", t=9.0, number=3, base=0, code=412)
    assert day.reads() == ["CONFIG"]


def test_two_different_changes_acknowledged_under_one_number() -> None:
    day = Day()
    day.version(number=3)
    day.version(number=5, base=3)
    assert day.reads() == []
    day.version(number=5, base=2)
    assert day.reads() == ["CONFIG"]


def test_two_changes_acknowledged_on_top_of_one_version() -> None:
    day = Day()
    day.version(number=3)
    day.version(number=5, base=3)
    day.version(number=6, base=3)
    assert day.reads() == ["CONFIG"]


@pytest.mark.parametrize(("begun", "number", "rules"), [(8.0, 3, ["LOST"]), (8.0, 5, []), (3.5, 3, [])])
def test_an_old_configuration_is_read_after_a_newer_one_was_acknowledged(
    begun: float, number: int, rules: list
) -> None:
    day = Day()
    day.version(number=3)
    day.version(number=5, base=3, sent=3.0, acked=4.0)
    day.row(k="read-config", t=9.0, begun=begun, code=200, written=day.written(number=number))
    assert day.reads() == rules


def test_a_failed_read_breaks_a_rule_only_at_the_end_of_the_run() -> None:
    day = Day()
    day.version(number=3)
    day.row(k="read-config", t=9.0, begun=8.0, code=503, written=None)
    assert day.reads() == []
    day.row(k="read-back", t=9.0, begun=8.0, code=503, written=None)
    assert day.reads() == ["CONFIG"]


@pytest.mark.parametrize(("other", "rules"), [(None, ["DUTY"]), (4, ["DUTY"]), (5, []), (9, [])])
def test_a_valid_change_is_refused_as_invalid(other: int | None, rules: list) -> None:
    """The refusal is right if a version that may be in force has its number or a higher one."""
    day = Day()
    day.version(number=3)
    day.version(number=5, base=3, sent=3.0, outcome="refused")
    if other is not None:
        day.version(number=other, base=3, sent=3.1, outcome="unknown")
    day.row(k="config-ended", t=3.5, begun=3.0, number=5, base=3, code=400, valid=True)
    assert day.reads() == rules


@pytest.mark.parametrize(
    ("cut", "ended", "rules"),
    [
        (None, 24.0, []),
        (None, 25.2, ["ACK"]),
        ((21.0, 22.0), 29.0, []),
        ((21.0, 22.0), 31.5, ["ACK"]),
        ((10.0, 40.0), 38.0, []),
    ],
)
def test_an_order_waits_for_its_acknowledgement_in_one_settled_stretch(
    cut: tuple | None, ended: float, rules: list
) -> None:
    """`ack_s` is 5 s; a cut in the core unsettles it at its begin and end, and for `contact_s` (4 s) after each."""
    day = Day()
    day.version(number=3, sent=20.0, acked=ended)
    if cut:
        day.cut(begin=cut[0], end=cut[1])
    day.row(k="config-ended", t=ended, begun=20.0, number=3, base=0, code=200, valid=True)
    assert day.reads() == rules


def _arrival(day: Day, t: float) -> dict:
    return {"t": day.world.begin + t, "zone": "ens-cava", "worker": "i-1", "proxy": "gdl-nave-1", "code": 0}


@pytest.mark.parametrize(("t", "rules"), [(14.0, []), (16.5, ["EVAC"]), (21.0, [])])
def test_requests_reach_a_zone_that_was_evacuated(t: float, rules: list) -> None:
    day = Day()
    day.row(k="ordered", t=11.0, kind="empty", zone="ens-cava", code=200, begun=10.5)
    day.row(k="refilling", t=20.0, zone="ens-cava")
    assert day.evacuations(arrivals=[_arrival(day, t)]) == rules


def test_an_evacuation_resent_while_the_zone_is_taken_back_promises_nothing() -> None:
    day = Day()
    day.row(k="refilling", t=10.0, zone="ens-cava")
    day.row(k="ordered", t=11.0, kind="empty", zone="ens-cava", code=200, begun=7.0)
    day.row(k="ordered", t=12.0, kind="refill", zone="ens-cava", code=200, begun=10.0)
    assert day.evacuations(arrivals=[_arrival(day, 20.0)]) == ["EVAC"]
    day.row(k="refilling", t=12.0, zone="ens-cava")
    assert day.evacuations(arrivals=[_arrival(day, 20.0)]) == []
