"""This version together with the previous main version, which already writes format 3."""

from __future__ import annotations

import random
from typing import Any

import msgspec
import pytest

from dapplewick.storage.encoding import encoded_size
from dapplewick.storage.keys import FORMAT, MACHINES
from dapplewick.storage.machine_records import MachineGroupRecord, MachineRecord
from dapplewick.storage.watch_cache import WatchCache
from standins import LOWERED_LIMITS
from support import production
from support.machine_store import TXN_OPS, VALUE_BYTES, Store, group
from support.rolls import FAULTS, Fault, run_rolling_upgrade
from support.scenarios import unfinished_jobs


@pytest.mark.parametrize("fault", FAULTS, ids=lambda f: f.__name__)
def test_rolling_upgrades_from_the_previous_main(fault: Fault) -> None:
    """The state service lowers its limits at a random time during the upgrade.

    Services are submitted before the upgrade and must still run after it.
    """
    seed = FAULTS.index(fault) + 1
    lowered_after = random.Random(seed).uniform(4.0, 60.0)
    previous_main = production.load_commit(production.PREVIOUS_MAIN)
    world = run_rolling_upgrade(previous_main, fault, seed, lowered_after=lowered_after).world
    assert world.violations == []
    assert unfinished_jobs(world) == {"run-service0": "running", "run-service1": "running"}
    assert world.reported_stages["run-service2"] == "withdrawn"
    largest = max(encoded_size(value) for value, _, _ in world.state.keys.values())
    assert largest <= float(LOWERED_LIMITS["value_kb"]) * 1024


def machine_states(machines: dict[Any, Any]) -> dict[str, tuple[bool, bool]]:
    return {
        str(name): (
            record.up,
            record.terminating if hasattr(record, "terminating") else record.doomed,
        )
        for name, record in machines.items()
    }


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("count", [60, 150, 1000])
def test_a_group_of_any_size_is_split_in_small_writes_and_no_machine_is_lost(
    count: int, seed: int
) -> None:
    """A machine group that is too large for one value is split by several transactions.

    Between the writes the leader may change and machines are marked for termination. After each
    write, a watch cache of this version or of the previous main version must hold the same
    machines, both when it reloads all records and when it follows the changes.
    """
    rng = random.Random(seed)
    store, previous_main = Store(count), production.load_commit(production.PREVIOUS_MAIN)
    follower_cache = store.reload_cache(previous_main.WatchCache())
    machines, machine_lifecycle = dict(store.machines), store.machine_lifecycle()
    for _ in range(400):
        if rng.random() < 0.2:
            machine_lifecycle = store.machine_lifecycle()  # the leadership changes
        machine_lifecycle.begin()
        # The termination takes effect only once the machine's group is small enough to be written.
        name = rng.choice(sorted(machines))
        machine_lifecycle.terminate(name, "test")
        changes = machine_lifecycle.changes()
        if not changes:
            break
        transaction_group = [c for c in changes if c.transaction_group]
        assert len(transaction_group) <= TXN_OPS
        for change in transaction_group or changes[: rng.randint(1, len(changes))]:
            assert change.value is None or encoded_size(change.value) <= VALUE_BYTES
            store.write(change.key, change.value)
            if change.value is None:
                follower_cache.remove(change.key, store.revision)
            else:
                follower_cache.put(change.key, change.value, store.revision)
            if change.value is not None and change.value["machines"].get(name) == "d":
                machines[name] = msgspec.convert(change.value, type=MachineGroupRecord).record(name)
        for cache in (
            store.cache,
            follower_cache,
            store.reload_cache(WatchCache()),
            store.reload_cache(previous_main.WatchCache()),
        ):
            assert machine_states(cache.machines) == machine_states(machines)
        if all(encoded_size(v) <= VALUE_BYTES for k, (v, _) in store.keys.items() if k != FORMAT):
            break
    assert all(encoded_size(v) <= VALUE_BYTES for k, (v, _) in store.keys.items() if k != FORMAT)
    listed_machines = [m for g in store.cache.groups.values() for m in g.machines]
    assert len(listed_machines) == len(set(listed_machines)) == count


def test_the_newer_of_two_groups_that_list_a_machine_counts_in_any_order() -> None:
    old, new = group(3), group(3) | {"machines": {"vm-000000": "d"}}
    for order in ([("r-9", old, 4), ("r-1", new, 5)], [("r-1", new, 5), ("r-9", old, 4)]):
        cache = WatchCache()
        for name, value, version in order:
            cache.put(MACHINES + name, value, version)
        machine = next(iter(cache.machines))
        assert cache.machines[machine].terminating
        assert cache.group_of[machine] == "r-1"
        cache.remove(MACHINES + "r-1", 6)
        assert not cache.machines[machine].terminating
        assert cache.group_of[machine] == "r-9"
        cache.remove(MACHINES + "r-9", 7)
        assert cache.machines == {}
        assert cache.group_of == {}


def test_a_group_within_the_limit_is_left_alone() -> None:
    machine_lifecycle = Store(20).machine_lifecycle()
    machine_lifecycle.begin()
    assert machine_lifecycle.changes() == []
    record = MachineGroupRecord("c8", "a", False, {"m": "u"}).record("m")
    assert record == MachineRecord("c8", "a", False, 0.0, True, False)
