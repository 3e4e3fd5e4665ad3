"""Checks every revision of the records: each machine is in one partition, each handover is safe.

The checker reads the log of the state service in revision order and uses none of the code that
wrote it. `tests/unit/test_partition_history.py` checks that it rejects invalid histories.
"""

from __future__ import annotations

from collections.abc import Iterable
from itertools import groupby
from typing import Any

from dapplewick.storage.keys import CHUNKS, JOBS, LEADER, MACHINES, SHARDS, TRANSFERS
from dapplewick.types import shard_name

Entry = tuple[int, str, Any, bool]  # revision, key, value, removed


class PartitionHistory:
    """The records after the latest revision read, and the violations found so far."""

    def __init__(self) -> None:
        self.violations: list[str] = []
        self.handovers: list[tuple[int, str, str, str]] = []  # revision, machine, from, to
        self._records: dict[str, Any] = {}
        self._versions: dict[str, int] = {}
        self._shard_of: dict[str, str] = {}
        self._min_token_of: dict[str, int] = {}

    def check(self, log: Iterable[Entry]) -> list[str]:
        """Check all revisions of a log; returns the violations found."""
        for revision, entries in groupby(log, key=lambda entry: entry[0]):
            changed = list(entries)
            before = {key: self._records.get(key) for _, key, _, _ in changed}
            for _, key, value, removed in changed:
                if removed:
                    self._records.pop(key, None)
                    self._versions.pop(key, None)
                else:
                    self._records[key] = value
                    self._versions[key] = revision
            keys = list(before)
            if any(key.startswith(MACHINES) for key in keys):
                self._check_machines(revision, before)
            for key in keys:
                if key.startswith(TRANSFERS):
                    self._check_transfer(revision, key, before[key])
        return self.violations

    def _add_violation(self, revision: int, problem: str) -> None:
        self.violations.append(f"revision {revision}: {problem}")

    # Machines

    def _listed(self) -> dict[str, list[str]]:
        """The keys of the groups that list each machine."""
        listed: dict[str, list[str]] = {}
        for key, group in self._records.items():
            if key.startswith(MACHINES):
                for machine in group["machines"]:
                    listed.setdefault(machine, []).append(key)
        return listed

    def _check_machines(self, revision: int, before: dict[str, Any]) -> None:
        listed = self._listed()
        for machine, groups in listed.items():
            shards = {self._shard(self._records[key]) for key in groups}
            if len(shards) > 1:
                self._add_violation(revision, f"{machine} counts in {sorted(shards)}")
                continue
            newest = max(groups, key=lambda key: self._versions[key])
            self._check_move(revision, machine, shards.pop(), self._records[newest], before)
        for machine in self._shard_of.keys() - listed.keys():
            encoded_state = next(
                (
                    group["machines"][machine]
                    for key, group in before.items()
                    if key.startswith(MACHINES) and group and machine in group["machines"]
                ),
                "",
            )
            if encoded_state[:1] != "d":
                self._add_violation(
                    revision, f"{machine} counts nowhere, and was not to be deleted"
                )
            del self._shard_of[machine]

    @staticmethod
    def _shard(group: dict[str, Any]) -> str:
        return str(shard_name(group["zone"], group.get("share", "")))

    def _check_move(
        self,
        revision: int,
        machine: str,
        shard: str,
        group: dict[str, Any],
        before: dict[str, Any],
    ) -> None:
        old = self._shard_of.get(machine)
        min_token = group.get("floors", {}).get(machine, 0)
        if old is not None and old != shard:
            self.handovers.append((revision, machine, old, shard))
            self._check_handover(revision, machine, old, shard, min_token, before)
        elif min_token < self._min_token_of.get(machine, 0):
            self._add_violation(revision, f"{machine}'s least token went back")
        self._shard_of[machine] = shard
        self._min_token_of[machine] = max(min_token, self._min_token_of.get(machine, 0))

    def _check_handover(
        self,
        revision: int,
        machine: str,
        old: str,
        shard: str,
        min_token: int,
        before: dict[str, Any],
    ) -> None:
        transfers = [
            (value, self._records.get(key))
            for key, value in before.items()
            if key.startswith(TRANSFERS) and value is not None
        ]
        if not any(
            machine in was.get("draining", [])
            and (was["source"], was["target"]) == (old, shard)
            and now is not None
            and machine not in now.get("draining", [])
            and now.get("moved", 0) > was.get("moved", 0)
            for was, now in transfers
        ):
            self._add_violation(
                revision, f"{machine} went from {old} to {shard} without a transfer"
            )
        if min_token <= max(
            self._versions.get(SHARDS + old, 0), self._min_token_of.get(machine, 0)
        ):
            self._add_violation(revision, f"{machine}'s least token does not shut {old} out")
        for key, job in self._records.items():
            gang = job.get("gang") if key.startswith(JOBS) else None
            if gang and any(m == machine for _, m in gang.get("places", [])):
                self._add_violation(revision, f"{machine} went while {key} had a place on it")

    # Transfers

    def _check_transfer(self, revision: int, key: str, before: Any) -> None:
        value = self._records.get(key)
        if value is None:
            if before is not None and before["state"] in ("requested", "draining"):
                self._add_violation(revision, f"{key} was removed while it was open")
            return
        if value.get("moved", 0) > value["count"]:
            self._add_violation(revision, f"{key} moved more than it was to")
        ended = before is not None and before["state"] not in ("requested", "draining")
        if ended and value["state"] in ("requested", "draining"):
            self._add_violation(revision, f"{key} was opened again")
        for other, record in self._records.items():
            both = other.startswith(TRANSFERS) and other != key
            if both and set(record.get("draining", [])) & set(value.get("draining", [])):
                self._add_violation(revision, f"{key} and {other} drain the same machine")

    # Final state

    def open_transfers(self) -> list[str]:
        """The keys of transfers that haven't ended."""
        return [
            key
            for key, value in self._records.items()
            if key.startswith(TRANSFERS) and value["state"] in ("requested", "draining")
        ]

    def counts(self) -> dict[tuple[str, str], int]:
        """Count machines by shard and type, without those that are to be deleted."""
        out: dict[tuple[str, str], int] = {}
        for key, group in self._records.items():
            if key.startswith(MACHINES):
                live = sum(
                    not encoded_state.startswith("d")
                    for encoded_state in group["machines"].values()
                )
                if live:
                    name = (self._shard(group), group["type"])
                    out[name] = out.get(name, 0) + live
        return out

    def shards_in_assignments(self) -> set[str]:
        """All shards that the records of jobs name."""
        named: set[str] = set()
        for key, value in self._records.items():
            if key.startswith((JOBS, CHUNKS)):
                named |= set(value.get("grants", {}))
                named |= {shard for shard, _ in (value.get("gang") or {}).get("places", [])}
        return named

    def leader(self) -> str:
        """The name of the leader, or an empty string."""
        return str(self._records.get(LEADER, {}).get("node", ""))
