"""Kinds of faults of workers, clients and operators, by the names of the users' bench, each with its variants."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from simulation.hosted.draw import Day
from simulation.hosted.draw_machines import MACHINE_KINDS
from simulation.hosted.worker_faults import GREY_FAILURES, LYING_HEALTH

ORDERS_AT_ONCE = 8
"""Orders that may be in flight at once."""
INVALID_CONFIGS = (
    "cut-short",
    "service",
    "place",
    "sum",
    "weight",
    "timeout",
    "tries",
    "kind",
    "host",
    "older",
    "same",
    "stale",
    "shared-key",
)
"""Kinds of invalid configurations, as `put-invalid` names them."""


def _crash(day: Day, how: str = "") -> bool:
    seconds = day.seconds(1.0, 6.0)
    silent = ("silent",) if how == "dark" else ()
    if how == "gone":
        worker = day.worker()
        day.add_step(0.0, "crash", worker)
        day.add_step(seconds, "add", *worker.split("@"))
    elif how == "across":
        service = day.service()
        for zone in day.deployment.zones:
            day.add_step(0.0, "restart", f"{service}@{zone}", seconds)
    elif how == "all":
        day.add_step(0.0, "restart", f"{day.service()}@all", seconds)
    else:
        day.add_step(0.0, "restart", day.worker(), seconds, *silent)
    return True


def _worker_fault(day: Day, verb: str, way: str = "", share: str = "", zone: bool = False) -> bool:
    seconds = day.seconds(1.0, 6.0)
    words = [day.worker(), *([way] if way else []), seconds, *([share] if share else [])]
    day.add_step(0.0, verb, *words, *([day.zone()] if zone else []))
    return True


def _slow(day: Day) -> bool:
    day.add_step(0.0, "slow", day.worker(), 4, day.seconds(1.0, 6.0))
    return True


def _flap(day: Day) -> bool:
    day.add_step(0.0, "flap", day.worker(), 1.6, 3)
    return True


def _release(day: Day) -> bool:
    day.add_step(0.0, "release", day.service(), day.seconds(0.5, 1.5))
    return True


def _reuse(day: Day, verb: str, how: str = "") -> bool:
    worker = day.worker()
    day.add_step(0.0, verb, worker, day.service(), *([how] if how else []))
    day.add_step(3.0, "add", *worker.split("@"))
    return True


def _scale_out(day: Day) -> bool:
    for turn in range(3):
        day.add_step(turn * 0.5, "add", *day.worker().split("@"))
    return True


def _scale_in(day: Day) -> bool:
    worker = day.worker()
    day.add_step(0.0, "drain", worker)
    day.add_step(day.seconds(2.0, 6.0), "add", *worker.split("@"))
    return True


def _spot(day: Day) -> bool:
    day.add_step(0.0, "spot", day.worker(), 2)
    return True


def _cold_return(day: Day, how: str = "") -> bool:
    day.add_step(0.0, "cold-return", day.zone(), day.seconds(1.0, 5.0), *([how] if how else []))
    return True


def _chill(day: Day) -> bool:
    day.add_step(0.0, "chill", day.zone() if day.rng.random() < 0.3 else day.worker())
    return True


def _idle_race(day: Day) -> bool:
    day.add_step(0.0, "forget", f"{day.service()}@all", 0.3, day.seconds(2.0, 6.0))
    return True


def _hot_key(day: Day) -> bool:
    day.add_step(0.0, "hot-key", 3, 1, day.rng.randrange(1 << 16))
    return True


def _burst(day: Day) -> bool:
    day.add_step(0.0, "load", day.seconds(1.0, 4.0), 2)
    return True


def _shift(day: Day) -> bool:
    zone, to_zone = day.rng.sample(sorted(day.deployment.zones), 2)
    day.add_step(0.0, "shift", zone, to_zone, 0.6, day.seconds(2.0, 6.0))
    return True


def _retry_abuse(day: Day) -> bool:
    day.add_step(0.0, "eager", 0.3, day.seconds(2.0, 6.0))
    return True


def _give_up(day: Day) -> bool:
    day.add_step(0.0, "give-up", 0.5, 0.4, day.seconds(2.0, 6.0))
    return True


def _change(day: Day, way: str) -> bool:
    if way == "weights":
        day.change()
        return True
    if way == "route":
        day.add_step(0.0, "split", "notes-read", f"{day.rng.choice(('notes', 'tracks', 'orders'))}=1")
    elif way == "timeout":
        day.add_step(0.0, "deadline", "notes-read", day.rng.choice((4, 5, 6)))
    else:
        day.add_step(0.0, "idle", day.rng.choice((12, 15, 18)))
    day.add_step(0.0, "put", day.number())
    return True


def _storm(day: Day) -> bool:
    count = day.rng.randrange(10, 80)
    day.add_step(0.0, "storm", day.number(count=count), count, day.seconds(0.05, 0.3))
    return True


def _change_at_once(day: Day, count: int, alike: bool = False) -> bool:
    number = day.number()
    for turn in range(count):
        at = day.core()
        day.change(delay=turn * 0.001, words=(f"at={at}",), number=number if alike else day.number())
    return True


def _invalid_config(day: Day, way: str) -> bool:
    day.add_step(0.0, "put-invalid", day.number(), way)
    return True


def _big_config(day: Day) -> bool:
    day.add_step(0.0, "grow", day.rng.randrange(10, 80))
    day.add_step(0.0, "put", day.number())
    return True


def _evacuate(day: Day, how: str = "") -> bool:
    if day.emptied:
        return False
    zone, seconds = day.zone(), day.seconds(1.0, 9.0)
    day.add_step(0.0, "evacuate", zone)
    if how != "warm":
        day.add_step(seconds - 0.05, "chill", zone)
    day.add_step(seconds, "take-back", zone)
    return True


def _evacuate_twice(day: Day) -> bool:
    zone = day.zone()
    for delay, verb in ((0.0, "evacuate"), (0.3, "evacuate"), (3.0, "take-back"), (3.2, "take-back")):
        day.add_step(delay, verb, zone)
    return True


def _ack_lost(day: Day) -> bool:
    day.add_step(0.0, "lose-acks", day.rng.choice((0.7, 0.9)), day.seconds(3.0, 8.0))
    for turn in range(day.rng.randrange(2, 6)):
        day.change(delay=0.1 + turn * day.seconds(0.1, 1.0))
    if not day.emptied and day.rng.random() < 0.5:
        _evacuate_twice(day)
    return True


def _ack_lost_late(day: Day) -> bool:
    """An order whose acknowledgement is lost, and which is sent again only after many others."""
    later = day.seconds(5.0, 20.0)
    day.change(words=(f"again={later}",))
    count = day.rng.randrange(10, 80)
    day.add_step(0.5, "storm", day.number(count=count), count, 0.05)
    return True


def _operator_leaves(day: Day) -> bool:
    day.add_step(0.0, "impatient", day.seconds(0.01, 0.3), day.seconds(1.0, 3.0))
    for turn in range(3):
        day.change(delay=0.05 + turn * 0.5)
    return True


def _read_config(day: Day) -> bool:
    day.add_step(0.0, "read-config", *([day.core_or_role(roles=False)] if day.rng.random() < 0.7 else []))
    return True


OTHER_KINDS: dict[str, Callable[[Day], bool]] = {
    "hot_key": _hot_key,
    "burst": _burst,
    "shift": _shift,
    "retry_abuse": _retry_abuse,
    "give_up": _give_up,
    "srv_crash": _crash,
    **{f"srv_crash {how}": partial(_crash, how=how) for how in ("dark", "gone", "across", "all")},
    "srv_slow": _slow,
    **{f"srv_grey {way}": partial(_worker_fault, verb="grey", way=way) for way in GREY_FAILURES},
    "srv_grey one_zone": partial(_worker_fault, verb="grey", way="errors", share="0.6", zone=True),
    **{
        f"srv_lying_health {name.removeprefix('lie-')}": partial(
            _worker_fault, verb="lie", way=name.removeprefix("lie-")
        )
        for name in LYING_HEALTH
    },
    "srv_flap": _flap,
    "release": _release,
    "replace_with_reuse": partial(_reuse, verb="reuse-crashed"),
    "replace_with_reuse dark": partial(_reuse, verb="reuse-crashed", how="silent"),
    "replace_with_reuse drain": partial(_reuse, verb="reuse"),
    "scale_out": _scale_out,
    "scale_in": _scale_in,
    "scale_in spot": _spot,
    "cold_return": _cold_return,
    "cold_return dark": partial(_cold_return, how="dark"),
    "goes_cold": _chill,
    "idle_race": _idle_race,
    "answer_lost": partial(_worker_fault, verb="lose", share="0.3"),
    "garble": partial(_worker_fault, verb="garble", share="0.3"),
    "garble extra": partial(_worker_fault, verb="repeat", share="0.5"),
    **{f"config_change {way}": partial(_change, way=way) for way in ("route", "weights", "timeout", "idle")},
    "config_storm": _storm,
    "config_race": partial(_change_at_once, count=2),
    "config_race alike": partial(_change_at_once, count=2, alike=True),
    "config_race many": partial(_change_at_once, count=ORDERS_AT_ONCE),
    **{f"bad_config {way}": partial(_invalid_config, way=way) for way in INVALID_CONFIGS},
    "big_config": _big_config,
    "evacuate": _evacuate,
    "evacuate warm": partial(_evacuate, how="warm"),
    "evacuate twice": _evacuate_twice,
    "ack_lost": _ack_lost,
    "ack_lost late": _ack_lost_late,
    "operator_leaves": _operator_leaves,
    "read": _read_config,
}
ALL_KINDS: dict[str, Callable[[Day], bool]] = {**MACHINE_KINDS, **OTHER_KINDS}
"""Every kind and variant, by the bench's names.

Not in the bench are goes_cold, list_down, evacuate twice, ack_lost late, operator_leaves and read.
"""
