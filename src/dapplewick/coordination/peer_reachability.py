"""Which controllers are present according to the records, but unreachable from this one."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from dapplewick.storage.controller_records import ControllerRecord
from dapplewick.types import ControllerName, Seconds

PEER_TIMEOUT_S = 6.0  # controllers send gossip about once a second
# If this process itself was stalled for longer, missing messages don't count against its peers.
MAX_OWN_STALL_S = 3.0


class _PresenceStart(NamedTuple):
    """An incarnation of a controller, and when this process first read its presence record."""

    incarnation: str
    at: Seconds


class PeerReachability:
    """Tracks the last contact with each present controller.

    A refused connection does not prove that a controller is down: its presence record remains as
    long as it reaches the state service. A refused connection does prove that the controller's
    messages do not arrive here.
    """

    def __init__(self, own_name: ControllerName) -> None:
        self._own_name = own_name
        self._presence_starts: dict[ControllerName, _PresenceStart] = {}
        self._last_contact_at: dict[ControllerName, Seconds] = {}
        self._updated_at: Seconds | None = None
        self._responsive_since: Seconds = 0.0  # since the start or the last stall

    def record_presence(
        self, now: Seconds, present: Mapping[ControllerName, ControllerRecord]
    ) -> None:
        """Record which controllers are present.

        Must be called about once a second: a longer gap than `MAX_OWN_STALL_S` counts as a stall of
        this process.
        """
        if self._updated_at is None or now - self._updated_at > MAX_OWN_STALL_S:
            self._responsive_since = now
        self._updated_at = now
        for name, record in present.items():
            start = self._presence_starts.get(name)
            if start is None or start.incarnation != record.incarnation:
                self._presence_starts[name] = _PresenceStart(record.incarnation, now)

    def record_contact(self, now: Seconds, controller: ControllerName) -> None:
        """Record that a message of a controller was received."""
        self._last_contact_at[controller] = now

    def unreachable(
        self, now: Seconds, present: Mapping[ControllerName, ControllerRecord]
    ) -> frozenset[ControllerName]:
        """The present controllers without contact for longer than `PEER_TIMEOUT_S`."""
        return frozenset(
            name
            for name, record in present.items()
            if name != self._own_name
            and now - self._contact_or_start(now, name, record) > PEER_TIMEOUT_S
        )

    def _contact_or_start(
        self, now: Seconds, name: ControllerName, record: ControllerRecord
    ) -> Seconds:
        start = self._presence_starts.get(name)
        if start is None or start.incarnation != record.incarnation:
            return now  # this incarnation has not been recorded as present yet
        last_contact_at = self._last_contact_at.get(name, start.at)
        return max(last_contact_at, start.at, self._responsive_since)
