"""Steps of scenarios on workers: crashes, draining, replacement, reuse of addresses, and every kind of misbehaviour."""

from __future__ import annotations

from typing import TYPE_CHECKING

from simulation.hosted.choosing import choose_workers
from simulation.hosted.worker_faults import EXTRA, GARBLE, GREY_FAILURES, LOSE, LYING_HEALTH, WorkerFault

if TYPE_CHECKING:
    from simulation.hosted.workers import Worker
    from simulation.hosted.world import World


class WorkerVerbs:
    """Steps on workers. A WORKER is SERVICE@ZONE (the first there), SERVICE@all, or SERVICE@ZONE#2 (the second)."""

    def __init__(self, *, world: World) -> None:
        self._world = world

    def do_crash(self, worker: str, *options: str) -> None:
        """Crash workers without notice; with `silent` their addresses don't answer at all afterwards."""
        for target in self._workers(worker):
            self._world.crash(worker=target, is_silent="silent" in options)

    def do_drain(self, worker: str) -> None:
        """Drain workers, which end afterwards."""
        for target in self._workers(worker):
            self._world.drain(worker=target)

    def do_release(self, service: str, pause: str) -> None:
        """Replace the workers of a service one after the other: each time a new one starts, then the old one drains."""
        world = self._world
        for index, old in enumerate(self._workers(f"{service}@all")):
            world.clock.after(
                index * float(pause), lambda old=old: world.add_worker(service=service, zone=old.node.zone)
            )
            world.clock.after(index * float(pause) + 0.5, lambda old=old: world.drain(worker=old))

    def do_reuse(self, worker: str, service: str) -> None:
        """Drain a worker, whose address then goes to a worker of another service."""
        world = self._world
        for old in self._workers(worker):

            def start_successor(old: Worker = old) -> None:
                world.clock.after(
                    world.deployment.bounds["addr_reuse_s"],
                    lambda: world.add_worker(service=service, zone=old.node.zone, address=old.address),
                )

            world.drain(worker=old, on_end=start_successor)

    def do_reuse_crashed(self, worker: str, service: str, *options: str) -> None:
        """Crash a worker; its address goes to another service while the endpoint list still names the old worker.

        `silent`: until then the address doesn't answer at all.
        """
        world = self._world
        for old in self._workers(worker):
            world.crash(worker=old, is_silent="silent" in options)
            world.clock.after(
                world.deployment.bounds["addr_reuse_s"],
                lambda old=old: world.add_worker(service=service, zone=old.node.zone, address=old.address),
            )

    def do_add(self, service: str, zone: str) -> None:
        """Start a new worker, in slow start."""
        self._world.add_worker(service=service, zone=zone)

    def do_chill(self, where: str) -> None:
        """Put workers (SERVICE@ZONE, or all of a ZONE) back into slow start."""
        chosen = (
            self._workers(where)
            if "@" in where
            else [worker for worker in self._world.workers.values() if where in worker.node.names and worker.is_up]
        )
        for target in chosen:
            self._world.begin_slow_start(worker=target)

    def do_lose(self, worker: str, seconds: str, share: str = "1") -> None:
        """Workers run requests, but the responses to a share of them are lost."""
        self._set_ailment(worker=worker, name=LOSE, seconds=seconds, share=share)

    def do_garble(self, worker: str, seconds: str, share: str = "1") -> None:
        """Workers send corrupt responses to a share of the requests."""
        self._set_ailment(worker=worker, name=GARBLE, seconds=seconds, share=share)

    def do_repeat(self, worker: str, seconds: str, share: str = "0.5") -> None:
        """Workers send surplus responses after a share of the complete ones, read in place of the next response."""
        self._set_ailment(worker=worker, name=EXTRA, seconds=seconds, share=share)

    def do_grey(self, worker: str, mode: str, seconds: str, share: str = "0.4", zone: str = "") -> None:
        """A share of the requests fails by a way of GREY_FAILURES, such as `errors`; `zone`: only of callers there."""
        if mode not in GREY_FAILURES:
            raise ValueError(f"grey: no way {mode!r}")
        self._set_ailment(worker=worker, name=mode, seconds=seconds, share=share, zone=zone)

    def do_lie(self, worker: str, mode: str, seconds: str) -> None:
        """Health checks pass while all requests fail (`errors`, `hang`, `reset`), or fail without a cause (`bad`)."""
        if f"lie-{mode}" not in LYING_HEALTH:
            raise ValueError(f"lie: no way {mode!r}")
        self._set_ailment(worker=worker, name=f"lie-{mode}", seconds=seconds)

    def do_slow(self, worker: str, times: str, seconds: str) -> None:
        """Workers take `times` as long for each request."""
        self._set_ailment(worker=worker, name="slowed", seconds=seconds, times=times)

    def do_forget(self, worker: str, after: str, seconds: str) -> None:
        """For some seconds, workers drop connections that were idle for longer than `after` s."""
        for target in self._workers(worker):
            target.drops_idle_until, target.idle_limit = self._world.clock.now + float(seconds), float(after)

    def do_restart(self, worker: str, seconds: str, *options: str) -> None:
        """Crash workers without notice and restart them at their addresses after some seconds.

        `silent`: in between their addresses don't answer at all.
        """
        for target in self._workers(worker):
            self._world.restart(worker=target, seconds=float(seconds), is_silent="silent" in options)

    def do_flap(self, worker: str, period: str, times: str) -> None:
        """Crash and restart workers `times` times."""
        downtime = float(period) / 2
        for turn in range(int(times)):
            self._world.clock.after(turn * float(period), lambda: self.do_restart(worker, str(downtime)))

    def do_cold_return(self, zone: str, seconds: str, *options: str) -> None:
        """Crash all workers of a zone and restart them together after some seconds, in slow start."""
        for worker in list(self._world.workers.values()):
            if zone in worker.node.names and worker.is_up:
                self._world.restart(worker=worker, seconds=float(seconds), is_silent="silent" in options)

    def do_spot(self, worker: str, notice: str) -> None:
        """Drain workers, which end after a notice of `notice` s; others replace them 4 s later."""
        world = self._world
        for target in self._workers(worker):
            world.drain(worker=target, notice=float(notice))
            world.clock.after(
                float(notice) + 4.0,
                lambda target=target: world.add_worker(service=target.service, zone=target.node.zone),
            )

    def _set_ailment(
        self, *, worker: str, name: str, seconds: str, share: str = "1", zone: str = "", times: str = "1"
    ) -> None:
        until = self._world.clock.now + float(seconds)
        fault = WorkerFault(until=until, share=float(share), zone=zone, slowdown=float(times))
        for target in self._workers(worker):
            target.ailments.begin(name=name, fault=fault)

    def _workers(self, word: str) -> list[Worker]:
        return choose_workers(world=self._world, word=word)
