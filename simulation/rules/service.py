"""Rules on service: tolerable losses have no effect, recovery from a major loss is quick, tenants are isolated."""

from __future__ import annotations

import collections

from simulation.history import History
from simulation.rules import Violation

RECOVERY_LIMIT = 15.0
"""s from the return of the machines until service must have recovered."""
OBSERVED_SPAN = 8.0
"""s of traffic judged, from the end of RECOVERY_LIMIT or from a loss that must be tolerated."""
MIN_GOOD_AFTER_RECOVERY = 0.90
"""Share of first attempts: workers are still in slow start, and the callers' backlog is being served."""
MIN_GOOD_WITHOUT_CONTROLLER = 0.97
"""Share of first attempts after the loss of a controller: only claims in flight wait for one more round."""
MIN_GOOD_WITHOUT_ZONE = 0.90
"""Share of first attempts after the loss of a zone.

A quarter of the proxies and workers is gone, and requests in flight there are lost.
"""
MIN_ATTEMPTS = 40
"""First attempts below which a share is not judged."""
FLOOD_RATIO = 4.0
"""Multiple of another tenant's load from which a tenant counts as flooding."""


def check_recovery(*, history: History, daemons: list):
    """Service has not recovered 15 s after the machines returned from a major loss."""
    faults = [row["t"] for row in history.of(k="trouble")]
    for returned_at in _find_returns(history=history, daemons=daemons):
        low = returned_at + RECOVERY_LIMIT
        high = min([low + OBSERVED_SPAN, *[t for t in faults if t > returned_at + 0.6]])
        good, total, reasons = _count_first_attempts(history=history, low=low, high=high)
        if total >= MIN_ATTEMPTS and good < MIN_GOOD_AFTER_RECOVERY * total:
            yield Violation(
                rule="slow-recovery",
                t=low,
                detail=f"{good} of {total} first tries good from {RECOVERY_LIMIT} s after the return on: {reasons}",
            )


def _find_returns(*, history: History, daemons: list) -> list[float]:
    """When the machines of each major loss were back.

    A major loss is two controllers or half of the proxies; a healed cut and a group founded anew count as returns too.
    """
    kinds = {name: kind for kind, name, _ in daemons}
    controllers = {name for name, kind in kinds.items() if kind == "controller"}
    proxies = {name for name, kind in kinds.items() if kind == "proxy"}
    down: set = set()
    returns, is_major_loss = [], False
    wipes = [row for row in history.of(k="trouble") if row["verb"] == "wipe"]
    changes = sorted([*history.of(k="daemon-down"), *history.of(k="daemon-up")], key=lambda row: row["t"])
    for row in changes:
        name = row.get("name", row["daemon"])
        if name not in kinds:
            continue
        (down.add if row["k"] == "daemon-down" else down.discard)(name)
        is_major_loss = is_major_loss or len(down & controllers) >= 2 or 2 * len(down & proxies) >= len(proxies)
        if is_major_loss and len(down & controllers) <= 1 and not down & proxies:
            is_major_loss = False
            # after the permanent loss of a majority of disks, recovery is judged from the operators' order instead
            if sum(row["t"] - 60 < wipe["t"] <= row["t"] for wipe in wipes) < 2:
                returns.append(row["t"])
    returns += [row["t"] for row in history.of(k="trouble") if row["verb"] == "heal"]
    returns += [row["t"] for row in history.of(k="founded-anew")]
    return returns


def check_tolerated_losses(*, history: History, daemons: list, zones: dict):
    """The loss of one controller or one zone, without any other fault, is not tolerated."""
    faults = history.of(k="trouble")
    downs = history.of(k="daemon-down")
    for row in faults:
        before = max((other["t"] for other in faults if other["t"] < row["t"] - 0.05), default=0.0)
        if row["verb"] not in ("kill", "power-off") or row["t"] - before < 20.0:
            continue
        lost = {down["daemon"] for down in downs if abs(down["t"] - row["t"]) < 0.05}
        kinds = {kind for kind, name, _ in daemons if name in lost}
        lost_zones = {zone for _, name, zone in daemons if name in lost}
        high = min([row["t"] + OBSERVED_SPAN, *[other["t"] for other in faults if other["t"] > row["t"] + 0.6]])
        if len(lost_zones) != 1 or not lost:
            continue
        is_whole_zone = {name for _, name, zone in daemons if zone in lost_zones} <= lost
        min_good = (
            MIN_GOOD_WITHOUT_ZONE
            if is_whole_zone
            else MIN_GOOD_WITHOUT_CONTROLLER
            if kinds == {"controller"} and len(lost) == 1
            else 0.0
        )
        good, total, reasons = _count_first_attempts(history=history, low=row["t"], high=high)
        if total >= MIN_ATTEMPTS and good < min_good * total:
            yield Violation(
                rule="not-borne",
                t=row["t"],
                detail=f"{good} of {total} first tries good from the loss of {sorted(lost)} on: {reasons}",
            )


def _count_first_attempts(*, history: History, low: float, high: float) -> tuple[int, int, dict]:
    """(good, total, reasons of failures) of the first attempts sent in the span by tenants that can be placed."""
    begun = {(row["nonce"], row["turn"]): row["t"] for row in history.of(k="sent") if row["turn"] == 1}
    excluded = _tenants_without_place(history=history, low=low, high=high)
    rows = [
        row
        for row in history.of(k="got")
        if row["turn"] == 1
        and low <= begun.get((row["nonce"], 1), -1.0) < high
        and row["tenant"] not in excluded
        and row.get("stream", "n") == "n"
    ]
    failed = [row for row in rows if row["verdict"] != "good"]
    reasons = collections.Counter(f"{row['code']}-{row['reason']}" for row in failed)
    return len(rows) - len(failed), len(rows), dict(reasons.most_common(6))


def _tenants_without_place(*, history: History, low: float, high: float) -> set:
    """Tenants with home regions while an order keeps a zone empty: no zone may be left for them."""
    orders = [row["t"] for row in history.of(k="emptied") if row["t"] < high]
    ends = [row["t"] for row in history.of(k="refilled") if row["t"] < low]
    homes = (history.of(k="homes") or [{"homes": {}}])[-1]["homes"]
    return set(homes) if len(orders) > len(ends) else set()


def check_fairness(*, history: History):
    """A tenant gets a worse service than another tenant that floods."""
    windows: dict = collections.defaultdict(lambda: collections.defaultdict(lambda: [0, 0]))
    for row in history.of(k="got"):
        if row["turn"] == 1:
            count = windows[(row["path"], int(row["t"] // 5))][row["tenant"]]
            count[0] += row["verdict"] == "good"
            count[1] += 1
    homes = (history.of(k="homes") or [{"homes": {}}])[-1]["homes"]
    faults = {
        int(row["t"] // 5) + more
        for row in history.of(k="trouble")
        for more in (0, 1, 2)
        if row["verb"] not in ("flood", "flood-key", "service-time", "storm")
    }
    regions = {(row["tenant"], row["path"]): row["region"] for row in history.of(k="sent")}
    for (path, window), tenants in windows.items():
        for rival, (good, total) in tenants.items():
            for other, (other_good, other_total) in tenants.items():
                # a regional loss affects tenants bound to the region and callers within it
                has_same_regions = homes.get(rival) == homes.get(other) and regions.get((rival, path)) == regions.get(
                    (other, path)
                )
                if (
                    total < MIN_ATTEMPTS
                    or other_total < FLOOD_RATIO * total
                    or (window in faults and not has_same_regions)
                ):
                    continue
                share, other_share = good / total, other_good / other_total
                # three standard deviations
                if share < other_share - 0.02 - 3 * (max(other_share * (1 - other_share), 0.01) / total) ** 0.5:
                    yield Violation(
                        rule="unfair",
                        t=window * 5.0,
                        detail=f"{path}: {rival} {share:.2f} of {total} good, "
                        f"{other}, who floods, {other_share:.2f} of {other_total}",
                    )
