"""Reservation of a team's limit for a gang of the team that has waited too long.

A team at its limit regains quota a few tasks at a time, and smaller work of the team would use each
part of it, so that the largest gangs never find quota for all their tasks. Therefore, for the first
gang in placement order that has waited too long, the quota that it needs is withheld from the
team's work that is considered after it.
"""

from __future__ import annotations

from dapplewick.core.leader.quotas import TeamQuotas
from dapplewick.core.leader.shard_reservation import COOLDOWN_S, OVERDUE_S
from dapplewick.protocol.job_spec import JobSpec
from dapplewick.types import Seconds

# While quota is withheld, the team's other work waits although slots are idle, which users accept
# for less than 90 s: a limit of 80 s leaves 10 s to assign and launch the work that has waited.
# Tasks that run for longer than the limit may keep the gang waiting: while they end one by one,
# either the gang or the other work has to wait for more than 90 s.
# After a cool-down, in which all of the other work may start, quota is withheld again.
MAX_WITHHELD_S = 80.0


class LimitReservations:
    """Reserves the limit of each team for at most one gang, chosen again in each pass."""

    def __init__(self, quotas: TeamQuotas) -> None:
        self._quotas = quotas
        self._requesting_teams: set[str] = set()  # teams with a requesting gang in this pass
        self._withheld_since: dict[str, Seconds] = {}  # by team, over consecutive passes
        self._cooldown_until: dict[str, Seconds] = {}

    def begin(self) -> None:
        """Begin a new pass over the waiting gangs."""
        self._withheld_since = {
            team: at for team, at in self._withheld_since.items() if team in self._requesting_teams
        }
        self._requesting_teams.clear()

    def request(self, wall_time: Seconds, spec: JobSpec, waited_s: Seconds) -> None:
        """Withhold quota for a gang that its team's limit keeps waiting, if allowed now."""
        team = spec.team
        if waited_s < OVERDUE_S or team in self._requesting_teams:
            return
        if wall_time < self._cooldown_until.get(team, wall_time):
            return
        self._requesting_teams.add(team)
        withheld_since = self._withheld_since.setdefault(team, wall_time)
        if wall_time - withheld_since >= MAX_WITHHELD_S:
            self._cooldown_until[team] = wall_time + COOLDOWN_S
            del self._withheld_since[team]
            return
        self._quotas.withhold(spec)
