"""The same seed gives the same history, byte for byte, in two processes with different string hash seeds."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

SCENARIO = Path(__file__).parent / "scenarios" / "once-kills.txt"
PROGRAM = """
import hashlib, json, sys
from simulation.sim.scenario import read_scenario, run_scenario
outcome = run_scenario(scenario=read_scenario(text=open(sys.argv[1]).read()), seed=3)
rows = outcome.world.history.rows
print(len(rows), hashlib.sha256("\\n".join(json.dumps(row) for row in rows).encode()).hexdigest())
"""


def test_a_seed_gives_the_same_history_in_another_process() -> None:
    outputs = [
        subprocess.run(
            [sys.executable, "-c", PROGRAM, str(SCENARIO)],
            capture_output=True,
            text=True,
            check=True,
            timeout=300,
            env={**os.environ, "PYTHONHASHSEED": seed, "PYTHONPATH": os.getcwd()},
        ).stdout
        for seed in ("1", "2")
    ]
    assert outputs[0] == outputs[1]
    assert int(outputs[0].split()[0]) > 1000
