"""The deploy file lists exactly the system packages that a clean build and a run need."""

from __future__ import annotations

import importlib.metadata
import re
import shlex
import subprocess
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
DEPLOY = tomllib.loads(ROOT.joinpath("deploy/system.toml").read_text("utf-8"))
SHELL = "dash"
PROGRAMS = {"mkdir": "coreutils", "[": "coreutils", "touch": "coreutils", "python3": "python3"}
"""The package of each program that the build or a role calls; `[` for shells in which it is not built in."""
MODULES = {"pip": "python3-pip", "compileall": "python3"}
"""The package of each module that runs with `python3 -m`."""
PIP_PACKAGES = {"ca-certificates"}
"""Packages that pip needs to reach a registry over TLS."""
LIBRARIES = {
    "libc.so.6": "libc6",
    "libdl.so.2": "libc6",
    "libpthread.so.0": "libc6",
    "ld-linux-x86-64.so.2": "libc6",
    "ld-linux-aarch64.so.1": "libc6",
    "libgcc_s.so.1": "libgcc-s1",
}
"""The package of each shared library that the wheels load; linux-vdso comes from the kernel, not from a package."""
KEYWORDS = {"if", "then", "fi", "||", "&&", ";"}


def split_commands(*, script: str) -> list[list[str]]:
    """The words of each simple command of a shell script."""
    commands: list[list[str]] = [[]]
    for word in shlex.split(script.replace(";", " ; ")):
        if word in KEYWORDS:
            commands.append([])
        else:
            commands[-1].append(word)
    return [command for command in commands if command]


def packages_of_commands() -> set[str]:
    commands = split_commands(script=DEPLOY["build"])
    commands += [role["run"].split() for role in DEPLOY["roles"].values()]
    needed = {SHELL}
    for program, *arguments in ((word for word in command if word != "!") for command in commands):
        needed.add(PROGRAMS[program])
        if arguments[:1] == ["-m"]:
            needed.add(MODULES[arguments[1]])
    return needed | (PIP_PACKAGES if "python3-pip" in needed else set())


def native_modules(*, requirement: str) -> list[Path]:
    """The compiled files of one requirement, as installed here."""
    files = importlib.metadata.files(requirement) or []
    return [Path(file.locate()) for file in files if ".so" in file.suffixes]


def packages_of_libraries() -> set[str]:
    requirements = ROOT.joinpath("deploy/requirements.txt").read_text("utf-8").splitlines()
    modules = [file for line in requirements for file in native_modules(requirement=line.split("==")[0])]
    assert modules
    needed = set()
    for module in modules:
        output = subprocess.run(["ldd", module], capture_output=True, text=True, check=True).stdout
        libraries = {Path(line.split()[0]).name for line in output.splitlines()} - {"linux-vdso.so.1"}
        needed |= {LIBRARIES[library] for library in libraries}
    return needed


def test_packages_are_those_that_build_and_run_need() -> None:
    assert set(DEPLOY["packages"]) == packages_of_commands() | packages_of_libraries()


def test_packages_are_sorted_names_of_debian() -> None:
    assert DEPLOY["packages"] == sorted(set(DEPLOY["packages"]))
    assert all(re.fullmatch(r"[a-z0-9][a-z0-9+.-]+", name) for name in DEPLOY["packages"])
