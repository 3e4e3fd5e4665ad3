"""Versions of keys in the watch cache, including removed keys and malformed values."""

from __future__ import annotations

MIN_REMEMBERED_REMOVALS = 500  # removals are pruned only above this number


class KeyVersions:
    """The newest known version of each key.

    Attributes:
        versions: the version of each key's newest decoded value.
        unreadable: the version of each key whose newest value can't be decoded.
        removals: the version of each removal that was newer than the revision read so far.
    """

    def __init__(self) -> None:
        self.versions: dict[str, int] = {}
        self.unreadable: dict[str, int] = {}
        self.removals: dict[str, int] = {}
        self._max_removals = MIN_REMEMBERED_REMOVALS

    def stored_version(self, key: str) -> int:
        """The newest version of a key's values, decoded or not; 0 if the key has none."""
        return max(self.versions.get(key, 0), self.unreadable.get(key, 0))

    def known_version(self, key: str, revision: int) -> int:
        """The newest version up to which a key is known.

        All changes up to `revision` have been read, so a key that is missing here did not exist at
        that revision. Without this rule, a removed key came back permanently if this process's own
        write of the key was confirmed only after a listing without the key had been read.

        Args:
            key: the key.
            revision: the revision up to which all changes have been read.
        """
        return self.stored_version(key) or max(self.removals.get(key, 0), revision)

    def record_readable(self, key: str, version: int) -> None:
        """Record that a key's value was decoded and stored in the cache."""
        self.unreadable.pop(key, None)
        self.versions[key] = version

    def record_removed(self, key: str, version: int, revision: int) -> None:
        """Record a removal, at least until all changes up to its version have been read.

        The watch may deliver an earlier removal after a newer one; the newer one is kept.
        """
        self.versions.pop(key, None)
        self.unreadable.pop(key, None)
        if version > revision:
            self.removals[key] = max(version, self.removals.get(key, 0))
            if len(self.removals) > self._max_removals:
                self._prune_removals(revision)

    def _prune_removals(self, revision: int) -> None:
        """Drop removals up to the revision read, at which their keys are known not to exist."""
        self.removals = {key: v for key, v in self.removals.items() if v > revision}
        self._max_removals = max(MIN_REMEMBERED_REMOVALS, 2 * len(self.removals))
