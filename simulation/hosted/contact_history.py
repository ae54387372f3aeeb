"""When machines were in contact by the contract's definition, derived from the faults and partitions of a run."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from simulation.hosted.world import World


STEP_S = 0.1
"""s between two checks whether the core is settled."""


class ContactHistory:
    """Answers for any moment whether machines were in contact.

    Where the definition needs facts that the history does not hold, the answer is no, so that fewer rules apply.
    """

    def __init__(self, *, world: World) -> None:
        self._world = world
        self._contact_window = world.deployment.bounds["contact_s"]
        self._core = [machine for machine in world.machines.values() if "controller" in machine.processes]

    def is_core_settled(self, *, t: float) -> bool:
        """Whether no core machine has been disturbed for `contact_s`."""
        if any(
            row["core"] and row["t"] <= t and t - self._contact_window <= row["until"] for row in self._world.troubles
        ):
            return False
        return not any(
            self._is_within_contact_window(at=at, t=t) and self._is_core_cut(cut=cut)
            for cut in self._world.network.cuts
            for at in (cut.begin, cut.end)
        )

    def is_acknowledged_late(self, *, begun: float, ended: float, limit: float) -> bool:
        """Whether the core was settled and all links undisturbed for `limit` s without a break in this span."""
        if ended - begun <= limit:
            return False
        settled_since, t = None, begun
        while t < ended:
            is_settled = self.is_core_settled(t=t) and not self._is_any_link_disturbed(t=t)
            settled_since = (t if settled_since is None else settled_since) if is_settled else None
            if settled_since is not None and t - settled_since >= limit:
                return True
            t += STEP_S
        return False

    def _is_any_link_disturbed(self, *, t: float) -> bool:
        if any(cut.begin <= t <= cut.end for cut in self._world.network.cuts):
            return True
        return any("operator" in row["names"] and row["t"] <= t <= row["until"] for row in self._world.troubles)

    def is_in_contact(self, *, machine: str, t: float) -> bool:
        """Whether the machine was in contact at this moment."""
        if not machine or not self.is_core_settled(t=t):
            return False
        node = self._world.machines[machine].node
        if any(
            node.names & row["names"] and row["t"] <= t and t - self._contact_window <= row["until"]
            for row in self._world.troubles
        ):
            return False
        for cut in self._world.network.cuts:
            if (
                cut.begin <= t
                and t - self._contact_window <= cut.end
                and any(cut.separates(a=node, b=member.node) for member in self._majority_side(cut=cut))
            ):
                return False
        return True

    def is_undisturbed(self, *, names: frozenset, begin: float, end: float) -> bool:
        """Whether there was no partition at all and no unplanned fault of these machines in this span."""
        if any(cut.begin <= end and begin <= cut.end for cut in self._world.network.cuts):
            return False
        return not any(
            not row["planned"] and row["names"] & names and row["t"] <= end and begin <= row["until"]
            for row in self._world.troubles
        )

    def _is_within_contact_window(self, *, at: float, t: float) -> bool:
        return at <= t and t - self._contact_window <= at

    def _is_core_cut(self, *, cut) -> bool:
        return any(cut.separates(a=a.node, b=b.node) for a in self._core for b in self._core)

    def _majority_side(self, *, cut) -> list:
        """The core machines that still reach more than half of the core during this partition."""
        return [
            member
            for member in self._core
            if 2 * sum(other is member or not cut.separates(a=member.node, b=other.node) for other in self._core)
            > len(self._core)
        ]
