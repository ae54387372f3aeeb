"""Kinds of faults of machines, disks, clocks and links, by the names of the users' bench, each with its variants."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from simulation.hosted.draw import MOMENT_WAIT, Day

STOP_TIME = 7.0
"""s that a machine may take from SIGTERM until it runs again."""
ON_RETURN = ("meet", "race", "hard", "drain")
"""What may happen as a machine returns: a change sent to it, two changes at once, a change sent to no other machine, or
a drain of a worker in its zone."""


def _add_changes_on_return(day: Day, machine: str, returns_after: float, how: str) -> None:
    """Add what happens while a machine is absent and as it returns."""
    if how in ("meet", "race"):
        day.change(delay=max(0.0, returns_after / 2), words=(f"at={machine}",))
        day.change(delay=returns_after, words=(f"at={machine}",))
    if how == "race":
        day.change(delay=returns_after + 0.005, words=(f"at={day.core()}",))
    if how == "hard":
        day.change(delay=returns_after / 2, words=(f"at={machine}", "only"))
    if how == "drain":
        zone = (
            machine.rsplit("-", 1)[0]
            if machine.split("-new", maxsplit=1)[0][:-2] in day.deployment.zones
            else day.zone()
        )
        day.add_step(returns_after + 0.5, "drain", f"{day.service()}@{zone}")


def _kill_core(day: Day, target: str = "", how: str = "") -> bool:
    if not day.reserve_losses(seconds=1.0):
        return False
    machine = target or day.core()
    day.add_step(0.0, "kill", f"all@{machine}")
    _add_changes_on_return(day, machine, 0.5, how)
    return True


def _kill_plain(day: Day) -> bool:
    day.add_step(0.0, "kill", f"proxy@{day.plain()}")
    return True


def _power(day: Day, target: str = "", how: str = "") -> bool:
    seconds = day.seconds(0.5, 5.0)
    if not day.reserve_losses(seconds=seconds + 1.0):
        return False
    machine = target or day.core()
    day.add_step(0.0, "outage", machine, seconds)
    _add_changes_on_return(day, machine, seconds + 0.3, how)
    return True


def _power_plain(day: Day) -> bool:
    day.add_step(0.0, "outage", day.plain(), day.seconds(0.5, 6.0))
    return True


def _term_core(day: Day) -> bool:
    if not day.reserve_losses(seconds=STOP_TIME):
        return False
    day.add_step(0.0, "stop", f"all@{day.core_or_role()}")
    return True


def _term_plain(day: Day) -> bool:
    for turn in range(2):
        day.add_step(turn * 1.0, "stop", f"proxy@{day.plain()}")
    return True


def _term_remove(day: Day) -> bool:
    if any(verb == "remove" for _, verb, _ in day.steps):
        return _term_plain(day)
    day.add_step(0.0, "remove", day.plain())
    return True


def _term_busy(day: Day) -> bool:
    if not day.reserve_losses(seconds=STOP_TIME + 1.0):
        return False
    day.add_step(0.0, "upon", "taken", 1.0, "stop", "all@taker")
    return True


def _herd(day: Day, how: str = "") -> bool:
    if not day.reserve_whole_budget(seconds=4.0):
        return False
    if how == "power":
        day.add_step(0.0, "outage", "core", day.seconds(0.5, 2.0))
    elif how == "taken":
        day.add_step(0.0, "upon", "taken", 1.0, "outage", "core", day.seconds(0.5, 2.0))
    elif how == "all":
        day.add_step(0.0, "kill", "all@all")
    else:
        day.add_step(0.0, "kill", "all@core")
    return True


def _replace(day: Day, how: str = "") -> bool:
    after = day.seconds(0.5, 3.0)
    if not day.reserve_losses(seconds=after + (STOP_TIME if how else 1.0)):
        return False
    machine = day.core()
    day.add_step(0.0, "replace", machine, after, *([how] if how else []))
    day.note_replacement(machine=machine)
    return True


def _fail_at_moment(
    day: Day, moment: str, verb: str = "outage", wipe: bool = False, by_random_choice: bool = False
) -> bool:
    seconds = day.seconds(0.3, 3.0)
    if not day.reserve_losses(seconds=MOMENT_WAIT + seconds):
        return False
    machine = day.core() if by_random_choice else "taker" if moment == "taken" else "leader"
    if verb == "kill":
        day.add_step(0.0, "upon", moment, MOMENT_WAIT, "kill", f"all@{machine}")
    else:
        day.add_step(0.0, "upon", moment, MOMENT_WAIT, "outage", machine, seconds, *(["wipe"] if wipe else []))
    if moment == "answered":
        day.add_step(0.0, "slow-disk", "core", day.rng.choice((1, 1, 10)), 2.0)
    day.change(delay=0.01)
    return True


def _zone_loss(day: Day) -> bool:
    seconds = day.seconds(1.0, 4.0)
    if not day.reserve_whole_budget(seconds=seconds + 1.5):
        return False
    day.add_step(0.0, "zone-loss", day.zone(), seconds)
    return True


def _zone_cut(day: Day, how: str = "") -> bool:
    seconds = day.seconds(1.0, 6.0)
    if not day.reserve_whole_budget(seconds=seconds):
        return False
    if how == "path":
        zone, to_zone = day.rng.sample(sorted(day.deployment.zones), 2)
        day.add_step(0.0, "cut-path", zone, to_zone, seconds)
    else:
        day.add_step(0.0, "cut-zone", day.zone(), seconds, *([how] if how else []))
    return True


def _core_cut(day: Day, target: str = "", how: str = "", on_return: str = "", long: bool = False) -> bool:
    seconds = day.seconds(20.0, 25.0) if long else day.seconds(1.0, 8.0)
    is_all = how in ("both", "seeds")
    if not (day.reserve_whole_budget(seconds=seconds + 1.0) if is_all else day.reserve_losses(seconds=seconds)):
        return False
    machine = target or day.core()
    day.add_step(0.0, "cut-core", machine, seconds, *([how] if how else []))
    _add_changes_on_return(day, machine, seconds + 0.05, on_return)
    if long:
        day.change(delay=seconds / 3)
        day.add_step(seconds / 2, "read-config", machine)
    return True


def _node_cut(day: Day, how: str = "") -> bool:
    if how == "servers":
        day.add_step(0.0, "cut", f"{day.worker()}+{day.worker()}", "core+plain", day.seconds(0.5, 6.0))
    else:
        day.add_step(0.0, "cut", day.plain(), "core", day.seconds(0.5, 6.0), *([how] if how else []))
    return True


def _freeze(day: Day, target: str = "core") -> bool:
    seconds = day.seconds(0.3, 6.0)
    if target == "plain":
        day.add_step(0.0, "freeze", f"all@{day.plain()}", seconds)
        return True
    if not day.reserve_losses(seconds=seconds):
        return False
    day.add_step(0.0, "freeze", f"all@{day.core() if target == 'core' else target}", seconds)
    return True


def _slow(day: Day, target: str) -> bool:
    seconds = day.seconds(1.0, 6.0)
    if target == "core" and not day.reserve_losses(seconds=seconds):
        return False
    day.add_step(0.0, "slow-node", day.core() if target == "core" else day.plain(), day.rng.randrange(3, 9), seconds)
    return True


def _seed_turnover(day: Day) -> bool:
    day.add_step(0.0, "seeds", day.core(), day.core())
    day.add_step(0.2, "hup", "all")
    return True


def _disk(day: Day, verb: str, target: str = "") -> bool:
    seconds = day.seconds(1.0, 5.0)
    if not day.reserve_losses(seconds=seconds):
        return False
    words = (30, seconds) if verb == "slow-disk" else (seconds,)
    day.add_step(0.0, verb, target or day.core(), *words)
    day.change(delay=0.2)
    return True


def _clock(day: Day, sign: int) -> bool:
    for machine in {day.core(), day.plain(), day.plain()}:
        day.add_step(0.0, "clock-step", machine, sign * day.seconds(1.0, 8.0), day.seconds(1.0, 6.0))
    if day.rng.random() < 0.4:
        day.add_step(0.3, "kill", f"proxy@{day.plain()}")
    return True


def _hup(day: Day) -> bool:
    day.add_step(0.0, "hup", day.plain())
    day.add_step(0.4, "hup", day.core())
    return True


def _reset(day: Day, target: str) -> bool:
    day.add_step(0.0, "reset-connections", day.core() if target == "core" else day.plain(), 0.5)
    return True


def _list_down(day: Day) -> bool:
    day.add_step(0.0, "list-down", day.seconds(0.5, 3.0))
    return True


MACHINE_KINDS: dict[str, Callable[[Day], bool]] = {
    "node_kill": _kill_plain,
    "node_kill power": _power_plain,
    "node_kill core": _kill_core,
    **{f"node_kill core {target}": partial(_kill_core, target=target) for target in ("leader", "reader", "seed")},
    **{f"node_kill core {how}": partial(_kill_core, how=how) for how in ON_RETURN},
    "node_kill core power": _power,
    **{f"node_kill core power {how}": partial(_power, how=how) for how in ON_RETURN},
    "node_kill core power leader race": partial(_power, target="leader", how="race"),
    "roll_term": _term_plain,
    "roll_term core": _term_core,
    "roll_term remove": _term_remove,
    "roll_term busy": _term_busy,
    "herd_kill": partial(_herd, how="all"),
    "herd_kill core": _herd,
    "herd_kill core power": partial(_herd, how="power"),
    "herd_kill core taken": partial(_herd, how="taken"),
    "replace_core": _replace,
    "replace_core planned": partial(_replace, how="planned"),
    "after_ack_kill": partial(_fail_at_moment, moment="answered"),
    "after_ack_kill kill": partial(_fail_at_moment, moment="answered", verb="kill"),
    "after_ack_kill timed": partial(_fail_at_moment, moment="sent"),
    "after_ack_kill taken": partial(_fail_at_moment, moment="taken"),
    "after_ack_wipe": partial(_fail_at_moment, moment="answered", wipe=True),
    "after_ack_wipe lot": partial(_fail_at_moment, moment="answered", wipe=True, by_random_choice=True),
    "after_ack_wipe timed": partial(_fail_at_moment, moment="sent", wipe=True),
    "after_ack_wipe taken": partial(_fail_at_moment, moment="taken", wipe=True),
    "zone_loss": _zone_loss,
    "zone_cut": _zone_cut,
    "zone_cut reset": partial(_zone_cut, how="reset"),
    "one_way": partial(_zone_cut, how="path"),
    "one_way all": partial(_zone_cut, how="out"),
    "one_way all in": partial(_zone_cut, how="in"),
    "core_cut": _core_cut,
    **{f"core_cut {how}": partial(_core_cut, how=how) for how in ("seeds", "both", "reset", "refuse")},
    "core_cut one_way": partial(_core_cut, how="out"),
    "core_cut one_way in": partial(_core_cut, how="in"),
    **{f"core_cut {target}": partial(_core_cut, target=target) for target in ("leader", "reader", "seed")},
    **{f"core_cut {on_return}": partial(_core_cut, on_return=on_return) for on_return in ON_RETURN},
    "core_cut leader race": partial(_core_cut, target="leader", on_return="race"),
    "core_cut long": partial(_core_cut, long=True),
    "core_cut leader long": partial(_core_cut, target="leader", long=True),
    "node_cut": _node_cut,
    "node_cut servers": partial(_node_cut, how="servers"),
    "node_cut reset": partial(_node_cut, how="reset"),
    "node_freeze": partial(_freeze, target="plain"),
    "node_freeze core": _freeze,
    **{f"node_freeze core {target}": partial(_freeze, target=target) for target in ("leader", "reader", "seed")},
    "node_slow": partial(_slow, target="plain"),
    "node_slow core": partial(_slow, target="core"),
    "seed_turnover": _seed_turnover,
    "disk_slow": partial(_disk, verb="slow-disk"),
    "disk_full": partial(_disk, verb="fill"),
    "disk_stall": partial(_disk, verb="stall-disk"),
    "disk_full leader": partial(_disk, verb="fill", target="leader"),
    "disk_stall leader": partial(_disk, verb="stall-disk", target="leader"),
    "clock_step back": partial(_clock, sign=-1),
    "clock_step ahead": partial(_clock, sign=1),
    "hup": _hup,
    "reset_conns": partial(_reset, target="plain"),
    "reset_conns core": partial(_reset, target="core"),
    "list_down": _list_down,
}
