"""Run a hollow fleet.

It runs the product's state machines of many daemons in one process, on virtual time, over a simulated network that
counts messages and bytes.

Usage:
  hollow [options]

Each LIST is one number or several, as in 100,300,1000. The first number is the base value; if there are several, that
size is swept while the others keep their base value.

Options:
  --daemons LIST    Proxies [default: 100].
  --workers LIST    Workers behind them [default: 200].
  --services LIST   Services of the workers [default: 10].
  --divided LIST    Services among them that are sharded [default: 1].
  --routes LIST     Routes of the configuration [default: 40].
  --zones LIST      Zones [default: 8].
  --regions LIST    Regions [default: 4].
  --controllers N   Controllers; 0 for one in each zone [default: 0].
  --list-rate N     Calls/s that the platform's list can serve [default: 37].
  --changes N       Changes of the configuration [default: 3].
  --failures N      Proxies that are killed, one after the other [default: 3].
  --zone-down S     s that a zone is down; 0 for not at all [default: 4].
  --cut S           s that a region is partitioned; 0 for not at all [default: 0].
  --seconds S       s of the steady state [default: 10].
  --spread S        s over which the proxies start [default: 2].
  --parts LIST      Measure single daemons instead, at sizes up to the one expected in two years: all, or names of
                    parts.
  --real            Also run the base size with real processes on loopback, and compare the figures.
  --added           Measure the latency that a proxy adds instead, with the given workers, services and routes.
  --requests N      Requests of each kind for --added [default: 3000].
  --rate N          Requests/s with random arrivals for --added [default: 267].
  --largest N       Skip sizes of the parts above this [default: 1000000].
  --seed N          Seed [default: 1].
  --note TEXT       Text to keep with the results, for instance the commit that was measured.
  --plot DIR        Write plots of the swept sizes into this folder.
  --out FILE        Write all figures as JSON.
"""

from __future__ import annotations

import json
import platform
import sys
import time
from pathlib import Path

from docopt import docopt

from simulation.hollow_fleet.added import measure_added
from simulation.hollow_fleet.deployment import Size
from simulation.hollow_fleet.fit import fit_line, fit_power, plot_points
from simulation.hollow_fleet.flags import (
    MAX_REAL_PROCESSES,
    BadInput,
    check_output,
    check_size,
    choose_parts,
    half_of_memory,
    list_sizes,
    read_number,
    read_sizes,
)
from simulation.hollow_fleet.fleet import HollowFleet, Plan
from simulation.hollow_fleet.parts import PARTS, measure_part
from simulation.hollow_fleet.real import measure_real

SATURATING_CALLERS = 16
"""Concurrent callers that saturate a proxy."""
EXIT_USAGE = 2


def fitted_figures(*, result: dict) -> dict[str, float]:
    """The figures of a fleet to which lines are fitted."""
    quiet = result["quiet"]["roles"]
    rows = {
        f"{role} {what}": quiet[role][part][0]
        for role in quiet
        for what, part in (("core share", "cpu"), ("bytes/s out", "out"), ("bytes/s in", "in"))
    }
    rows["bytes/s between regions"] = result["quiet"]["links"]["regions"][1]
    rows["memory each"] = result["rss_bytes_each"]
    rows["ready s"] = result["rise"]["ready_s"]
    durations = [seconds for seconds in result["changes"].get("in_force_s", []) if seconds is not None]
    if durations:
        rows["in force s"] = max(durations)
    detection = [seconds for seconds in result["failures"].get("known_s", []) if seconds is not None]
    if detection:
        rows["dead known s"] = max(detection)
    if result["zone"]:
        rows["zone back s"] = result["zone"]["ready_s"]
        rows["bytes/s of its return"] = sum(row[1] for row in result["zone"]["return"]["links"].values())
    return rows


def fit_figures(*, points: dict) -> dict:
    """{figure: line and exponent} for all figures with enough points."""
    fits = {}
    for name, rows in points.items():
        line, power = fit_line(points=rows), fit_power(points=rows)
        if line is not None:
            fits[name] = {
                "base": line.base,
                "slope": line.slope,
                "error": line.error,
                "fit": round(line.fit, 4),
                "points": line.count,
                "exponent": round(power.slope, 2) if power else None,
            }
    return fits


def show_table(*, title: str, points: dict) -> None:
    """Print the points and the fitted lines."""
    print(f"\n{title}")
    fits = fit_figures(points=points)
    for name, rows in points.items():
        shown = " ".join(f"{row[0]}:{row[1]:.5g}" for row in rows)
        fit = fits.get(name)
        line = (
            (
                f"  = {fit['base']:.4g} + {fit['slope']:.4g} x (+-{fit['error']:.2g}), R2 {fit['fit']}, "
                f"exponent {fit['exponent']}"
            )
            if fit
            else ""
        )
        print(f"  {name:28} {shown}{line}")


def exit_with_error(*, problem: BadInput) -> None:
    """Print why nothing was run, and exit."""
    print(f"hollow: {problem.reason}", file=sys.stderr)
    sys.exit(EXIT_USAGE)


def report_progress(text: str) -> None:
    """Print a progress line."""
    print(f"{time.strftime('%H:%M:%S')} {text}", file=sys.stderr, flush=True)


def describe_command(*, arguments: list[str]) -> str:
    """The command without the output paths, which are specific to a machine."""
    path_flags = ("--out", "--plot")
    kept = [
        argument
        for at, argument in enumerate(arguments)
        if argument not in path_flags and (at == 0 or arguments[at - 1] not in path_flags)
    ]
    return " ".join(["hollow", *(argument for argument in kept if not argument.startswith(("--out=", "--plot=")))])


def run_parts(*, chosen: dict, flags: dict) -> dict:
    """Measure the parts."""
    results = {}
    for name, sizes in chosen.items():
        points = measure_part(name=name, sizes=sizes, report_progress=report_progress)
        results[name] = {"x": PARTS[name][0], "points": points, "fits": fit_figures(points=points)}
        show_table(title=f"{name}, by {PARTS[name][0]}", points=points)
        if flags["--plot"]:
            plot_points(
                figures=points,
                x_name=PARTS[name][0],
                file=Path(flags["--plot"]) / f"part-{name}.svg",
                title=f"one daemon: {name}",
            )
    return results


def run_real(*, size: Size, plan: Plan) -> dict:
    """Measure the same steady state with real processes and with a hollow fleet on links as short as loopback."""
    real = measure_real(size=size, seconds=plan.seconds, report_progress=report_progress)
    short = Plan(
        seconds=plan.seconds, changes=0, failures=0, zone_down=0.0, delays=(0.0001, 0.0001, 0.0001), seed=plan.seed
    )
    hollow = HollowFleet(size=size, plan=short, report_progress=report_progress).step()["quiet"]["roles"]
    comparison = {}
    print(f"\nreal processes and hollow ones, {size.daemons} proxies and {size.core} controllers")
    for role, row in real.items():
        for name in ("cpu", "out", "messages_out"):
            other = hollow[role][name] if name == "messages_out" else hollow[role][name][0]
            comparison[f"{role} {name}"] = {
                "real": row[name],
                "hollow": other,
                "real_by_hollow": round(row[name] / other, 3),
            }
            print(
                f"  {role + ' ' + name:24} real {row[name]:.6g}  hollow {other:.6g}"
                f"  real/hollow {row[name] / other:.3f}"
            )
        comparison[f"{role} rss_bytes"] = {"real": row["rss_bytes"]}
        print(f"  {role + ' rss_bytes':24} real {row['rss_bytes']:.6g}")
    return comparison


def run_added(*, runs: list, count: int, rate: float) -> list:
    """Measure the latency that a proxy adds, for each size."""
    results = []
    for _, size in runs:
        figures = measure_added(size=size, count=count, callers=SATURATING_CALLERS, rate=rate)
        results.append({"size": vars(size), **figures})
        print(
            f"\nadded with {size.workers} workers in {size.services} services, {size.routes} routes, {size.zones} zones"
        )
        for name, value in figures.items():
            print(f"  {name:20} {value:.6g}")
    return results


def run_fleets(*, runs: list, plan: Plan, flags: dict) -> dict:
    """Run a hollow fleet of each size."""
    results, base, swept = [], None, {}
    for at, (name, size) in enumerate(runs):
        report_progress(f"{name}: " + " ".join(f"{key}={value}" for key, value in vars(size).items()))
        result = HollowFleet(size=size, plan=plan, report_progress=report_progress).step()
        results.append({"swept": name, **result})
        if flags["--out"] and at + 1 < len(runs):
            # an interrupted sweep keeps the results so far
            Path(flags["--out"]).write_text(
                json.dumps({"unfinished": True, "fleets": results}, indent=1) + "\n", "utf-8"
            )
        base = base or result
        if name != "base":
            points = swept.setdefault(name, {})
            for measured in ([base] if not points else []) + [result]:
                for figure, value in fitted_figures(result=measured).items():
                    points.setdefault(figure, []).append([measured["size"][name], value])
    for name, points in swept.items():
        show_table(title=f"by {name}", points=points)
        if flags["--plot"]:
            plot_points(
                figures=points,
                x_name=name,
                file=Path(flags["--plot"]) / f"fleet-{name}.svg",
                title=f"a hollow fleet by {name}",
            )
    if not swept:
        show_table(
            title="one size",
            points={name: [[runs[0][1].daemons, value]] for name, value in fitted_figures(result=base).items()},
        )
    return {
        "fleets": results,
        "swept": {name: {"points": points, "fits": fit_figures(points=points)} for name, points in swept.items()},
    }


def main(argv: list[str] | None = None) -> None:
    """Check the input, run, and write the results."""
    flags = docopt(__doc__, argv=argv)
    numbers = {
        name: read_number(flags=flags, name=name, lowest=lowest, highest=highest)
        for name, lowest, highest in (
            ("controllers", 0, 1000),
            ("list-rate", 0, 1e6),
            ("changes", 0, 1000),
            ("failures", 0, 1000),
            ("zone-down", 0, 600),
            ("cut", 0, 3600),
            ("seconds", 0.1, 3600),
            ("spread", 0, 600),
            ("seed", 0, 1e9),
            ("requests", 100, 1e6),
            ("rate", 1, 1e4),
        )
    }
    sizes = read_sizes(flags=flags)
    chosen = choose_parts(flags=flags) if flags["--parts"] else {}
    for problem in (sizes, chosen, *numbers.values(), check_output(flags=flags)):
        if isinstance(problem, BadInput):
            exit_with_error(problem=problem)
    runs = list_sizes(sizes=sizes, controllers=int(numbers["controllers"]), list_rate=numbers["list-rate"])
    for _, size in runs:
        problem = check_size(size=size, memory=half_of_memory(), is_fleet=not flags["--added"])
        if problem is not None:
            exit_with_error(problem=problem)
    base = runs[0][1]
    if flags["--real"] and (base.daemons + base.core > MAX_REAL_PROCESSES or base.daemons > 250):
        exit_with_error(
            problem=BadInput(
                reason=f"{base.daemons} daemons and {base.core} controllers are too many real processes: "
                f"{MAX_REAL_PROCESSES} fit"
            )
        )
    plan = Plan(
        seconds=numbers["seconds"],
        changes=int(numbers["changes"]),
        failures=int(numbers["failures"]),
        zone_down=numbers["zone-down"],
        cut=numbers["cut"],
        spread=numbers["spread"],
        seed=int(numbers["seed"]),
    )
    arguments = argv if argv is not None else sys.argv[1:]
    output = {
        "command": describe_command(arguments=arguments),
        "note": flags["--note"] or "",
        "python": platform.python_version(),
        "plan": vars(plan),
    }
    if chosen:
        output["parts"] = run_parts(chosen=chosen, flags=flags)
    elif flags["--added"]:
        output["added"] = run_added(runs=runs, count=int(numbers["requests"]), rate=numbers["rate"])
    elif flags["--real"]:
        output["real"] = run_real(size=base, plan=plan)
    else:
        output |= run_fleets(runs=runs, plan=plan, flags=flags)
    if flags["--out"]:
        Path(flags["--out"]).write_text(json.dumps(output, indent=1) + "\n", "utf-8")
        report_progress(f"written: {flags['--out']}")


if __name__ == "__main__":
    main()
