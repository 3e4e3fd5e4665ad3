"""When an isolated leader steps down, and which shards have no contact with their machines."""

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
OWN_1, OWN_2, FOREIGN = ShardName("a"), ShardName("b"), ShardName("c")
NO_SHARDS: set[ShardName] = set()


def isolation(*present: ControllerName) -> LeaderIsolation:
    cache = WatchCache()
    for number, name in enumerate(present, 1):
        cache.put(CONTROLLERS + name, {"zone": "a", "boot": "x"}, number)
    return LeaderIsolation(cache, LEADER)


@pytest.mark.parametrize(
    ("silent", "populated", "unreachable", "steps_down"),
    [
        ({PEER, OTHER}, {OWN_1}, {OWN_1}, True),
        ({PEER, OTHER}, {OWN_1, OWN_2}, {OWN_1, OWN_2, FOREIGN}, True),
        ({PEER}, {OWN_1}, {OWN_1}, False),  # another controller is reachable
        ({PEER, OTHER}, {OWN_1, OWN_2}, {OWN_1}, False),  # one of its shards is reachable
        ({PEER, OTHER}, NO_SHARDS, {FOREIGN}, False),  # isolation is unproven without own machines
        ({PEER, OTHER}, {OWN_1}, NO_SHARDS, False),
    ],
)
def test_a_leader_without_contact_to_peers_and_workers_steps_down(
    silent: set[ControllerName],
    populated: set[ShardName],
    unreachable: set[ShardName],
    steps_down: bool,
) -> None:
    leader = isolation(LEADER, PEER, OTHER)
    assert leader.should_step_down(0.0, silent, populated, unreachable) is steps_down


def test_a_leader_without_present_peers_does_not_step_down() -> None:
    assert not isolation(LEADER).should_step_down(0.0, set(), {OWN_1}, {OWN_1})
    assert not isolation(LEADER).has_no_peer_contact({PEER})


def test_a_leader_steps_down_again_only_after_the_cooldown() -> None:
    leader = isolation(LEADER, PEER)
    leader.record_step_down(100.0)
    assert not leader.should_step_down(100.0 + STEP_DOWN_COOLDOWN_S - 1.0, {PEER}, {OWN_1}, {OWN_1})
    assert leader.should_step_down(100.0 + STEP_DOWN_COOLDOWN_S, {PEER}, {OWN_1}, {OWN_1})


def status_of(last_contact_age_s: float, described: int) -> ShardStatus:
    """Return a shard status.

    Args:
        last_contact_age_s: seconds since the owner's last contact with any machine.
        described: the number of machines that the status describes.
    """
    machines = {f"vm-{n}": machine_status((4.0, 0.0, 64.0)) for n in range(described)}
    status = shard_status(machines, 1, 0.0)
    status.last_contact_age_s = last_contact_age_s
    return status


@pytest.mark.parametrize("described", [0, 2])
@pytest.mark.parametrize(
    ("up", "heard_ago_s", "unreachable"),
    [
        (2, UNREACHABLE_S + 1.0, True),
        (2, UNREACHABLE_S - 1.0, False),
        (1, UNREACHABLE_S + 1.0, False),  # the only machine may be at fault itself
    ],
)
def test_a_shard_without_machine_contact_is_unreachable_even_if_no_machine_is_described(
    up: int, heard_ago_s: float, described: int, unreachable: bool
) -> None:
    cache = WatchCache()
    cache.put(SHARDS + OWN_1, {"owner": "n1", "boot": "x"}, 2)
    for n in range(up):
        cache.put(f"dw/m/vm-{n}", group(f"vm-{n}"), 10 + n)
    shards = ObservedShards(cache, Estimates())
    shards.receive(0.0, status_of(heard_ago_s, described))
    assert shards.unreachable_shards() == ({OWN_1} if unreachable else set())
