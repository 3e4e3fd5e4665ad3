"""The settings file that the platform hands over."""

from __future__ import annotations

from pathlib import Path

import msgspec

from dapplewick.errors import DapplewickError

VALUE_FRACTION = 0.92  # of what the state service takes in a value


class SettingsError(DapplewickError):
    """The settings can't be used, no controller starts by them; the text names the field."""


class Peer(msgspec.Struct):
    """Another controller, and the host:port that it listens on for controllers."""

    host_name: str
    zone: str
    peer_addr: str


class Outside(msgspec.Struct):
    """The services of the platform, each as host:port."""

    cloud: str
    state: str


class Team(msgspec.Struct):
    """A team's guarantee, and its limit; a limit of 0 is none."""

    name: str
    cpus: float = 0.0
    cpus_max: float = 0.0
    gpus: float = 0.0
    gpus_max: float = 0.0


class Objective(msgspec.Struct):
    """An aim of the platform for a class of jobs, or for all."""

    kind: str
    class_: str | None = msgspec.field(default=None, name="class")
    within_s: float | None = None
    share: float = 0.0
    times: float = 1.0


class WorkerTimes(msgspec.Struct):
    """How workers behave: intervals and timeouts, in seconds."""

    report_s: float
    lease_s: float
    gang_wait_s: float
    gang_peer_s: float
    cancel_s: float


class NextStateLimits(msgspec.Struct):
    """What the state service will take from some moment on; what is not named stays."""

    rps: float | None = None
    write_rps: float | None = None
    value_kb: float | None = None
    txn_ops: int | None = None


class StateLimits(msgspec.Struct):
    """What the state service takes: requests and writes a second, and sizes."""

    rps: float
    write_rps: float
    value_kb: float
    txn_ops: int
    next: NextStateLimits | None = None

    def lowest(self) -> StateLimits:
        """The lower of each limit, of now and of later: the moment comes without notice."""
        later = self.next or NextStateLimits()
        return StateLimits(
            rps=min(self.rps, later.rps or self.rps),
            write_rps=min(self.write_rps, later.write_rps or self.write_rps),
            value_kb=min(self.value_kb, later.value_kb or self.value_kb),
            txn_ops=min(self.txn_ops, later.txn_ops or self.txn_ops),
        )

    @property
    def value_bytes(self) -> int:
        """What a value may hold, less a little for how it is written."""
        return int(self.value_kb * 1024 * VALUE_FRACTION)


class CloudLimits(msgspec.Struct):
    """What the cloud takes a second, and how old its list of machines may be."""

    rps: float
    list_lag_s: float


class MachineLimits(msgspec.Struct):
    """What a controller's own machine gives it."""

    fd_limit: int = 1024


class Deployment(msgspec.Struct):
    """What is the same for all controllers."""

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
        """The classes of which users say when they should start or be done."""
        return frozenset(o.class_ for o in self.objectives if o.class_)


class Settings(msgspec.Struct):
    """The settings of one controller."""

    host_name: str
    zone: str
    client_listen: str
    peer_listen: str
    peers: list[Peer]
    outside: Outside
    deployment: Deployment


def parse_host_port(text: str, field: str) -> tuple[str, int]:
    """Split an address of the form host:port.

    Raises:
        SettingsError: it is none; the text names the field.
    """
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise SettingsError(f"{field}: not an address of the form host:port: {text!r}")
    return host, int(port)


def parse(data: bytes) -> Settings:
    """Check the settings; unknown fields are ignored.

    Raises:
        SettingsError: a field is missing or wrong.
    """
    try:
        settings = msgspec.json.decode(data, type=Settings)
    except msgspec.ValidationError as err:
        raise SettingsError(str(err)) from None
    except msgspec.DecodeError as err:
        raise SettingsError(f"not valid JSON: {err}") from None
    _check_addresses(settings)
    if not settings.deployment.zones:
        raise SettingsError("deployment.zones: no zone is named")
    for field, value in _positive_fields(settings.deployment).items():
        if not 0 < value < float("inf"):
            raise SettingsError(f"{field}: must be a positive number, not {value}")
    return settings


def _check_addresses(settings: Settings) -> None:
    parse_host_port(settings.client_listen, "client_listen")
    parse_host_port(settings.peer_listen, "peer_listen")
    parse_host_port(settings.outside.cloud, "outside.cloud")
    parse_host_port(settings.outside.state, "outside.state")
    for i, peer in enumerate(settings.peers):
        parse_host_port(peer.peer_addr, f"peers[{i}].peer_addr")


def _positive_fields(deployment: Deployment) -> dict[str, float]:
    """The fields that must be positive numbers, with their values."""
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
    """Read and check a settings file.

    Raises:
        SettingsError: it can't be read, or a field is missing or wrong.
    """
    try:
        data = Path(path).read_bytes()
    except OSError as err:
        raise SettingsError(f"{path}: {err.strerror}") from None
    return parse(data)
