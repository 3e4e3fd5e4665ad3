"""The lifecycle of machines: finished boots, unrecorded machines and terminations."""

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

UP_WRITE_INTERVAL_S = 1.0  # minimum time between two writes of a group for finished boots
LEASE_MARGIN_S = 1.0  # an unreachable machine is terminated this long after its lease expired
# A machine that is listed by the cloud but not recorded is adopted after this many list lags. The
# cloud's list is stale: it may name a deleted machine for twice the lag.
ADOPTION_DELAY_LAGS = 2.5
# A machine is considered hanging after this many heartbeat periods without a heartbeat. A healthy
# machine sends each heartbeat at most a quarter of a period late.
MISSED_HEARTBEAT_PERIODS = 2.2
# A machine without a heartbeat for less than this may only have lost one response: its worker waits
# 4 s for the response and 1 s more, then contacts the next controller, which redirects it to the
# shard's owner.
LOST_RESPONSE_S = 6.2


class HeartbeatGap(NamedTuple):
    """A period without heartbeats from a machine.

    Attributes:
        duration_s: The time since the machine's last heartbeat.
        urgent: Whether the replacement of service replicas or the end of cancelled tasks on the
            machine waits for proof that the machine is gone.
        others_reachable: Whether other machines of the shard send heartbeats, so that the fault is
            this machine's and not the network's.
    """

    duration_s: Seconds
    urgent: bool
    others_reachable: bool


class MachineLifecycle:
    """Tracks each machine from provisioning to deletion, and drafts changes of its record.

    Attributes:
        deleted: The machines that the cloud has deleted.
        listed: The cloud's latest list of machines.
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

    # Results from the cloud and the state service

    def record_deleted(self, machines: Iterable[MachineId]) -> None:
        """Record that the cloud has deleted these machines."""
        self.deleted.update(machines)

    def record_listed(self, now: Seconds, listing: MachineList) -> None:
        """Record the cloud's latest list of machines."""
        self.listed = {
            MachineId(listed_machine.machine): listed_machine for listed_machine in listing.machines
        }
        known = self._cache.machines.keys() | self.deleted
        self._unknown_since = {
            machine_id: self._unknown_since.get(machine_id, now)
            for machine_id in self.listed
            if machine_id not in known
        }

    def record_written(self, now: Seconds, group_name: str) -> None:
        """Record that a group's record is stored."""
        self._group_written_at[group_name] = now

    # Drafts

    def begin(self) -> None:
        """Start a planning pass: discard the drafts."""
        self._groups.begin()

    def changes(self) -> list[ConditionalWrite]:
        """The writes for all drafts except moves between partitions."""
        return self._groups.changes()

    def move(
        self, min_tokens: Mapping[MachineId, int], partition: str, transaction_group: str
    ) -> list[MachineId]:
        """Draft the move of machines to another partition; see `MachineGroupDrafts.move`."""
        return self._groups.move(min_tokens, partition, transaction_group)

    def moves(self, transaction_group: str) -> list[ConditionalWrite]:
        """The writes of the moves drafted for this transaction group."""
        return self._groups.moves(transaction_group)

    def terminate(
        self,
        machine_id: MachineId,
        reason: str,
        priority: WritePriority = WritePriority.URGENT,
    ) -> None:
        """Draft the termination of a machine, which is irreversible."""
        log.info("event=machine_terminating machine=%s reason=%s", machine_id, reason)
        self._groups.set_state(machine_id, TERMINATING, priority)

    def add_provisioned(
        self,
        name: str,
        provisioning_request: ProvisioningRequest,
        machines: list[MachineId],
        wall_time: Seconds,
    ) -> None:
        """Draft the machines that the cloud provided for the provisioning request of this name."""
        new = [m for m in machines if m not in self._cache.machines and m not in self.deleted]
        if new:
            kind = GroupKind(
                provisioning_request.type, provisioning_request.zone, provisioning_request.spot
            )
            self._groups.add(new, kind, wall_time, name, WritePriority.URGENT)

    def _adopt(
        self, machine_id: MachineId, listed_machine: ListedMachine, wall_time: Seconds
    ) -> None:
        """Draft a record of a machine that has none, so that it is used or deleted like others."""
        if machine_id in self._cache.machines or machine_id in self.deleted:
            return
        kind = GroupKind(listed_machine.type, listed_machine.zone, listed_machine.spot)
        self._groups.add([machine_id], kind, wall_time, f"x-{machine_id}", WritePriority.LOW)
        log.info("event=machine_adopted machine=%s", machine_id)

    # The planning pass

    def review(
        self,
        now: Seconds,
        wall_time: Seconds,
        statuses: Mapping[MachineId, MachineStatus],
        heartbeat_gaps: Mapping[MachineId, HeartbeatGap],
        zones: list[str],
    ) -> None:
        """Inspect every machine, and draft the changes of its record.

        Args:
            now: The monotonic clock, in seconds.
            wall_time: The wall clock, in seconds.
            statuses: The machines' statuses according to their shards.
            heartbeat_gaps: The machines whose shards have received no heartbeat from them for a
                while, with the period without heartbeats.
            zones: The zones of this deployment; machines in other zones are not adopted.
        """
        newly_up: dict[str, list[MachineId]] = {}
        for machine_id, record in self._cache.machines.items():
            if record.terminating:
                if machine_id in self.deleted:
                    self._groups.remove(machine_id, WritePriority.URGENT)
                    self._booting_since.pop(machine_id, None)
                continue
            status = statuses.get(machine_id)
            reason = self._termination_reason(
                now, machine_id, record, status, heartbeat_gaps.get(machine_id)
            )
            if reason:
                self.terminate(machine_id, reason)
            elif status is not None and status.reconciled and not record.up:
                newly_up.setdefault(self._cache.group_of[machine_id], []).append(machine_id)
        self._mark_up(now, newly_up)
        self._adopt_unknown(now, wall_time, zones)

    def _mark_up(self, now: Seconds, newly_up: dict[str, list[MachineId]]) -> None:
        """Draft finished boots, batched by group, as hundreds of machines may boot at once."""
        for group_name, machines in newly_up.items():
            if now - self._group_written_at.get(group_name, NEVER_S) >= UP_WRITE_INTERVAL_S:
                for machine_id in machines:
                    self._groups.set_state(machine_id, UP, WritePriority.NORMAL)

    def _adopt_unknown(self, now: Seconds, wall_time: Seconds, zones: list[str]) -> None:
        delay_s = ADOPTION_DELAY_LAGS * self._list_lag_s
        for machine_id, unknown_since in self._unknown_since.items():
            listed_machine = self.listed[machine_id]
            if now - unknown_since > delay_s and listed_machine.zone in zones:
                self._adopt(machine_id, listed_machine, wall_time)

    def _termination_reason(
        self,
        now: Seconds,
        machine_id: MachineId,
        record: MachineRecord,
        status: MachineStatus | None,
        gap: HeartbeatGap | None,
    ) -> str:
        """The reason to terminate a machine; empty if there is none."""
        if not record.up:
            booting_since = self._booting_since.setdefault(machine_id, now)
            limit_s = self._provisioner.boot_limit_s(record.type)
            return "never up" if now - booting_since > limit_s else ""
        listed = self.listed.get(machine_id)
        if listed is not None and listed.state == "failed":
            return "failed"
        if gap is not None:
            if gap.duration_s > self._lease_s + LEASE_MARGIN_S:
                return "silent"
            if gap.urgent and gap.duration_s > self._urgent_gap_limit_s(gap.others_reachable):
                # On a hanging machine, a cancelled task may continue until the machine is deleted,
                # and replacements of service replicas start only after that.
                return "silent with cancelled tasks or replicas"
        if status is not None and status.faulty:
            return "faulty"
        return ""

    def _urgent_gap_limit_s(self, others_reachable: bool) -> Seconds:
        """The time without heartbeats after which an urgent machine is terminated.

        By then two heartbeats are missing, which one lost response cannot explain. If no other
        machine of the shard is reachable either, the shard's owner may have lost its connection to
        all of them. The limit is then half a lease, which leaves time to reassign the shard to
        another owner.
        """
        half_lease_s = self._lease_s / 2
        if not others_reachable:
            return half_lease_s
        return min(half_lease_s, max(LOST_RESPONSE_S, MISSED_HEARTBEAT_PERIODS * self._heartbeat_s))
