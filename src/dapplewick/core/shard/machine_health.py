"""Which machines take new work: those that are heard, and on which tasks start and end well."""

from __future__ import annotations

import logging

from dapplewick.core.shard.changes import ChangeLog
from dapplewick.core.shard.state import Machine
from dapplewick.protocol.workers import Heartbeat
from dapplewick.storage.watch_cache import WatchCache
from dapplewick.types import Seconds, ShardName, TaskRef

log = logging.getLogger(__name__)

MAX_HEARTBEAT_AGE_S = 6.0  # a machine silent for longer takes no new work
LOST_STARTS = 3  # heartbeats in a row that miss what was sent, until no more is sent
FAULTY = 4  # failures in a row, of different jobs, that make a machine suspect
# Of a lease: an incarnation that ends within this time of a heartbeat was not silent.
UNREACHABLE_LEASE_FRACTION = 0.95
# Leases within which a second incarnation ends on a machine that hears nothing.
REPEATED_INCARNATION_LEASES = 4.0


class MachineHealth:
    """Judges the machines of a shard by their records, heartbeats and tasks."""

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
        # Since when silence counts: heartbeats were refused before, or could not be read, or
        # this ownership had not begun.
        self.listening_since = now

    def is_faulty(self, machine: Machine) -> bool:
        """Whether tasks of several jobs have failed here and none has completed since."""
        return len(machine.failures) >= FAULTY

    def note_usable(self, now: Seconds, machine: Machine) -> bool:
        """Whether new work may go to this machine; a change is noted for the leader."""
        is_drained = self._cache.transfers.draining_transfer(machine.id) is not None
        is_usable = not is_drained and self._is_fit_for_work(now, machine)
        if is_usable != machine.was_usable:
            machine.was_usable = is_usable
            self._changes.machine(machine.id)
            self._changes.dirty = True
        return is_usable

    def is_only_drained(self, now: Seconds, machine: Machine) -> bool:
        """Whether nothing but a transfer keeps new work from this machine."""
        is_drained = self._cache.transfers.draining_transfer(machine.id) is not None
        return is_drained and self._is_fit_for_work(now, machine)

    def _is_fit_for_work(self, now: Seconds, machine: Machine) -> bool:
        """Whether a machine is ours, up, and takes what it is told."""
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
            and not machine.drain
            and not machine.unreachable
            and machine.lost_starts < LOST_STARTS
        )

    def take_heartbeat(self, now: Seconds, machine: Machine, heartbeat: Heartbeat) -> bool:
        """Take over what a heartbeat says of its machine, beside the tasks.

        Returns:
            Whether a new incarnation of the machine has begun.
        """
        is_new_incarnation = heartbeat.incarnation > machine.newest_heartbeat[0]
        if is_new_incarnation:
            self._note_new_incarnation(now, machine)
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

    def _note_new_incarnation(self, now: Seconds, machine: Machine) -> None:
        if not machine.reconciled or machine.last_confirmed_at <= self.listening_since:
            return
        # A lease that ended while we answered its heartbeats: the answers don't reach it. It
        # asks all controllers in turn, so its heartbeats here may also be a lease apart; then
        # the second end soon after the first tells.
        again = now - machine.incarnation_ended_at < self._lease_s * REPEATED_INCARNATION_LEASES
        silent_s = now - machine.last_confirmed_at
        if again or silent_s < self._lease_s * UNREACHABLE_LEASE_FRACTION:
            machine.unreachable = True
            log.info("event=machine_unreachable machine=%s", machine.id)
        machine.incarnation_ended_at = now

    def count_lost_starts(self, now: Seconds, machine: Machine, listed: set[TaskRef]) -> None:
        """A machine that sends heartbeats but never lists what it is told to start hears nothing.

        Args:
            now: The time.
            machine: The machine.
            listed: The tasks that its newest heartbeat lists.
        """
        sent = [
            task
            for task, task_attempt in machine.task_attempts.items()
            if task_attempt.start_unseen
        ]
        if any(task in listed for task in sent):
            machine.lost_starts = 0
        elif sent:
            machine.lost_starts += 1
            machine.lost_starts_at = now
        elif now - machine.lost_starts_at > self._lease_s:
            # Its lease would have ended by now if no answer had reached it.
            machine.lost_starts = 0
