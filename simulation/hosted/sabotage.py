"""Switches off safeguards on purpose: a scenario must fail without the safeguard that it tests."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from unittest import mock

from sailward import constants
from sailward.config import history
from sailward.consensus import proposer
from sailward.control import controller
from sailward.control.administration import admin_api, zone_orders
from sailward.control.group import catch_up, contact_watch, graceful_shutdown, membership, quorum_contact, write_ahead
from sailward.control.shards import granting, shard_leases
from sailward.discovery import endpoint_table
from sailward.events import ExitProcess
from sailward.proxy import control_client, proxy
from sailward.routing import endpoint_selection, forwarding, passive_health, plan, retry_budget, worker_response
from simulation.hosted import calls as hosted_calls


def _method(owner: object, name: str, make: Callable) -> object:
    return mock.patch.object(owner, name, make(getattr(owner, name)))


def _combined(*patches: Callable) -> Callable:
    return lambda: [patch() if callable(patch) else patch for patch in patches]


def _constant(name: str, value: float) -> Callable:
    return lambda: mock.patch.object(constants, name, value)


def _patch(owner: object, name: str, make: Callable) -> Callable:
    return lambda: _method(owner, name, make)


def _replies_before_sync(old):
    def step(self, *, records, replies):
        return [*old(self, records=records, replies=[]), *replies]

    return step


def _reports_not_run_always(old):
    def give_up(self, *, now, request, refusal):
        request.may_have_run = False
        return old(self, now=now, request=request, refusal=forwarding.Refusal(code=503, reason=refusal.reason))

    return give_up


def _without_expect(old):
    def headers(*, request, worker, time_left, names):
        headers = old(request=request, worker=worker, time_left=time_left, names=names)
        del headers[names.expected_worker]
        return headers

    return headers


def _ignores_draining(old):
    def replace(self, *, now, workers):
        return old(self, now=now, workers=[{**row, "leaving": False} for row in workers])

    return replace


def _accepts_any_response(old):
    def judge_reply(*, request, worker, event, names):
        if event.code == 0 or names.not_run in event.headers:
            return old(request=request, worker=worker, event=event, names=names)
        return worker_response.CompleteResponse(
            code=event.code, headers=event.headers, body=event.body, is_failure=False
        )

    return judge_reply


def _accepts_unmarked_refusals(old):
    def judge_reply(*, request, worker, event, names):
        if event.code in worker_response.NOT_RUN_CODES:
            return worker_response.WorkerRejected(code=event.code, why="full")
        return old(request=request, worker=worker, event=event, names=names)

    return judge_reply


def _matches_by_order_only(old):
    def judge_reply(*, request, worker, event, names):
        named = replace(event, headers={**event.headers, names.exchange_id: request.exchange_id})
        return old(request=request, worker=worker, event=named, names=names)

    return judge_reply


def _reuses_connections(old):
    def call(self, *, now, request, worker):
        return [replace(command, fresh=False) for command in old(self, now=now, request=request, worker=worker)]

    return call


def _looks_pools_up(old):
    def resolve_tiers(self, *, pool, homes):
        return old(self, pool=self.context.plan.pools[pool.name], homes=homes)

    return resolve_tiers


def _ignores_evacuations(old):
    def read_orders(*, value):
        return frozenset()

    return read_orders


def _stops_immediately(old):
    def begin_stop(self, *, now):
        return [*old(self, now=now), ExitProcess(code=0)]

    return begin_stop


def _reads_once(old):
    def step(self, *, now):
        return old(self, now=now) if self._contact.lost_at == quorum_contact.NEVER else []

    return step


def _forgets_to_read(old):
    def lose(self, *, now):
        old(self, now=now)
        self.unread_registers = set()

    return lose


def _always_serves(old):
    return lambda self, *, now: bool(self._voter.voters.members)


def _with_verdict(*, change):
    def make(old):
        return lambda self, **fields: change(old(self, **fields))

    return make


def _forgotten_as_lost(verdict):
    return history.Verdict.LOST if verdict is history.Verdict.FORGOTTEN else verdict


def _lost_as_taken(verdict):
    return history.Verdict.TAKEN if verdict is history.Verdict.LOST else verdict


SAFEGUARD_PATCHES: dict[str, Callable] = {
    "fence-wait": _combined(
        _patch(granting.Granting, "_is_relinquished", lambda old: lambda self, *, now, shard: True),
        _patch(granting.Granting, "_release", lambda old: lambda self, *, now, context: []),
    ),
    "lease": _combined(
        _patch(shard_leases.Freshness, "lease_until", lambda old: lambda self, *, now, **fields: now + 9.0)
    ),
    "once-only": _combined(lambda: mock.patch.object(plan.Match, "is_repeatable", property(lambda self: True))),
    "promise": _combined(_patch(forwarding.Forwarder, "_give_up", _reports_not_run_always)),
    "promise-mark": _combined(_patch(forwarding, "judge_reply", _accepts_unmarked_refusals)),
    "drain-mark": _combined(_patch(endpoint_table.EndpointTable, "replace", _ignores_draining)),
    "departures": _combined(
        _patch(forwarding.Forwarder, "_on_client_disconnected", lambda old: lambda self, *, now, token: [])
    ),
    "homes": _combined(
        _patch(
            endpoint_selection.EndpointSelector,
            "_may_serve",
            lambda old: lambda self, *, zone, homes: old(self, zone=zone, homes=frozenset()),
        ),
        _patch(
            endpoint_selection.EndpointSelector,
            "_resolve_tiers",
            lambda old: lambda self, *, pool, homes: old(self, pool=pool, homes=frozenset()),
        ),
    ),
    "cold-bound": _combined(
        _patch(endpoint_selection.EndpointSelector, "_take_slow_start_token", lambda old: lambda self, **fields: True)
    ),
    "cold-news": _combined(
        _patch(passive_health.PassiveHealth, "begin_slow_start", lambda old: lambda self, **fields: None)
    ),
    "own-pool": _combined(_patch(endpoint_selection.EndpointSelector, "_resolve_tiers", _looks_pools_up)),
    "evacuation": _combined(_patch(proxy, "read_orders", _ignores_evacuations)),
    "late-orders": _combined(
        _patch(admin_api.AdminApi, "on_client_disconnected", lambda old: lambda self, *, token: None)
    ),
    "zone-counts": _combined(_patch(zone_orders.ZoneOrders, "count", lambda old: lambda self, *, kind, zone: 0)),
    "history": _combined(
        _constant("HISTORY_SEGMENT_CHANGES", 16),
        _patch(history.LabelledConfig, "classify", _with_verdict(change=_forgotten_as_lost)),
    ),
    "one-winner": _combined(_patch(history.LabelledConfig, "classify", _with_verdict(change=_lost_as_taken))),
    "resent": _combined(_patch(history.LabelledConfig, "contains", lambda old: lambda self, *, digest: False)),
    "expect": _combined(_patch(forwarding, "headers_to_worker", _without_expect)),
    "budget": _combined(_patch(retry_budget.RetryBudget, "step", lambda old: lambda self, **fields: True)),
    "contact": _combined(_patch(contact_watch.ContactWatch, "may_serve", _always_serves)),
    "contact-word": _combined(
        _patch(control_client.ControlClient, "is_last_resort", lambda old: lambda self, *, now: True)
    ),
    "contact-read": _combined(
        _patch(quorum_contact.QuorumContact, "_on_contact_lost", _forgets_to_read),
        _patch(catch_up.CatchUp, "step", _reads_once),
    ),
    "patience": _combined(_patch(admin_api.AdminApi, "give_up", lambda old: lambda self, *, now, is_lost: [])),
    "seal": _combined(_patch(forwarding, "judge_reply", _accepts_any_response)),
    "answer-name": _combined(
        lambda: mock.patch.object(hosted_calls, "has_other_exchange_id", lambda *, request_id, response_id: False),
        _patch(forwarding, "judge_reply", _matches_by_order_only),
    ),
    "fresh": _combined(_patch(forwarding.Forwarder, "_start_attempt", _reuses_connections)),
    "hang-up": _combined(_patch(hosted_calls.Calls, "may_keep", lambda old: lambda self, *, code, has_own_id: True)),
    "sync": _combined(_patch(write_ahead.WriteAhead, "step", _replies_before_sync)),
    "majority": _combined(_patch(proposer, "majority_size", lambda old: lambda *, members: 1)),
    "hand-over": _combined(
        _patch(graceful_shutdown.GracefulShutdown, "begin", lambda old: lambda self, *, now: [ExitProcess(code=0)])
    ),
    "stop": _combined(_patch(proxy.Proxy, "_begin_stop", _stops_immediately)),
    # as it was before events were matched by type: an unknown event is handled as a timer tick
    "caller-left": _combined(
        _patch(
            controller.Controller,
            "_drop_order",
            lambda old: lambda self, *, now, event: self._tick(now=now, event=event),
        )
    ),
    "repair": _combined(_patch(membership.Membership, "step", lambda old: lambda self, *, now: ([], []))),
}
