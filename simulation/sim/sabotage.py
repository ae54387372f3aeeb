"""Safeguards taken out on purpose: a scenario must fail without the one that it tests."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from unittest import mock

from sailward import constants
from sailward.config import check as check_module
from sailward.config.check import Sound
from sailward.consensus import learner, proposer
from sailward.control.administration import admin_api
from sailward.control.group import copying, membership, voter, write_ahead
from sailward.control.shards import quiescence, shard_assignment
from sailward.discovery import endpoint_pages as pages_module
from sailward.discovery import endpoint_table, peer_table
from sailward.events import DiskWriteFailed, RecordsSynced
from sailward.proxy import tenant_proxy
from sailward.routing import (
    active_health,
    attempt_budget,
    concurrency_limits,
    fair_queues,
    idempotency,
    lease,
    load_balancer,
    proxied_requests,
    response_check,
    result_replicas,
    routing_state,
    weighted_draw,
)
from sailward.routing import proxied_request as exchange_module
from sailward.storage.disk import DamagedFile
from simulation.sim import disk, network


def _constant(name: str, value: float) -> Callable:
    return lambda: mock.patch.object(constants, name, value)


def _method(owner: object, name: str, make: Callable) -> Callable:
    return lambda: mock.patch.object(owner, name, make(getattr(owner, name)))


def _told_unsynced(old):
    def step(self, *, records, replies):
        return [*old(self, records=records, replies=[]), *replies]

    return step


def _always_won(old):
    def begin(self, *, now, exchange):
        return [], [], [idempotency.Won(exchange=exchange)]

    return begin


def _forgetful(old):
    def step(self, *, epoch, revision, workers):
        self.newest, self.over, self.revision = {}, {}, (-1, -1)
        seen = old(self, epoch=epoch, revision=revision, workers=workers)
        self.revision = (-1, 0)
        return seen

    return step


def _no_homes(old):
    def views_of(self, *, now, service, tenant):
        return old(self, now=now, service=service, tenant=None)

    return views_of


def _by_status(old):
    def step(self, *, now, exchange):
        full = [
            name
            for name, weight in exchange.match.shares
            if weight
            and any(
                view.fraction >= constants.ZONE_SPILL_THRESHOLD
                and zone in self.routing_state.plan.pools[name].preferred
                for zone, view in self.routing_state.views_of(
                    now=now, service=exchange.service.name, tenant=exchange.tenant
                ).items()
            )
        ]
        exchange.pool = exchange.pool or (full[0] if full else "")
        return old(self, now=now, exchange=exchange)

    return step


def _older_too(old):
    def step(self, *, name, ballot, value):
        news = name not in self.values or value["mark"] != self.held[name].value["mark"]
        self.values[name] = learner.LearnedValue(ballot=ballot, value=value)
        return news

    return step


def _no_expected(old):
    def judge(self, *, now, operation):
        value = proposer.newest_of(votes=list(operation.answers.values()), members=operation.voters)
        object.__setattr__(operation.begin, "expected", value["number"])
        return old(self, now=now, operation=operation)

    return judge


def _failures_unheard(old):
    def receive(self, *, event):
        return old(self, event=RecordsSynced(seq=event.seq) if isinstance(event, DiskWriteFailed) else event)

    return receive


def _never_leaving(old):
    def step(self, *, epoch, revision, workers):
        return old(self, epoch=epoch, revision=revision, workers=[{**row, "leaving": False} for row in workers])

    return step


def _any_identity(old):
    def judge(*, exchange, event):
        own = {"sailward-worker": exchange.worker, "sailward-exchange": exchange.name}
        return old(exchange=exchange, event=dataclasses.replace(event, headers={**event.headers, **own}))

    return judge


def _no_last_resort(old):
    def share(*, pool, views):
        marked = weighted_draw._marked(pool=pool, views=views)
        return old(pool=pool, views={zone: view for zone, view in views.items() if zone not in marked})

    return share


def _opens_at_once(old):
    def judge(self, *, service, space, slot, old, context, **more):
        best = self._best(service=service, space=space, slot=slot, context=context)
        return old if best in ("", old.owner) else dataclasses.replace(old, owner=best, term=old.term + 1)

    return judge


def _one_queue(old):
    def step(self, *, name, item, share=1):
        return old(self, name="", item=item, share=1)

    return step


def _bad_is_unsent(old):
    def judge(*, exchange, event):
        verdict = old(exchange=exchange, event=event)
        return response_check.Unsent(reason=verdict.reason) if isinstance(verdict, response_check.Bad) else verdict

    return judge


def _cut_at_damage(old):
    def read(*, data):
        found = old(data=data)
        return old(data=data[: found.offset]) if isinstance(found, DamagedFile) else found

    return read


SABOTAGE: dict[str, Callable] = {
    "lease": _constant("LEASE_DURATION", 1e9),
    "drain": _constant("ZONE_DRAIN_THRESHOLD", -1.0),
    "spill": _constant("ZONE_SPILL_THRESHOLD", 1e-9),
    "hold": _constant("ZONE_HOLD_DOWN", 0.0),
    "grace": _constant("STOP_GRACE", 0.0),
    "sync": _method(write_ahead.WriteAhead, "step", _told_unsynced),
    "claim": _method(idempotency.Claims, "_begin", _always_won),
    "sticky": _method(endpoint_table.EndpointTable, "step", _forgetful),
    "homes": _method(routing_state.RoutingState, "views_of", _no_homes),
    "draw-first": _method(load_balancer.LoadBalancer, "step", _by_status),
    "never-older": _method(learner.Learner, "step", _older_too),
    "expected": _method(proposer.Proposer, "_judge_promises", _no_expected),
    "at-most-once": _method(proxied_requests, "judge_result", _bad_is_unsent),
    "whole-result": _method(response_check, "_find_fault", lambda old: lambda *, exchange, event: ""),
    "identity": _method(proxied_requests, "judge_result", _any_identity),
    "try-budget": _method(
        attempt_budget.AttemptBudget, "step", lambda old: lambda self, *, now, first, caller=False: "first"
    ),
    "cold-bound": _method(concurrency_limits.ConcurrencyLimits, "step", lambda old: lambda self, **_: True),
    "promise": _method(proxied_requests, "is_promise_safe", lambda old: lambda *, event: True),
    "check": _method(
        check_module,
        "check_config",
        lambda old: (
            lambda *, config: Sound(
                written=config,
                full={"halls": {}, "services": {}, "pools": {}, "tenants": {}, "matches": []},
                warnings=(),
            )
        ),
    ),
    "probes": _method(
        active_health.Prober,
        "_move",
        lambda old: lambda self, *, now, probed, event: old(self, now=now, probed=probed, event="pass"),
    ),
    "whole-pass": _method(
        pages_module,
        "join_pages",
        lambda old: (
            lambda *, pages: pages_module.CompleteList(
                epoch=pages[0]["epoch"],
                revision=pages[-1]["revision"],
                workers=[row for page in pages for row in page["workers"]],
            )
        ),
    ),
    "new-identity": _method(voter, "make_identity", lambda old: lambda *, name, nonce: name),
    "sync-final": _method(write_ahead.WriteAhead, "receive", _failures_unheard),
    "blocking": _method(lease, "blocking_of", lambda old: proposer.majority_of),
    "leaving": _method(endpoint_table.EndpointTable, "step", _never_leaving),
    "disk-votes": _method(write_ahead.WriteAhead, "receive", _failures_unheard),
    "last-resort": _method(load_balancer, "share_zones", _no_last_resort),
    "copy": _method(copying.Copying, "slots", lambda old: lambda self, *, now, own=None: {}),
    "repair": _constant("VOTER_REPLACEMENT_DELAY", 1e9),
    "closing": _method(shard_assignment.ShardAssignment, "_judge", _opens_at_once),
    "witness": _method(quiescence.Quiescence, "check", lambda old: lambda self, *, closing, slot: None),
    "refit": _method(proxied_requests, "refit_exchange", lambda old: lambda *, exchange, plan: None),
    "lower-start": _method(
        peer_table,
        "_is_newer",
        lambda old: (
            lambda *, entry, known: (entry["start"], entry["beat"]) > (known.entry["start"], known.entry["beat"])
        ),
    ),
    "self-doubt": _constant("SELF_SUSPICION_RATIO", 2.0),
    "fair-queues": _method(fair_queues.FairQueues, "step", _one_queue),
    "hot-bound": _constant("HOT_KEY_SHARE", 1e9),
    "first-quorum": _method(proposer, "fast_of", lambda old: lambda *, members: 2),
    "majority-kept": _method(admin_api, "keeps_majority", lambda old: lambda *, text, well: True),
    "merge": _method(
        membership, "merge_survivors", lambda old: lambda *, slots, told, now: old(slots=slots, told=[], now=now)
    ),
    "doubt": _method(routing_state.RoutingState, "has_unknown_outcomes", lambda old: lambda self, *, now: False),
    "told-back": _method(learner.Learner, "send", lambda old: lambda self, *, to, name: []),
    "fence": _method(membership.Membership, "is_out", lambda old: lambda self, *, value: False),
    "slots-last-resort": _method(
        shard_assignment.ShardAssignment, "_tiers", lambda old: lambda self, **pool: old(self, **pool)[:2]
    ),
    "abort": _method(network.Network, "delivers", lambda old: lambda self, *, given_up: True),
    "copies": _method(idempotency, "spread_copy", lambda old: lambda **_: []),
    "copies-home": _method(result_replicas, "may_keep", lambda old: lambda *, region, homes: True),
    "key-age": _method(exchange_module, "judge_key", lambda old: lambda **_: None),
    "clocks": _method(
        routing_state.RoutingState,
        "clock",
        lambda old: (
            lambda self, *, now: (
                now
                + self.walls[
                    "controller-1#" + next(name for name in self.walls if name.startswith("controller-1")).split("#")[1]
                ][1]
                if self.walls
                else None
            )
        ),
    ),
    "known": _method(write_ahead.WriteAhead, "know", lambda old: lambda self, *, ballot, value: []),
    "word": _method(
        proxied_requests, "answer_refusal", lambda old: lambda **fields: dataclasses.replace(old(**fields), headers={})
    ),
    "gives-up": _method(proxied_requests.ProxiedRequests, "_on_timer", lambda old: lambda self, *, now, acting: []),
    "stops": _method(tenant_proxy.TenantProxy, "_check_shutdown", lambda old: lambda self, *, now: []),
    "told-lost": _method(
        proposer.Proposer,
        "_judge_votes",
        lambda old: (
            lambda self, *, operation: (
                proposer.Refused(reason="number", value=operation.value, ballot=operation.ballot)
                if operation.begin.text
                else old(self, operation=operation)
            )
        ),
    ),
    "damage-seen": _method(disk, "read_frames", _cut_at_damage),
    "cap": _constant("MAX_DRAINED_ZONES_RATIO", 1.0),
}
