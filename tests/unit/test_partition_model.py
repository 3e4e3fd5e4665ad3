"""Partition rebalancing, tested against a simple model of machines, shard owners and workers.

The leader's code (`PartitionRebalancer`, `MachineLifecycle`, `WatchCache`) is real. It writes to a
modelled state service in which any write may be lost, be delayed, or be the last one of its leader.
A modelled owner starts work on every machine that its own, lagging cache assigns to its shard. A
modelled worker rejects tokens below the highest one it has received. The history of all revisions
is checked as a whole at the end.
"""

from __future__ import annotations

import random
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec import to_builtins

from dapplewick.core.leader.machine_lifecycle import MachineLifecycle
from dapplewick.core.leader.observed_shard import ObservedShard
from dapplewick.core.leader.provisioner import Provisioner
from dapplewick.partitions.handover import HandoverDrafter
from dapplewick.partitions.index import MachineIndex
from dapplewick.partitions.plan import Partition, PartitionPlan, PartitionRule
from dapplewick.partitions.rebalancer import PartitionRebalancer
from dapplewick.partitions.selection import MachineSelector
from dapplewick.partitions.timing import TransferDurations
from dapplewick.partitions.transfer_drafts import ORIGIN_OPERATOR, TransferCommand, TransferDrafts
from dapplewick.protocol.peers import MachineStatus, ShardStatus, TaskEnd
from dapplewick.protocol.state_service import Event
from dapplewick.storage.conditional_write import ConditionalWrite
from dapplewick.storage.formats import PARTITIONS_FORMAT
from dapplewick.storage.keys import FORMAT, MACHINES, SHARDS
from dapplewick.storage.transfers import REQUESTED, TransferRecord
from dapplewick.storage.watch_cache import WatchCache
from dapplewick.storage.write_priority import WritePriority
from dapplewick.types import (
    NO_RESOURCES,
    FencingToken,
    MachineId,
    ShardName,
    TransferId,
    shard_name,
)
from support.partition_history import PartitionHistory

OWN = ShardName("a")
NIGHT, DAY = shard_name("a", "night"), shard_name("a", "day")
SHARDS_OF_ZONE = [OWN, NIGHT, DAY]
PLAN = PartitionPlan(
    partitions={
        name: Partition(teams=[name], rules=[PartitionRule(types=["m"], most=0.0)])
        for name in ("night", "day")
    },
    move_within_s=30.0,
    hold_commands_s=1e6,
)
VALUE_BYTES = 1884  # usable for a machine group's record with a value limit of 2 KiB
TXN_OPS = 4


class Store:
    """A model of the state service, with conditional transactions and a log of all revisions."""

    def __init__(self) -> None:
        self.revision = 0
        self.keys: dict[str, tuple[Any, int]] = {}
        self.log: list[tuple[int, str, Any, bool]] = []

    def write(self, changes: list[ConditionalWrite]) -> bool:
        """Apply a transaction if all keys have the expected versions; return whether it was."""
        assert len(changes) <= TXN_OPS
        for change in changes:
            for key, version in ((change.key, change.expected_version), *change.preconditions):
                if self.keys.get(key, (None, 0))[1] != version:
                    return False
        self.revision += 1
        for change in changes:
            if change.value is None:
                self.keys.pop(change.key, None)
            else:
                self.keys[change.key] = (change.value, self.revision)
            self.log.append((self.revision, change.key, change.value, change.value is None))
        return True

    def put(self, key: str, value: Any) -> None:
        version = self.keys.get(key, (None, 0))[1]
        assert self.write([ConditionalWrite(key, value, version, WritePriority.URGENT)])

    def update_cache(self, cache: WatchCache, max_revisions: int | None = None) -> None:
        """Update a watch cache by at most `max_revisions`, or up to the newest revision."""
        end = (
            self.revision
            if max_revisions is None
            else min(self.revision, cache.revision + max_revisions)
        )
        events = [
            Event(revision, delete=key) if deleted else Event(revision, put=key, value=value)
            for revision, key, value, deleted in self.log
            if cache.revision < revision <= end
        ]
        cache.apply_events(events, end)


class Worker:
    """A machine's worker: the shards whose work it runs, and the highest token it received."""

    def __init__(self) -> None:
        self.token = 0
        self.running: set[str] = set()  # the shards whose work runs on the machine


class Owner:
    """One incarnation of a shard's owner. A replaced incarnation may continue to send commands."""

    def __init__(self, shard: ShardName, token: int) -> None:
        self.shard = shard
        self.token = FencingToken(token)
        self.cache = WatchCache()
        # The shards whose work each machine runs, as its worker reported under this owner's token.
        self.reported_work: dict[MachineId, set[str]] = {}

    def handle_heartbeat(self, machine: MachineId, worker: Worker, start: bool) -> None:
        """Handle a heartbeat of a worker, and start work in the answer if `start` and allowed."""
        record = self.cache.machines.get(machine)
        if record is None or record.shard != self.shard:
            self.reported_work.pop(machine, None)
            return
        token = self.cache.token_for(machine, self.token)
        if token < worker.token:
            return  # the worker rejects it, because another owner has a higher token
        token_confirmed = worker.token == token
        worker.token = token
        if not token_confirmed:
            return
        not_draining = self.cache.transfers.draining_transfer(machine) is None
        if start and not_draining and record.up and not record.terminating:
            worker.running.add(self.shard)
        self.reported_work[machine] = set(worker.running)

    def status(self, number: int) -> ObservedShard:
        """The shard as the leader observes it after this owner's newest status."""
        observed_shard = ObservedShard(self.shard, self.token)
        machines = {
            machine: MachineStatus(
                free=NO_RESOURCES,
                ends=[TaskEnd(5.0, 1.0, 0.0, 1.0, 0, "")] * len(running),
                images=[],
                queued=0,
                usable=True,
                reconciled=True,
                leaving=False,
                faulty=False,
            )
            for machine, running in self.reported_work.items()
        }
        drained = [
            machine
            for machine in self.cache.transfers.draining_machines()
            if self.reported_work.get(machine) == set()
        ]
        observed_shard.apply(
            0.0,
            ShardStatus(
                shard=self.shard,
                token=self.token,
                number=number,
                base=0,
                at=0.0,
                seen_revision=self.cache.revision,
                machines=dict(machines),
                jobs={},
                gangs={},
                machine_contact_gaps={},
                idle={},
                last_contact_age_s=0.0,
                drained_jobs=[],
                estimates={},
                drained=drained,
            ),
        )
        return observed_shard


class Simulation:
    """A state service, a leader, owners and workers, whose steps are drawn at random."""

    def __init__(self, seed: int, machines: int) -> None:
        self.random = random.Random(seed)
        self.now = 0.0
        self.store = Store()
        self.store.put(FORMAT, {"version": PARTITIONS_FORMAT})
        self.machine_ids = [MachineId(f"vm-{n:06d}") for n in range(machines)]
        self.workers = {name: Worker() for name in self.machine_ids}
        for first in range(0, machines, 7):
            group_machines = self.machine_ids[first : first + 7]
            group = {
                "type": "m",
                "zone": "a",
                "spot": False,
                "machines": dict.fromkeys(group_machines, "u"),
            }
            self.store.put(f"{MACHINES}r-{first}", group)
        self.owners: dict[ShardName, Owner] = {}
        self.former_owners: list[Owner] = []
        for shard in SHARDS_OF_ZONE:
            self.new_owner(shard)
        self.unanswered: list[list[ConditionalWrite]] = []  # transactions that may still be applied
        self.command_count = 0
        self.status_count = 0
        self.observed_shards: dict[ShardName, ObservedShard] = {}
        self.new_leader()

    def new_leader(self) -> None:
        """Replace the leader with one that has read all records.

        Unanswered writes of the previous leader are dropped: its epoch is a condition of its
        writes, so they can no longer succeed.
        """
        self.unanswered.clear()
        self.cache = WatchCache()
        self.store.update_cache(self.cache)
        provisioner = Provisioner(self.cache, ["a"], 1)
        self.machine_lifecycle = MachineLifecycle(
            self.cache, provisioner, 14.0, 4.0, VALUE_BYTES, TXN_OPS
        )
        self.rebalancer = PartitionRebalancer(
            self.cache, MachineIndex(self.cache), ["a"], TransferDurations()
        )
        self.rebalancer.plan = PLAN
        self.rebalancer.targets.known = True
        self.observed_shards.clear()

    def new_owner(self, shard: ShardName) -> None:
        if shard in self.owners:
            self.former_owners.append(self.owners[shard])  # it may still send commands
        self.store.put(SHARDS + shard, {"owner": f"n{self.store.revision}", "boot": "x"})
        owner = self.owners[shard] = Owner(shard, self.store.revision)
        self.store.update_cache(owner.cache)

    def command_move(self, source: ShardName, target: ShardName, count: int) -> None:
        self.command_count += 1
        record = TransferRecord(
            0,
            source,
            target,
            "m",
            count,
            REQUESTED,
            self.now,
            self.now + PLAN.move_within_s,
            origin=ORIGIN_OPERATOR,
        )
        self.rebalancer.commands = [TransferCommand(TransferId(f"o-{self.command_count}"), record)]

    def run_pass(self, faults: bool) -> None:
        """Run a planning pass of the leader, whose writes may be lost or delayed if `faults`.

        After an unanswered write, the pass writes nothing more. The next pass uses a new epoch, so
        that the unanswered write can no longer succeed.
        """
        self.unanswered.clear()
        self.store.update_cache(self.cache)
        if faults and not self.rebalancer.commands and self.random.random() < 0.05:
            self.rebalancer.commands = [
                TransferCommand(name, None)
                for name, r in self.cache.transfers.records.items()
                if r.open
            ]
        self.machine_lifecycle.begin()
        observed_shards = [
            v for p, v in self.observed_shards.items() if v.token == self.cache.version(SHARDS + p)
        ]
        changes = self.rebalancer.changes(
            self.now, self.now, observed_shards, set(), self.machine_lifecycle
        )
        self.rebalancer.commands = []
        for shard in self.rebalancer.required_shards():
            if SHARDS + shard not in self.store.keys:
                self.new_owner(shard)  # in place of the leader's shard assignment
        for batch in self.transactions(changes):
            if not faults or self.random.random() < 0.7:
                self.store.write(batch)
                continue
            self.unanswered.append(batch)
            return

    @staticmethod
    def transactions(changes: list[ConditionalWrite]) -> list[list[ConditionalWrite]]:
        out: list[list[ConditionalWrite]] = []
        for change in changes:
            if (
                change.transaction_group
                and out
                and out[-1][-1].transaction_group == change.transaction_group
            ):
                out[-1].append(change)
            else:
                out.append([change])
        return out

    def step(self, faults: bool) -> None:
        """Let one event, drawn at random, happen to the leader, an owner or a worker."""
        self.now += self.random.random()
        machine = self.random.choice(self.machine_ids)
        worker = self.workers[machine]
        pick = self.random.random()
        if pick < 0.25:
            self.run_pass(faults)
        elif pick < 0.45:
            owner = self.random.choice(list(self.owners.values()))
            self.store.update_cache(owner.cache, None if not faults else self.random.randint(0, 4))
        elif pick < 0.55:
            owner = self.random.choice(list(self.owners.values()))
            if not faults or self.random.random() < 0.8:
                self.status_count += 1
                self.observed_shards[owner.shard] = owner.status(self.status_count)
        elif pick < 0.88:
            incarnations = (
                [*self.owners.values(), *self.former_owners] if faults else [*self.owners.values()]
            )
            self.random.choice(incarnations).handle_heartbeat(
                machine, worker, self.random.random() < 0.5
            )
        elif pick < 0.97 or not faults:
            worker.running.clear()  # the tasks on the machine finish
        elif pick < 0.985:
            self.new_owner(self.random.choice(SHARDS_OF_ZONE))
        elif self.unanswered and self.random.random() < 0.5:
            self.store.write(self.unanswered.pop(self.random.randrange(len(self.unanswered))))
        else:
            self.new_leader()
        self.check()

    def check(self) -> None:
        for name, worker in self.workers.items():
            assert len(worker.running) <= 1, f"{name} runs work of several shards: {worker.running}"

    def calm(self, steps: int) -> None:
        """Run steps without faults: owners update their caches and send statuses, tasks finish."""
        self.unanswered.clear()
        self.former_owners.clear()
        for _ in range(steps):
            self.now += 0.5
            for owner in self.owners.values():
                self.store.update_cache(owner.cache)
                for name, worker in self.workers.items():
                    owner.handle_heartbeat(name, worker, start=False)
                self.status_count += 1
                self.observed_shards[owner.shard] = owner.status(self.status_count)
            for worker in self.workers.values():
                if self.random.random() < 0.3:
                    worker.running.clear()
            self.run_pass(faults=False)
            self.check()
        for name, worker in self.workers.items():
            current_owner = self.owners[self.cache.machines[name].shard]
            token = current_owner.cache.token_for(name, current_owner.token)
            assert worker.token == token, f"{name} has no token of {current_owner.shard}"


@settings(max_examples=60, deadline=None)
@given(
    seed=st.integers(0, 1 << 30),
    machines=st.integers(1, 24),
    moves=st.lists(
        st.tuples(st.permutations(SHARDS_OF_ZONE), st.integers(1, 9), st.integers(0, 40)),
        min_size=1,
        max_size=5,
    ),
)
def test_drawn_moves_failures_and_lags(
    seed: int, machines: int, moves: list[tuple[list[ShardName], int, int]]
) -> None:
    """No machine has work of two shards or counts twice, and every move ends."""
    simulation = Simulation(seed, machines)
    for (source, target, _), count, pause in moves:
        simulation.command_move(source, target, count)
        for _ in range(10 + pause):
            simulation.step(faults=True)
    simulation.calm(160)
    history = PartitionHistory()
    assert history.check(simulation.store.log) == []
    assert history.open_transfers() == []
    assert sum(history.counts().values()) == machines


def test_a_move_without_faults_is_completed() -> None:
    for seed in range(5):
        simulation = Simulation(seed, 12)
        simulation.command_move(OWN, NIGHT, 5)
        simulation.calm(30)
        simulation.command_move(NIGHT, DAY, 3)
        simulation.calm(30)
        history = PartitionHistory()
        assert history.check(simulation.store.log) == []
        assert history.counts() == {("a", "m"): 7, (NIGHT, "m"): 2, (DAY, "m"): 3}


def simulate_seed(seed: int) -> None:
    """Simulate random moves, and fail if a check of the model or of the history fails."""
    draw = random.Random(seed)
    simulation = Simulation(seed, draw.randint(1, 3))
    for _ in range(8):
        source, target, _ = draw.sample(SHARDS_OF_ZONE, 3)
        simulation.command_move(source, target, draw.randint(1, 3))
        for _ in range(60):
            simulation.step(faults=True)
    simulation.calm(40)
    assert PartitionHistory().check(simulation.store.log) == []


def write_ungrouped(self: Any, transfer: Any, record: Any, _: str = "") -> ConditionalWrite:
    """A replacement of `TransferDrafts.write` that ignores the transaction group."""
    key = f"dw/s/{transfer}"
    return ConditionalWrite(
        key, to_builtins(record), self._cache.version(key), WritePriority.NORMAL
    )


# For each guard, the class and method that implement it, and a replacement without the guard.
GUARDS: dict[str, tuple[Any, str, Any]] = {
    "a floor above all tokens": (WatchCache, "token_for", lambda _, __, token: token),
    "a machine that is proven empty": (MachineSelector, "is_empty", lambda *_: True),
    "one transaction": (TransferDrafts, "write", write_ungrouped),
}


@pytest.mark.parametrize("guard", GUARDS)
def test_a_removed_guard_is_detected(guard: str, monkeypatch: pytest.MonkeyPatch) -> None:
    for seed in range(5):
        simulate_seed(seed)
    monkeypatch.setattr(*GUARDS[guard])
    for seed in range(200):
        try:
            simulate_seed(seed)
        except AssertionError:
            return
    raise AssertionError("no fault was detected in 200 simulations without the guard")


@pytest.mark.parametrize("guarded", [True, False])
def test_a_status_from_before_a_transfer_does_not_prove_a_machine_empty(
    guarded: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against the handover of a machine that still runs work of its source shard.

    A machine is reported drained, its transfer is cancelled, and it gets work again. The next
    transfer must not rely on the earlier status, which may be seconds old.
    """
    if not guarded:
        monkeypatch.setattr(HandoverDrafter, "_owner_has_read_transfer", lambda *_: True)
    simulation = Simulation(1, 1)
    machine, owner = simulation.machine_ids[0], simulation.owners[OWN]
    worker = simulation.workers[machine]

    def catch_up(start: bool) -> None:
        simulation.store.update_cache(owner.cache)
        owner.handle_heartbeat(machine, worker, start)
        owner.handle_heartbeat(machine, worker, start)

    simulation.command_move(OWN, NIGHT, 1)
    simulation.run_pass(faults=False)
    catch_up(start=False)
    simulation.observed_shards[OWN] = owner.status(1)
    assert simulation.observed_shards[OWN].latest_status.drained == [machine]
    (first,) = simulation.cache.transfers.records or [TransferId("o-1")]
    simulation.rebalancer.commands = [TransferCommand(first, None)]
    simulation.run_pass(faults=False)
    catch_up(start=True)
    assert worker.running == {OWN}
    simulation.command_move(OWN, NIGHT, 1)
    for _ in range(3):
        simulation.run_pass(faults=False)
    simulation.store.update_cache(simulation.cache)
    assert (simulation.cache.machines[machine].shard == OWN) is guarded


def test_the_model_detects_a_start_by_a_former_owner() -> None:
    """Shows that the model would detect a missing token floor.

    Without the floor, a worker accepts a command of the former owner after the handover.
    """
    simulation = Simulation(1, 2)
    simulation.command_move(OWN, NIGHT, 2)
    simulation.calm(10)
    former = Owner(OWN, int(simulation.owners[OWN].token))
    simulation.store.update_cache(former.cache, 5)  # the state before the transfer
    machine, worker = simulation.machine_ids[0], simulation.workers[simulation.machine_ids[0]]
    simulation.owners[NIGHT].handle_heartbeat(machine, worker, start=True)
    former.handle_heartbeat(machine, worker, start=True)
    former.handle_heartbeat(machine, worker, start=True)
    assert worker.running == {NIGHT}
    worker.token = int(former.token)  # the worker's token if the handover had set no floor
    former.handle_heartbeat(machine, worker, start=True)
    assert worker.running == {NIGHT, OWN}
