"""A controller's metrics, as typed samples and in the OpenMetrics text format.

The text is written here and not by the client library: importing it costs each process 45 ms of CPU time at start and
1.2 MB of memory, and all values are read at scrape time from the parts that own them. The tests parse the text with the
library's parser.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal

from sailward.control.administration.status_sources import StatusSources
from sailward.control.group.repair import count_voting_members
from sailward.events import Respond

CONTENT_TYPE = "application/openmetrics-text; version=1.0.0; charset=utf-8"
PREFIX = "sailward_"


@dataclass(frozen=True, kw_only=True)
class Sample:
    """One value with its label pairs."""

    value: float
    labels: tuple[tuple[str, str], ...] = ()


@dataclass(frozen=True, kw_only=True)
class Family:
    """All samples of one metric. A counter never decreases within one process."""

    name: str
    kind: Literal["gauge", "counter"]
    help: str
    samples: tuple[Sample, ...]

    def sample_name(self) -> str:
        """The name of the samples in the text."""
        return PREFIX + self.name + ("_total" if self.kind == "counter" else "")


def collect_metrics(*, sources: StatusSources, now: float) -> list[Family]:
    """The current metrics of one controller. Ages and times are in s, sizes in bytes."""
    return [
        *_collect_voters(sources=sources),
        *_collect_registers(sources=sources, now=now),
        *_collect_disk(sources=sources),
        *_collect_operations(sources=sources),
    ]


def write_metrics(*, families: list[Family]) -> str:
    """The metrics in the OpenMetrics text format."""
    lines = []
    for family in families:
        lines.append(f"# TYPE {PREFIX}{family.name} {family.kind}")
        lines.append(f"# HELP {PREFIX}{family.name} {family.help}")
        lines += [f"{family.sample_name()}{_labels(sample=sample)} {sample.value!r}" for sample in family.samples]
    return "\n".join([*lines, "# EOF", ""])


def answer_metrics(*, token: str, sources: StatusSources, now: float) -> Respond:
    """The answer to a scrape."""
    text = write_metrics(families=collect_metrics(sources=sources, now=now))
    return Respond(token=token, code=200, body=text.encode(), headers={"Content-Type": CONTENT_TYPE})


def show_metrics(*, sources: StatusSources, now: float) -> dict[str, float]:
    """The same values for the status, keyed by name and labels."""
    return {
        f"{family.name}{_labels(sample=sample)}".replace('"', ""): sample.value
        for family in collect_metrics(sources=sources, now=now)
        for sample in family.samples
    }


def _collect_voters(*, sources: StatusSources) -> list[Family]:
    voter, peer_table = sources.voter, sources.peer_table
    members = voter.voters.members
    controllers = [*peer_table.alive(kind="controller"), peer_table.own_entry()]
    voting_counts = count_voting_members(members=members, controllers=controllers)
    copying = sorted(
        controller["id"] for controller in controllers if controller["identity"] in members and not controller["fit"]
    )
    return [
        _gauge("voting", "Whether this controller votes.", voter.is_voting),
        _gauge("voters", "Members of the set of voters.", len(members)),
        _gauge("voters_voting", "Voters that are heard of as voting.", voting_counts["voting"]),
        _gauge("voters_needed", "Voters that a majority needs.", voting_counts["needed"]),
        _gauge("voters_number", "Number of the set of voters.", voter.voters.number),
        _labelled(
            "voter_not_voting", "Voters that are up and copy, or can not write.", "daemon", dict.fromkeys(copying, 1)
        ),
        _gauge("proxies", "Proxies that ask this controller.", len(sources.subscribers.proxies())),
    ]


def _collect_registers(*, sources: StatusSources, now: float) -> list[Family]:
    learned, catch_up = sources.voter.learner.values, sources.catch_up
    numbers = {name: value.value["number"] for name, value in learned.items()}
    ages = {name: round(now - at, 3) for name, at in catch_up.confirmed_at.items()}
    families = [
        _labelled("register_number", "Number of the value that this controller holds.", "register", numbers),
        _labelled("register_age_seconds", "Time since a majority showed that value as its newest.", "register", ages),
    ]
    if ages:
        families.append(_gauge("majority_age_seconds", "Time since a majority answered.", min(ages.values())))
    if catch_up.caught_up_after_s is not None:
        families.append(
            _gauge(
                "catch_up_seconds", "Time from the start to the first newest configuration.", catch_up.caught_up_after_s
            )
        )
    return families


def _collect_disk(*, sources: StatusSources) -> list[Family]:
    write_ahead = sources.voter.write_ahead
    return [
        _gauge("data_file_bytes", "Bytes of the data file, without how JSON escapes them.", write_ahead.file_bytes),
        _gauge("data_file_live_bytes", "Bytes that the last rewrite of the data file left.", write_ahead.live_bytes),
        _counter("data_file_rewrites", "Rewrites of the data file that were begun.", write_ahead.rewrite_count),
        _gauge("disk_usable", "Whether the disk takes writes.", write_ahead.is_usable),
        _gauge("disk_waiting", "Answers that wait for a sync.", len(write_ahead.pending_replies)),
    ]


def _collect_operations(*, sources: StatusSources) -> list[Family]:
    outcomes, unexpected = sources.admin_api.outcomes, sources.unexpected.counts
    return [
        _gauge("operations_open", "Operators' calls under way.", len(sources.admin_api.jobs)),
        _labelled("operations", "Operators' calls that ended, by how.", "outcome", dict(outcomes), kind="counter"),
        _labelled(
            "unexpected_events", "Events that nothing here has a use for.", "type", dict(unexpected), kind="counter"
        ),
    ]


def _gauge(name: str, text: str, value: float) -> Family:
    return Family(name=name, kind="gauge", help=text, samples=(Sample(value=float(value)),))


def _counter(name: str, text: str, value: float) -> Family:
    return Family(name=name, kind="counter", help=text, samples=(Sample(value=float(value)),))


def _labelled(
    name: str, text: str, label: str, values: dict[str, float], *, kind: Literal["gauge", "counter"] = "gauge"
) -> Family:
    samples = tuple(Sample(value=float(value), labels=((label, key),)) for key, value in sorted(values.items()))
    return Family(name=name, kind=kind, help=text, samples=samples)


def _labels(*, sample: Sample) -> str:
    if not sample.labels:
        return ""
    pairs = [f'{name}="{_escape(value=value)}"' for name, value in sample.labels]
    return "{" + ",".join(pairs) + "}"


def _escape(*, value: str) -> str:
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
