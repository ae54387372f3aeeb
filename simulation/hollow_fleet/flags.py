"""Reads and checks the flags of the hollow fleet; error messages say which values are possible."""

from __future__ import annotations

import json
import os
from dataclasses import dataclass
from pathlib import Path

from sailward import constants
from simulation.hollow_fleet.deployment import PAGE_SIZE, Size, make_document
from simulation.hollow_fleet.parts import PARTS

SIZE_LIMITS = {
    "daemons": (1, 20000),
    "workers": (0, 100000),
    "services": (1, 5000),
    "divided": (0, 100),
    "routes": (1, 100000),
    "zones": (1, 250),
    "regions": (1, 100),
}
"""{size: (lowest, highest)} of the sizes that can be swept."""
MEMORY_BYTES = {"base": 120e3, "worker": 1100.0, "daemon": 700.0, "route": 4500.0}
"""Bytes of memory of each hollow proxy: its base, and for each worker, daemon and route."""
MAX_REAL_PROCESSES = 60
"""Real processes that may run concurrently."""


@dataclass(frozen=True, kw_only=True)
class BadInput:
    """Why a run is not possible, and which values are."""

    reason: str


def read_sizes(*, flags: dict) -> dict | BadInput:
    """{name: [sizes]} of all flags that can be swept."""
    sizes = {}
    for name, (lowest, highest) in SIZE_LIMITS.items():
        try:
            sizes[name] = [int(part) for part in flags[f"--{name}"].split(",")]
        except ValueError:
            return BadInput(reason=f"--{name} {flags[f'--{name}']}: give whole numbers, as in 100,300,1000")
        if not all(lowest <= size <= highest for size in sizes[name]):
            return BadInput(reason=f"--{name} {flags[f'--{name}']}: each must be from {lowest} to {highest}")
    return sizes


def read_number(*, flags: dict, name: str, lowest: float, highest: float) -> float | BadInput:
    """Read one numeric flag."""
    try:
        number = float(flags[f"--{name}"])
    except ValueError:
        return BadInput(reason=f"--{name} {flags[f'--{name}']}: give a number")
    return (
        number
        if lowest <= number <= highest
        else BadInput(reason=f"--{name} {number:g}: must be from {lowest:g} to {highest:g}")
    )


def list_sizes(*, sizes: dict, controllers: int, list_rate: float) -> list[tuple[str, Size]]:
    """The sizes to run: the base, and each further value of the swept sizes."""
    base = {name: values[0] for name, values in sizes.items()}
    runs = [("base", base)] + [(name, {**base, name: value}) for name, values in sizes.items() for value in values[1:]]
    return [(name, Size(controllers=controllers, list_rate=list_rate, **run_sizes)) for name, run_sizes in runs]


def check_size(*, size: Size, memory: float, is_fleet: bool = True) -> BadInput | None:
    """Why this size can't be run, or None; a fleet is also limited by the platform's list and by memory."""
    if size.regions > size.zones:
        return BadInput(reason=f"{size.regions} regions in {size.zones} zones: at most as many regions as zones")
    if size.divided > size.services:
        return BadInput(reason=f"{size.divided} divided services of {size.services}: at most all of them")
    if size.core > 250 * 250:
        return BadInput(reason=f"{size.core} controllers: at most {250 * 250}")
    length = _document_bytes(size=size)
    if length > constants.MAX_CONFIG_BYTES:
        fits = int(size.routes * constants.MAX_CONFIG_BYTES / length * 0.98)
        return BadInput(
            reason=f"{size.routes} routes and {size.services} services make {length} bytes; the product takes "
            f"{constants.MAX_CONFIG_BYTES}: about {fits} routes fit"
        )
    if not is_fleet:
        return None
    if size.workers > PAGE_SIZE * constants.ENDPOINT_LIST_MAX_PAGES:
        return BadInput(
            reason=f"{size.workers} workers make more than the {constants.ENDPOINT_LIST_MAX_PAGES} pages of "
            f"{PAGE_SIZE} that the product reads: {PAGE_SIZE * constants.ENDPOINT_LIST_MAX_PAGES} fit"
        )
    per_daemon = MEMORY_BYTES["base"] + MEMORY_BYTES["worker"] * size.workers + MEMORY_BYTES["route"] * size.routes
    needed = size.daemons * (per_daemon + MEMORY_BYTES["daemon"] * size.daemons)
    if needed > memory:
        fits = size.daemons
        while fits > 1 and fits * (per_daemon + MEMORY_BYTES["daemon"] * fits) > memory:
            fits = int(fits * 0.95)
        return BadInput(
            reason=f"{size.daemons} daemons need about {needed / 1e9:.1f} GB, "
            f"and half of the memory is {memory / 1e9:.1f} GB: about {fits} daemons fit"
        )
    return None


def _document_bytes(*, size: Size) -> int:
    return len(json.dumps(make_document(size=size, version=1), separators=(",", ":")))


def half_of_memory() -> float:
    """Half of the machine's memory in bytes."""
    return os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES") / 2


def check_output(*, flags: dict) -> BadInput | None:
    """Why the results can't be written to the given paths, or None."""
    for name in ("--out", "--plot"):
        if not flags[name]:
            continue
        folder = Path(flags[name]).parent if name == "--out" else Path(flags[name])
        is_folder = name == "--out" and Path(flags[name]).is_dir()
        is_write_protected = Path(flags[name]).exists() and not os.access(flags[name], os.W_OK)
        if is_folder or is_write_protected or not folder.is_dir() or not os.access(folder, os.W_OK):
            wanted = "file" if name == "--out" else "folder"
            return BadInput(
                reason=f"{name} {flags[name]}: can't be written; "
                f"give a {wanted} in a folder that exists and may be written"
            )
    return None


def choose_parts(*, flags: dict) -> dict | BadInput:
    """{part: sizes} of the requested parts."""
    names = list(PARTS) if flags["--parts"] == "all" else flags["--parts"].split(",")
    unknown = [name for name in names if name not in PARTS]
    if unknown:
        return BadInput(reason=f"--parts {flags['--parts']}: no part {unknown[0]!r}; there are {', '.join(PARTS)}")
    largest = read_number(flags=flags, name="largest", lowest=1, highest=1e9)
    if isinstance(largest, BadInput):
        return largest
    chosen = {name: tuple(size for size in PARTS[name][1] if size <= largest) for name in names}
    without_sizes = [name for name, sizes in chosen.items() if not sizes]
    return (
        BadInput(
            reason=f"--largest {largest:g}: the least size of {without_sizes[0]} is {PARTS[without_sizes[0]][1][0]}"
        )
        if without_sizes
        else chosen
    )
