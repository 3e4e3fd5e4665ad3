"""A team's limit, kept for a gang of the team that has waited too long for it.

A team at its limit gets room back a few tasks at a time, and smaller work of the team would take
each of them: the largest gangs never found room for all their tasks. So the room of the first gang
that has waited long, in the order in which gangs are placed, is withheld from what comes after it.
"""

from __future__ import annotations

from dapplewick.core.leader.quotas import TeamQuotas
from dapplewick.core.leader.shard_reservation import COOLDOWN_S, OVERDUE_S
from dapplewick.protocol.job_spec import JobSpec
from dapplewick.types import Seconds

# The team's other work waits beside idle slots meanwhile, which users accept for less than 90 s:
# this leaves 10 s for what waited then to be assigned and launched. Tasks that run for longer may
# keep a gang waiting: while they end one by one, either it waits or others do for more than that.
# After a pause, in which all of the other work may start, it begins anew.
MAX_WITHHELD_S = 80.0


class LimitReservations:
    """For each team at most one gang, chosen anew in each pass."""

    def __init__(self, quotas: TeamQuotas) -> None:
        self._quotas = quotas
        self._asked: set[str] = set()  # teams with a gang that asked, in this pass
        self._since: dict[str, Seconds] = {}  # by team, while passes withhold without a break
        self._paused_until: dict[str, Seconds] = {}

    def begin(self) -> None:
        """Begin a new pass over the gangs that wait."""
        self._since = {team: at for team, at in self._since.items() if team in self._asked}
        self._asked.clear()

    def request(self, wall_time: Seconds, spec: JobSpec, waited_s: Seconds) -> None:
        """Withhold room for a gang that its team's limit keeps from starting, if it may be now."""
        team = spec.team
        if waited_s < OVERDUE_S or team in self._asked:
            return
        if wall_time < self._paused_until.get(team, wall_time):
            return
        self._asked.add(team)
        since = self._since.setdefault(team, wall_time)
        if wall_time - since >= MAX_WITHHELD_S:
            self._paused_until[team] = wall_time + COOLDOWN_S
            del self._since[team]
            return
        self._quotas.withhold(spec)
