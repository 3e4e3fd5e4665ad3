"""Health of machines: whether new work may be sent to them."""

from __future__ import annotations

import logging

from dapplewick.core.shard.changes import ChangeLog
from dapplewick.core.shard.state import Machine
from dapplewick.protocol.workers import Heartbeat
from dapplewick.storage.watch_cache import WatchCache
from dapplewick.types import Seconds, ShardName, TaskRef

log = logging.getLogger(__name__)

MAX_HEARTBEAT_AGE_S = 6.0  # without a heartbeat for longer, a machine gets no new work
# After this many consecutive heartbeats that list none of the sent starts, no more are sent.
MAX_LOST_STARTS = 3
# A machine is faulty after failures of this many jobs without a success in between.
MIN_FAULTY_FAILURES = 4
# Fraction of a lease. If a machine begins a new incarnation sooner than this after its last
# confirmed heartbeat, it did send heartbeats within its lease but did not receive the responses.
UNREACHABLE_LEASE_FRACTION = 0.95
# Number of leases. If a second incarnation of a machine ends within this time of the first, the
# machine does not receive responses.
REPEATED_INCARNATION_LEASES = 4.0


class MachineHealth:
    """Determines the health of a shard's machines from records, heartbeats and tasks."""

    def __init__(
        self,
        shard: ShardName,
        cache: WatchCache,
        changes: ChangeLog,
        lease_s: Seconds,
        now: Seconds,
    ) -> None:
        self._shard = shard
        self._cache = cache
        self._changes = changes
        self._lease_s = lease_s
        # Time without contact is counted from this time at the earliest. Before it, heartbeats
        # were refused or could not be read, or this controller did not own the shard.
        self.accepting_heartbeats_since = now

    def is_faulty(self, machine: Machine) -> bool:
        """Whether tasks of several jobs failed on this machine without a success in between."""
        return len(machine.failures) >= MIN_FAULTY_FAILURES

    def update_usable(self, now: Seconds, machine: Machine) -> bool:
        """Update whether new work may be sent to a machine; report a change to the leader."""
        is_draining = self._cache.transfers.draining_transfer(machine.id) is not None
        is_usable = not is_draining and self._is_healthy(now, machine)
        if is_usable != machine.was_usable:
            machine.was_usable = is_usable
            self._changes.record_machine(machine.id)
            self._changes.dirty = True
        return is_usable

    def is_healthy_but_draining(self, now: Seconds, machine: Machine) -> bool:
        """Whether a transfer is the only reason to send no new work to this machine."""
        is_draining = self._cache.transfers.draining_transfer(machine.id) is not None
        return is_draining and self._is_healthy(now, machine)

    def _is_healthy(self, now: Seconds, machine: Machine) -> bool:
        """Whether a machine belongs to this shard, is up and executes commands."""
        record = self._cache.machines.get(machine.id)
        return (
            record is not None
            and record.shard == self._shard
            and record.up
            and not record.terminating
            and machine.reconciled
            and machine.spot_notice_s is None
            and now - machine.last_heartbeat_at < MAX_HEARTBEAT_AGE_S
            and not self.is_faulty(machine)
            and not machine.slow
            and not machine.draining
            and not machine.unreachable
            and machine.lost_starts < MAX_LOST_STARTS
        )

    def apply_heartbeat(self, now: Seconds, machine: Machine, heartbeat: Heartbeat) -> bool:
        """Update a machine from a heartbeat, except for its tasks.

        Returns:
            Whether a new incarnation of the machine has begun.
        """
        is_new_incarnation = heartbeat.incarnation > machine.newest_heartbeat[0]
        if is_new_incarnation:
            self._record_new_incarnation(now, machine)
        machine.newest_heartbeat = (heartbeat.incarnation, heartbeat.sequence)
        machine.last_heartbeat_at = now
        machine.type = heartbeat.type
        machine.spot = heartbeat.spot
        machine.address = heartbeat.address
        machine.spot_notice_s = heartbeat.spot_notice_s
        machine_type = self._cache.types.get(heartbeat.type)
        if machine_type is not None:
            machine.capacity = machine_type.resources
        return is_new_incarnation

    def _record_new_incarnation(self, now: Seconds, machine: Machine) -> None:
        if not machine.reconciled or machine.last_confirmed_at <= self.accepting_heartbeats_since:
            return
        # If the lease ended although this controller answered the heartbeats, the responses do not
        # reach the machine. A machine contacts all controllers in turn, so its heartbeats to this
        # one may also be a lease apart. A single end of a lease is then no proof, but a second
        # one soon after it shows that the responses are lost.
        is_repeated = (
            now - machine.incarnation_ended_at < self._lease_s * REPEATED_INCARNATION_LEASES
        )
        no_contact_s = now - machine.last_confirmed_at
        if is_repeated or no_contact_s < self._lease_s * UNREACHABLE_LEASE_FRACTION:
            machine.unreachable = True
            log.info("event=machine_unreachable machine=%s", machine.id)
        machine.incarnation_ended_at = now

    def count_lost_starts(self, now: Seconds, machine: Machine, listed: set[TaskRef]) -> None:
        """Count consecutive heartbeats that list none of the tasks whose start was sent.

        A machine that sends heartbeats but never lists these tasks does not receive responses.

        Args:
            now: The monotonic clock, in seconds.
            machine: The machine.
            listed: The tasks that its newest heartbeat lists.
        """
        sent = [
            task
            for task, task_attempt in machine.task_attempts.items()
            if task_attempt.start_unconfirmed
        ]
        if any(task in listed for task in sent):
            machine.lost_starts = 0
        elif sent:
            machine.lost_starts += 1
            machine.lost_starts_at = now
        elif now - machine.lost_starts_at > self._lease_s:
            # No start is unconfirmed, and the machine has received a response since the last lost
            # start: otherwise its lease would have ended by now.
            machine.lost_starts = 0
