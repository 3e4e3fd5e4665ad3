"""Reads and validates the settings file that the platform provides to a controller."""

from __future__ import annotations

from pathlib import Path

import msgspec

from dapplewick.errors import DapplewickError

USABLE_VALUE_FRACTION = 0.92  # of the maximum value size; the rest is reserved for encoding


class SettingsError(DapplewickError):
    """The settings are invalid and no controller starts with them; the text names the field."""


class Peer(msgspec.Struct):
    """Another controller; `peer_addr` is its host:port for messages between controllers."""

    host_name: str
    zone: str
    peer_addr: str


class ExternalServices(msgspec.Struct):
    """Addresses (host:port) of the platform's cloud API and state service."""

    cloud: str
    state: str


class Team(msgspec.Struct):
    """A team's guaranteed resources and its limits (`_max`); a limit of 0 means no limit."""

    name: str
    cpus: float = 0.0
    cpus_max: float = 0.0
    gpus: float = 0.0
    gpus_max: float = 0.0


class Objective(msgspec.Struct):
    """A service level objective for a class of jobs, or for all jobs if `class_` is None.

    Attributes:
        kind: What the objective limits. The scheduler uses the kinds "finished" and "deadline".
        class_: The class of jobs.
        within_s: For "finished": seconds from a job's submission to its completion.
        share: Not used by the controllers.
        times: For "deadline": factor on the job's own deadline.
    """

    kind: str
    class_: str | None = msgspec.field(default=None, name="class")
    within_s: float | None = None
    share: float = 0.0
    times: float = 1.0


class WorkerTimes(msgspec.Struct):
    """Intervals and timeouts of the workers, in seconds.

    Attributes:
        report_s: Interval between a machine's heartbeats.
        lease_s: How long a worker continues its tasks without a response to a heartbeat.
        gang_wait_s: How long a gang's task waits on its machine for the other tasks of its attempt;
            not used by the controllers.
        gang_peer_s: A timeout of workers for gangs; not used by the controllers.
        cancel_s: Time within which the tasks of a cancelled job must have ended.
    """

    report_s: float
    lease_s: float
    gang_wait_s: float
    gang_peer_s: float
    cancel_s: float


class NextStateLimits(msgspec.Struct):
    """Limits that the state service will adopt at an unknown later time; None: unchanged."""

    rps: float | None = None
    write_rps: float | None = None
    value_kb: float | None = None
    txn_ops: int | None = None


class StateLimits(msgspec.Struct):
    """Limits of the state service: requests and writes per second, value and transaction size.

    Attributes:
        rps: Maximum requests per second.
        write_rps: Maximum writes per second.
        value_kb: Maximum size of a value in KiB.
        txn_ops: Maximum operations in a transaction.
        next: Limits that apply from a later time, if the service announces any.
    """

    rps: float
    write_rps: float
    value_kb: float
    txn_ops: int
    next: NextStateLimits | None = None

    def lowest(self) -> StateLimits:
        """Return the lower of the current and the next value of each limit.

        The state service switches to the next limits without notice.
        """
        later = self.next or NextStateLimits()
        return StateLimits(
            rps=min(self.rps, later.rps or self.rps),
            write_rps=min(self.write_rps, later.write_rps or self.write_rps),
            value_kb=min(self.value_kb, later.value_kb or self.value_kb),
            txn_ops=min(self.txn_ops, later.txn_ops or self.txn_ops),
        )

    @property
    def value_bytes(self) -> int:
        """Maximum encoded size of a value, with a margin for the encoding in the request."""
        return int(self.value_kb * 1024 * USABLE_VALUE_FRACTION)


class CloudLimits(msgspec.Struct):
    """Request rate limit of the cloud API, and the maximum age of its machine list in seconds."""

    rps: float
    list_lag_s: float


class MachineLimits(msgspec.Struct):
    """Limits of the machine that a controller runs on."""

    fd_limit: int = 1024


class Deployment(msgspec.Struct):
    """Settings that are the same for all controllers."""

    count: int
    zones: list[str]
    teams: list[Team]
    workers: WorkerTimes
    state: StateLimits
    cloud: CloudLimits
    objectives: list[Objective] = []
    time_bound_ms: float = 0.0
    machine_limits: MachineLimits = msgspec.field(default_factory=MachineLimits)

    def classes_with_objectives(self) -> frozenset[str]:
        """Return the job classes with an objective for the time of start or completion."""
        return frozenset(o.class_ for o in self.objectives if o.class_)


class Settings(msgspec.Struct):
    """The settings of one controller."""

    host_name: str
    zone: str
    client_listen: str
    peer_listen: str
    peers: list[Peer]
    outside: ExternalServices
    deployment: Deployment


def parse_host_port(text: str, field: str) -> tuple[str, int]:
    """Split an address of the form host:port.

    Raises:
        SettingsError: The text is not a valid address; the error names `field`.
    """
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise SettingsError(f"{field}: expected an address of the form host:port, got {text!r}")
    return host, int(port)


def parse(data: bytes) -> Settings:
    """Decode and validate settings; unknown fields are ignored.

    Raises:
        SettingsError: The data is not JSON, or a field is missing or invalid.
    """
    try:
        settings = msgspec.json.decode(data, type=Settings)
    except msgspec.ValidationError as err:
        raise SettingsError(str(err)) from None
    except msgspec.DecodeError as err:
        raise SettingsError(f"not valid JSON: {err}") from None
    _check_addresses(settings)
    if not settings.deployment.zones:
        raise SettingsError("deployment.zones: at least one zone is required")
    for field, value in _positive_fields(settings.deployment).items():
        if not 0 < value < float("inf"):
            raise SettingsError(f"{field}: expected a positive finite number, got {value}")
    return settings


def _check_addresses(settings: Settings) -> None:
    parse_host_port(settings.client_listen, "client_listen")
    parse_host_port(settings.peer_listen, "peer_listen")
    parse_host_port(settings.outside.cloud, "outside.cloud")
    parse_host_port(settings.outside.state, "outside.state")
    for i, peer in enumerate(settings.peers):
        parse_host_port(peer.peer_addr, f"peers[{i}].peer_addr")


def _positive_fields(deployment: Deployment) -> dict[str, float]:
    """Return the values of the fields that must be positive numbers, by field path."""
    fields: dict[str, float] = {
        "deployment.count": deployment.count,
        "deployment.workers.report_s": deployment.workers.report_s,
        "deployment.workers.lease_s": deployment.workers.lease_s,
        "deployment.workers.cancel_s": deployment.workers.cancel_s,
        "deployment.state.rps": deployment.state.rps,
        "deployment.state.write_rps": deployment.state.write_rps,
        "deployment.state.value_kb": deployment.state.value_kb,
        "deployment.state.txn_ops": deployment.state.txn_ops,
        "deployment.cloud.rps": deployment.cloud.rps,
        "deployment.machine_limits.fd_limit": deployment.machine_limits.fd_limit,
    }
    if deployment.state.next is not None:
        for name in NextStateLimits.__struct_fields__:
            later = getattr(deployment.state.next, name)
            if later is not None:
                fields[f"deployment.state.next.{name}"] = later
    return fields


def load(path: str) -> Settings:
    """Read and validate a settings file.

    Raises:
        SettingsError: The file can't be read, or a field is missing or invalid.
    """
    try:
        data = Path(path).read_bytes()
    except OSError as err:
        raise SettingsError(f"{path}: {err.strerror}") from None
    return parse(data)
