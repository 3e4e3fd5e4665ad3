"""A transaction group is written completely or not at all, whatever the write budget."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from dapplewick.config import StateLimits
from dapplewick.storage.conditional_write import ConditionalWrite
from dapplewick.storage.encoding import encoded_size
from dapplewick.storage.transactions import first_whole_groups, split_into_transactions
from dapplewick.storage.write_priority import WritePriority
from support.machine_store import Store

LIMITS = StateLimits(rps=100.0, write_rps=80.0, value_kb=1.0, txn_ops=4)


def test_a_group_that_is_split_is_never_written_in_part() -> None:
    """Guards against the loss of machines from the records.

    A machine group is split into several records. When the write budget cut the list of changes
    inside such a split, one record was written alone and the machines of the others were lost.
    """
    store = Store(60)
    machines_before = set(store.cache.machines)
    machine_lifecycle = store.machine_lifecycle()
    machine_lifecycle.begin()
    changes = machine_lifecycle.changes()
    assert len(changes) > 1
    assert len({change.transaction_group for change in changes}) == 1
    for limit in range(len(changes)):
        assert first_whole_groups(changes, limit) == []
    for change in first_whole_groups(changes, len(changes)):
        store.write(change.key, change.value)
    assert set(store.cache.machines) == machines_before


@given(
    runs=st.lists(st.tuples(st.booleans(), st.integers(1, 4)), max_size=8),
    room=st.integers(0, 40),
)
def test_what_is_cut_off_and_batched_keeps_runs_whole(
    runs: list[tuple[bool, int]], room: int
) -> None:
    changes = [
        ConditionalWrite(
            f"k/{n}/{m}",
            m,
            0,
            WritePriority.URGENT,
            transaction_group=f"t{n}" if transaction_group else "",
        )
        for n, (transaction_group, length) in enumerate(runs)
        for m in range(length)
    ]
    kept = first_whole_groups(changes, room)
    assert kept == changes[: len(kept)]
    assert len(kept) <= max(room, 0)
    rest = changes[len(kept) :]
    assert not (
        kept
        and rest
        and kept[-1].transaction_group
        and kept[-1].transaction_group == rest[0].transaction_group
    )
    # `kept` is as long as possible: the next run of changes would exceed the limit.
    if rest:
        following = (
            [c for c in rest if c.transaction_group == rest[0].transaction_group]
            if rest[0].transaction_group
            else rest[:1]
        )
        assert len(kept) + len(following) > room
    for batch in split_into_transactions(kept, lambda change: encoded_size(change.value), LIMITS):
        for transaction_group in {change.transaction_group for change in batch} - {""}:
            assert [c for c in kept if c.transaction_group == transaction_group] == [
                c for c in batch if c.transaction_group == transaction_group
            ]
