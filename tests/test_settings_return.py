"""Settings that go and return while a proxy uses them: the configuration in force decides, never one before it."""

from __future__ import annotations

import copy
import json

from hypothesis import given, settings
from hypothesis import strategies as st

from sailward import constants
from sailward.events import CallFinished, Respond, StartCall
from sailward.routing.shards import OPEN, Shard, ShardTable, write_shards
from tests.core_net import make_written
from tests.fuzz_kit import BOUNDED
from tests.test_extreme_numbers import documents
from tests.test_proxy import ProxyHarness

KEY = 5
OWNER = "red-gdl-a"
ROWS = [
    {
        "id": f"{service}-{zone}",
        "generation": 0,
        "service": service,
        "address": f"10.9.{number}.{at}:80",
        "hall": zone,
        "leaving": False,
        "capacity": 4,
        "cold_s": 0.0,
    }
    for number, service in enumerate(("red", "white"))
    for at, zone in enumerate(("gdl-a", "gdl-b", "ens-a"))
]
TABLE = ShardTable(
    granter="c0#1",
    takeover_number=1,
    fencing_token=2,
    shards=(Shard(start=0, end=65535, owner=OWNER, fencing_token=1, state=OPEN),),
)
ROUTES = [("one.example", "/p0/x"), ("two.example", "/p1/x"), ("one.example", "/p2/x"), ("two.example", "/p3/x")]
RECOVERY_S = 6.0
"""s after which what an earlier configuration caused must be over."""


class ServingProxy(ProxyHarness):
    """A proxy whose workers answer at once, by the platform's rules; `is_sharded`: the workers of `red` hold keys."""

    def __init__(self, *, is_sharded: bool) -> None:
        super().__init__()
        self.is_sharded, self.number, self.codes = is_sharded, 0, {}
        self.run(3.0)
        self.apply(self.right_document())
        self.push("slots/red", json.loads(write_shards(table=TABLE)))
        self.push("workers", ROWS)
        self.push(
            "fleet", {"proxies": [["p0", "10.0.0.9:8641", "gdl-a", "gdl", True]], "cellars": [["c0", "gdl-a", "gdl"]]}
        )

    def right_document(self) -> dict:
        """The configuration that suits the workers."""
        document = make_written(label=1)
        document["pools"][0]["sharded"], document["pools"][1]["sharded"] = self.is_sharded, False
        return document

    def apply(self, document: dict) -> None:
        """A configuration comes into force."""
        self.number += 1
        self.serve(self.push("config", {"written": {**document, "generation": f"r{self.number}"}}, number=self.number))

    def evacuate(self, zones: list[str]) -> None:
        """These zones are evacuated from now on, all others are not."""
        self.number += 1
        self.serve(self.push("orders", {"emptied": zones}, number=self.number))

    def wait(self, seconds: float) -> None:
        """Let time pass."""
        for _ in range(round(seconds / constants.TICK_INTERVAL)):
            self.serve(self.run(constants.TICK_INTERVAL))

    def ask_all(self) -> list[int]:
        """Send a request on each route; returns the codes of those answered at once."""
        tokens = []
        for host, path in ROUTES:
            headers = {"host": host, "attempt-id": f"a{self.count}", "time-budget": "2000", "shard-key": str(KEY)}
            commands = self.ask("front", path, headers=headers)
            tokens.append(f"front {self.count}")
            self.serve(commands)
            self.wait(0.1)
        return [self.codes.get(token, 0) for token in tokens]

    def serve(self, commands: list) -> None:
        """Answer all calls among the commands, and those that the answers cause."""
        waiting = list(commands)
        while waiting:
            command = waiting.pop(0)
            if isinstance(command, Respond):
                assert command.token not in self.codes
                self.codes[command.token] = command.code
            elif isinstance(command, StartCall):
                waiting += self.give(self._result_of(command))

    def _result_of(self, call: StartCall) -> CallFinished:
        code, headers = 200, {"instance-id": call.owner}
        if not call.token.startswith("probe "):
            headers = {"attempt-id": call.headers["attempt-id"], "server-seal": "x"}
            if self.is_sharded and call.owner.startswith("red") and call.owner != OWNER:
                code, headers = 421, {"attempt-id": call.headers["attempt-id"], "not-executed": "1"}
        return CallFinished(token=call.token, code=code, headers=headers, body=b"", fault="", sent=True)


@st.composite
def changed_documents(draw: st.DrawFn) -> dict:
    """A proper configuration with extreme numbers, and with other settings taken away or changed."""
    document = copy.deepcopy(draw(documents() | st.just(make_written(label=1))))
    for pool in document["pools"]:
        pool["sharded"] = draw(st.booleans())
        for name in draw(st.lists(st.sampled_from(["health_path", "max_conns", "cold_s", "cold_rate_s"]), max_size=2)):
            pool.pop(name, None)
    for listener in document["listeners"]:
        for rule in listener["ruleset"]:
            rule["route_kind"] = draw(st.sampled_from(["idempotent", "nonidempotent"]))
            rule["verdict"]["home_regions"] = draw(st.sampled_from([[], ["gdl"], ["ens"], ["atlantis"]]))
        if draw(st.booleans()):
            listener["ruleset"] = listener["ruleset"][:1]
    if draw(st.booleans()):
        document.pop("limits", None)
    return document


STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("apply"), changed_documents()),
        st.tuples(st.just("evacuate"), st.lists(st.sampled_from(["gdl-a", "gdl-b", "ens-a"]), unique=True, max_size=2)),
        st.tuples(st.just("wait"), st.sampled_from([0.1, 1.0, 4.0])),
        st.tuples(st.just("ask"), st.integers(1, 4)),
    ),
    max_size=10,
)


# Guards against any trace of an earlier configuration, as workers that were taken for strangers while a setting was
# missing, or that stayed in slow start for as long as an earlier version said.
@settings(BOUNDED, max_examples=150)
@given(is_sharded=st.booleans(), steps=STEPS)
def test_whatever_was_in_force_the_right_configuration_is_served_in_full(is_sharded: bool, steps: list) -> None:
    proxy = ServingProxy(is_sharded=is_sharded)
    for verb, value in steps:
        if verb == "ask":
            for _ in range(value):
                proxy.ask_all()
        else:
            getattr(proxy, verb)(value)
    proxy.evacuate([])
    proxy.apply(proxy.right_document())
    proxy.wait(RECOVERY_S)
    for _ in range(4):
        assert proxy.ask_all() == [200] * len(ROUTES)
    proxy.wait(constants.DEFAULT_REQUEST_TIMEOUT)
    assert len(proxy.codes) == sum(token.startswith("front ") for token in proxy.codes)
    assert not proxy.proxy.forwarder.live
