"""Random schedules of faults for soak runs: kind, target, start and duration."""

from __future__ import annotations

import math
import random
from enum import StrEnum
from typing import NamedTuple

QUIET_START_S = 12.0  # jobs are submitted and machines boot before the first fault
# Peers may stay disconnected until the end: the service must work without peer messages.
UNTIL_THE_END_S = math.inf
GAP_S = (2.0, 6.0)  # range of the delay between two episodes of overlapping faults
EPISODES = 3


class FaultKind(StrEnum):
    """Kinds of faults of controllers, connections and machines."""

    KILL = "kill"  # the process is restarted after the duration
    LEADERS_END = "leaders end in series"  # each new leader is killed soon after its election
    PAUSE = "pause"  # the process is stopped by a signal and continued
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
    """The role that selects the target controller when a fault starts."""

    LEADER = "leader"
    OWNER = "owner"
    ANY = "any"


class Fault(NamedTuple):
    """One fault of a schedule.

    Attributes:
        start_s: start, in seconds from the start of the run.
        duration_s: duration; for a kill, the time until the process is restarted.
        share: fraction of machines, transactions or heartbeats affected.
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


# Durations of each kind. The long ones exceed every lease of the deployment.
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
    """Draw the faults of a run, deterministically: episodes of two or three overlapping faults."""
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
        # The next episode may start before the longest fault of this one ends.
        start_s = max(fault.start_s for fault in episode) + rng.uniform(*GAP_S) + 6.0
    return sorted(faults)


def end_of(faults: list[Fault]) -> float:
    """The end of the last fault, except faults that last until the end of the run."""
    return max(
        fault.start_s if math.isinf(fault.duration_s) else fault.start_s + fault.duration_s
        for fault in faults
    )
