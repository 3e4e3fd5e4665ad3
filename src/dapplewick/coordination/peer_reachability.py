"""Which controllers are present by the records, and yet not heard here."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from dapplewick.storage.controller_records import ControllerRecord
from dapplewick.types import ControllerName, Seconds

PEER_TIMEOUT_S = 6.0  # each controller tells its peers of itself about once a second
MAX_OWN_STALL_S = 3.0  # if this process itself stood still for longer, the others are not to blame


class _PresentSince(NamedTuple):
    """An incarnation of a controller, and when it was seen here first."""

    incarnation: str
    at: Seconds


class PeerReachability:
    """For how long each present controller was not heard on its connection to this one.

    A refused connection does not show that a controller is dead: its presence record stands as
    long as it reaches the state service. It does show that nothing it tells arrives here.
    """

    def __init__(self, own_name: ControllerName) -> None:
        self._own_name = own_name
        self._present_since: dict[ControllerName, _PresentSince] = {}
        self._heard_at: dict[ControllerName, Seconds] = {}
        self._listened_at: Seconds | None = None
        self._listening_since: Seconds = 0.0

    def record_presence(
        self, now: Seconds, present: Mapping[ControllerName, ControllerRecord]
    ) -> None:
        """Note who is present; to be called about once a second."""
        if self._listened_at is None or now - self._listened_at > MAX_OWN_STALL_S:
            self._listening_since = now
        self._listened_at = now
        for name, record in present.items():
            since = self._present_since.get(name)
            if since is None or since.incarnation != record.incarnation:
                self._present_since[name] = _PresentSince(record.incarnation, now)

    def record_contact(self, now: Seconds, controller: ControllerName) -> None:
        """Note that a controller was heard."""
        self._heard_at[controller] = now

    def unreachable(
        self, now: Seconds, present: Mapping[ControllerName, ControllerRecord]
    ) -> frozenset[ControllerName]:
        """The present controllers that were not heard for a while."""
        return frozenset(
            name
            for name, record in present.items()
            if name != self._own_name
            and now - self._heard_or_new(now, name, record) > PEER_TIMEOUT_S
        )

    def _heard_or_new(
        self, now: Seconds, name: ControllerName, record: ControllerRecord
    ) -> Seconds:
        since = self._present_since.get(name)
        if since is None or since.incarnation != record.incarnation:
            return now  # it has only just come
        heard_at = self._heard_at.get(name, since.at)
        return max(heard_at, since.at, self._listening_since)
