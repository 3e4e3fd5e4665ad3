"""Which present controllers are silent, and where their shards go."""

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
NOBODY: frozenset[ControllerName] = frozenset()
NO_SHARD: frozenset[ShardName] = frozenset()


def present(
    *names: ControllerName, incarnation: str = "x"
) -> dict[ControllerName, ControllerRecord]:
    return {name: ControllerRecord(incarnation, "a") for name in names}


def listen(silence: PeerReachability, begin: int, end: int, *names: ControllerName) -> None:
    """Listen once a second while these are present."""
    for at in range(begin, end):
        silence.record_presence(float(at), present(*names))


def test_a_peer_that_is_present_and_not_heard_is_silent_and_this_controller_never_is() -> None:
    silence = PeerReachability(LEADER)
    for at in range(20):
        silence.record_presence(float(at), present(LEADER, PEER, OTHER))
        silence.record_contact(float(at), OTHER)
        wanted = {PEER} if at > PEER_TIMEOUT_S else set()
        assert silence.unreachable(float(at), present(LEADER, PEER, OTHER)) == wanted


def test_a_new_incarnation_has_time_to_be_heard() -> None:
    silence = PeerReachability(LEADER)
    listen(silence, 0, 20, PEER)
    assert silence.unreachable(20.0, present(PEER)) == {PEER}
    back = present(PEER, incarnation="y")
    assert silence.unreachable(20.0, back) == NOBODY  # not even listened for yet
    silence.record_presence(20.0, back)
    assert silence.unreachable(20.0 + PEER_TIMEOUT_S, back) == NOBODY
    assert silence.unreachable(20.1 + PEER_TIMEOUT_S, back) == {PEER}


def test_a_controller_that_stood_still_does_not_blame_its_peers() -> None:
    silence = PeerReachability(LEADER)
    listen(silence, 0, 5, PEER)
    silence.record_contact(4.0, PEER)
    at = 4.0 + PEER_TIMEOUT_S + MAX_OWN_STALL_S
    silence.record_presence(at, present(PEER))
    assert silence.unreachable(at, present(PEER)) == NOBODY


def assigner(owner: ControllerName | None) -> ShardAssigner:
    """Three controllers, and one shard with this owner."""
    cache = WatchCache()
    for name in (LEADER, PEER, OTHER):
        cache.put(f"dw/n/{name}", {"boot": "x", "zone": "a"}, 1)
    if owner is not None:
        cache.put("dw/p/a", {"owner": owner, "boot": "x"}, 2)
    return ShardAssigner(cache, ["a"], LEADER)


@pytest.mark.parametrize(
    ("owner", "silent", "unheard", "expected"),
    [
        (PEER, NOBODY, NO_SHARD, []),
        (PEER, {PEER}, NO_SHARD, []),  # not for long enough: nothing moves for that alone
        (PEER, {PEER}, {"a"}, [(OTHER, AssignmentReason.OWNER_UNREACHABLE)]),
        (PEER, {PEER, OTHER}, {"a"}, [(LEADER, AssignmentReason.OWNER_UNREACHABLE)]),
        (None, {PEER}, NO_SHARD, [(OTHER, AssignmentReason.NO_OWNER)]),
        (None, {PEER, OTHER}, NO_SHARD, [(LEADER, AssignmentReason.NO_OWNER)]),
    ],
)
def test_an_unheard_shard_goes_to_a_controller_that_the_leader_hears(
    owner: ControllerName | None,
    silent: set[ControllerName],
    unheard: set[ShardName],
    expected: list[tuple[ControllerName, AssignmentReason]],
) -> None:
    view = OwnerReachability(
        shards_without_machine_contact=NO_SHARD,
        shards_without_owner_contact=unheard,
        unreachable_controllers=silent,
    )
    assert assigner(owner).choose_assignments(100.0, view) == [
        ShardAssignment(ShardName("a"), ShardRecord(name, "x"), reason) for name, reason in expected
    ]


def test_a_shard_stays_with_the_leader_while_all_others_are_silent() -> None:
    alone = OwnerReachability(
        shards_without_machine_contact=NO_SHARD,
        shards_without_owner_contact=NO_SHARD,
        unreachable_controllers={PEER, OTHER},
    )
    chosen = assigner(LEADER)
    assert [chosen.choose_assignments(float(at), alone) for at in range(100)] == [[]] * 100
