"""Partitions of 4,000 machines: the cost of a move depends on the number of machines moved."""

from __future__ import annotations

from typing import Any

import anyio

from dapplewick.core.leader.machine_lifecycle import MachineLifecycle
from dapplewick.core.leader.observed_shard import ObservedShard
from dapplewick.partitions import plan as plans
from dapplewick.partitions.index import MachineIndex
from dapplewick.partitions.rebalancer import PartitionRebalancer
from dapplewick.partitions.timing import TransferDurations
from dapplewick.partitions.transfer_drafts import ORIGIN_OPERATOR, TransferCommand
from dapplewick.protocol.peers import MachineStatus, ShardStatus
from dapplewick.storage.conditional_write import ConditionalWrite
from dapplewick.storage.formats import PARTITIONS_FORMAT
from dapplewick.storage.keys import FORMAT, MACHINES, SHARDS
from dapplewick.storage.transfers import REQUESTED, TransferRecord
from dapplewick.storage.watch_cache import WatchCache
from dapplewick.types import (
    NO_RESOURCES,
    FencingToken,
    MachineId,
    Revision,
    ShardName,
    TransferId,
    partition_of,
    shard_name,
)
from simulation.test_fleet_size import MACHINE_COUNT, MACHINES_PER_RECORD
from standins import World
from support.partition_history import PartitionHistory
from support.partition_moves import machines_of
from support.scenarios import run_script
from support.shard_bench import calls

PARTITIONS = [f"s{n}" for n in range(20)]
PLAN = plans.convert(
    {
        "shares": {
            name: {"teams": ["red"], "rules": [{"types": ["c8"], "least": 0.01, "most": 0.01}]}
            for name in PARTITIONS
        }
    }
)
MOVED_MACHINES = 40


class RebalancerBench:
    """A leader's partition rebalancer over many machines, all of them idle."""

    def __init__(self, machines: int) -> None:
        self.cache = WatchCache()
        self.revision = 0
        self.put(FORMAT, {"version": PARTITIONS_FORMAT})
        self.shards = [shard_name("a", name) for name in ["", *PARTITIONS]]
        for shard in self.shards:
            self.put(SHARDS + shard, {"owner": "n0", "boot": "x"})
        for first in range(0, machines, 100):
            names = [f"vm-{n:06d}" for n in range(first, first + 100)]
            value: dict[str, Any] = {"type": "c8", "zone": "a", "spot": False}
            value["machines"] = dict.fromkeys(names, "u")
            partition = partition_of(self.shards[first // 100 % len(self.shards)])
            self.put(f"{MACHINES}r-{first}", value | ({"share": partition} if partition else {}))
        self.machine_lifecycle = MachineLifecycle(self.cache, None, 14.0, 4.0)  # type: ignore[arg-type]
        index = MachineIndex(self.cache)
        self.rebalancer = PartitionRebalancer(self.cache, index, ["a"], TransferDurations())
        self.rebalancer.plan = plans.convert(
            {
                "shares": {
                    name: {"teams": ["red"], "rules": [{"types": ["c8"], "most": 0.0}]}
                    for name in PARTITIONS
                },
                "hold_orders_s": 600000.0,
            }
        )
        self.capacities = [self.observed_shard(shard) for shard in self.shards]
        index.refresh()

    def put(self, key: str, value: Any) -> None:
        self.revision += 1
        if value is None:
            self.cache.remove(key, self.revision)
        else:
            self.cache.put(key, value, self.revision)
        self.cache.revision = Revision(self.revision)

    def observed_shard(self, shard: ShardName) -> ObservedShard:
        observed_shard = ObservedShard(shard, self.cache.version(SHARDS + shard))
        status = MachineStatus(
            free=NO_RESOURCES,
            ends=[],
            images=[],
            queued=0,
            usable=True,
            reconciled=True,
            leaving=False,
            faulty=False,
        )
        machines: dict[MachineId, MachineStatus | None]
        machines = {m: status for m, r in self.cache.machines.items() if r.shard == shard}
        observed_shard.apply(
            0.0,
            ShardStatus(
                shard=shard,
                token=FencingToken(self.cache.version(SHARDS + shard)),
                number=1,
                base=0,
                at=0.0,
                seen_revision=Revision(0),
                machines=machines,
                jobs={},
                gangs={},
                machine_contact_gaps={},
                idle=dict.fromkeys(machines, 30.0),
                last_contact_age_s=0.0,
                drained_jobs=[],
                estimates={},
                drained=[],
            ),
        )
        return observed_shard

    def command_move(self) -> None:
        record = TransferRecord(
            0,
            "a",
            self.shards[1],
            "c8",
            MOVED_MACHINES,
            REQUESTED,
            0.0,
            300.0,
            origin=ORIGIN_OPERATOR,
        )
        self.rebalancer.commands = [TransferCommand(TransferId("o-00000001"), record)]

    def run_move(self) -> int:
        """Run planning passes until the move is complete; owners see each write at once.

        Returns:
            The number of function calls that the rebalancer made.
        """
        call_count = 0
        changes: list[ConditionalWrite] = []

        def plan() -> None:
            changes[:] = self.rebalancer.changes(
                1.0, 1.0, self.capacities, set(), self.machine_lifecycle
            )

        for _ in range(8):
            for observed_shard in self.capacities:
                observed_shard.seen_revision = Revision(self.revision)
                observed_shard.latest_status.drained = [
                    m
                    for m in self.cache.transfers.draining_machines()
                    if self.cache.machines[m].shard == observed_shard.shard
                ]
            self.machine_lifecycle.begin()
            call_count += calls(plan)
            self.rebalancer.commands = []
            for change in changes:
                self.put(change.key, change.value)
        return call_count


def test_a_move_costs_the_same_among_five_times_as_many_machines() -> None:
    def cost(machines: int) -> float:
        bench = RebalancerBench(machines)
        before = bench.cache.machines.copy()
        bench.command_move()
        call_count = bench.run_move()
        moved_machines = [m for m, r in bench.cache.machines.items() if r.shard != before[m].shard]
        assert len(moved_machines) == MOVED_MACHINES
        return call_count

    small, large = cost(6300), cost(31500)
    assert large < 1.2 * small + 200


def test_twenty_partitions_of_four_thousand_machines_reach_their_targets() -> None:
    """Each of twenty partitions gets its planned machines while all machines send heartbeats."""
    world = World(seed=6)
    world.partition_plan = PLAN

    async def script() -> None:
        world.boot_s = (0.1, 0.5)
        state = world.state
        for first in range(0, MACHINE_COUNT, MACHINES_PER_RECORD):
            names = [
                f"vm-{n:06d}" for n in range(first, min(MACHINE_COUNT, first + MACHINES_PER_RECORD))
            ]
            zone = world.zones[first // MACHINES_PER_RECORD % len(world.zones)]
            value = {
                "type": "c8",
                "zone": zone,
                "spot": False,
                "machines": dict.fromkeys(names, "u"),
            }
            state.ledger += 1
            state.keys[f"{MACHINES}r-0-{first}"] = (value, state.ledger, None)
            state.log.append((state.ledger, f"{MACHINES}r-0-{first}", value, False))
            for name in names:
                world.new_machine(name, "c8", zone, False)
        world.cloud.next_name = MACHINE_COUNT
        with anyio.move_on_after(30.0):
            while not all(19 <= count <= 21 for count in machines_in_partitions()):
                await anyio.sleep(1.0)
        world.group.cancel_scope.cancel()

    def machines_in_partitions() -> list[int]:
        return [len(machines_of(world, shard_name("a", name))) for name in PARTITIONS]

    run_script(world, 40.0, script)
    history = PartitionHistory()
    assert history.check(world.state.log) == []
    assert world.violations == []
    assert all(19 <= count <= 21 for count in machines_in_partitions()), machines_in_partitions()
    assert {machine for _, machine, _, _ in history.handovers} <= {
        MachineId(f"vm-{n:06d}") for n in range(MACHINE_COUNT)
    }
