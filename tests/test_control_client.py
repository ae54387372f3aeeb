"""A proxy's client of the controllers: which it polls, which it follows, and which it drops."""

from __future__ import annotations

from sailward import constants
from sailward.events import SendMessage
from sailward.proxy.control_client import ControlClient

CONTROLLERS = [
    ["c-home", "north-a", "north"],
    ["c-near", "north-b", "north"],
    ["c-far", "south-a", "south"],
    ["c-far2", "south-b", "south"],
]


class ControllerSet:
    """Controllers that answer after 20 ms unless they are silent, and a control client stepped on each tick."""

    def __init__(self, *, seeds: tuple = ("c-far", "c-near", "c-far2"), listed: list | None = None) -> None:
        self.control_client = ControlClient(zone="north-a", region="north", seeds=seeds)
        self.now, self.silent, self.polled, self.listed = 100.0, set(), [], listed

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self.now < end:
            for command in self.control_client.step(now=self.now, sender=None, body={"kind": "ask"}):
                if isinstance(command, SendMessage):
                    self.polled.append((self.now, command.to))
                    if command.to not in self.silent:
                        self.control_client.step(now=self.now + 0.02, sender=command.to, body={})
            if (
                self.listed
                and self.control_client.followed_controller
                and self.control_client.followed_controller not in self.silent
            ):
                self.control_client.update_controllers(controllers=self.listed)
            self.now += constants.TICK_INTERVAL

    def polled_since(self, since: float) -> set:
        return {to for at, to in self.polled if at >= since}


def test_only_seeds_are_polled_at_first_and_one_that_answers_is_followed() -> None:
    core = ControllerSet()
    core.run(3.0)
    assert core.polled_since(0) <= {
        "c-far",
        "c-near",
        "c-far2",
    } and core.control_client.followed_controller in core.polled_since(0)


def test_it_moves_to_the_nearest_controller_it_learns_of() -> None:
    core = ControllerSet(listed=CONTROLLERS)
    core.run(6.0)
    assert core.control_client.followed_controller == "c-home"
    assert core.polled_since(core.now - 2.0) == {"c-home", "c-near"}


def test_no_more_controllers_are_polled_than_needed() -> None:
    core = ControllerSet(listed=CONTROLLERS)
    core.run(20.0)
    rounds = 10.0 / constants.POLL_INTERVAL
    assert len([at for at, _ in core.polled if at >= 110.0]) <= rounds * constants.CONTROLLERS_POLLED


def test_a_silent_controller_is_replaced_quickly_and_followed_again_when_it_answers() -> None:
    core = ControllerSet(listed=CONTROLLERS)
    core.run(6.0)
    core.silent = {"c-home"}
    core.run(constants.CONTROLLER_TIMEOUT + 2 * constants.POLL_INTERVAL)
    assert core.control_client.followed_controller == "c-near" and core.control_client.has_recent_answer(now=core.now)
    core.silent = set()
    core.run(3 * constants.POLL_TIMEOUT + 1.0)
    assert core.control_client.followed_controller == "c-home"


def test_it_follows_another_region_if_its_own_is_silent() -> None:
    core = ControllerSet(listed=CONTROLLERS)
    core.run(6.0)
    core.silent = {"c-home", "c-near"}
    core.run(5.0)
    assert core.control_client.followed_controller in ("c-far", "c-far2")


def test_with_no_controller_it_keeps_polling_all_and_recovers() -> None:
    core = ControllerSet(listed=CONTROLLERS)
    core.run(6.0)
    core.silent = {post for post, _, _ in CONTROLLERS}
    begun = core.now
    core.run(10.0)
    assert not core.control_client.has_recent_answer(now=core.now) and core.polled_since(begun + 3.0) >= {
        "c-home",
        "c-near",
        "c-far",
    }
    core.silent = set()
    core.run(2 * constants.POLL_TIMEOUT + constants.POLL_INTERVAL)
    assert core.control_client.has_recent_answer(now=core.now)


def test_a_replaced_controller_is_dropped_and_its_successor_polled() -> None:
    core = ControllerSet(listed=CONTROLLERS)
    core.run(6.0)
    core.silent = {"c-home"}
    core.listed = [["c-new", "north-a", "north"], *CONTROLLERS[1:]]
    core.run(8.0)
    assert core.control_client.followed_controller == "c-new" and "c-home" not in core.control_client.controllers


def test_a_seed_that_does_not_answer_stays_known() -> None:
    core = ControllerSet(listed=CONTROLLERS[:2], seeds=("c-seed",))
    core.control_client.update_controllers(controllers=CONTROLLERS[:2])
    core.silent = {"c-seed"}
    core.run(8.0)
    assert "c-seed" in core.control_client.controllers and core.control_client.followed_controller == "c-home"


def test_each_poll_has_its_own_sequence_number() -> None:
    control_client = ControlClient(zone="north-a", region="north", seeds=("a", "b", "c"))
    polls = [
        command
        for at in range(9)
        for command in control_client.step(now=100.0 + at, sender=None, body={"kind": "ask"})
        if isinstance(command, SendMessage)
    ]
    assert len({command.body["seq"] for command in polls}) == len(polls) > 9
