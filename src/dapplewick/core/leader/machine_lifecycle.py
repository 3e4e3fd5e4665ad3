"""The leader's book of machines: which came up, which are unknown, which have to go."""

from __future__ import annotations

import logging
from collections.abc import Iterable, Mapping
from typing import NamedTuple

import msgspec

from dapplewick.core.leader.provisioner import Provisioner
from dapplewick.protocol.cloud import ListedMachine, MachineList
from dapplewick.protocol.peers import MachineStatus
from dapplewick.storage.conditional_write import ConditionalWrite
from dapplewick.storage.formats import FORMAT_NOW
from dapplewick.storage.keys import MACHINES
from dapplewick.storage.machine_records import (
    BOOTING,
    TERMINATING,
    UP,
    MachineGroupRecord,
    MachineRecord,
    ProvisioningRequest,
)
from dapplewick.storage.watch_cache import WatchCache
from dapplewick.storage.write_priority import WritePriority
from dapplewick.types import MachineId, Seconds

log = logging.getLogger("dapplewick.leader")


UP_S = 1.0  # machines of a group that came up are told of this often
GROUP_MOST = 150  # machines in a record, where a value may hold as many
GROUP_BYTES = 200  # of a record, beside its machines
STATE_BYTES = 18  # of each machine, beside its name
FLOOR_BYTES = 18  # of the floor of each, beside its name
MISSED_HEARTBEATS = 2.2  # reports, at most a quarter late each, that a hanging machine has missed
# A worker whose report got no answer waits 4 s for it, 1 s more, and is sent back to the owner by
# the next controller: a machine that is silent for less may only have lost one answer.
LOST_ANSWER_S = 6.2


class Silence(NamedTuple):
    """For how long a machine has not been heard, and what that means for its part."""

    seconds: Seconds
    urgent: bool  # replicas or cancelled tasks on it wait for the proof that it is gone
    others_heard: bool  # other machines of its part are heard: the silence is its own


class MachineLifecycle:
    """Drafts of the records of machines, which are kept in a group for each rental."""

    def __init__(
        self,
        cache: WatchCache,
        provisioner: Provisioner,
        lease_s: Seconds,
        lag_s: Seconds,
        value_bytes: int = 16 * 1024,
        txn_ops: int = 16,
        report_s: Seconds = 2.5,
    ) -> None:
        self._report_s = report_s
        self._value_bytes = value_bytes
        self._txn_ops = txn_ops
        self.cache = cache
        self.provisioner = provisioner
        self.lease_s = lease_s
        self.lag_s = lag_s
        self.deleted: set[MachineId] = set()
        self.listed: dict[MachineId, ListedMachine] = {}
        self._unknown_since: dict[MachineId, Seconds] = {}
        self._up_since: dict[MachineId, Seconds] = {}
        self._up_at: dict[str, Seconds] = {}
        self._drafts: dict[str, tuple[MachineGroupRecord, WritePriority]] = {}
        self._over_known: dict[str, tuple[MachineGroupRecord, bool]] = {}
        self._ties: dict[str, str] = {}  # drafted groups that are written in one transaction
        self._splitting: str | None = None  # the oversized group that is split in this pass

    def were_deleted(self, machines: Iterable[MachineId]) -> None:
        self.deleted.update(machines)

    def were_listed(self, now: Seconds, listing: MachineList) -> None:
        self.listed = {MachineId(item.machine): item for item in listing.machines}
        known = self.cache.machines.keys() | self.deleted
        self._unknown_since = {
            m: self._unknown_since.get(m, now) for m in self.listed if m not in known
        }

    def written(self, now: Seconds, name: str) -> None:
        self._up_at[name] = now

    # Drafts

    def begin(self) -> None:
        """Start a pass: forget the drafts, and choose the next oversized group to split."""
        self._drafts.clear()
        self._ties.clear()
        self._splitting = None
        if self.cache.format >= FORMAT_NOW:
            oversized = (name for name in self.cache.groups if self._stored_over(name))
            self._splitting = next(oversized, None)

    def changes(self) -> list[ConditionalWrite]:
        """The writes for all drafts, and for the group that is being split."""
        out = []
        for name, (group, _) in self._drafts.items():
            if name == self._splitting or name in self._ties:
                continue
            if self.cache.format >= FORMAT_NOW and self._over(group):
                continue  # it is split in one of the next passes
            out.append(self._change(name))
        return out + self._split_changes()

    def _change(self, name: str, transaction_group_name: str = "") -> ConditionalWrite:
        """The write of a drafted group; one that has no machines left is removed."""
        group, priority = self._drafts[name]
        key = MACHINES + name
        value = msgspec.to_builtins(group) if group.machines else None
        # All writes that are tied together have the same rank, so that they stay in a row.
        return ConditionalWrite(
            key,
            value,
            self.cache.version(key),
            WritePriority.NORMAL if transaction_group_name else priority,
            transaction_group=transaction_group_name,
        )

    def _over(self, group: MachineGroupRecord) -> bool:
        """Whether a group has more machines than the lower limit lets a value hold."""
        return len(group.machines) > self._most(group.machines, floors=bool(group.floors))

    def _stored_over(self, name: str) -> bool:
        """The same of a group as it is stored. A pass looks at all of them, and few change."""
        group = self.cache.groups[name]
        known = self._over_known.get(name)
        if known is None or known[0] is not group:
            known = self._over_known[name] = (group, self._over(group))
        return known[1]

    def _most(self, machines: Iterable[str], floors: bool = False) -> int:
        """How many machines with names like these a record may hold, perhaps with a floor each."""
        longest = max((len(m) for m in machines), default=10)
        each = longest + STATE_BYTES
        if floors:
            each += longest + FLOOR_BYTES
        return max(1, min(GROUP_MOST, (self._value_bytes - GROUP_BYTES) // each))

    def _split_changes(self) -> list[ConditionalWrite]:
        """Split a group that was written when a value could hold more, one in each pass.

        Where the pieces fit into one transaction, the group is split at once. A larger one can't
        be rewritten in part once the limit has fallen, so its machines are copied to new groups
        first; the group is removed when each of them is in a newer one. In between the newer
        record of a machine counts (`WatchCache`), so a change of leader on the way loses nothing.
        """
        name = self._splitting
        if name is None:
            return []
        draft = self._drafts.get(name)
        group = draft[0] if draft is not None else self.cache.groups[name]
        pieces = self._pieces(group, list(group.machines))
        if not pieces:
            return [self._removal(name)]
        if len(pieces) <= self._txn_ops:
            names = [name, *self._free_names(name, len(pieces) - 1)]
            return [
                self._put(key, piece, transaction_group=name)
                for key, piece in zip(names, pieces, strict=True)
            ]
        stored = self.cache.groups[name]
        left = [m for m in stored.machines if self.cache.group_of.get(MachineId(m)) == name]
        if not left:
            log.info("event=machine_group_split group=%s", name)
            return [self._removal(name)]
        pieces = self._pieces(stored, left)
        names = self._free_names(name, len(pieces))
        return [self._put(key, piece) for key, piece in zip(names, pieces, strict=True)]

    def _pieces(self, group: MachineGroupRecord, machines: list[str]) -> list[MachineGroupRecord]:
        """These machines of a group, in as many groups as they need."""
        most = self._most(machines, floors=bool(group.floors))
        return [
            _piece(group, machines[first : first + most]) for first in range(0, len(machines), most)
        ]

    def _put(
        self, name: str, group: MachineGroupRecord, transaction_group: str = ""
    ) -> ConditionalWrite:
        key = MACHINES + name
        value = msgspec.to_builtins(group)
        return ConditionalWrite(
            key,
            value,
            self.cache.version(key),
            WritePriority.URGENT,
            transaction_group=transaction_group,
        )

    def _removal(self, name: str) -> ConditionalWrite:
        return ConditionalWrite(
            MACHINES + name, None, self.cache.version(MACHINES + name), WritePriority.URGENT
        )

    def _free_names(self, name: str, count: int) -> list[str]:
        """Unused names for groups beside this one."""
        out: list[str] = []
        number = 1
        while len(out) < count:
            candidate = f"{name}.{number}"
            if candidate not in self.cache.groups and candidate not in self._drafts:
                out.append(candidate)
            number += 1
        return out

    def _draft(self, name: str, priority: WritePriority) -> MachineGroupRecord:
        draft = self._drafts.get(name)
        if draft is None:
            old = self.cache.groups[name]
            group = msgspec.structs.replace(
                old, machines=dict(old.machines), floors=dict(old.floors)
            )
        else:
            group, priority = draft[0], min(priority, draft[1])
        self._drafts[name] = (group, priority)
        return group

    def move(
        self, floors: Mapping[MachineId, int], partition: str, transaction_group_name: str
    ) -> list[MachineId]:
        """Draft that machines of one group go over to another share, each with the least token
        for its worker from then on: they leave their group and join one of that share in the same
        transaction, so that at each revision each is in exactly one. Gives those that do: none if
        another draft of this pass is in the way, fewer if their new group is full."""
        name = self.cache.group_of[next(iter(floors))]
        group = self.cache.groups[name]
        # Another group that lists a machine would bring it back to where it came from.
        once = all(self.cache.in_one_group(machine) for machine in floors)
        if name in self._drafts or name == self._splitting or self._over(group) or not once:
            return []
        most = self._most(floors, floors=True)
        target = self._group_with_room(group.type, group.zone, group.spot, partition, most - 1)
        if target is None:
            (target,) = self._free_names(name, 1)
            empty = MachineGroupRecord(group.type, group.zone, group.spot, {}, partition=partition)
            self._drafts[target] = (empty, WritePriority.NORMAL)
        elif target in self._drafts or target in (name, self._splitting):
            return []
        joined = self._draft(target, WritePriority.NORMAL)
        going = list(floors)[: most - len(joined.machines)]
        for machine in going:
            joined.machines[machine] = group.machines[machine]
            joined.floors[machine] = floors[machine]
            group = group.without(machine)
        self._drafts[name] = (group, WritePriority.NORMAL)
        self._ties[name] = self._ties[target] = transaction_group_name
        return going

    def moves(self, transaction_group_name: str) -> list[ConditionalWrite]:
        """The writes of the groups that are drafted together under this name, in one row."""
        names = [
            name
            for name, transaction_group in self._ties.items()
            if transaction_group == transaction_group_name
        ]
        return [self._change(name, transaction_group_name) for name in names]

    def _set(self, machine_id: MachineId, state: str, priority: WritePriority) -> None:
        self._draft(self.cache.group_of[machine_id], priority).machines[machine_id] = state

    def terminate(
        self, machine_id: MachineId, why: str, priority: WritePriority = WritePriority.URGENT
    ) -> None:
        log.info("event=machine_terminating machine=%s reason=%s", machine_id, why)
        self._set(machine_id, TERMINATING, priority)

    def provisioned(
        self,
        name: str,
        provisioning_request: ProvisioningRequest,
        machines: list[MachineId],
        wall: Seconds,
    ) -> None:
        """The machines of a rental: one record for all of them."""
        new = [m for m in machines if m not in self.cache.machines and m not in self.deleted]
        if new:
            self._add(
                new,
                provisioning_request.type,
                provisioning_request.zone,
                provisioning_request.spot,
                wall,
                name,
                WritePriority.URGENT,
            )

    def _add(
        self,
        machines: list[MachineId],
        type_: str,
        zone: str,
        spot: bool,
        wall: Seconds,
        name: str,
        priority: WritePriority,
    ) -> None:
        """Into a group of their kind that has room, else into a new one of this name."""
        most = self._most(machines)
        if len(machines) > most:
            for n, first in enumerate(range(0, len(machines), most)):
                some = machines[first : first + most]
                self._add(some, type_, zone, spot, wall, f"{name}.{n}" if n else name, priority)
            return
        states: dict[str, str] = dict.fromkeys(machines, f"{BOOTING}{wall:.0f}")
        known = self._group_with_room(type_, zone, spot, "", most - len(machines))
        if known is not None:
            self._draft(known, priority).machines.update(states)
            return
        if name in self.cache.groups or name in self._drafts:
            (name,) = self._free_names(name, 1)  # some of this rental may be recorded already
        self._drafts[name] = (
            MachineGroupRecord(type=type_, zone=zone, spot=spot, machines=states),
            priority,
        )

    def _group_with_room(
        self, type_: str, zone: str, spot: bool, partition: str, most: int
    ) -> str | None:
        """A group of this kind that has no more than so many machines."""
        for name, group in self.cache.groups.items():
            if (group.type, group.zone, group.spot, group.partition) != (
                type_,
                zone,
                spot,
                partition,
            ):
                continue
            draft = self._drafts.get(name)
            if len(draft[0].machines if draft is not None else group.machines) <= most:
                return name
        return None

    def adopt(
        self,
        machine_id: MachineId,
        type_: str,
        zone: str,
        spot: bool,
        wall: Seconds,
        priority: WritePriority,
    ) -> None:
        """A machine that nobody here knows of: used or returned like the others."""
        if machine_id in self.cache.machines or machine_id in self.deleted:
            return
        self._add([machine_id], type_, zone, spot, wall, f"x-{machine_id}", priority)
        log.info("event=machine_adopted machine=%s", machine_id)

    # The pass

    def review(
        self,
        now: Seconds,
        wall: Seconds,
        statuses: Mapping[MachineId, MachineStatus],
        silent: dict[MachineId, Silence],
        zones: list[str],
    ) -> None:
        """Look at every machine: `statuses` is what the shards say of each, `silent` names those
        they have not heard for a while."""
        came_up: dict[str, list[MachineId]] = {}
        for machine_id, record in self.cache.machines.items():
            if record.terminating:
                if machine_id in self.deleted:
                    name = self.cache.group_of[machine_id]
                    group = self._draft(name, WritePriority.URGENT)
                    group.machines.pop(machine_id, None)
                    group.floors.pop(machine_id, None)
                    self._up_since.pop(machine_id, None)
                continue
            status = statuses.get(machine_id)
            why = self._why_go(now, machine_id, record, status, silent.get(machine_id))
            if why:
                self.terminate(machine_id, why)
            elif status is not None and status.reconciled and not record.up:
                came_up.setdefault(self.cache.group_of[machine_id], []).append(machine_id)
        for name, machines in came_up.items():
            # All that came up in a while is written together: hundreds do at the start.
            if now - self._up_at.get(name, -1e9) >= UP_S:
                for machine_id in machines:
                    self._set(machine_id, UP, WritePriority.NORMAL)
        # Lists lag: a machine that is gone may still be listed for twice the lag.
        patience = 2.5 * self.lag_s
        for machine_id, since in self._unknown_since.items():
            item = self.listed[machine_id]
            if now - since > patience and item.zone in zones:
                self.adopt(machine_id, item.type, item.zone, item.spot, wall, WritePriority.LOW)

    def _urgent_silence(self, others_heard: bool) -> Seconds:
        """After which silence a machine is deleted so that its replicas can run elsewhere.

        Two reports are missed by then, and one lost answer does not explain it. Where no other
        machine of the part is heard either, its owner may have lost the way to all of them: half
        a lease is waited, which leaves time to give the part to another owner.
        """
        half = self.lease_s / 2
        if not others_heard:
            return half
        return min(half, max(LOST_ANSWER_S, MISSED_HEARTBEATS * self._report_s))

    def _why_go(
        self,
        now: Seconds,
        machine_id: MachineId,
        record: MachineRecord,
        status: MachineStatus | None,
        silence: Silence | None,
    ) -> str:
        if not record.up:
            since = self._up_since.setdefault(machine_id, now)
            return "never up" if now - since > self.provisioner.boot_limit(record.type) else ""
        listed = self.listed.get(machine_id)
        if listed is not None and listed.state == "failed":
            return "failed"
        if silence is not None:
            if silence.seconds > self.lease_s + 1.0:
                return "silent"
            if silence.urgent and silence.seconds > self._urgent_silence(silence.others_heard):
                # A hanging machine may hold a cancelled task until its deletion, and replicas of
                # services start elsewhere only after it.
                return "silent with cancelled tasks or replicas"
        if status is not None and status.faulty:
            return "faulty"
        return ""


def _piece(group: MachineGroupRecord, machines: list[str]) -> MachineGroupRecord:
    """The part of a group's record that tells of these machines."""
    return msgspec.structs.replace(
        group,
        machines={m: group.machines[m] for m in machines},
        floors={m: group.floors[m] for m in machines if m in group.floors},
    )
