"""When a leader that hears nobody steps down, and which owners hear none of their machines."""

from __future__ import annotations

import pytest

from dapplewick.coordination.leader_isolation import STEP_DOWN_COOLDOWN_S, LeaderIsolation
from dapplewick.core.estimates import Estimates
from dapplewick.core.leader.observed_shard import UNREACHABLE_S, ObservedShards
from dapplewick.protocol.peers import ShardStatus
from dapplewick.storage.keys import CONTROLLERS, SHARDS
from dapplewick.storage.watch_cache import WatchCache
from dapplewick.types import ControllerName, ShardName
from support.shard_bench import group, machine_status, shard_status

LEADER, PEER, OTHER = ControllerName("n0"), ControllerName("n1"), ControllerName("n2")
OWN, OWN_TOO, FOREIGN = ShardName("a"), ShardName("b"), ShardName("c")
NOTHING: set[ShardName] = set()


def isolation(*present: ControllerName) -> LeaderIsolation:
    cache = WatchCache()
    for number, name in enumerate(present, 1):
        cache.put(CONTROLLERS + name, {"zone": "a", "boot": "x"}, number)
    return LeaderIsolation(cache, LEADER)


@pytest.mark.parametrize(
    ("silent", "populated", "unreachable", "steps_down"),
    [
        ({PEER, OTHER}, {OWN}, {OWN}, True),
        ({PEER, OTHER}, {OWN, OWN_TOO}, {OWN, OWN_TOO, FOREIGN}, True),
        ({PEER}, {OWN}, {OWN}, False),  # another controller is heard
        ({PEER, OTHER}, {OWN, OWN_TOO}, {OWN}, False),  # the workers of one shard are heard
        ({PEER, OTHER}, NOTHING, {FOREIGN}, False),  # it owns nothing by which to know
        ({PEER, OTHER}, {OWN}, NOTHING, False),
    ],
)
def test_a_leader_steps_down_that_hears_neither_peers_nor_workers(
    silent: set[ControllerName],
    populated: set[ShardName],
    unreachable: set[ShardName],
    steps_down: bool,
) -> None:
    leader = isolation(LEADER, PEER, OTHER)
    assert leader.should_step_down(0.0, silent, populated, unreachable) is steps_down


def test_a_controller_that_is_alone_leads_on() -> None:
    assert not isolation(LEADER).should_step_down(0.0, set(), {OWN}, {OWN})
    assert not isolation(LEADER).has_no_peer_contact({PEER})


def test_a_leader_steps_down_again_only_after_a_pause() -> None:
    leader = isolation(LEADER, PEER)
    leader.record_step_down(100.0)
    assert not leader.should_step_down(100.0 + STEP_DOWN_COOLDOWN_S - 1.0, {PEER}, {OWN}, {OWN})
    assert leader.should_step_down(100.0 + STEP_DOWN_COOLDOWN_S, {PEER}, {OWN}, {OWN})


def status_of(heard_ago_s: float, described: int) -> ShardStatus:
    """A shard's status that describes some of its machines."""
    machines = {f"vm-{n}": machine_status((4.0, 0.0, 64.0)) for n in range(described)}
    status = shard_status(machines, 1, 0.0)
    status.last_contact_age_s = heard_ago_s
    return status


@pytest.mark.parametrize("described", [0, 2])
@pytest.mark.parametrize(
    ("up", "heard_ago_s", "unreachable"),
    [
        (2, UNREACHABLE_S + 1.0, True),
        (2, UNREACHABLE_S - 1.0, False),
        (1, UNREACHABLE_S + 1.0, False),  # one machine alone may be silent itself
    ],
)
def test_an_owner_hears_no_machine_whether_or_not_it_could_describe_any(
    up: int, heard_ago_s: float, described: int, unreachable: bool
) -> None:
    cache = WatchCache()
    cache.put(SHARDS + OWN, {"owner": "n1", "boot": "x"}, 2)
    for n in range(up):
        cache.put(f"dw/m/vm-{n}", group(f"vm-{n}"), 10 + n)
    shards = ObservedShards(cache, Estimates())
    shards.receive(0.0, status_of(heard_ago_s, described))
    assert shards.unreachable_shards() == ({OWN} if unreachable else set())
