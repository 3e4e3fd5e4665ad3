"""The rebalancing of partitions against a slow plain model of machines, owners and workers.

The real leader's side (`PartitionRebalancer`, `MachineLifecycle`, `WatchCache`)
writes to a store in which any write may be lost, come late, or be the last of its leader. Owners
are plain: each has its own cache, which lags behind, and starts work on whatever that shows to be
its own. Workers keep the highest token that they have seen.
The model counts by looking at everything.
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
VALUE_BYTES = 1884  # what is left of 2 KiB
TXN_OPS = 4


class Store:
    """The state service: conditional transactions, and a log of all revisions."""

    def __init__(self) -> None:
        self.revision = 0
        self.keys: dict[str, tuple[Any, int]] = {}
        self.log: list[tuple[int, str, Any, bool]] = []

    def write(self, changes: list[ConditionalWrite]) -> bool:
        """Carry out a transaction, if everything still has the version that it names."""
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

    def follow(self, cache: WatchCache, most: int | None = None) -> None:
        """Let a watch cache read on, perhaps not up to the newest revision."""
        end = self.revision if most is None else min(self.revision, cache.revision + most)
        events = [
            Event(revision, delete=key) if gone else Event(revision, put=key, value=value)
            for revision, key, value, gone in self.log
            if cache.revision < revision <= end
        ]
        cache.apply_events(events, end)


class Worker:
    """A machine's worker: what runs there, for whom, and the highest token it has seen."""

    def __init__(self) -> None:
        self.token = 0
        self.running: set[str] = set()  # names of the shards whose work is there


class Owner:
    """One incarnation of a shard's owner; earlier ones may go on for any time."""

    def __init__(self, shard: ShardName, token: int) -> None:
        self.shard = shard
        self.token = FencingToken(token)
        self.cache = WatchCache()
        self.heard: dict[MachineId, set[str]] = {}  # what each worker reported under our token

    def command(self, machine: MachineId, worker: Worker, start: bool) -> None:
        """A worker sends a heartbeat to this owner, which may start work in its answer."""
        record = self.cache.machines.get(machine)
        if record is None or record.shard != self.shard:
            self.heard.pop(machine, None)
            return
        token = self.cache.token_for(machine, self.token)
        if token < worker.token:
            return  # refused: another owner is entitled
        settled = worker.token == token
        worker.token = token
        if not settled:
            return
        free = self.cache.transfers.draining_transfer(machine) is None
        if start and free and record.up and not record.terminating:
            worker.running.add(self.shard)
        self.heard[machine] = set(worker.running)

    def status(self, number: int) -> ObservedShard:
        """What the leader knows of the shard after this owner's newest status."""
        view = ObservedShard(self.shard, self.token)
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
            for machine, running in self.heard.items()
        }
        drained = [
            machine
            for machine in self.cache.transfers.draining_machines()
            if self.heard.get(machine) == set()
        ]
        view.apply(
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
        return view


class Simulation:
    """Store, leader, owners and workers together, driven by random numbers."""

    def __init__(self, seed: int, machines: int) -> None:
        self.random = random.Random(seed)
        self.now = 0.0
        self.store = Store()
        self.store.put(FORMAT, {"version": PARTITIONS_FORMAT})
        self.names = [MachineId(f"vm-{n:06d}") for n in range(machines)]
        self.workers = {name: Worker() for name in self.names}
        for first in range(0, machines, 7):
            some = self.names[first : first + 7]
            group = {"type": "m", "zone": "a", "spot": False, "machines": dict.fromkeys(some, "u")}
            self.store.put(f"{MACHINES}r-{first}", group)
        self.owners: dict[ShardName, Owner] = {}
        self.former: list[Owner] = []
        for shard in SHARDS_OF_ZONE:
            self.new_owner(shard)
        self.late: list[list[ConditionalWrite]] = []  # transactions without an answer
        self.commands = 0
        self.statuses = 0
        self.capacities: dict[ShardName, ObservedShard] = {}
        self.new_leader()

    def new_leader(self) -> None:
        """A new leader reads all records before it plans; nothing of an earlier one comes later:
        its writes name its epoch."""
        self.late.clear()
        self.cache = WatchCache()
        self.store.follow(self.cache)
        provisioner = Provisioner(self.cache, ["a"], 1)
        self.machine_lifecycle = MachineLifecycle(
            self.cache, provisioner, 14.0, 4.0, VALUE_BYTES, TXN_OPS
        )
        self.keeper = PartitionRebalancer(
            self.cache, MachineIndex(self.cache), ["a"], TransferDurations()
        )
        self.keeper.plan = PLAN
        self.keeper.targets.known = True
        self.capacities.clear()

    def new_owner(self, shard: ShardName) -> None:
        if shard in self.owners:
            self.former.append(self.owners[shard])  # it may go on for as long as it likes
        self.store.put(SHARDS + shard, {"owner": f"n{self.store.revision}", "boot": "x"})
        owner = self.owners[shard] = Owner(shard, self.store.revision)
        self.store.follow(owner.cache)

    def command_move(self, source: ShardName, target: ShardName, count: int) -> None:
        self.commands += 1
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
        self.keeper.commands = [TransferCommand(TransferId(f"o-{self.commands}"), record)]

    def lead(self, faults: bool) -> None:
        """A pass of the leader, whose writes may be lost, cut off or come late. After one without
        an answer the next pass writes under a new epoch, so that it can't come any more."""
        self.late.clear()
        self.store.follow(self.cache)
        if faults and not self.keeper.commands and self.random.random() < 0.05:
            self.keeper.commands = [
                TransferCommand(name, None)
                for name, r in self.cache.transfers.records.items()
                if r.open
            ]
        self.machine_lifecycle.begin()
        capacities = [
            v for p, v in self.capacities.items() if v.token == self.cache.version(SHARDS + p)
        ]
        changes = self.keeper.changes(self.now, self.now, capacities, set(), self.machine_lifecycle)
        self.keeper.commands = []
        for shard in self.keeper.required_shards():
            if SHARDS + shard not in self.store.keys:
                self.new_owner(shard)  # as the leader's choice of owners does
        for batch in self.transactions(changes):
            if not faults or self.random.random() < 0.7:
                self.store.write(batch)
                continue
            self.late.append(batch)
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
        """Something happens."""
        self.now += self.random.random()
        machine = self.random.choice(self.names)
        worker = self.workers[machine]
        pick = self.random.random()
        if pick < 0.25:
            self.lead(faults)
        elif pick < 0.45:
            owner = self.random.choice(list(self.owners.values()))
            self.store.follow(owner.cache, None if not faults else self.random.randint(0, 4))
        elif pick < 0.55:
            owner = self.random.choice(list(self.owners.values()))
            if not faults or self.random.random() < 0.8:
                self.statuses += 1
                self.capacities[owner.shard] = owner.status(self.statuses)
        elif pick < 0.88:
            incarnations = (
                [*self.owners.values(), *self.former] if faults else [*self.owners.values()]
            )
            self.random.choice(incarnations).command(machine, worker, self.random.random() < 0.5)
        elif pick < 0.97 or not faults:
            worker.running.clear()  # its work ends by itself
        elif pick < 0.985:
            self.new_owner(self.random.choice(SHARDS_OF_ZONE))
        elif self.late and self.random.random() < 0.5:
            self.store.write(self.late.pop(self.random.randrange(len(self.late))))
        else:
            self.new_leader()
        self.check()

    def check(self) -> None:
        for name, worker in self.workers.items():
            assert len(worker.running) <= 1, f"{name} has work of {worker.running}"

    def calm(self, steps: int) -> None:
        """Without faults: owners read on, send their status, and work ends."""
        self.late.clear()
        self.former.clear()
        for _ in range(steps):
            self.now += 0.5
            for owner in self.owners.values():
                self.store.follow(owner.cache)
                for name, worker in self.workers.items():
                    owner.command(name, worker, start=False)
                self.statuses += 1
                self.capacities[owner.shard] = owner.status(self.statuses)
            for worker in self.workers.values():
                if self.random.random() < 0.3:
                    worker.running.clear()
            self.lead(faults=False)
            self.check()
        for name, worker in self.workers.items():
            holder = self.owners[self.cache.machines[name].shard]
            token = holder.cache.token_for(name, holder.token)
            assert worker.token == token, f"{name} does not listen to {holder.shard}"


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


def play_seed(seed: int) -> None:
    """A simulation of random moves; fails if anything is wrong."""
    draw = random.Random(seed)
    simulation = Simulation(seed, draw.randint(1, 3))
    for _ in range(8):
        source, target, _ = draw.sample(SHARDS_OF_ZONE, 3)
        simulation.command_move(source, target, draw.randint(1, 3))
        for _ in range(60):
            simulation.step(faults=True)
    simulation.calm(40)
    assert PartitionHistory().check(simulation.store.log) == []


def untied(self: Any, transfer: Any, record: Any, _: str = "") -> ConditionalWrite:
    key = f"dw/s/{transfer}"
    return ConditionalWrite(
        key, to_builtins(record), self._cache.version(key), WritePriority.NORMAL
    )


GUARDS: dict[str, tuple[Any, str, Any]] = {
    "a floor above all tokens": (WatchCache, "token_for", lambda _, __, token: token),
    "a machine that is proven empty": (MachineSelector, "is_empty", lambda *_: True),
    "one transaction": (TransferDrafts, "write", untied),
}


@pytest.mark.parametrize("guard", GUARDS)
def test_a_removed_guard_is_detected(guard: str, monkeypatch: pytest.MonkeyPatch) -> None:
    for seed in range(5):
        play_seed(seed)
    monkeypatch.setattr(*GUARDS[guard])
    for seed in range(200):
        try:
            play_seed(seed)
        except AssertionError:
            return
    raise AssertionError("200 plays were found good without it")


@pytest.mark.parametrize("guarded", [True, False])
def test_what_an_owner_reported_before_a_transfer_proves_nothing(
    guarded: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A cancelled transfer's machine has got work again, and the next transfer of it must not rest
    on the status from before; a status may be seconds old."""
    if not guarded:
        monkeypatch.setattr(HandoverDrafter, "_owner_has_seen_transfer", lambda *_: True)
    simulation = Simulation(1, 1)
    machine, owner = simulation.names[0], simulation.owners[OWN]
    worker = simulation.workers[machine]

    def catch_up(start: bool) -> None:
        simulation.store.follow(owner.cache)
        owner.command(machine, worker, start)
        owner.command(machine, worker, start)

    simulation.command_move(OWN, NIGHT, 1)
    simulation.lead(faults=False)
    catch_up(start=False)
    simulation.capacities[OWN] = owner.status(1)
    assert simulation.capacities[OWN].latest_status.drained == [machine]
    (first,) = simulation.cache.transfers.records or [TransferId("o-1")]
    simulation.keeper.commands = [TransferCommand(first, None)]
    simulation.lead(faults=False)
    catch_up(start=True)
    assert worker.running == {OWN}
    simulation.command_move(OWN, NIGHT, 1)
    for _ in range(3):
        simulation.lead(faults=False)
    simulation.store.follow(simulation.cache)
    assert (simulation.cache.machines[machine].shard == OWN) is guarded


def test_the_model_detects_a_start_by_a_former_owner() -> None:
    """Without floors a former holder's command is taken by the worker after the handover."""
    simulation = Simulation(1, 2)
    simulation.command_move(OWN, NIGHT, 2)
    simulation.calm(10)
    former = Owner(OWN, int(simulation.owners[OWN].token))
    simulation.store.follow(former.cache, 5)  # as it was before the transfer
    machine, worker = simulation.names[0], simulation.workers[simulation.names[0]]
    simulation.owners[NIGHT].command(machine, worker, start=True)
    former.command(machine, worker, start=True)
    former.command(machine, worker, start=True)
    assert worker.running == {NIGHT}
    worker.token = int(former.token)  # what it would have seen without a floor
    former.command(machine, worker, start=True)
    assert worker.running == {NIGHT, OWN}
