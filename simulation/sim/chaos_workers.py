"""Faults of workers, callers and operators. Each function returns whether the fault was possible now.

The name of a function, with hyphens, is the name of its kind in histories and scenarios.
"""

from __future__ import annotations

from simulation.sim.chaos_context import ChaosContext

MODES = ("lose", "lose-unrun", "wrong-bytes", "cut", "refuse", "other-exchange", "error")


def _worker_down(context: ChaosContext) -> bool:
    name = context.pick_worker()
    context.do("worker-down", name)
    context.do_later(1.0, 9.0, "worker-up", name)
    return True


def _worker_frozen(context: ChaosContext) -> bool:
    name = context.pick_worker()
    context.do("worker-freeze", name)
    context.do_later(0.5, 8.0, "worker-thaw", name)
    return True


def _worker_wrong(context: ChaosContext) -> bool:
    name = context.pick_worker()
    context.do("worker-mode", context.rng.choice(MODES), f"{context.rng.uniform(0.1, 0.9):.2f}", name)
    context.do_later(1.0, 6.0, "worker-mode", "well", "1", name)
    return True


def _release(context: ChaosContext) -> bool:
    """Rolling release: the workers of one service are replaced one by one."""
    service = context.rng.choice(sorted(context.world.deployment.config["services"]))
    names = sorted(
        machine.worker.name
        for machine in context.world.machines.values()
        if machine.worker.service == service and machine.is_up
    )
    for index, name in enumerate(names):
        context.do_later(1.5 * index, 1.5 * index + 0.5, "worker-replace-if", name)
    return True


def _worker_moved(context: ChaosContext) -> bool:
    name = context.pick_worker()
    if name not in context.world.platform.names():
        return False
    context.do("worker-move", name, context.next_index())
    return True


def _find_spare(context: ChaosContext) -> str:
    """A listed worker of the original deployment that may be removed, or "" while fewer than 30 are listed."""
    name = context.pick_worker()
    listed = context.world.platform.names()
    return "" if name not in listed or len(listed) < 30 or name.count("-") > 3 else name


def _worker_removed(context: ChaosContext) -> bool:
    name = _find_spare(context)
    if not name:
        return False
    context.do("worker-leave", name)
    context.do_later(2.0, 5.0, "worker-gone-if", name)
    return True


def _worker_gone(context: ChaosContext) -> bool:
    """A worker is removed from the list at once, though it still answers."""
    name = _find_spare(context)
    if not name:
        return False
    context.do("worker-gone", name)
    return True


def _worker_added(context: ChaosContext) -> bool:
    service, zone, index = (
        context.rng.choice(sorted(context.world.deployment.config["services"])),
        context.pick_zone(),
        context.next_index(),
    )
    context.do("worker-add", f"{service}-{zone}-{index}", service, zone, index)
    return True


def _address_passed_on(context: ChaosContext) -> bool:
    name = context.pick_worker()
    if name not in context.world.platform.names() or name.count("-") > 3 or "heir" in name:
        return False
    context.do(
        "readdress", name, context.rng.choice(sorted(context.world.deployment.config["services"])), context.pick_zone()
    )
    return True


def _hot_key(context: ChaosContext) -> bool:
    kind = next(caller for caller in context.world.deployment.callers if caller.shard_keys)
    context.do("flood-key", kind.tenant, kind.path, "part0", "60")
    context.do_later(2.0, 5.0, "flood", kind.tenant, kind.path, "0")
    return True


def _storm(context: ChaosContext) -> bool:
    context.do("storm", "0.8")
    context.do("worker-mode", "lose", "0.6", context.pick_zone())
    context.do_later(2.0, 4.0, "worker-mode", "well", "1", "all")
    context.do_later(3.0, 5.0, "storm", "0")
    return True


def _brand_floods(context: ChaosContext) -> bool:
    kind = next(caller for caller in context.world.deployment.callers if not caller.unsafe and not caller.shard_keys)
    context.do("flood", kind.tenant, kind.path, "250")
    context.do_later(2.0, 4.0, "flood", kind.tenant, kind.path, "0")
    return True


def _answers_lost(context: ChaosContext) -> bool:
    context.do("lose-answers", "0.3")
    context.do_later(1.0, 3.0, "lose-answers", "0")
    return True


def _orders_repeated(context: ChaosContext) -> bool:
    key = f"rep{context.rng.randrange(10**6)}"
    tenant, path = context.rng.choice(
        [(caller.tenant, caller.path) for caller in context.world.deployment.callers if caller.unsafe]
    )
    name = context.pick_daemon("proxy")
    for try_number in range(1, 5):
        if name:
            # only the first request has try number 1; the repeats carry higher try numbers
            context.do_later(
                2.5 * (try_number - 1), 2.5 * try_number - 0.1, "order", tenant, path, key, name, str(try_number - 1)
            )
        name = context.pick_daemon("proxy")
    return True


def _operators_race(context: ChaosContext) -> bool:
    regions = sorted(set(context.world.deployment.zones.values()))
    first, second = context.pick_daemon("controller"), context.pick_daemon("controller")
    if not first:
        return False
    context.do("pin", context.pick_service(), context.rng.choice(regions), first)
    context.do("pin", context.pick_service(), context.rng.choice(regions), second)
    context.do(
        "patch", f"services.{context.pick_service()}.result_bytes", str(context.rng.randrange(10**5, 10**6)), first
    )
    context.do("patch", "tenants.pins.share", str(context.rng.randrange(1, 90)), second)
    context.do("put-invalid", context.rng.choice(["weights", "hall", "field", "text"]), first)
    context.do_later(0.1, 3.0, "read-back")
    return True


def _config_burst(context: ChaosContext) -> bool:
    for index in range(8):
        context.do_later(
            0.1 * index, 0.1 * index, "split", context.pick_service(), str(context.rng.randrange(1, 100)), "50"
        )
    context.do_later(2.0, 4.0, "read-back")
    return True


def _config_large(context: ChaosContext) -> bool:
    context.do("put-large", "300")
    context.do_later(5.0, 6.0, "put")
    return True


def _orders_race_changes(context: ChaosContext) -> bool:
    if context.emptied_zone or not context.running_controllers():
        return False
    zone = context.emptied_zone = context.pick_zone()
    context.do("empty", zone, "confirm")
    context.do("pin", context.pick_service(), context.rng.choice(sorted(set(context.world.deployment.zones.values()))))
    context.do_later(8.0, 12.0, "refill", zone)
    context.world.clock.after(13.0, lambda: setattr(context, "emptied_zone", ""))
    return True


def _platform_down(context: ChaosContext) -> bool:
    context.do("platform-down")
    context.do_later(1.0, 5.0, "platform-up")
    return True


WORKER_KINDS = {
    kind.__name__.strip("_").replace("_", "-"): kind
    for kind in (
        _worker_down,
        _worker_frozen,
        _worker_wrong,
        _release,
        _worker_moved,
        _worker_removed,
        _worker_gone,
        _worker_added,
        _address_passed_on,
        _hot_key,
        _storm,
        _brand_floods,
        _answers_lost,
        _orders_repeated,
        _operators_race,
        _config_burst,
        _config_large,
        _orders_race_changes,
        _platform_down,
    )
}
