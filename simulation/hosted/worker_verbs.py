"""Steps of scenarios on workers: crashes, leaving, replacement, reuse of addresses, and what may be wrong with one."""

from __future__ import annotations

from typing import TYPE_CHECKING

from simulation.hosted.choosing import choose_workers
from simulation.hosted.worker_faults import EXTRA, GARBLE, GREY_FAILURES, LOSE, LYING_HEALTH, WorkerFault

if TYPE_CHECKING:
    from simulation.hosted.workers import Worker
    from simulation.hosted.world import World


class WorkerVerbs:
    """Workers. A WORKER is SERVICE@ZONE (its first there), SERVICE@all, or SERVICE@ZONE#2 (the second)."""

    def __init__(self, *, world: World) -> None:
        self._world = world

    def do_crash(self, worker: str, *how: str) -> None:
        """Workers end without a word; `silent` leaves their addresses without an answer."""
        for one in self._workers(worker):
            self._world.crash(worker=one, is_silent="silent" in how)

    def do_drain(self, worker: str) -> None:
        """Workers announce that they leave."""
        for one in self._workers(worker):
            self._world.drain(worker=one)

    def do_release(self, service: str, pause: str) -> None:
        """The workers of a service are replaced one after the other: a new one first, then the old one drains."""
        world = self._world
        for at, old in enumerate(self._workers(f"{service}@all")):
            world.clock.after(at * float(pause), lambda old=old: world.add_worker(service=service, zone=old.spot.zone))
            world.clock.after(at * float(pause) + 0.5, lambda old=old: world.drain(worker=old))

    def do_reuse(self, worker: str, service: str) -> None:
        """A worker leaves, and its address goes to a worker of another service."""
        world = self._world
        for old in self._workers(worker):

            def come(old: Worker = old) -> None:
                world.clock.after(
                    world.deployment.bounds["addr_reuse_s"],
                    lambda: world.add_worker(service=service, zone=old.spot.zone, address=old.address),
                )

            world.drain(worker=old, then=come)

    def do_reuse_crashed(self, worker: str, service: str, *how: str) -> None:
        """A worker crashes or falls `silent`; its address goes to another service while the list still names it."""
        world = self._world
        for old in self._workers(worker):
            world.crash(worker=old, is_silent="silent" in how)
            world.clock.after(
                world.deployment.bounds["addr_reuse_s"],
                lambda old=old: world.add_worker(service=service, zone=old.spot.zone, address=old.address),
            )

    def do_add(self, service: str, zone: str) -> None:
        """A cold worker comes."""
        self._world.add_worker(service=service, zone=zone)

    def do_chill(self, where: str) -> None:
        """Workers (SERVICE@ZONE, or all of a ZONE) go cold."""
        chosen = (
            self._workers(where)
            if "@" in where
            else [worker for worker in self._world.workers.values() if where in worker.spot.names and worker.is_up]
        )
        for one in chosen:
            self._world.begin_slow_start(worker=one)

    def do_lose(self, worker: str, seconds: str, share: str = "1") -> None:
        """Workers run requests and the answers of a share of them are lost."""
        self._ail(worker=worker, name=LOSE, seconds=seconds, share=share)

    def do_garble(self, worker: str, seconds: str, share: str = "1") -> None:
        """Workers hand out wrong bytes, to a share of the requests."""
        self._ail(worker=worker, name=GARBLE, seconds=seconds, share=share)

    def do_repeat(self, worker: str, seconds: str, share: str = "0.5") -> None:
        """Workers send further answers behind a share of whole ones, which come where the next answer is due."""
        self._ail(worker=worker, name=EXTRA, seconds=seconds, share=share)

    def do_grey(self, worker: str, way: str, seconds: str, share: str = "0.4", zone: str = "") -> None:
        """A share of the requests fails, maybe of callers in one zone: `errors` or another way of GREY_FAILURES."""
        if way not in GREY_FAILURES:
            raise ValueError(f"grey: no way {way!r}")
        self._ail(worker=worker, name=way, seconds=seconds, share=share, zone=zone)

    def do_lie(self, worker: str, way: str, seconds: str) -> None:
        """Health says well and all fails (`errors`, `hang`, `reset`), or ill and nothing is wrong (`bad`)."""
        if f"lie-{way}" not in LYING_HEALTH:
            raise ValueError(f"lie: no way {way!r}")
        self._ail(worker=worker, name=f"lie-{way}", seconds=seconds)

    def do_slow(self, worker: str, times: str, seconds: str) -> None:
        """Workers take so many times as long."""
        self._ail(worker=worker, name="slowed", seconds=seconds, times=times)

    def do_forget(self, worker: str, after: str, seconds: str) -> None:
        """Workers forget connections that rested for so many s."""
        for one in self._workers(worker):
            one.forgets, one.forgets_after = self._world.clock.now + float(seconds), float(after)

    def do_restart(self, worker: str, seconds: str, *how: str) -> None:
        """Workers end without a word, and come back at their addresses after so many s; `silent` in between."""
        for one in self._workers(worker):
            self._world.restart(worker=one, seconds=float(seconds), is_silent="silent" in how)

    def do_flap(self, worker: str, period: str, times: str) -> None:
        """Workers go down and up again so many times."""
        half = float(period) / 2
        for turn in range(int(times)):
            self._world.clock.after(turn * float(period), lambda: self.do_restart(worker, str(half)))

    def do_cold_return(self, zone: str, seconds: str, *how: str) -> None:
        """All workers of a zone are down for so long and come back together, cold."""
        for worker in list(self._world.workers.values()):
            if zone in worker.spot.names and worker.is_up:
                self._world.restart(worker=worker, seconds=float(seconds), is_silent="silent" in how)

    def do_spot(self, worker: str, notice: str) -> None:
        """Workers announce that they leave and are gone after a short notice; others come 4 s later."""
        world = self._world
        for one in self._workers(worker):
            world.drain(worker=one, notice=float(notice))
            world.clock.after(
                float(notice) + 4.0, lambda one=one: world.add_worker(service=one.service, zone=one.spot.zone)
            )

    def _ail(self, *, worker: str, name: str, seconds: str, share: str = "1", zone: str = "", times: str = "1") -> None:
        until = self._world.clock.now + float(seconds)
        fault = WorkerFault(until=until, share=float(share), zone=zone, slowdown=float(times))
        for one in self._workers(worker):
            one.ailments.begin(name=name, fault=fault)

    def _workers(self, word: str) -> list[Worker]:
        return choose_workers(world=self._world, word=word)
