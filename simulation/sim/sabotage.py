"""Patches that disable one safeguard each: a scenario must fail without the safeguard that it tests."""

from __future__ import annotations

import contextlib
import dataclasses
from collections.abc import Callable, Iterator
from unittest import mock

from sailward import constants
from sailward.config import check as check_module
from sailward.config.check import ValidConfig
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
    fair_queues,
    idempotency,
    lease,
    load_balancer,
    proxied_requests,
    rate_limits,
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


@contextlib.contextmanager
def _end_at_once() -> Iterator[None]:
    """A stopping proxy neither waits for its requests nor answers those that are left: either alone drops none."""
    requests = proxied_requests.ProxiedRequests
    with (
        mock.patch.object(constants, "STOP_GRACE", 0.0),
        mock.patch.object(requests, "end_all", lambda self, *, now: []),
    ):
        yield


def _reply_before_sync(old):
    def step(self, *, records, replies):
        return [*old(self, records=records, replies=[]), *replies]

    return step


def _win_every_claim(old):
    def begin(self, *, now, request):
        return [], [], [idempotency.Won(request=request)]

    return begin


def _forget_generations(old):
    def step(self, *, epoch, revision, workers):
        self.newest_generation, self.generation_states, self.revision = {}, {}, (-1, -1)
        result = old(self, epoch=epoch, revision=revision, workers=workers)
        self.revision = (-1, 0)
        return result

    return step


def _ignore_home_regions(old):
    def zone_views(self, *, now, service, tenant):
        return old(self, now=now, service=service, tenant=None)

    return zone_views


def _pick_pool_by_health(old):
    def step(self, *, now, request):
        healthy = [
            name
            for name, weight in request.match.shares
            if weight
            and any(
                view.healthy_fraction >= constants.ZONE_SPILL_THRESHOLD
                and zone in self.routing_state.plan.pools[name].preferred
                for zone, view in self.routing_state.zone_views(
                    now=now, service=request.service.name, tenant=request.tenant
                ).items()
            )
        ]
        request.pool = request.pool or (healthy[0] if healthy else "")
        return old(self, now=now, request=request)

    return step


def _accept_older_values(old):
    def step(self, *, name, ballot, value):
        is_news = name not in self.values or value["mark"] != self.values[name].value["mark"]
        self.values[name] = learner.LearnedValue(ballot=ballot, value=value)
        return is_news

    return step


def _ignore_expected_number(old):
    def judge(self, *, now, operation):
        value = proposer.possibly_chosen_value(votes=list(operation.answers.values()), members=operation.voters)
        object.__setattr__(operation.request, "expected", value["number"])
        return old(self, now=now, operation=operation)

    return judge


def _treat_failed_sync_as_done(old):
    def receive(self, *, event):
        return old(self, event=RecordsSynced(seq=event.seq) if isinstance(event, DiskWriteFailed) else event)

    return receive


def _ignore_leaving_marks(old):
    def step(self, *, epoch, revision, workers):
        return old(self, epoch=epoch, revision=revision, workers=[{**row, "leaving": False} for row in workers])

    return step


def _accept_any_identity(old):
    def judge(*, request, event):
        own_headers = {"sailward-worker": request.worker, "sailward-exchange": request.exchange_id}
        return old(request=request, event=dataclasses.replace(event, headers={**event.headers, **own_headers}))

    return judge


def _remove_last_resort(old):
    def share(*, pool, views):
        excluded = weighted_draw._drained_within_cap(pool=pool, views=views)
        return old(pool=pool, views={zone: view for zone, view in views.items() if zone not in excluded})

    return share


def _move_shard_at_once(old):
    def judge(self, *, service, space, slot, old, context, **more):
        best = self._best_owner(service=service, space=space, slot=slot, context=context)
        return old if best in ("", old.owner) else dataclasses.replace(old, owner=best, term=old.term + 1)

    return judge


def _use_one_queue(old):
    def step(self, *, name, item, share=1):
        return old(self, name="", item=item, share=1)

    return step


def _treat_bad_as_unsent(old):
    def judge(*, request, event):
        verdict = old(request=request, event=event)
        return response_check.Unsent(reason=verdict.reason) if isinstance(verdict, response_check.Bad) else verdict

    return judge


def _truncate_at_damage(old):
    def read(*, data):
        found = old(data=data)
        return old(data=data[: found.offset]) if isinstance(found, DamagedFile) else found

    return read


SAFEGUARD_PATCHES: dict[str, Callable] = {
    "lease": _constant("LEASE_DURATION", 1e9),
    "drain": _constant("ZONE_DRAIN_THRESHOLD", -1.0),
    "spill": _constant("ZONE_SPILL_THRESHOLD", 1e-9),
    "hold": _constant("ZONE_HOLD_DOWN", 0.0),
    "grace": _end_at_once,
    "sync": _method(write_ahead.WriteAhead, "step", _reply_before_sync),
    "claim": _method(idempotency.Claims, "_on_request", _win_every_claim),
    "sticky": _method(endpoint_table.EndpointTable, "step", _forget_generations),
    "homes": _method(routing_state.RoutingState, "zone_views", _ignore_home_regions),
    "draw-first": _method(load_balancer.LoadBalancer, "step", _pick_pool_by_health),
    "never-older": _method(learner.Learner, "step", _accept_older_values),
    "expected": _method(proposer.Proposer, "_evaluate_promises", _ignore_expected_number),
    "at-most-once": _method(proxied_requests, "judge_result", _treat_bad_as_unsent),
    "whole-result": _method(response_check, "_find_fault", lambda old: lambda *, request, event: ""),
    "identity": _method(proxied_requests, "judge_result", _accept_any_identity),
    "try-budget": _method(
        attempt_budget.AttemptBudget, "step", lambda old: lambda self, *, now, is_first, is_client_retry=False: "first"
    ),
    "cold-bound": _method(rate_limits.RateLimits, "step", lambda old: lambda self, **_: True),
    "promise": _method(proxied_requests, "may_promise_not_run", lambda old: lambda *, event: True),
    "check": _method(
        check_module,
        "check_config",
        lambda old: (
            lambda *, config: ValidConfig(
                written=config,
                full={"halls": {}, "services": {}, "pools": {}, "tenants": {}, "matches": []},
                warnings=(),
            )
        ),
    ),
    "probes": _method(
        active_health.Prober,
        "_transition",
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
    "sync-final": _method(write_ahead.WriteAhead, "receive", _treat_failed_sync_as_done),
    "blocking": _method(lease, "blocking_size", lambda old: proposer.majority_size),
    "leaving": _method(endpoint_table.EndpointTable, "step", _ignore_leaving_marks),
    "disk-votes": _method(write_ahead.WriteAhead, "receive", _treat_failed_sync_as_done),
    "last-resort": _method(load_balancer, "share_zones", _remove_last_resort),
    "copy": _method(copying.Copying, "merge_votes", lambda old: lambda self, *, now, own=None: {}),
    "repair": _constant("VOTER_REPLACEMENT_DELAY", 1e9),
    "closing": _method(shard_assignment.ShardAssignment, "_next_state", _move_shard_at_once),
    "witness": _method(quiescence.Quiescence, "check", lambda old: lambda self, *, closed_slot, slot: None),
    "refit": _method(proxied_requests, "rematch_request", lambda old: lambda *, request, plan: None),
    "lower-start": _method(
        peer_table,
        "_is_newer",
        lambda old: lambda *, entry, peer: (entry["start"], entry["beat"]) > (peer.entry["start"], peer.entry["beat"]),
    ),
    "self-doubt": _constant("SELF_SUSPICION_RATIO", 2.0),
    "fair-queues": _method(fair_queues.FairQueues, "step", _use_one_queue),
    "hot-bound": _constant("HOT_KEY_SHARE", 1e9),
    "first-quorum": _method(proposer, "fast_quorum_size", lambda old: lambda *, members: 2),
    "majority-kept": _method(admin_api, "keeps_majority", lambda old: lambda *, text, well: True),
    "merge": _method(
        membership,
        "merge_survivor_votes",
        lambda old: lambda *, slots, survivor_votes, now: old(slots=slots, survivor_votes=[], now=now),
    ),
    "doubt": _method(routing_state.RoutingState, "has_unknown_outcomes", lambda old: lambda self, *, now: False),
    "told-back": _method(learner.Learner, "send", lambda old: lambda self, *, to, name: []),
    "fence": _method(membership.Membership, "is_removed_by", lambda old: lambda self, *, value: False),
    "slots-last-resort": _method(
        shard_assignment.ShardAssignment, "_tiers", lambda old: lambda self, **pool: old(self, **pool)[:2]
    ),
    "abort": _method(network.Network, "delivers", lambda old: lambda self, *, is_abandoned: True),
    "copies": _method(idempotency, "replicate_result", lambda old: lambda **_: []),
    "copies-home": _method(result_replicas, "may_store", lambda old: lambda *, region, homes: True),
    "key-age": _method(exchange_module, "judge_key", lambda old: lambda **_: None),
    "clocks": _method(
        routing_state.RoutingState,
        "wall_time",
        lambda old: (
            lambda self, *, now: (
                now
                + self.clock_offsets[
                    "controller-1#"
                    + next(name for name in self.clock_offsets if name.startswith("controller-1")).split("#")[1]
                ][1]
                if self.clock_offsets
                else None
            )
        ),
    ),
    "known": _method(write_ahead.WriteAhead, "store_known_voters", lambda old: lambda self, *, ballot, value: []),
    "word": _method(
        proxied_requests, "answer_refusal", lambda old: lambda **fields: dataclasses.replace(old(**fields), headers={})
    ),
    "gives-up": _method(proxied_requests.ProxiedRequests, "_on_timer", lambda old: lambda self, *, now, is_acting: []),
    "stops": _method(tenant_proxy.TenantProxy, "_check_shutdown", lambda old: lambda self, *, now: []),
    "told-lost": _method(
        proposer.Proposer,
        "_evaluate_votes",
        lambda old: (
            lambda self, *, operation: (
                proposer.Refused(reason="number", value=operation.value, ballot=operation.ballot)
                if operation.request.text
                else old(self, operation=operation)
            )
        ),
    ),
    "damage-seen": _method(disk, "read_frames", _truncate_at_damage),
    "cap": _constant("MAX_DRAINED_ZONES_RATIO", 1.0),
}
