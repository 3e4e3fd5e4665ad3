"""What the watch cache knows of each key's version, of removals and of unreadable values."""

from __future__ import annotations

MIN_REMEMBERED_REMOVALS = 500  # removed keys that are remembered before any of them is dropped


class KeyVersions:
    """The newest version that is known of each key.

    Attributes:
        versions: the version of each key whose value was taken over.
        unreadable: the version of each key whose newest value cannot be parsed.
        removals: removals that are newer than the revision that was read, by their versions.
    """

    def __init__(self) -> None:
        self.versions: dict[str, int] = {}
        self.unreadable: dict[str, int] = {}
        self.removals: dict[str, int] = {}
        self._max_removals = MIN_REMEMBERED_REMOVALS

    def stored(self, key: str) -> int:
        """The newest version of a key that was seen with a value; 0 if none was."""
        return max(self.versions.get(key, 0), self.unreadable.get(key, 0))

    def known(self, key: str, revision: int) -> int:
        """The newest version up to which a key is known, with all read up to a revision.

        All up to the revision that was read is known, so a key that is not here was not there
        at that revision. Without this a write of our own, known done only after a listing that
        lacks its key, brought the removed key back for good.
        """
        return self.stored(key) or max(self.removals.get(key, 0), revision)

    def note_readable(self, key: str, version: int) -> None:
        """A key's value was taken over."""
        self.unreadable.pop(key, None)
        self.versions[key] = version

    def note_removed(self, key: str, version: int, revision: int) -> None:
        """A key was removed; remembered until all up to its removal has been read.

        The watch may tell of an earlier removal after the newest one is known: the newest stands.
        """
        self.versions.pop(key, None)
        self.unreadable.pop(key, None)
        if version > revision:
            self.removals[key] = max(version, self.removals.get(key, 0))
            if len(self.removals) > self._max_removals:
                self._forget_removals(revision)

    def _forget_removals(self, revision: int) -> None:
        """Drop removals up to the revision that was read: their keys are known not to be there."""
        self.removals = {key: v for key, v in self.removals.items() if v > revision}
        self._max_removals = max(MIN_REMEMBERED_REMOVALS, 2 * len(self.removals))
