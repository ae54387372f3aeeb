"""Settings that go and return while a tenant's fleet uses them: the right configuration is served in full."""

from __future__ import annotations

import copy

from hypothesis import given, settings
from hypothesis import strategies as st

from sailward.events import RequestReceived, Respond
from simulation.deployments import make_arriaga
from simulation.sim.faults import FaultInjector
from simulation.sim.scenario import BEGIN
from simulation.sim.world import World
from tests.fuzz_kit import BOUNDED

READY_AFTER = 8.0
"""s until a simulated fleet serves requests."""
RECOVERY_S = 16.0
"""s after which what an earlier configuration caused must be over: the ramp of slow start, and moves of shards."""
REQUESTS = 12
"""Requests to each service under each configuration: more than it has workers."""
NUMBERS = {
    "expiry_s": (0.05, 5.0),
    "rate": (0.1, 1e6),
    "cold_rate": (0.1, 1e6),
    "cold_ramp_s": (0, 3600, 5e-324),
    "result_bytes": (1, 4 << 20),
    "slots": (0, 1, 32, 1024),
}
"""The ends of the range of each number that a service may have, and further extreme values in it."""
OTHERS = {"digest_required": (True,), "timed_keys": (True,), "keys": ("by-home", "shared", "ranged")}


class TenantFleet:
    """A simulated fleet of the product's own programs, its operator and one client at its first proxy."""

    def __init__(self) -> None:
        self.world = World(deployment=make_arriaga(), seed=1)
        self.injector = FaultInjector(world=self.world)
        self.world.clock.at(BEGIN, lambda: self.injector.step(verb="ready", words=["0"]))
        self.world.clock.run(until=BEGIN + READY_AFTER)
        self.codes: dict[str, list[int]] = {}
        self.count = 0

    def run(self, *, seconds: float) -> None:
        """Advance the simulated time."""
        self.world.clock.run(until=self.world.clock.now + seconds)

    def apply(self, *, document: dict) -> int:
        """Send a configuration; returns the status code of its answer."""
        codes: list[int] = []

        def on_answer(answer: Respond | None) -> None:
            codes.append(answer.code if answer else 0)

        self.injector.operators.send_request(method="PUT", path="/config", body=document, on_answer=on_answer)
        self.run(seconds=1.5)
        [code] = codes
        return code

    def ask_all(self) -> list[str]:
        """Send a request to each service; returns their tokens."""
        tokens = []
        for service in ("stock", "orders", "notes", "deliveries"):
            self.count += 1
            token = f"http {self.count}"
            headers = {"sailward-tenant": "shops", "sailward-try": "1"}
            method = "GET"
            if service == "orders":
                method, headers = "POST", {**headers, "idempotency-key": f"k-{self.count}"}
            node = next(node for node in self.world.nodes.values() if node.location.kind == "proxy")
            event = RequestReceived(
                token=token, method=method, path=f"/{service}/{self.count}", query={}, headers=headers, body=b""
            )
            node.receive_request(
                event=event, answer=lambda answer, token=token: self.codes.setdefault(token, []).append(answer.code)
            )
            tokens.append(token)
            self.run(seconds=0.02)
        return tokens


@st.composite
def changed_documents(draw: st.DrawFn) -> dict:
    """The deployment's configuration with extreme numbers and other settings in some of its services."""
    document = copy.deepcopy(make_arriaga().config)
    for service in document["services"].values():
        for name in draw(st.lists(st.sampled_from([*NUMBERS, *OTHERS]), unique=True, max_size=len(NUMBERS))):
            service[name] = draw(st.sampled_from(NUMBERS.get(name) or OTHERS[name]))
        if service.get("keys") == "ranged":
            service["slots"] = 0
    for match in document["matches"]:
        weights = draw(st.sampled_from([(0, 1), (1, 0), (1, 1000000), (1000000, 1000000)]))
        for pool, weight in zip(match["pools"], weights, strict=True):
            pool["weight"] = weight
    for tenant in document["tenants"].values():
        tenant["share"] = draw(st.sampled_from([1, 100]))
    return document


# Guards against any trace of an earlier configuration, and any end of a daemon by numbers at the ends of their range.
@settings(BOUNDED, max_examples=12)
@given(documents=st.lists(changed_documents(), min_size=1, max_size=3), calm=st.sampled_from([0.0, 3.0]))
def test_whatever_was_in_force_the_right_configuration_is_served_in_full(documents: list, calm: float) -> None:
    fleet = TenantFleet()
    tokens = []
    for document in documents:
        assert fleet.apply(document=document) == 200
        for _ in range(REQUESTS):
            tokens += fleet.ask_all()
        fleet.run(seconds=calm)
    assert fleet.apply(document=make_arriaga().config) == 200
    fleet.run(seconds=RECOVERY_S)
    right = [token for _ in range(REQUESTS) for token in fleet.ask_all()]
    fleet.run(seconds=10.0)
    assert all(len(fleet.codes[token]) == 1 for token in [*tokens, *right])
    assert [fleet.codes[token] for token in right] == [[200]] * len(right)
