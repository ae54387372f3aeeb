"""Random deployments.

Sizes, zones, fault budgets and bounds are drawn by seed, within what the users describe.
"""

from __future__ import annotations

import dataclasses
import random

from simulation.hosted.deployment import BOUNDS, Deployment, make_small

REGIONS = ("gdl", "ens", "mex")
CORE_LAYOUTS = {3: (3, 1, 0), 4: (4, 1, 0), 5: (3, 1, 2), 6: (3, 2, 0), 7: (4, 1, 3), 8: (4, 2, 0)}
"""{machines that hold state: (zones, such machines in each zone, zones with one more)}."""
UNSHARDED_SHARE = 0.5
"""Share of the deployments without a sharded service."""


def draw_deployment(*, seed: int) -> Deployment:
    """Draw 3 to 8 machines that hold state, in 3 to 5 zones of 1 to 3 regions; 1 or 2 may be lost at once."""
    rng = random.Random(f"{seed}/deployment")
    zone_count, disks, extra = CORE_LAYOUTS[rng.choice(sorted(CORE_LAYOUTS))]
    core_machines = zone_count * disks + extra
    regions = REGIONS[: rng.randrange(2, 4)] if zone_count > 3 or rng.random() < 0.7 else REGIONS[:1]
    zones = {f"{regions[index % len(regions)]}-z{index}": regions[index % len(regions)] for index in range(zone_count)}
    bounds = {
        **BOUNDS,
        "contact_s": rng.choice((4, 5)),
        "catch_up_s": rng.choice((4, 5)),
        "drain_s": rng.choice((2.5, 3)),
        "grace_s": rng.choice((5, 6, 7)),
        "seed_lag_s": rng.choice((2, 3)),
        "evacuate_s": rng.choice((5, 6)),
    }
    deployment = make_small(home=zones[next(iter(zones))])
    if rng.random() < UNSHARDED_SHARE:
        deployment = dataclasses.replace(
            deployment,
            services=tuple(dataclasses.replace(service, is_sharded=False) for service in deployment.services),
        )
    return dataclasses.replace(
        deployment,
        zones=zones,
        bounds=bounds,
        disks_per_zone=disks,
        zones_with_extra_disk=tuple(list(zones)[:extra]),
        plain_per_zone=rng.choice((1, 1, 2)),
        max_lost_machines=2 if core_machines >= 5 and rng.random() < 0.5 else 1,
        list_lag=rng.choice((0.5, 0.8, 1.0)),
    )
