"""The watch cache, compared with a simple model while updates arrive in any order.

The model stores every delivered version of each key and searches for the newest one when asked.
"""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from dapplewick.protocol.job_spec import JobSpec
from dapplewick.protocol.state_service import Event
from dapplewick.storage.job_records import CANCELLED, DONE, OPEN, JobRecord
from dapplewick.storage.keys import JOBS, PROVISIONING_REQUESTS
from dapplewick.storage.watch_cache import WatchCache
from dapplewick.types import JobId
from support.shard_bench import calls

JOB_IDS = [JobId("run-1"), JobId("run-2"), JobId("run-3")]
PROVISIONING_REQUEST_KEYS = [PROVISIONING_REQUESTS + "x", PROVISIONING_REQUESTS + "y"]
SPEC = JobSpec("x", "red", False, 1, 2, 1.0, 0.0, 1.0, "img", 1.0, 5.0)
PRIORITIES = {"none": 0, OPEN: 1, DONE: 2, CANCELLED: 2}

RecordedChange = tuple[int, str, Any]  # revision, key, value (None if the key was removed)


def job_value(stage: str) -> Any:
    job = JobRecord(SPEC, 1.0)
    job.stage = stage
    return job.dump()


class History:
    """All changes in the state service, in order."""

    def __init__(self) -> None:
        self.changes: list[RecordedChange] = []

    @property
    def revision(self) -> int:
        return len(self.changes)

    def change(self, key: str, value: Any) -> int:
        self.changes.append((self.revision + 1, key, value))
        return self.revision

    def at(self, revision: int) -> dict[str, tuple[Any, int]]:
        """The value and version of each key at a revision."""
        found: dict[str, tuple[Any, int]] = {}
        for number, key, value in self.changes[:revision]:
            if value is None:
                found.pop(key, None)
            else:
                found[key] = (value, number)
        return found

    def stage(self, job_id: JobId, revision: int | None = None) -> str:
        entry = self.at(self.revision if revision is None else revision).get(JOBS + job_id)
        return "none" if entry is None else str(entry[0]["stage"])


class Listing:
    """A full listing in progress, with two pages of which the second is read later."""

    def __init__(self, history: History) -> None:
        self.first = history.revision
        self.items = {k: v for k, v in history.at(self.first).items() if k < JOBS}

    def finish(self, history: History) -> None:
        rest = history.at(history.revision).items()
        self.items |= {k: v for k, v in rest if k >= JOBS}


class MirrorMachine(RuleBasedStateMachine):
    """Changes happen; answers that tell of them arrive late, in any order and repeated."""

    def __init__(self) -> None:
        super().__init__()
        self.history = History()
        self.cache = WatchCache()
        self.answers: list[tuple[list[Event], int]] = []
        self.listings: list[Listing] = []
        self.facts: dict[str, list[tuple[int, Any]]] = {}  # all delivered versions, by key
        self.told: dict[JobId, int] = {}
        self.seen: dict[JobId, str] = {}

    # Changes in the state service

    @rule(job_id=st.sampled_from(JOB_IDS), stage=st.sampled_from([OPEN, OPEN, DONE, CANCELLED]))
    def job_changes(self, job_id: JobId, stage: str) -> None:
        before = self.history.stage(job_id)
        if before == "none":
            stage = OPEN
        elif before != OPEN:
            stage = before  # later changes of a finished job keep its stage
        self.history.change(JOBS + job_id, job_value(stage))

    @rule(key=st.sampled_from(PROVISIONING_REQUEST_KEYS))
    def booking_comes_or_goes(self, key: str) -> None:  # the names of rules affect the random draws
        there = key in self.history.at(self.history.revision)
        value = {"type": "g8", "zone": "a", "spot": False, "count": 1, "at": 1.0}
        self.history.change(key, None if there else value)

    # Updates of the watch cache

    @rule()
    def watch_is_answered(self) -> None:
        since = int(self.cache.revision)
        events = [
            Event(
                number,
                put=None if value is None else key,
                delete=key if value is None else None,
                value=value,
            )
            for number, key, value in self.history.changes[since:]
        ]
        self.answers.append((events, self.history.revision))

    @rule(which=st.integers(0, 5))
    def answer_arrives(self, which: int) -> None:
        """Any of the answers so far, also one that arrived before."""
        if not self.answers:
            return
        events, revision = self.answers[which % len(self.answers)]
        self.cache.apply_events(events, revision)
        for event in events:
            key = event.put if event.put is not None else event.delete
            assert key is not None
            self.learn(key, event.version, event.value if event.put is not None else None)

    @rule()
    def listing_begins(self) -> None:
        self.listings.append(Listing(self.history))

    @rule(which=st.integers(0, 3))
    def listing_ends(self, which: int) -> None:
        if not self.listings:
            return
        listing = self.listings.pop(which % len(self.listings))
        listing.finish(self.history)
        self.cache.reload(listing.items, listing.first)
        for key in [*map(JOBS.__add__, JOB_IDS), *PROVISIONING_REQUEST_KEYS]:
            value, version = listing.items.get(key, (None, listing.first))
            self.learn(key, version, value)

    @rule(back=st.integers(0, 4))
    def own_write_is_known_done(self, back: int) -> None:
        """One of the last changes was this controller's, and is known before the watch tells."""
        if back >= self.history.revision:
            return
        number, key, value = self.history.changes[-1 - back]
        if value is None:
            self.cache.remove(key, number)
        else:
            self.cache.put(key, value, number)
        self.learn(key, number, value)

    @rule(job_id=st.sampled_from(JOB_IDS), latest=st.booleans())
    def peer_tells_of_a_cancellation(self, job_id: JobId, latest: bool) -> None:
        """With the version at which the peer first read it: that of the cancellation itself, or
        of a later change of the same record."""
        versions = [
            n
            for n, key, value in self.history.changes
            if key == JOBS + job_id and value is not None and value["stage"] == CANCELLED
        ]
        if not versions:
            return
        version = versions[-1 if latest else 0]
        self.cache.apply_announced_cancellation(job_id, version)
        self.told[job_id] = max(version, self.told.get(job_id, 0))

    def learn(self, key: str, version: int, value: Any) -> None:
        self.facts.setdefault(key, []).append((version, value))

    # Invariants

    def newest(self, key: str) -> Any:
        """The model: the newest fact delivered of a key."""
        facts = self.facts.get(key, [])
        return max(facts, key=lambda fact: fact[0])[1] if facts else None

    @invariant()
    def is_as_the_model_says(self) -> None:
        for job_id in JOB_IDS:
            value = self.newest(JOBS + job_id)
            job = self.cache.jobs.get(job_id)
            if value is None:
                assert job is None
            else:
                assert job is not None
                stage = value["stage"]
                version = max(v for v, _ in self.facts[JOBS + job_id])
                cancelled = self.told.get(job_id, 0) > version
                assert job.stage == (CANCELLED if cancelled else stage)
        for key in PROVISIONING_REQUEST_KEYS:
            assert (key in self.cache.versions) == (self.newest(key) is not None)

    @invariant()
    def no_job_goes_back(self) -> None:
        for job_id in JOB_IDS:
            job = self.cache.jobs.get(job_id)
            stage = "none" if job is None else job.stage
            before = self.seen.get(job_id, "none")
            assert PRIORITIES[stage] >= PRIORITIES[before]
            assert PRIORITIES[before] < PRIORITIES[DONE] or stage == before
            self.seen[job_id] = stage

    @invariant()
    def is_not_older_than_its_revision(self) -> None:
        for job_id in JOB_IDS:
            known = self.history.stage(job_id, int(self.cache.revision))
            job = self.cache.jobs.get(job_id)
            assert PRIORITIES[known] <= PRIORITIES["none" if job is None else job.stage]


TestMirror = MirrorMachine.TestCase
TestMirror.settings = settings(
    max_examples=250,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    suppress_health_check=[HealthCheck.too_slow],
)


def test_an_older_removal_does_not_bring_a_removed_key_back() -> None:
    """Guards against a removed key that reappears.

    A controller applies its own removal to the cache at once. The watch then delivers earlier
    changes of the key, an older removal among them.
    """
    cache, key = WatchCache(), PROVISIONING_REQUEST_KEYS[0]
    value = {"type": "g8", "zone": "a", "spot": False, "count": 1, "at": 1.0}
    cache.remove(key, 4)
    put, removal, later_put = (
        Event(1, put=key, value=value),
        Event(2, delete=key),
        Event(3, put=key, value=value),
    )
    cache.apply_events([put, removal, later_put], 3)
    assert key not in cache.versions


@pytest.mark.parametrize(
    "field",
    [{"done": "0-1000000"}, {"gang": {"attempt": 7, "places": [], "shares": 1_000_000}}],
)
def test_a_record_with_an_absurd_count_costs_no_more_than_any_other(field: dict[str, Any]) -> None:
    """Guards against a loop as long as a number in a record, which hangs every controller."""
    cache, key = WatchCache(), JOBS + "run-1"
    calls(lambda: cache.put(key, job_value(OPEN) | field, 1), 10_000)
    assert len(cache.jobs.get(JobId("run-1"), JobRecord(SPEC, 1.0)).done) == 0
