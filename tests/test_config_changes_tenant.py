"""Configurations that take effect while a tenant's request waits: it is matched again as a whole, key and shard too."""

from __future__ import annotations

import pytest

from sailward.events import RequestReceived
from sailward.routing.plan import Plan, plan_of
from sailward.routing.proxied_request import (
    ProxiedRequest,
    Refusal,
    build_proxied_request,
    headers_to_worker,
    rematch_request,
)

SLOTS = 8


def make_plan(*, number: int, path: str = "/stock", slots: int = SLOTS) -> Plan:
    """A plan with one tenant, and one route to one service that is divided into slots."""
    service = {
        "expiry_s": 3.0,
        "rate": 100,
        "cold_rate": 6.0,
        "cold_ramp_s": 0,
        "result_bytes": 1 << 20,
        "digest_required": False,
        "slots": slots,
        "keys": "by-home",
    }
    return plan_of(
        number=number,
        full={
            "halls": {"gdl-a": {"region": "gdl"}},
            "services": {"stock": service},
            "pools": {"stock": {"service": "stock", "preferred": ["gdl-a"], "fallback": []}},
            "tenants": {"brand": {"homes": ["gdl"], "share": 1}},
            "matches": [{"path": path, "methods": [], "tenants": [], "pools": [{"pool": "stock", "weight": 1}]}],
        },
    )


def make_request(*, plan: Plan, path: str = "/stock/shoes/7", **headers: str) -> ProxiedRequest:
    named = {name.replace("_", "-"): value for name, value in headers.items()}
    event = RequestReceived(
        token="http 1",
        method="GET",
        path=path,
        query={},
        headers={"sailward-tenant": "brand", **named},
        body=b"",
    )
    request = build_proxied_request(event=event, plan=plan, now=100.0, exchange_id="x1")
    assert isinstance(request, ProxiedRequest)
    return request


# Guards against a request that is sent to the owner of another key: its key came from the path prefix of its old route.
def test_the_key_follows_the_route_that_a_change_gave_the_request() -> None:
    request = make_request(plan=make_plan(number=1))
    assert request.shard_key == "shoes"
    assert rematch_request(request=request, plan=make_plan(number=2, path="/stock/shoes")) is None
    assert request.shard_key == "7"


# Guards against a proper request that is refused for good: its service was undivided when it arrived.
def test_a_request_to_a_service_that_becomes_divided_has_the_key_of_its_path() -> None:
    request = make_request(plan=make_plan(number=1, slots=0))
    assert request.shard_key == ""
    assert rematch_request(request=request, plan=make_plan(number=2)) is None
    assert request.shard_key == "shoes"


# Guards against the slot and term of a table that a change took away, in what the worker is sent.
def test_a_request_to_a_service_that_is_no_longer_divided_names_no_slot() -> None:
    request = make_request(plan=make_plan(number=1))
    request.slot, request.space, request.term = 3, "gdl", 5
    assert rematch_request(request=request, plan=make_plan(number=2, slots=0)) is None
    headers = headers_to_worker(request=request, worker="w0", timeout=1.0)
    assert not {"sailward-key", "sailward-slot", "sailward-term"} & set(headers)


@pytest.mark.parametrize("slots", [SLOTS, 0])
def test_the_key_that_the_client_names_is_kept(slots: int) -> None:
    request = make_request(plan=make_plan(number=1, slots=slots), sailward_key="boots")
    assert rematch_request(request=request, plan=make_plan(number=2, path="/stock/shoes")) is None
    assert request.shard_key == "boots"


def test_a_request_without_a_key_is_refused_once_its_service_is_divided() -> None:
    request = make_request(plan=make_plan(number=1, slots=0), path="/stock")
    refusal = rematch_request(request=request, plan=make_plan(number=2))
    assert isinstance(refusal, Refusal) and (refusal.code, refusal.reason) == (400, "part-missing")


def test_a_plan_that_did_not_change_alters_nothing() -> None:
    plan = make_plan(number=1)
    request = make_request(plan=plan)
    request.slot, request.space, request.term = 3, "gdl", 5
    assert rematch_request(request=request, plan=plan) is None
    assert (request.slot, request.space, request.term) == (3, "gdl", 5)
