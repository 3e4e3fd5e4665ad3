"""Simulated connections from controllers to services and to one another, with network faults."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from functools import partial
from typing import TYPE_CHECKING, Any, NoReturn

import anyio
import cbor2

from dapplewick.transport import http_client
from dapplewick.transport.peer import MAX_FRAME_BYTES
from standins import recorder

if TYPE_CHECKING:
    from standins.world import World


Deliver = Callable[[], Awaitable[Any]]


class Wire:
    """The connection from one controller to a service.

    `World.modes` sets the fault that is injected into it, if any.
    """

    def __init__(
        self, world: World, controller: str, service: Any, errors: Any = http_client
    ) -> None:
        self.world = world
        self.controller = controller
        self.service = service
        self.errors = errors  # the exception classes of the controller's version

    async def request(
        self, method: str, target: str, body: bytes | None, timeout_s: float
    ) -> tuple[int, bytes]:
        kind = "state" if self.service is self.world.state else "cloud"
        recorder.record(
            "request", sender=self.controller, service=kind, method=method, target=target, body=body
        )
        await self.world.wait_until_resumed(self.controller)
        try:
            return await self._request(method, target, body, timeout_s)
        finally:
            # A paused controller processes the answer when it resumes.
            await self.world.wait_until_resumed(self.controller)

    async def _request(
        self, method: str, target: str, body: bytes | None, timeout_s: float
    ) -> tuple[int, bytes]:
        mode = self.world.mode(self.controller, self.service)
        random_ = self.world.random
        state = self.service is self.world.state
        await anyio.sleep(
            (0.002 + random_.random() * 0.004) * (self.world.state_delay_factor if state else 1.0)
        )
        if mode == "refused":
            return 503, b"{}"
        deliver = partial(self.service.answer, method, target, body)
        if mode == "held":
            if "/changes" not in target:
                self.world.group.start_soon(self._deliver_after_cut, deliver)
            await self._sleep_and_time_out(timeout_s)
        if mode == "cut":
            await anyio.sleep(timeout_s)
            known_unsent = random_.random() >= 0.5
            raise (self.errors.RequestNotSentError if known_unsent else self.errors.HttpError)(
                "timeout"
            )
        lossy = mode == "lossy" and "/changes" not in target
        if lossy and random_.random() < 0.3:
            # The request is executed late, or at once with its answer lost.
            delay = random_.choice([0.0, 1.0, 5.0, 20.0])
            self.world.group.start_soon(self._deliver_after, delay, deliver)
            await self._sleep_and_time_out(timeout_s)
        if state and target == "/multi" and random_.random() < self.world.lost_answers:
            # The transaction is executed at once; only its answer is lost.
            await deliver()
            await self._sleep_and_time_out(timeout_s)
        if state and target == "/multi" and self.world.transaction_is_late(self.controller, body):
            # The transaction times out and is executed after newer ones of this controller.
            self.world.group.start_soon(self._deliver_out_of_order, deliver)
            await self._sleep_and_time_out(timeout_s)
        with anyio.move_on_after(timeout_s):
            answer: tuple[int, bytes] = await deliver()
            if "/changes" in target and self.world.mode(self.controller, self.service) == "refused":
                # An open watch gets no events while the state service refuses this controller,
                # as in an outage.
                await anyio.sleep(timeout_s)
            return answer
        raise self.errors.HttpError("timeout")

    async def _sleep_and_time_out(self, timeout_s: float) -> NoReturn:
        await anyio.sleep(timeout_s)
        raise self.errors.HttpError("timeout")

    async def _deliver_after_cut(self, deliver: Deliver) -> None:
        """Buffer the request and deliver it when the partition ends."""
        while self.world.mode(self.controller, self.service) == "held":
            await anyio.sleep(0.05)
        await deliver()

    async def _deliver_after(self, delay: float, deliver: Deliver) -> None:
        await anyio.sleep(delay)
        await deliver()

    async def _deliver_out_of_order(self, deliver: Deliver) -> None:
        await anyio.sleep(self.world.random.uniform(2.0, 12.0))
        await deliver()


class Link:
    """The connection from one controller to another; keeps the latest message of each kind."""

    def __init__(self, world: World, sender: str, port: int) -> None:
        self.world = world
        self.sender = sender
        self.target = f"n{port - 100}"
        self.latest_by_kind: dict[str, Any] = {}

    def post(self, kind: str, message: dict[str, Any]) -> None:
        self.latest_by_kind[kind] = cbor2.dumps(message)

    async def request(self, message: dict[str, Any], timeout_s: float) -> dict[str, Any] | None:
        recorder.record("ask", sender=self.sender, target=self.target, message=message)
        controller = self.world.controllers.get(self.target)
        with anyio.move_on_after(timeout_s):
            if controller is None or {self.sender, self.target} & self.world.cut_peers:
                await anyio.sleep(timeout_s)
                return None
            await anyio.sleep(0.005)
            answer = await controller.on_request(cbor2.loads(cbor2.dumps(message)))
            decoded: dict[str, Any] | None = cbor2.loads(cbor2.dumps(answer))
            return decoded
        return None

    ask = request  # earlier versions of the controller call it by this name

    async def run(self) -> None:
        while True:
            await anyio.sleep(0.02 + self.world.random.random() * 0.03)
            await self.world.wait_until_resumed(self.sender)
            batch, self.latest_by_kind = list(self.latest_by_kind.values()), {}
            for frame in batch:
                recorder.record(
                    "frame", sender=self.sender, target=self.target, message=cbor2.loads(frame)
                )
            controller = self.world.controllers.get(self.target)
            if controller is None or {self.sender, self.target} & self.world.cut_peers:
                continue
            for frame in batch:
                if len(frame) > MAX_FRAME_BYTES:
                    continue  # the real connection refuses such a frame
                if self.target in self.world.paused:
                    self.world.held_messages.setdefault(self.target, []).append(frame)
                else:
                    controller.on_message(cbor2.loads(frame))
