"""Injects the faults of a schedule into a soak run."""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from typing import Any

import anyio

from standins import Worker, now
from support.relay import Relay, RelayMode
from support.soak_schedule import Fault, FaultKind, Role
from support.soak_world import SoakWorld

MEAN_LEADER_LIFE_S = 0.8  # mean time until a new leader is killed
LEADER_RESTART_DELAY_S = 0.4
STATE_DELAY_FACTOR = 40.0


def target_controller(world: SoakWorld, role: Role) -> str:
    """The controller that has a role now, or a random one if none has it."""
    keys = world.state.keys
    if role is Role.LEADER and "dw/leader" in keys:
        return str(keys["dw/leader"][0]["node"])
    owners = sorted({value[0]["owner"] for key, value in keys.items() if key.startswith("dw/p/")})
    if role is Role.OWNER and owners:
        return str(world.random.choice(owners))
    return world.random.choice(world.names)


class FaultInjector:
    """Injects faults for their durations; several may be active at once."""

    def __init__(self, world: SoakWorld) -> None:
        self._world = world
        self._handlers: dict[FaultKind, Callable[[Fault], Coroutine[Any, Any, None]]] = {
            FaultKind.KILL: self._kill,
            FaultKind.LEADERS_END: self._end_leaders,
            FaultKind.PAUSE: self._pause,
            FaultKind.STATE_REFUSES: self._refuse_state,
            FaultKind.STATE_CUT: self._hold_state,
            FaultKind.STATE_OUTAGE: self._state_outage,
            FaultKind.STATE_SLOW: self._slow_state,
            FaultKind.LATE_WRITES: self._late_writes,
            FaultKind.LOST_ANSWERS: self._lose_answers,
            FaultKind.PEERS_REFUSE: self._refuse_peers,
            FaultKind.PEERS_RESET: self._reset_peers,
            FaultKind.PEERS_HELD: self._hold_one_direction,
            FaultKind.ALONE: self._leave_alone,
            FaultKind.WORKERS_CUT: self._cut_workers,
            FaultKind.MACHINES_MUTE: self._mute_machines,
            FaultKind.MACHINES_DEAF: self._deafen_machines,
            FaultKind.MACHINES_HANG: self._hang_machines,
            FaultKind.MACHINES_DIE: self._end_machines,
            FaultKind.LATE_HEARTBEATS: self._copy_heartbeats,
            FaultKind.CLOUD_OUTAGE: self._cloud_outage,
        }

    async def run(self, schedule: list[Fault]) -> None:
        """Inject all faults of a schedule."""
        started_at = now()
        async with anyio.create_task_group() as group:
            for fault in schedule:
                await anyio.sleep(max(0.0, started_at + fault.start_s - now()))
                group.start_soon(self._handlers[fault.kind], fault)

    # Controllers

    async def _kill(self, fault: Fault) -> None:
        name = target_controller(self._world, fault.role)
        self._world.crash(name)
        await anyio.sleep(fault.duration_s)
        self._world.start_controller(name)

    async def _end_leaders(self, fault: Fault) -> None:
        """Kill each new leader shortly after it is elected."""
        end = now() + fault.duration_s
        last_incarnation = None
        while now() < end:
            record = self._world.state.keys.get("dw/leader")
            if record is None or record[0]["boot"] == last_incarnation:
                await anyio.sleep(0.1)
                continue
            last_incarnation = record[0]["boot"]
            await anyio.sleep(self._world.random.uniform(0.0, 2 * MEAN_LEADER_LIFE_S))
            self._world.crash(record[0]["node"])
            await anyio.sleep(LEADER_RESTART_DELAY_S)
            self._world.start_controller(record[0]["node"])

    async def _pause(self, fault: Fault) -> None:
        await self._world.pause(target_controller(self._world, fault.role), fault.duration_s)

    # The state service and the cloud

    async def _refuse_state(self, fault: Fault) -> None:
        await self._set_state_mode(
            target_controller(self._world, fault.role), "refused", fault.duration_s
        )

    async def _hold_state(self, fault: Fault) -> None:
        await self._set_state_mode(
            target_controller(self._world, fault.role), "held", fault.duration_s
        )

    async def _set_state_mode(self, name: str, mode: str, duration_s: float) -> None:
        self._world.modes[name, "state"] = mode
        await anyio.sleep(duration_s)
        self._world.modes.pop((name, "state"), None)

    async def _state_outage(self, fault: Fault) -> None:
        self._world.state.set_down(True)
        await anyio.sleep(fault.duration_s)
        self._world.state.set_down(False)

    async def _slow_state(self, fault: Fault) -> None:
        self._world.state_delay_factor = STATE_DELAY_FACTOR
        await anyio.sleep(fault.duration_s)
        self._world.state_delay_factor = 1.0

    async def _late_writes(self, fault: Fault) -> None:
        self._world.late_writes = fault.share / 2
        await anyio.sleep(fault.duration_s)
        self._world.late_writes = 0.0

    async def _lose_answers(self, fault: Fault) -> None:
        self._world.lost_answers = fault.share / 2
        await anyio.sleep(fault.duration_s)
        self._world.lost_answers = 0.0

    async def _cloud_outage(self, fault: Fault) -> None:
        self._world.cloud.down = True
        await anyio.sleep(fault.duration_s)
        self._world.cloud.down = False

    # Connections between controllers

    async def _refuse_peers(self, fault: Fault) -> None:
        await self._set_relay_mode(
            list(self._world.relays.values()), RelayMode.REFUSED, fault.duration_s
        )

    async def _reset_peers(self, fault: Fault) -> None:
        relays = self._world.relays_of(target_controller(self._world, fault.role))
        await self._set_relay_mode(relays, RelayMode.REFUSED, fault.duration_s)

    async def _hold_one_direction(self, fault: Fault) -> None:
        name = target_controller(self._world, fault.role)
        other = self._world.random.choice([n for n in self._world.names if n != name])
        await self._set_relay_mode(
            [self._world.relays[name, other]], RelayMode.HELD, fault.duration_s
        )

    async def _set_relay_mode(
        self, relays: list[Relay], mode: RelayMode, duration_s: float
    ) -> None:
        for relay in relays:
            relay.set_mode(mode)
        await anyio.sleep(duration_s)
        for relay in relays:
            relay.set_mode(RelayMode.OPEN)

    async def _leave_alone(self, fault: Fault) -> None:
        """Cut a controller from the state service and its peers, not from workers and users."""
        name = target_controller(self._world, fault.role)
        async with anyio.create_task_group() as group:
            group.start_soon(self._set_state_mode, name, "held", fault.duration_s)
            group.start_soon(
                self._set_relay_mode, self._world.relays_of(name), RelayMode.HELD, fault.duration_s
            )

    async def _cut_workers(self, fault: Fault) -> None:
        name = target_controller(self._world, fault.role)
        self._world.cut_workers.add(name)
        await anyio.sleep(fault.duration_s)
        self._world.cut_workers.discard(name)

    # Machines

    def _some_machines(self, share: float) -> list[Worker]:
        return [w for _, w in sorted(self._world.workers.items()) if self._is_selected(share)]

    def _is_selected(self, share: float) -> bool:
        return self._world.random.random() < share

    async def _mute_machines(self, fault: Fault) -> None:
        await self._set_machine_fault(fault, "cut")

    async def _deafen_machines(self, fault: Fault) -> None:
        await self._set_machine_fault(fault, "answers_lost")

    async def _hang_machines(self, fault: Fault) -> None:
        await self._set_machine_fault(fault, "hanging")

    async def _set_machine_fault(self, fault: Fault, state: str) -> None:
        """Set a fault flag of the stand-in workers of some machines for the fault's duration."""
        machines = self._some_machines(fault.share)
        for worker in machines:
            setattr(worker, state, True)
        await anyio.sleep(fault.duration_s)
        for worker in machines:
            setattr(worker, state, False)

    async def _end_machines(self, fault: Fault) -> None:
        for worker in self._some_machines(fault.share):
            self._world.remove_machine(worker.name)

    async def _copy_heartbeats(self, fault: Fault) -> None:
        self._world.late_copy_fraction = fault.share / 2
        await anyio.sleep(fault.duration_s)
        self._world.late_copy_fraction = 0.0
