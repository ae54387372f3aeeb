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


def _all(*made: Callable) -> Callable:
    return lambda: [one() if callable(one) else one for one in made]


def _constant(name: str, value: float) -> Callable:
    return lambda: mock.patch.object(constants, name, value)


def _patch(owner: object, name: str, make: Callable) -> Callable:
    return lambda: _method(owner, name, make)


def _told_unsynced(old):
    def step(self, *, records, replies):
        return [*old(self, records=records, replies=[]), *replies]

    return step


def _promises_all(old):
    def give_up(self, *, now, request, refusal):
        request.may_have_run = False
        return old(self, now=now, request=request, refusal=forwarding.Refusal(code=503, reason=refusal.reason))

    return give_up


def _without_expect(old):
    def headers(*, request, worker, time_left, names):
        found = old(request=request, worker=worker, time_left=time_left, names=names)
        del found[names.expected_worker]
        return found

    return headers


def _never_leaving(old):
    def replace(self, *, now, workers):
        return old(self, now=now, workers=[{**row, "leaving": False} for row in workers])

    return replace


def _believes_all(old):
    def judge_reply(*, request, worker, event, names):
        if event.code == 0 or names.not_run in event.headers:
            return old(request=request, worker=worker, event=event, names=names)
        return worker_response.CompleteResponse(
            code=event.code, headers=event.headers, body=event.body, is_failure=False
        )

    return judge_reply


def _takes_unmarked(old):
    def judge_reply(*, request, worker, event, names):
        if event.code in worker_response.NOT_RUN_CODES:
            return worker_response.WorkerRejected(code=event.code, why="full")
        return old(request=request, worker=worker, event=event, names=names)

    return judge_reply


def _by_order_alone(old):
    def judge_reply(*, request, worker, event, names):
        named = replace(event, headers={**event.headers, names.exchange_id: request.exchange_id})
        return old(request=request, worker=worker, event=named, names=names)

    return judge_reply


def _on_kept_connections(old):
    def call(self, *, now, request, worker):
        return [replace(command, fresh=False) for command in old(self, now=now, request=request, worker=worker)]

    return call


def _no_zone_emptied(old):
    def read_orders(*, value):
        return frozenset()

    return read_orders


def _stops_at_once(old):
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


def _judged_by(*, change):
    def make(old):
        return lambda self, **fields: change(old(self, **fields))

    return make


def _forgotten_is_lost(verdict):
    return history.Verdict.LOST if verdict is history.Verdict.FORGOTTEN else verdict


def _lost_is_taken(verdict):
    return history.Verdict.TAKEN if verdict is history.Verdict.LOST else verdict


SABOTAGE: dict[str, Callable] = {
    "fence-wait": _all(
        _patch(granting.Granting, "_is_relinquished", lambda old: lambda self, *, now, shard: True),
        _patch(granting.Granting, "_release", lambda old: lambda self, *, now, context: []),
    ),
    "lease": _all(_patch(shard_leases.Freshness, "lease_until", lambda old: lambda self, *, now, **fields: now + 9.0)),
    "once-only": _all(lambda: mock.patch.object(plan.Match, "is_repeatable", property(lambda self: True))),
    "promise": _all(_patch(forwarding.Forwarder, "_give_up", _promises_all)),
    "promise-mark": _all(_patch(forwarding, "judge_reply", _takes_unmarked)),
    "drain-mark": _all(_patch(endpoint_table.EndpointTable, "replace", _never_leaving)),
    "departures": _all(
        _patch(forwarding.Forwarder, "_on_client_disconnected", lambda old: lambda self, *, now, token: [])
    ),
    "homes": _all(
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
    "cold-bound": _all(
        _patch(endpoint_selection.EndpointSelector, "_take_slow_start_token", lambda old: lambda self, **fields: True)
    ),
    "cold-news": _all(
        _patch(passive_health.PassiveHealth, "begin_slow_start", lambda old: lambda self, **fields: None)
    ),
    "evacuation": _all(_patch(proxy, "read_orders", _no_zone_emptied)),
    "late-orders": _all(_patch(admin_api.AdminApi, "on_client_disconnected", lambda old: lambda self, *, token: None)),
    "zone-counts": _all(_patch(zone_orders.ZoneOrders, "count", lambda old: lambda self, *, kind, zone: 0)),
    "history": _all(
        _constant("HISTORY_SEGMENT_CHANGES", 16),
        _patch(history.LabelledConfig, "classify", _judged_by(change=_forgotten_is_lost)),
    ),
    "one-winner": _all(_patch(history.LabelledConfig, "classify", _judged_by(change=_lost_is_taken))),
    "resent": _all(_patch(history.LabelledConfig, "contains", lambda old: lambda self, *, digest: False)),
    "expect": _all(_patch(forwarding, "headers_to_worker", _without_expect)),
    "budget": _all(_patch(retry_budget.RetryBudget, "step", lambda old: lambda self, **fields: True)),
    "contact": _all(_patch(contact_watch.ContactWatch, "may_serve", _always_serves)),
    "contact-word": _all(_patch(control_client.ControlClient, "is_last_resort", lambda old: lambda self, *, now: True)),
    "contact-read": _all(
        _patch(quorum_contact.QuorumContact, "_on_contact_lost", _forgets_to_read),
        _patch(catch_up.CatchUp, "step", _reads_once),
    ),
    "patience": _all(_patch(admin_api.AdminApi, "give_up", lambda old: lambda self, *, now, is_lost: [])),
    "seal": _all(_patch(forwarding, "judge_reply", _believes_all)),
    "answer-name": _all(
        lambda: mock.patch.object(hosted_calls, "has_other_exchange_id", lambda *, request_id, response_id: False),
        _patch(forwarding, "judge_reply", _by_order_alone),
    ),
    "fresh": _all(_patch(forwarding.Forwarder, "_start_attempt", _on_kept_connections)),
    "hang-up": _all(_patch(hosted_calls.Calls, "may_keep", lambda old: lambda self, *, code, is_named: True)),
    "sync": _all(_patch(write_ahead.WriteAhead, "step", _told_unsynced)),
    "majority": _all(_patch(proposer, "majority_size", lambda old: lambda *, members: 1)),
    "hand-over": _all(
        _patch(graceful_shutdown.GracefulShutdown, "begin", lambda old: lambda self, *, now: [ExitProcess(code=0)])
    ),
    "stop": _all(_patch(proxy.Proxy, "_begin_stop", _stops_at_once)),
    # as it was before events were matched by type: an unknown event is handled as a timer tick
    "caller-left": _all(
        _patch(
            controller.Controller,
            "_drop_order",
            lambda old: lambda self, *, now, event: self._tick(now=now, event=event),
        )
    ),
    "repair": _all(_patch(membership.Membership, "step", lambda old: lambda self, *, now: ([], []))),
}
