"""Which present controllers are unreachable, and which owners their shards are assigned to."""

from __future__ import annotations

import pytest

from dapplewick.coordination.peer_reachability import (
    MAX_OWN_STALL_S,
    PEER_TIMEOUT_S,
    PeerReachability,
)
from dapplewick.coordination.shard_assignment import (
    AssignmentReason,
    OwnerReachability,
    ShardAssigner,
    ShardAssignment,
)
from dapplewick.storage.controller_records import ControllerRecord, ShardRecord
from dapplewick.storage.watch_cache import WatchCache
from dapplewick.types import ControllerName, ShardName

LEADER, PEER, OTHER = ControllerName("n0"), ControllerName("n1"), ControllerName("n2")
NO_CONTROLLERS: frozenset[ControllerName] = frozenset()
NO_SHARDS: frozenset[ShardName] = frozenset()


def present(
    *names: ControllerName, incarnation: str = "x"
) -> dict[ControllerName, ControllerRecord]:
    return {name: ControllerRecord(incarnation, "a") for name in names}


def record_presence_each_second(
    reachability: PeerReachability, begin: int, end: int, *names: ControllerName
) -> None:
    """Record once a second, from `begin` to before `end`, that these controllers are present."""
    for at in range(begin, end):
        reachability.record_presence(float(at), present(*names))


def test_a_present_peer_without_contact_is_unreachable_and_this_controller_never_is() -> None:
    reachability = PeerReachability(LEADER)
    for at in range(20):
        reachability.record_presence(float(at), present(LEADER, PEER, OTHER))
        reachability.record_contact(float(at), OTHER)
        expected = {PEER} if at > PEER_TIMEOUT_S else set()
        assert reachability.unreachable(float(at), present(LEADER, PEER, OTHER)) == expected


def test_a_new_incarnation_is_unreachable_only_after_the_full_timeout() -> None:
    reachability = PeerReachability(LEADER)
    record_presence_each_second(reachability, 0, 20, PEER)
    assert reachability.unreachable(20.0, present(PEER)) == {PEER}
    restarted = present(PEER, incarnation="y")
    # The presence of the new incarnation is not recorded yet.
    assert reachability.unreachable(20.0, restarted) == NO_CONTROLLERS
    reachability.record_presence(20.0, restarted)
    assert reachability.unreachable(20.0 + PEER_TIMEOUT_S, restarted) == NO_CONTROLLERS
    assert reachability.unreachable(20.1 + PEER_TIMEOUT_S, restarted) == {PEER}


def test_a_stalled_controller_does_not_consider_its_peers_unreachable() -> None:
    reachability = PeerReachability(LEADER)
    record_presence_each_second(reachability, 0, 5, PEER)
    reachability.record_contact(4.0, PEER)
    at = 4.0 + PEER_TIMEOUT_S + MAX_OWN_STALL_S
    reachability.record_presence(at, present(PEER))
    assert reachability.unreachable(at, present(PEER)) == NO_CONTROLLERS


def assigner(owner: ControllerName | None) -> ShardAssigner:
    """An assigner for three present controllers and one shard, which has this owner."""
    cache = WatchCache()
    for name in (LEADER, PEER, OTHER):
        cache.put(f"dw/n/{name}", {"boot": "x", "zone": "a"}, 1)
    if owner is not None:
        cache.put("dw/p/a", {"owner": owner, "boot": "x"}, 2)
    return ShardAssigner(cache, ["a"], LEADER)


@pytest.mark.parametrize(
    ("owner", "silent", "unheard", "expected"),
    [
        (PEER, NO_CONTROLLERS, NO_SHARDS, []),
        # The contact time-out of the shard has not passed, so its owner stays.
        (PEER, {PEER}, NO_SHARDS, []),
        (PEER, {PEER}, {"a"}, [(OTHER, AssignmentReason.OWNER_UNREACHABLE)]),
        (PEER, {PEER, OTHER}, {"a"}, [(LEADER, AssignmentReason.OWNER_UNREACHABLE)]),
        (None, {PEER}, NO_SHARDS, [(OTHER, AssignmentReason.NO_OWNER)]),
        (None, {PEER, OTHER}, NO_SHARDS, [(LEADER, AssignmentReason.NO_OWNER)]),
    ],
)
def test_a_shard_without_owner_contact_is_assigned_to_a_reachable_controller(
    owner: ControllerName | None,
    silent: set[ControllerName],
    unheard: set[ShardName],
    expected: list[tuple[ControllerName, AssignmentReason]],
) -> None:
    reachability = OwnerReachability(
        shards_without_machine_contact=NO_SHARDS,
        shards_without_owner_contact=unheard,
        unreachable_controllers=silent,
    )
    assert assigner(owner).choose_assignments(100.0, reachability) == [
        ShardAssignment(ShardName("a"), ShardRecord(name, "x"), reason) for name, reason in expected
    ]


def test_a_shard_stays_with_the_leader_while_all_other_controllers_are_unreachable() -> None:
    reachability = OwnerReachability(
        shards_without_machine_contact=NO_SHARDS,
        shards_without_owner_contact=NO_SHARDS,
        unreachable_controllers={PEER, OTHER},
    )
    shard_assigner = assigner(LEADER)
    assert [shard_assigner.choose_assignments(float(at), reachability) for at in range(100)] == [
        []
    ] * 100
