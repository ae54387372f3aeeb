"""Grants to workers that send surplus responses: bytes on a kept-alive connection that answer no request."""

from __future__ import annotations

import pytest

from sailward.control.shards.grant_calls import GrantCalls
from sailward.events import CallFinished, StartCall
from tests.test_granting import KEYS, Granter, World

SURPLUS_DELAY = 0.0005
"""s. The surplus response was on the connection before the call that it is taken to answer was sent."""


class SurplusWorld(World):
    """Each worker sends a second response after each grant.

    It is read as the response to the next call on that connection.
    """

    def call(self, *, granter: Granter, call: StartCall) -> None:
        super().call(granter=granter, call=call)
        if not call.fresh and any(earlier.owner == call.owner for _, earlier in self.calls[:-1]):
            surplus = CallFinished(token=call.token, code=200, headers={}, body=b"", fault="", sent=True)
            self.at(delay=SURPLUS_DELAY, act=lambda: self.step(granter=granter, event=surplus))


def drain_beside_surplus_answers(*, seed: int) -> SurplusWorld:
    """Workers leave one after the other while all send surplus responses."""
    world = SurplusWorld(seed=seed, slowest=0.03)
    world.run(seconds=5.0)
    for worker in world.workers[:2]:
        worker.is_leaving = True
        world.run(seconds=3.0)
    return world


@pytest.mark.parametrize("seed", range(3))
def test_surplus_response_is_not_taken_for_the_end_of_a_release(seed: int) -> None:
    world = drain_beside_surplus_answers(seed=seed)
    assert world.overlaps == []
    assert world.held_keys() == KEYS and not any(world.keys_of(worker=worker) for worker in world.workers[:2])


def test_release_on_a_kept_alive_connection_is_confirmed_too_soon(monkeypatch: pytest.MonkeyPatch) -> None:
    def call_on_kept_alive(self, **arguments: object) -> str:
        token = original(self, **arguments)
        object.__setattr__(arguments["commands"][-1], "fresh", False)
        return token

    original = GrantCalls._call
    monkeypatch.setattr(GrantCalls, "_call", call_on_kept_alive)
    assert any(drain_beside_surplus_answers(seed=seed).overlaps for seed in range(3))
