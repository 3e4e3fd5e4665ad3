"""Formats the status of a controller as text.

During a rolling upgrade the controller may run another version, so the fields that the previous
version does not send are optional.
"""

from __future__ import annotations

from typing import Any, NotRequired, TypedDict, cast


class ShardOwner(TypedDict):
    """The controller that owns a shard, and the fencing token of its ownership."""

    owner: str
    token: int


class ServiceCounts(TypedDict):
    """Number of requested, assigned and running replicas of a service."""

    replicas: int
    granted: int  # assigned to shards
    running: int


class MachineReport(TypedDict):
    """One machine of an owned shard."""

    type: str
    tasks: int
    slots: int
    queued: int
    free: list[float]  # CPUs, GPUs and GB of RAM
    silent: float  # seconds since the last heartbeat


class ReservationReport(TypedDict):
    """The reservation of a gang in an owned shard."""

    state: str
    wait_s: float  # estimated remaining wait


class OwnedShard(TypedDict):
    """A shard that the controller owns."""

    unheard: int  # machines that have not reported to this owner yet
    loose: int  # array tasks that are in no machine's queue
    machines: dict[str, MachineReport]
    held: dict[str, ReservationReport]  # by gang


class Latency(TypedDict):
    """Summary of a latency histogram; percentiles and maximum in milliseconds."""

    count: int
    p50: float
    p95: float
    max: float


class WaitingGroup(TypedDict):
    """Long-waiting jobs of a class or a team, or the largest jobs of a class."""

    name: str
    oldest_s: float
    jobs: int
    reasons: dict[str, int]


class ControllerStatus(TypedDict):
    """A controller's status, with the field names of the peer protocol."""

    node: str
    version: str
    ready: bool
    lease_left_s: float
    records_age_s: float
    leader: str | None
    epoch: int
    parts: dict[str, ShardOwner]
    format: NotRequired[int]
    versions: NotRequired[dict[str, int]]
    services: NotRequired[dict[str, ServiceCounts]]
    jobs: dict[str, int]
    budgets: dict[str, float]
    owned: dict[str, OwnedShard]
    latencies_ms: dict[str, Latency]
    violations: NotRequired[dict[str, int]]  # count by invariant
    waiting: NotRequired[list[WaitingGroup]]  # long-waiting jobs; reported by the leader


def status_lines(answer: dict[str, Any]) -> list[str]:
    """Format a status as lines of text."""
    status = cast(ControllerStatus, answer)
    return [
        *_controller_lines(status),
        *_version_lines(status),
        *_job_lines(status),
        *_owned_lines(status),
        *_latency_lines(status),
        *_violation_lines(status),
        *_waiting_lines(status),
    ]


def _controller_lines(status: ControllerStatus) -> list[str]:
    lines = [
        f"node {status['node']}  version {status['version']}  ready {status['ready']}  "
        f"lease {status['lease_left_s']} s  records {status['records_age_s']} s old",
        f"leader {status['leader'] or 'none'}  epoch {status['epoch']}",
    ]
    for name, shard in sorted(status["parts"].items()):
        lines.append(f"part {name}  owner {shard['owner']}  token {shard['token']}")
    return lines


def _version_lines(status: ControllerStatus) -> list[str]:
    versions = sorted(status.get("versions", {}).items())
    if not versions:
        return []
    text = "  ".join(f"{controller} {version}" for controller, version in versions)
    return [f"format {status['format']}  versions {text}"]


def _job_lines(status: ControllerStatus) -> list[str]:
    services = [
        f"service {job}  replicas {service['replicas']}  granted {service['granted']}  "
        f"running {service['running']}"
        for job, service in sorted(status.get("services", {}).items())
    ]
    jobs = "  ".join(f"{stage} {count}" for stage, count in sorted(status["jobs"].items()))
    budgets = "  ".join(f"{name} {available}" for name, available in status["budgets"].items())
    return [*services, f"jobs {jobs}", f"budgets {budgets}"]


def _owned_lines(status: ControllerStatus) -> list[str]:
    lines = []
    for name, shard in sorted(status["owned"].items()):
        lines.append(f"owned {name}  unheard {shard['unheard']}  loose singles {shard['loose']}")
        for machine_name, machine in sorted(shard["machines"].items()):
            lines.append(_machine_line(machine_name, machine))
        for job, reservation in sorted(shard["held"].items()):
            lines.append(
                f"  gang {job}  {reservation['state']}  remaining wait {reservation['wait_s']} s"
            )
    return lines


def _machine_line(name: str, machine: MachineReport) -> str:
    cpus, gpus, ram_gb = machine["free"][:3]
    return (
        f"  machine {name}  {machine['type']}  tasks {machine['tasks']}  "
        f"slots {machine['slots']}  queued {machine['queued']}  "
        f"free {cpus:g} CPUs {gpus:g} GPUs {ram_gb:g} GB  "
        f"silent {machine['silent']} s"
    )


def _latency_lines(status: ControllerStatus) -> list[str]:
    return [
        f"latency {name}  count {times['count']}  p50 {times['p50']:g} ms  "
        f"p95 {times['p95']:g} ms  max {times['max']:g} ms"
        for name, times in sorted(status["latencies_ms"].items())
    ]


def _violation_lines(status: ControllerStatus) -> list[str]:
    return [
        f"violated {invariant}  count {count}"
        for invariant, count in sorted(status.get("violations", {}).items())
    ]


def _waiting_lines(status: ControllerStatus) -> list[str]:
    lines = []
    for group in status.get("waiting", []):
        reasons = "  ".join(f"{reason} {count}" for reason, count in group["reasons"].items())
        lines.append(
            f"waiting {group['name']}  jobs {group['jobs']}  oldest {group['oldest_s']:.0f} s  "
            f"{reasons}"
        )
    return lines
