"""Options of a controller; the defaults are those of the product without a platform adapter."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from sailward import constants
from sailward.control.grant_codec import GrantCodec

if TYPE_CHECKING:
    from sailward.config.dialect import Dialect
    from sailward.control.bootstrap import Bootstrap
    from sailward.discovery.endpoint_pages import ListReader


@dataclass(frozen=True, kw_only=True)
class ControllerOptions:
    """The options that a deployment may change.

    `dialect`: the format of the operators' API; None for the product's own JSON. `expand`: converts a written
    configuration to its full form, for a dialect that keeps no full form in the register. `reader`: parses the
    platform's list of workers; None for the product's own format. `bootstrap`: None if an operator founds the quorum
    group. `list_rate`: calls/s to the list that the platform allows from all daemons together, 0 if no bound is known.
    `zones`: every zone in the settings, with its region. `grants`: the format of grants to workers, None where no
    service is sharded by key range. `publishes_proxy_list`: proxies are sent the list of all proxies, for the
    directory. `is_mesh`: controllers exchange heartbeats instead of whole peer tables, where proxies don't gossip.
    `has_disk`: without a disk a controller serves proxies and operators, and votes only if it is a founder, until a
    controller with a disk replaces it. All others are times in s.
    """

    dialect: Dialect | None = None
    expand: Callable[[dict], dict] | None = None
    reader: ListReader | None = None
    bootstrap: Bootstrap | None = None
    zones: tuple[tuple[str, str], ...] = ()
    list_rate: float = 0.0
    replace_after: float = field(default_factory=lambda: constants.VOTER_REPLACEMENT_DELAY)
    repair_interval: float = field(default_factory=lambda: constants.REPAIR_INTERVAL)
    copy_retry_interval: float = field(default_factory=lambda: constants.COPY_RETRY_INTERVAL)
    gossip_interval: float = field(default_factory=lambda: constants.GOSSIP_INTERVAL)
    suspect_after: float = field(default_factory=lambda: constants.HEARTBEAT_TIMEOUT)
    read_interval: float = field(default_factory=lambda: constants.REGISTER_READ_INTERVAL)
    operation_timeout: float = field(default_factory=lambda: constants.OPERATION_TIMEOUT)
    grants: GrantCodec | None = None
    lease_max: float = field(default_factory=lambda: constants.GRANT_DURATION)
    publishes_proxy_list: bool = False
    is_mesh: bool = False
    has_disk: bool = True
