"""A controller's metrics: valid OpenMetrics text by the client library's parser, and values that show what is wrong."""

from __future__ import annotations

from prometheus_client.openmetrics.parser import text_string_to_metric_families

from sailward.control.administration.metrics import CONTENT_TYPE, Family, Sample, write_metrics
from sailward.control.controller import Controller
from sailward.events import RequestReceived, Respond
from simulation.core_group import CoreGroup
from tests.core_net import CoreNet, make_written


def scrape(*, controller: Controller, now: float) -> Respond:
    event = RequestReceived(token="desk m", method="GET", path="/metrics", query={}, headers={}, body=b"")
    return next(command for command in controller.step(now=now, event=event) if isinstance(command, Respond))


def read_metrics(*, controller: Controller, now: float) -> dict:
    answer = scrape(controller=controller, now=now)
    assert answer.code == 200 and answer.headers["Content-Type"] == CONTENT_TYPE
    families = text_string_to_metric_families(answer.body.decode())
    return {
        (sample.name.removeprefix("sailward_"), *sample.labels.values()): sample.value
        for family in families
        for sample in family.samples
    }


def found_group() -> CoreGroup:
    group = CoreGroup(folder=None, size=3)
    for member in group.members:
        group.start(member=member, is_first=True)
    group.run(seconds=1.0)
    assert group.change(text='{"written":{}}', at=group.members[0])
    return group


def test_a_complete_group_shows_its_voters_its_configuration_and_its_file() -> None:
    group = found_group()
    group.run(seconds=6.0)
    values = read_metrics(controller=group.members[0].controller, now=group.now)
    assert values[("voting",)] == 1 and values[("voters_voting",)] == values[("voters",)] == 3
    assert values[("register_number", "config")] == 1
    assert values[("register_age_seconds", "config")] <= 5.5 and values[("majority_age_seconds",)] <= 5.5
    assert values[("data_file_bytes",)] > 0 and values[("disk_usable",)] == 1


def test_a_controller_without_a_majority_shows_how_old_its_configuration_is() -> None:
    group = found_group()
    group.members[0].is_cut = True
    group.run(seconds=20.0)
    values = read_metrics(controller=group.members[0].controller, now=group.now)
    assert values[("register_age_seconds", "config")] > 14 and values[("majority_age_seconds",)] > 14
    assert values[("voters_voting",)] == 1 < values[("voters_needed",)] == 2


def test_a_start_shows_how_long_it_took_to_catch_up_and_a_copying_voter_is_named() -> None:
    group = found_group()
    wiped = group.members[2]
    group.wipe(member=wiped)
    group.start(member=wiped)
    controllers = [member.controller for member in group.members]
    assert group.run(seconds=5.0, until=lambda: controllers[2].identity in controllers[0].voters.members)
    values = read_metrics(controller=group.members[0].controller, now=group.now)
    assert ("voter_not_voting", "m2") in values
    group.run(seconds=5.0)
    values = read_metrics(controller=wiped.controller, now=group.now)
    assert values[("voting",)] == 1 and 0 <= values[("catch_up_seconds",)] < 5


def test_rewrites_of_the_data_file_are_counted() -> None:
    group = found_group()
    text = '{"written":{},"fill":"' + "x" * 500_000 + '"}'
    for _ in range(20):
        assert group.change(text=text, at=group.members[0])
    values = read_metrics(controller=group.members[0].controller, now=group.now)
    assert values[("data_file_rewrites_total",)] >= 2
    assert values[("data_file_live_bytes",)] <= values[("data_file_bytes",)] < 6_000_000


def test_operators_calls_are_counted_by_how_they_ended() -> None:
    net = CoreNet(zones=["gdl-a", "ens-a", "gdl-b"], operation_timeout=1.0)
    for machine in net.machines:
        net.start(machine, bootstrap=True)
    net.run(1.0)
    first = net.machines[0]
    assert net.ask(first, method="PUT", path="/config", body=make_written(label=3), if_match="0")[0] == 200
    net.cut = {machine.name for machine in net.machines[1:]}
    net.ask(first, method="PUT", path="/config", body=make_written(label=4), if_match="r3")
    values = read_metrics(controller=first.controller, now=net.now)
    assert values[("operations_total", "accepted")] == 1
    assert values.get(("operations_total", "unavailable"), 0) + values.get(("operations_total", "unknown"), 0) == 1


def test_the_status_shows_the_same_values() -> None:
    group = found_group()
    event = RequestReceived(token="desk s", method="GET", path="/status", query={}, headers={}, body=b"")
    answer = next(
        command
        for command in group.members[0].controller.step(now=group.now, event=event)
        if isinstance(command, Respond)
    )
    assert b'"register_number{register=config}": 1.0' in answer.body


def test_labels_are_escaped() -> None:
    family = Family(name="x", kind="gauge", help="X.", samples=(Sample(value=1.0, labels=(("name", 'a"b\\c\nd'),)),))
    (read,) = text_string_to_metric_families(write_metrics(families=[family]))
    assert read.samples[0].labels == {"name": 'a"b\\c\nd'}
