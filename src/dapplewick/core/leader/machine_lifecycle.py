"""Which machines came up, which nobody knows of, and which have to go."""

from __future__ import annotations

import logging
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from dapplewick.core.leader.machine_groups import GroupKind, MachineGroupDrafts
from dapplewick.core.leader.provisioner import Provisioner
from dapplewick.protocol.cloud import ListedMachine, MachineList
from dapplewick.protocol.peers import MachineStatus
from dapplewick.storage.conditional_write import ConditionalWrite
from dapplewick.storage.machine_records import (
    TERMINATING,
    UP,
    MachineRecord,
    ProvisioningRequest,
)
from dapplewick.storage.watch_cache import WatchCache
from dapplewick.storage.write_priority import WritePriority
from dapplewick.types import NEVER_S, MachineId, Seconds

log = logging.getLogger(__name__)

UP_S = 1.0  # machines of a group that came up are written this often
LEASE_MARGIN_S = 1.0  # a silent machine is terminated so long after its lease has run out
# Lists lag: a machine that is gone may still be listed for twice the lag.
UNKNOWN_LAGS = 2.5  # a machine that is listed and not recorded for so many lags is adopted
# Heartbeats, at most a quarter late each, that a hanging machine has missed.
MISSED_HEARTBEATS = 2.2
# A worker whose heartbeat got no answer waits 4 s for it, 1 s more, and is sent back to the owner
# by the next controller: a machine that is silent for less may only have lost one answer.
LOST_ANSWER_S = 6.2


class ReportGap(NamedTuple):
    """For how long a machine has not been heard, and what that means for its shard.

    Attributes:
        seconds: For how long.
        urgent: Replicas or cancelled tasks on it wait for the proof that it is gone.
        others_heard: Other machines of its shard are heard: the silence is its own.
    """

    seconds: Seconds
    urgent: bool
    others_heard: bool


class MachineLifecycle:
    """Follows each machine from its provisioning to its deletion, as drafts of its record.

    Attributes:
        deleted: Machines that the cloud has deleted.
        listed: The cloud's newest list of machines.
    """

    def __init__(
        self,
        cache: WatchCache,
        provisioner: Provisioner,
        lease_s: Seconds,
        list_lag_s: Seconds,
        value_bytes: int = 16 * 1024,
        txn_ops: int = 16,
        heartbeat_s: Seconds = 2.5,
    ) -> None:
        self._cache = cache
        self._provisioner = provisioner
        self._lease_s = lease_s
        self._list_lag_s = list_lag_s
        self._heartbeat_s = heartbeat_s
        self._groups = MachineGroupDrafts(cache, value_bytes, txn_ops)
        self.deleted: set[MachineId] = set()
        self.listed: dict[MachineId, ListedMachine] = {}
        self._unknown_since: dict[MachineId, Seconds] = {}
        self._booting_since: dict[MachineId, Seconds] = {}
        self._group_written_at: dict[str, Seconds] = {}

    # What the cloud and the state service have answered

    def record_deleted(self, machines: Iterable[MachineId]) -> None:
        """Note that the cloud has deleted these machines."""
        self.deleted.update(machines)

    def record_listed(self, now: Seconds, listing: MachineList) -> None:
        """Take over the cloud's newest list of machines."""
        self.listed = {MachineId(item.machine): item for item in listing.machines}
        known = self._cache.machines.keys() | self.deleted
        self._unknown_since = {
            machine_id: self._unknown_since.get(machine_id, now)
            for machine_id in self.listed
            if machine_id not in known
        }

    def record_written(self, now: Seconds, group_name: str) -> None:
        """Note that a group's record is stored."""
        self._group_written_at[group_name] = now

    # Drafts

    def begin(self) -> None:
        """Start a pass: forget the drafts."""
        self._groups.begin()

    def changes(self) -> list[ConditionalWrite]:
        """The writes for all drafts but the moves between partitions."""
        return self._groups.changes()

    def move(
        self, floors: Mapping[MachineId, int], partition: str, transaction_group: str
    ) -> list[MachineId]:
        """Draft that machines go over to another partition; see `MachineGroupDrafts.move`."""
        return self._groups.move(floors, partition, transaction_group)

    def moves(self, transaction_group: str) -> list[ConditionalWrite]:
        """The writes of the moves that were drafted under this name."""
        return self._groups.moves(transaction_group)

    def terminate(
        self,
        machine_id: MachineId,
        reason: str,
        priority: WritePriority = WritePriority.URGENT,
    ) -> None:
        """Draft that a machine is to be deleted, which is never taken back."""
        log.info("event=machine_terminating machine=%s reason=%s", machine_id, reason)
        self._groups.set_state(machine_id, TERMINATING, priority)

    def add_provisioned(
        self,
        name: str,
        provisioning_request: ProvisioningRequest,
        machines: list[MachineId],
        wall_time: Seconds,
    ) -> None:
        """Draft the machines that the cloud gave for a provisioning request of this name."""
        new = [m for m in machines if m not in self._cache.machines and m not in self.deleted]
        if new:
            kind = GroupKind(
                provisioning_request.type, provisioning_request.zone, provisioning_request.spot
            )
            self._groups.add(new, kind, wall_time, name, WritePriority.URGENT)

    def _adopt(self, machine_id: MachineId, item: ListedMachine, wall_time: Seconds) -> None:
        """Draft a machine that is recorded nowhere: it is used or deleted like the others."""
        if machine_id in self._cache.machines or machine_id in self.deleted:
            return
        kind = GroupKind(item.type, item.zone, item.spot)
        self._groups.add([machine_id], kind, wall_time, f"x-{machine_id}", WritePriority.LOW)
        log.info("event=machine_adopted machine=%s", machine_id)

    # The pass

    def review(
        self,
        now: Seconds,
        wall_time: Seconds,
        statuses: Mapping[MachineId, MachineStatus],
        silences: Mapping[MachineId, ReportGap],
        zones: list[str],
    ) -> None:
        """Look at every machine, and draft what has changed.

        Args:
            now: The steady clock.
            wall_time: The wall clock.
            statuses: What the shards say of each machine.
            silences: The machines that their shards have not heard for a while.
            zones: The zones of this deployment; machines elsewhere are not adopted.
        """
        came_up: dict[str, list[MachineId]] = {}
        for machine_id, record in self._cache.machines.items():
            if record.terminating:
                if machine_id in self.deleted:
                    self._groups.remove(machine_id, WritePriority.URGENT)
                    self._booting_since.pop(machine_id, None)
                continue
            status = statuses.get(machine_id)
            reason = self._reason_to_go(now, machine_id, record, status, silences.get(machine_id))
            if reason:
                self.terminate(machine_id, reason)
            elif status is not None and status.reconciled and not record.up:
                came_up.setdefault(self._cache.group_of[machine_id], []).append(machine_id)
        self._mark_up(now, came_up)
        self._adopt_unknown(now, wall_time, zones)

    def _mark_up(self, now: Seconds, came_up: dict[str, list[MachineId]]) -> None:
        """Draft that machines came up: those of a group together, as hundreds do at the start."""
        for group_name, machines in came_up.items():
            if now - self._group_written_at.get(group_name, NEVER_S) >= UP_S:
                for machine_id in machines:
                    self._groups.set_state(machine_id, UP, WritePriority.NORMAL)

    def _adopt_unknown(self, now: Seconds, wall_time: Seconds, zones: list[str]) -> None:
        patience_s = UNKNOWN_LAGS * self._list_lag_s
        for machine_id, since in self._unknown_since.items():
            item = self.listed[machine_id]
            if now - since > patience_s and item.zone in zones:
                self._adopt(machine_id, item, wall_time)

    def _reason_to_go(
        self,
        now: Seconds,
        machine_id: MachineId,
        record: MachineRecord,
        status: MachineStatus | None,
        silence: ReportGap | None,
    ) -> str:
        """Why a machine has to be terminated; empty if it may stay."""
        if not record.up:
            since = self._booting_since.setdefault(machine_id, now)
            limit_s = self._provisioner.boot_limit_s(record.type)
            return "never up" if now - since > limit_s else ""
        listed = self.listed.get(machine_id)
        if listed is not None and listed.state == "failed":
            return "failed"
        if silence is not None:
            if silence.seconds > self._lease_s + LEASE_MARGIN_S:
                return "silent"
            if silence.urgent and silence.seconds > self._urgent_silence_s(silence.others_heard):
                # A hanging machine may hold a cancelled task until its deletion, and replicas of
                # services start elsewhere only after it.
                return "silent with cancelled tasks or replicas"
        if status is not None and status.faulty:
            return "faulty"
        return ""

    def _urgent_silence_s(self, others_heard: bool) -> Seconds:
        """After which silence a machine is deleted so that its replicas can run elsewhere.

        Two heartbeats are missed by then, and one lost answer does not explain it. Where no other
        machine of the shard is heard either, its owner may have lost the way to all of them: half
        a lease is waited, which leaves time to give the shard to another owner.
        """
        half_lease_s = self._lease_s / 2
        if not others_heard:
            return half_lease_s
        return min(half_lease_s, max(LOST_ANSWER_S, MISSED_HEARTBEATS * self._heartbeat_s))
