"""Schedules of faults for soak runs: what happens to whom, when, and for how long."""

from __future__ import annotations

import math
import random
from enum import StrEnum
from typing import NamedTuple

QUIET_START_S = 12.0  # jobs come and machines are up before the first fault
# Peers that refuse one another for good: the service has to do without what they would say.
UNTIL_THE_END_S = math.inf
GAP_S = (2.0, 6.0)  # between two episodes of overlapping faults
EPISODES = 3


class FaultKind(StrEnum):
    """What may happen to controllers, the ways between processes, and machines."""

    KILL = "kill"  # the process ends, and is started again after the given time
    LEADERS_END = "leaders end in series"  # each leader ends as soon as it leads
    PAUSE = "pause"  # the process stands still
    STATE_REFUSES = "state service refuses one"
    STATE_CUT = "state service cut from one"  # transactions are delivered late
    STATE_OUTAGE = "state service out for all"
    STATE_SLOW = "state service slow"
    LATE_WRITES = "transactions without an answer, carried out late"
    LOST_ANSWERS = "answers to transactions lost"
    PEERS_REFUSE = "peers refuse one another"
    PEERS_RESET = "connections of one to its peers are reset and refused"
    PEERS_HELD = "one direction between two controllers is held"
    ALONE = "one cut from state service and peers, not from workers"
    WORKERS_CUT = "workers cut from one"
    MACHINES_MUTE = "machines reach nobody"
    MACHINES_DEAF = "machines hear nobody"
    MACHINES_HANG = "machines hang"
    MACHINES_DIE = "machines die"
    LATE_HEARTBEATS = "copies of heartbeats come late"
    CLOUD_OUTAGE = "cloud out"


class Role(StrEnum):
    """Which controller a fault befalls, as it stands when it begins."""

    LEADER = "leader"
    OWNER = "owner"
    ANY = "any"


class Fault(NamedTuple):
    """One fault of a schedule.

    Attributes:
        at_s: when it begins, from the start of the run.
        for_s: how long it lasts; of a kill, until the process is started again.
        share: of the machines, transactions or heartbeats that it befalls.
    """

    start_s: float
    kind: FaultKind
    duration_s: float
    role: Role
    share: float

    def line(self) -> str:
        """The fault as one line of text."""
        return (
            f"{self.start_s:6.1f} s  for {self.duration_s:5.1f} s  {self.kind}"
            f"  ({self.role}, share {self.share:.2f})"
        )


# How long each kind lasts. The long ones are longer than any lease of the deployment.
DURATIONS_S: dict[FaultKind, tuple[float, ...]] = {
    FaultKind.KILL: (0.1, 0.4, 3.0),
    FaultKind.LEADERS_END: (8.0, 14.0),
    FaultKind.PAUSE: (3.0, 9.0, 18.0),
    FaultKind.STATE_REFUSES: (4.0, 10.0, 20.0),
    FaultKind.STATE_CUT: (4.0, 12.0, 20.0),
    FaultKind.STATE_OUTAGE: (3.0, 10.0, 18.0),
    FaultKind.STATE_SLOW: (10.0, 20.0),
    FaultKind.LATE_WRITES: (10.0, 20.0),
    FaultKind.LOST_ANSWERS: (10.0, 20.0),
    FaultKind.PEERS_REFUSE: (10.0, 45.0, UNTIL_THE_END_S),
    FaultKind.PEERS_RESET: (10.0, 45.0, UNTIL_THE_END_S),
    FaultKind.PEERS_HELD: (10.0, 45.0),
    FaultKind.ALONE: (8.0, 20.0),
    FaultKind.WORKERS_CUT: (8.0, 18.0),
    FaultKind.MACHINES_MUTE: (6.0, 18.0),
    FaultKind.MACHINES_DEAF: (6.0, 18.0),
    FaultKind.MACHINES_HANG: (5.0, 12.0, 18.0),
    FaultKind.MACHINES_DIE: (0.0,),
    FaultKind.LATE_HEARTBEATS: (10.0, 25.0),
    FaultKind.CLOUD_OUTAGE: (8.0, 15.0),
}


def draw_schedule(seed: int) -> list[Fault]:
    """The faults of a run: episodes of two or three that overlap, the same for the same seed."""
    rng = random.Random(f"schedule {seed}")
    faults: list[Fault] = []
    start_s = QUIET_START_S
    for _ in range(EPISODES):
        kinds = rng.sample(list(FaultKind), rng.choice([2, 3]))
        episode = []
        for kind in kinds:
            duration_s = rng.choice(DURATIONS_S[kind])
            begin_s = start_s + rng.uniform(0.0, 5.0)
            role = rng.choice(list(Role))
            episode.append(Fault(begin_s, kind, duration_s, role, rng.uniform(0.1, 0.5)))
        faults += episode
        # The next episode does not wait for the longest fault of this one: they overlap too.
        start_s = max(fault.start_s for fault in episode) + rng.uniform(*GAP_S) + 6.0
    return sorted(faults)


def end_of(faults: list[Fault]) -> float:
    """When the last fault is over, but for those that last until the end of the run."""
    return max(
        fault.start_s if math.isinf(fault.duration_s) else fault.start_s + fault.duration_s
        for fault in faults
    )
