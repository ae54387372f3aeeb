"""Which machines were in touch when, by the users' definition, from the troubles and cuts of the day."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from simulation.hosted.world import World


STEP = 0.1
"""s between two looks at whether the core is settled."""


class Touch:
    """Answers for any moment.

    Where the definition needs more than is written down, it says no: rules then bind less.
    """

    def __init__(self, *, world: World) -> None:
        self._world = world
        self._contact = world.deployment.bounds["contact_s"]
        self._core = [machine for machine in world.machines.values() if "controller" in machine.processes]

    def finished(self, *, t: float) -> bool:
        """Has no core machine been in trouble for `contact_s`?"""
        if any(row["core"] and row["t"] <= t and t - self._contact <= row["until"] for row in self._world.troubles):
            return False
        return not any(
            self._edge_near(moment=moment, t=t) and self._is_core_cut(cut=cut)
            for cut in self._world.network.cuts
            for moment in (cut.begin, cut.end)
        )

    def is_acked_late(self, *, begun: float, ended: float, patience: float) -> bool:
        """Was there a stretch of so many s between these in which the core was settled and no link was in trouble?"""
        if ended - begun <= patience:
            return False
        since, t = None, begun
        while t < ended:
            is_well = self.finished(t=t) and not self._is_any_link_troubled(t=t)
            since = (t if since is None else since) if is_well else None
            if since is not None and t - since >= patience:
                return True
            t += STEP
        return False

    def _is_any_link_troubled(self, *, t: float) -> bool:
        if any(cut.begin <= t <= cut.end for cut in self._world.network.cuts):
            return True
        return any("operator" in row["names"] and row["t"] <= t <= row["until"] for row in self._world.troubles)

    def holds(self, *, machine: str, t: float) -> bool:
        """Was the machine in touch at this moment?"""
        if not machine or not self.finished(t=t):
            return False
        node = self._world.machines[machine].node
        if any(
            node.names & row["names"] and row["t"] <= t and t - self._contact <= row["until"]
            for row in self._world.troubles
        ):
            return False
        for cut in self._world.network.cuts:
            if (
                cut.begin <= t
                and t - self._contact <= cut.end
                and any(cut.separates(a=node, b=one.node) for one in self._majority(cut=cut))
            ):
                return False
        return True

    def is_calm(self, *, names: frozenset, begin: float, end: float) -> bool:
        """Was there no unplanned trouble, of these or at all on links, in this span?"""
        if any(cut.begin <= end and begin <= cut.end for cut in self._world.network.cuts):
            return False
        return not any(
            not row["planned"] and row["names"] & names and row["t"] <= end and begin <= row["until"]
            for row in self._world.troubles
        )

    def _edge_near(self, *, moment: float, t: float) -> bool:
        return moment <= t and t - self._contact <= moment

    def _is_core_cut(self, *, cut) -> bool:
        return any(cut.separates(a=a.node, b=b.node) for a in self._core for b in self._core)

    def _majority(self, *, cut) -> list:
        """The core machines that reach over half of the core in spite of this cut."""
        return [
            one
            for one in self._core
            if 2 * sum(other is one or not cut.separates(a=one.node, b=other.node) for other in self._core)
            > len(self._core)
        ]
