"""Leases of a service whose sharding the operators take away and give back while grants are in flight."""

from __future__ import annotations

import dataclasses
import json
from types import SimpleNamespace
from unittest import mock

import pytest

from sailward import constants
from sailward.control.shards.grant_targets import GrantContext
from sailward.control.shards.granting import Granting
from sailward.control.shards.shard_leases import ShardLeases
from sailward.events import CallFinished, StartCall
from sailward.routing.plan import Plan
from sailward.routing.shards import OPEN, Shard, ShardTable, write_shards
from tests.granting_fixture import SERVICE, Codec, ListedWorker
from tests.proxy_kit import make_plan

OWN_NAME = "c1#1"
TABLE = ShardTable(
    granter=OWN_NAME,
    takeover_number=1,
    fencing_token=2,
    shards=(Shard(start=0, end=65535, owner="w0", fencing_token=1, state=OPEN),),
)
CONTEXT = GrantContext(
    value={"number": 1, "mark": "", "trail": [], "text": write_shards(table=TABLE)},
    workers={"w0": ListedWorker(name="w0", service=SERVICE, address="w0:80", zone="gdl-a")},
    fresh_until=200.0,
    is_acting=True,
)


def grant(granting: Granting, *, now: float) -> list[StartCall]:
    commands, _ = granting.step(now=now, event=None, context=CONTEXT)
    return [command for command in commands if isinstance(command, StartCall)]


def make_leases(*, plan: Plan, granting: Granting, has_list: bool) -> ShardLeases:
    """The leases of a controller with this plan, and with the grants of one service begun."""
    parts = {
        name: mock.Mock() for name in ("voter", "peer_table", "catch_up", "proxy_registry", "subscribers", "codec")
    }
    leases = ShardLeases(
        **parts,
        shard_moves=SimpleNamespace(plan=plan),
        endpoint_list=SimpleNamespace(value={} if has_list else None),
        lease_max=10.0,
        op_prefix=OWN_NAME,
    )
    leases.granting[SERVICE] = granting
    return leases


# Guards against keys that are never granted again: the result of a grant that came while its service was not sharded
# was dropped, so the grant counted as in flight for good.
@pytest.mark.parametrize("code", [200, 409, 503, 0])
@pytest.mark.parametrize(
    ("plan", "has_list"),
    [
        (make_plan(services=("red", SERVICE)), True),
        (make_plan(services=("red",)), True),
        (make_plan(services=("red", SERVICE)), False),
    ],
    ids=["not-sharded", "dropped", "without-list"],
)
def test_the_result_of_a_grant_counts_while_its_service_is_not_sharded(plan: Plan, has_list: bool, code: int) -> None:
    granting = Granting(service=SERVICE, own_name=OWN_NAME, codec=Codec())
    [call] = grant(granting, now=100.0)
    leases = make_leases(plan=plan, granting=granting, has_list=has_list)
    finished = CallFinished(
        token=call.token, code=code, headers={}, body=b"", fault="" if code else "timed-out", sent=True
    )
    commands, operations = leases.step(now=101.0, event=finished)
    assert not operations and not any(isinstance(command, StartCall) for command in commands)
    assert not granting.is_own(token=call.token)
    [renewal] = grant(granting, now=110.0)
    assert renewal.owner == "w0"


def test_the_result_of_another_parts_call_is_ignored() -> None:
    granting = Granting(service=SERVICE, own_name=OWN_NAME, codec=Codec())
    grant(granting, now=100.0)
    leases = make_leases(plan=make_plan(), granting=granting, has_list=True)
    other = CallFinished(token="grant other 1", code=200, headers={}, body=b"", fault="", sent=True)
    assert leases.step(now=101.0, event=other) == ([], [])


# Guards against workers that get no keys for as long as an earlier version had them in slow start.
def test_the_slow_start_after_an_evacuation_follows_the_configuration_in_force() -> None:
    granting = mock.Mock(step=mock.Mock(return_value=([], [])))
    leases = make_leases(plan=make_sharded_plan(slow_start=86400.0), granting=granting, has_list=True)
    worker = {"id": "w0", "service": SERVICE, "address": "w0:80", "hall": "gdl-a", "leaving": False, "capacity": 4}
    leases._endpoint_list.rows = lambda: [{**worker, "cold_s": 0.0}]
    leases._endpoint_list.value = {"number": 1}
    leases._peer_table.alive.return_value, leases._peer_table.own_entry.return_value = [], {"fit": False}
    leases._proxy_registry.down.return_value, leases._voter.voters.members = {}, {}
    slow_starts = []
    for now, zones, configured in [
        (100.0, ["gdl-a"], 86400.0),
        (110.0, [], 86400.0),
        (111.0, [], 3.0),
        (130.0, [], 3.0),
    ]:
        orders = SimpleNamespace(value={"number": 1, "text": json.dumps({"emptied": zones})})
        leases._voter.learner.values = {"orders": orders}
        leases._shard_moves.plan = make_sharded_plan(slow_start=configured)
        leases.step(now=now, event=None)
        slow_starts.append(granting.step.call_args.kwargs["context"].workers["w0"].slow_start)
    margin = constants.SLOW_START_MARGIN
    assert slow_starts == [0.0, 86400.0 + margin, 2.0 + margin, 0.0]


def make_sharded_plan(*, slow_start: float) -> Plan:
    """A plan whose one service is sharded, with this slow start."""
    plan = make_plan(services=(SERVICE,), pools=[{"pool": SERVICE, "weight": 1}])
    service = dataclasses.replace(plan.services[SERVICE], is_ranged=True, slow_start=slow_start)
    return dataclasses.replace(plan, services={SERVICE: service})
