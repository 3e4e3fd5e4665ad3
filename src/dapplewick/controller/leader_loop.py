"""Runs planning passes while this process leads, and campaigns for leadership otherwise."""

from __future__ import annotations

import logging
import random
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio
import msgspec

from dapplewick.controller.leader_writer import LeaderWriter
from dapplewick.controller.owned_shards import OwnedShards
from dapplewick.controller.partition_service_selector import PartitionServiceSelector
from dapplewick.controller.pass_timer import PassTimer
from dapplewick.controller.record_follower import RecordFollower
from dapplewick.coordination.election import Election
from dapplewick.coordination.identity import Identity
from dapplewick.coordination.leader_isolation import LeaderIsolation
from dapplewick.coordination.leadership import Leadership
from dapplewick.coordination.peer_reachability import PeerReachability
from dapplewick.coordination.shard_assignment import OwnerReachability, ShardAssigner
from dapplewick.coordination.status_confirmations import Confirmation, StatusConfirmationTable
from dapplewick.core.leader.planner import LeaderPlanner
from dapplewick.storage.conditional_write import ConditionalWrite
from dapplewick.storage.errors import (
    LeaseExpiredError,
    OutcomeUnknownError,
    RequestRefusedError,
    TransactionConflictError,
)
from dapplewick.storage.keys import SHARDS
from dapplewick.storage.write_priority import WritePriority
from dapplewick.types import ControllerName, FencingToken, Seconds

log = logging.getLogger(__name__)

NOT_READY_POLL_INTERVAL_S = 0.1
CAMPAIGN_INTERVAL_S = 0.3  # between two campaigns of a controller that does not lead
# Delay of a campaign by a controller without peer contact, so that others campaign first.
ISOLATED_CAMPAIGN_DELAY_S = 3.0
# After a pass, the leader waits at most this long for a change, then for the delay between passes.
MAX_CHANGE_WAIT_S = 0.5
MIN_PASS_DELAY_S = 0.25
MAX_PASS_DELAY_S = 0.8
# The delay before the next pass is the duration of the last one times this factor, within
# MIN_PASS_DELAY_S and MAX_PASS_DELAY_S, so that planning leaves processor time to other tasks.
PASS_DELAY_FACTOR = 20.0


@dataclass(eq=False, kw_only=True)
class LeaderLoop:
    """Campaigns for leadership; as leader, plans and writes in one pass after the other."""

    identity: Identity
    records: RecordFollower
    election: Election
    leadership: Leadership
    assigner: ShardAssigner
    reachability: PeerReachability
    isolation: LeaderIsolation
    owned_shards: OwnedShards
    confirmations: StatusConfirmationTable
    partitions: PartitionServiceSelector
    writer: LeaderWriter
    new_planner: Callable[[FencingToken, Seconds], LeaderPlanner]
    now: Callable[[], Seconds]
    wall_time: Callable[[], Seconds]
    rng: random.Random
    _pass_timer: PassTimer = field(init=False)
    _last_pass_duration_s: Seconds = field(default=0.0, init=False)

    def __post_init__(self) -> None:
        self._pass_timer = PassTimer(self.now)

    async def run(self) -> None:
        """Lead or campaign until cancelled; failed passes are logged."""
        while True:
            try:
                if not self.records.ready:
                    await anyio.sleep(NOT_READY_POLL_INTERVAL_S)
                    continue
                await self._lead_or_campaign()
            except (
                RequestRefusedError,
                OutcomeUnknownError,
                TransactionConflictError,
                LeaseExpiredError,
            ) as err:
                log.debug("event=planning_pass_failed error=%r", err)
                await anyio.sleep(0.1 + self.rng.random() * 0.1)
            except Exception:
                log.exception("event=planning_pass_crashed")
                await anyio.sleep(0.5)
            if self.leadership.planner is None:
                await anyio.sleep(CAMPAIGN_INTERVAL_S)
            else:
                await self._wait_for_next_pass()

    async def _lead_or_campaign(self) -> None:
        if not self.election.is_leader():
            if self.leadership.planner is not None:
                self.election.resign()
            await self._campaign()
        if self.election.is_leader():
            await self._lead()

    async def _campaign(self) -> None:
        """Try to become leader.

        If this controller has no contact with any peer, it waits first so that others can campaign.
        """
        if self.records.cache.leader is None and self._has_no_peer_contact():
            await anyio.sleep(ISOLATED_CAMPAIGN_DELAY_S)
        await self.election.campaign(owns_shards=bool(self.owned_shards.schedulers))

    def _has_no_peer_contact(self) -> bool:
        return self.isolation.has_no_peer_contact(self._unreachable_controllers(self.now()))

    def _unreachable_controllers(self, now: Seconds) -> frozenset[ControllerName]:
        return self.reachability.unreachable(now, self.records.cache.controllers)

    async def _wait_for_next_pass(self) -> None:
        """Wait for a change, then for the delay between passes; urgent work ends the delay."""
        with anyio.move_on_after(MAX_CHANGE_WAIT_S):
            self.leadership.pass_wake.clear()
            await self.leadership.pass_wake.wait()
        delay_s = max(
            MIN_PASS_DELAY_S, min(MAX_PASS_DELAY_S, PASS_DELAY_FACTOR * self._last_pass_duration_s)
        )
        with anyio.move_on_after(delay_s):
            await self.leadership.urgent_wake.wait()
        self.leadership.urgent_wake.clear()

    async def _lead(self) -> None:
        """Run one planning pass and write its decisions."""
        epoch = await self.election.prepare_epoch()
        self.election.record_planned_epoch(epoch)
        now = self.now()
        planner = self.leadership.planner
        if planner is None:
            planner = self.new_planner(epoch, now)
            self.election.begin_term(planner, epoch)
        planner.epoch = epoch
        self._attach_partitions(planner)
        owner_reachability = self._owner_reachability(planner, now)
        if self._is_isolated(owner_reachability, now):
            await self.election.step_down(epoch)
            self.isolation.record_step_down(now)
            return
        await self._assign_shards(owner_reachability, epoch, now)
        self._apply_own_shard_statuses(planner, now)
        self._pass_timer.begin_pass()
        changes = planner.plan(now, self.wall_time(), self._pass_timer.begin_step)
        self._pass_timer.end_pass()
        self._last_pass_duration_s = self.now() - now
        await self.writer.write(epoch, now, changes)

    def _owner_reachability(self, planner: LeaderPlanner, now: Seconds) -> OwnerReachability:
        return OwnerReachability(
            shards_without_machine_contact=planner.unreachable_shards(),
            shards_without_owner_contact=planner.shards_without_contact(now),
            unreachable_controllers=self._unreachable_controllers(now),
        )

    def _is_isolated(self, owner_reachability: OwnerReachability, now: Seconds) -> bool:
        """Whether another should lead, since this leader has contact with no peer and no worker."""
        populated = {
            name for name, scheduler in self.owned_shards.schedulers.items() if scheduler.machines
        }
        return self.isolation.should_step_down(
            now,
            owner_reachability.unreachable_controllers,
            populated,
            owner_reachability.shards_without_machine_contact,
        )

    def _attach_partitions(self, planner: LeaderPlanner) -> None:
        service = self.partitions.active_service()
        if service is not None:
            service.update_term(planner)
        planner.partitions = service.rebalancer if service is not None else None
        self.assigner.partition_shards = service.required_shards() if service is not None else []

    async def _assign_shards(
        self, owner_reachability: OwnerReachability, epoch: FencingToken, now: Seconds
    ) -> None:
        """Write the new owners of shards, each in a transaction of its own."""
        for assignment in self.assigner.choose_assignments(now, owner_reachability):
            key = SHARDS + assignment.shard
            log.info(
                "event=shard_assigned shard=%s controller=%s reason=%s",
                assignment.shard,
                assignment.record.owner,
                assignment.reason,
            )
            change = ConditionalWrite(
                key,
                msgspec.to_builtins(assignment.record),
                self.records.cache.version(key),
                WritePriority.URGENT,
            )
            await self.election.write(epoch, [change])

    def _apply_own_shard_statuses(self, planner: LeaderPlanner, now: Seconds) -> None:
        """Pass the statuses of the shards that this process owns to the planner."""
        for name, scheduler in self.owned_shards.schedulers.items():
            base = self.confirmations.confirmed_number(name, scheduler.token)
            status_number = planner.receive_shard_status(now, scheduler.status(now, base))
            self.confirmations.confirm(
                name, Confirmation(scheduler.token, self.identity.incarnation, status_number)
            )
