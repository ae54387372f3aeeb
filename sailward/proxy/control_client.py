"""A proxy's client of the controllers: polls the two nearest that answer and have quorum contact.

Each answer says whether its controller has contact with a majority of the voters; an answer of the previous version,
which lacks the field, counts as yes. A controller without contact is not followed while one with contact can be
reached. If no controller with contact has answered for LAST_RESORT_DELAY, the nearest that answers at all is followed:
the state it holds was chosen by a quorum once, and serving with the last known state is better than not serving.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from sailward import constants
from sailward.events import Command, LogEvent, SendMessage
from sailward.wire_types import Message

NEVER = -1e9


@dataclass(kw_only=True)
class ControllerState:
    """A controller that this proxy knows."""

    post: str
    zone: str = ""
    region: str = ""
    last_polled_at: float = NEVER
    unanswered_polls: int = 0
    last_reply_at: float = NEVER
    has_contact: bool = True
    last_named_at: float = NEVER


@dataclass(kw_only=True)
class ControlClient:
    """Keeps the known controllers and polls them.

    `step` takes the sender of an answer, or None on a timer tick; the proxy uses the lists that `followed_controller`
    sends.
    """

    zone: str
    region: str
    seeds: tuple
    controllers: dict = field(default_factory=dict)
    followed_controller: str = ""
    seq: int = 0
    next_poll_at: float = NEVER
    first_poll_at: float = NEVER
    last_contact_at: float = NEVER

    def step(self, *, now: float, sender: str | None, body: Message) -> list[Command]:
        """Record the controller that answered, or send this body to the controllers that are due for a poll."""
        if sender is not None:
            controller = self.controllers.setdefault(sender, ControllerState(post=sender))
            controller.last_reply_at, controller.unanswered_polls = now, 0
            controller.has_contact = body.get("contact") is not False
            self.last_contact_at = now if controller.has_contact else self.last_contact_at
            self._add_named_controllers(named=body.get("controllers", []))
            location = body.get("view", {}).get("place")
            if isinstance(location, list) and len(location) == 2:
                controller.zone, controller.region = location
            previously_followed, commands = self.followed_controller, self._choose_followed_controller(now=now)
            if self.followed_controller != previously_followed:
                self.next_poll_at = NEVER
            return commands
        if now < self.next_poll_at:
            return []
        self.next_poll_at = now + (
            constants.POLL_INTERVAL if self.followed_controller else constants.INITIAL_POLL_INTERVAL
        )
        self.first_poll_at = self.first_poll_at if self.first_poll_at != NEVER else now
        for seed in self.seeds:
            self.controllers.setdefault(seed, ControllerState(post=seed))
        commands = self._choose_followed_controller(now=now)
        for controller in self._controllers_to_poll(now=now):
            self.seq += 1
            controller.last_polled_at, controller.unanswered_polls = now, controller.unanswered_polls + 1
            commands.append(SendMessage(to=controller.post, body={**body, "seq": self.seq}))
        return commands

    def update_controllers(self, *, controllers: list) -> None:
        """Apply the list of controllers that a controller sent: [[post, zone, region], ...].

        Controllers that are not in the list are dropped, unless they may still answer or are seeds.
        """
        listed = {post: (zone, region) for post, zone, region in controllers}
        for post, (zone, region) in listed.items():
            controller = self.controllers.setdefault(post, ControllerState(post=post))
            controller.zone, controller.region, controller.last_named_at = zone, region, self.next_poll_at
        self.controllers = {
            post: controller
            for post, controller in self.controllers.items()
            if post in listed or post in self.seeds or self._may_answer(controller=controller)
        }

    def _add_named_controllers(self, *, named: object) -> None:
        """Record the other controllers that a controller without quorum contact names."""
        for row in named if isinstance(named, list) else ():
            if isinstance(row, list) and len(row) == 3 and all(isinstance(item, str) for item in row):
                post, zone, region = row
                if post not in self.controllers:
                    self.controllers[post] = ControllerState(post=post, zone=zone, region=region)
                    self.next_poll_at = NEVER

    def is_last_resort(self, *, now: float) -> bool:
        """Has no controller with contact answered for so long that one without contact is followed?"""
        return (
            self.first_poll_at != NEVER
            and now - max(self.first_poll_at, self.last_contact_at) > constants.LAST_RESORT_DELAY
        )

    def has_recent_answer(self, *, now: float) -> bool:
        """Has any controller answered within CONTROLLER_TIMEOUT?"""
        return any(
            now - controller.last_reply_at < constants.CONTROLLER_TIMEOUT for controller in self.controllers.values()
        )

    def _may_answer(self, *, controller: ControllerState) -> bool:
        """Has it not missed too many polls, and was it named or has it answered within PEER_TTL?"""
        return (
            controller.unanswered_polls < constants.MAX_LOST_POLLS
            and self.next_poll_at - max(controller.last_reply_at, controller.last_named_at) < constants.PEER_TTL
        )

    def _distance(self, controller: ControllerState) -> tuple:
        return (controller.zone != self.zone, controller.region != self.region, controller.zone == "", controller.post)

    def _is_rarely_polled(self, *, controller: ControllerState, now: float) -> bool:
        """Is it polled only now and then, as it does not answer or has no quorum contact?"""
        if not controller.has_contact and (
            controller.post != self.followed_controller or not self.is_last_resort(now=now)
        ):
            return True
        return (
            controller.unanswered_polls >= constants.MAX_LOST_POLLS
            and now - controller.last_reply_at > constants.CONTROLLER_TIMEOUT
        )

    def _choose_followed_controller(self, *, now: float) -> list[Command]:
        reachable = [
            controller
            for controller in self.controllers.values()
            if now - controller.last_reply_at < constants.CONTROLLER_TIMEOUT
        ]
        trusted = [controller for controller in reachable if controller.has_contact]
        reachable = trusted if trusted or not self.is_last_resort(now=now) else reachable
        followed = self.controllers.get(self.followed_controller)
        best = min(reachable, key=self._distance, default=None)
        if best is None or best.post == self.followed_controller:
            return []
        if (
            not self.followed_controller
            and best.zone != self.zone
            and now - self.first_poll_at < constants.SAME_ZONE_CONTROLLER_WAIT
        ):
            # a nearer controller may answer soon: its lists do not have to cross regions
            return []
        if followed is not None and followed in reachable and self._distance(followed)[:2] <= self._distance(best)[:2]:
            return []
        self.followed_controller = best.post
        return [LogEvent(event="leads", fields={"controller": best.post, "hall": best.zone or "unknown"})]

    def _controllers_to_poll(self, *, now: float) -> list[ControllerState]:
        answering = sorted(
            (
                controller
                for controller in self.controllers.values()
                if not self._is_rarely_polled(controller=controller, now=now)
            ),
            key=self._distance,
        )
        chosen = answering[: constants.CONTROLLERS_POLLED]
        # these controllers are polled now and then, the least recently polled first, then the nearest
        rarely_polled = sorted(
            (
                controller
                for controller in self.controllers.values()
                if self._is_rarely_polled(controller=controller, now=now)
                and now - controller.last_polled_at >= constants.POLL_TIMEOUT
            ),
            key=lambda controller: (controller.last_polled_at, self._distance(controller)),
        )
        if len(answering) < constants.CONTROLLERS_POLLED:
            return chosen + rarely_polled
        return chosen + rarely_polled[:1]
