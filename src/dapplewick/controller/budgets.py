"""Divides the limits of the services and of the host among controllers and their tasks."""

from __future__ import annotations

from typing import NamedTuple

from dapplewick.config import Deployment
from dapplewick.coordination.election import WriteRates
from dapplewick.storage.state_client import CALL_TIMEOUT_S

STATE_LIMIT_FRACTION = 0.9  # of the state service's limits, used by all controllers together
LEADER_WRITE_FRACTION = 0.8  # of all controllers' writes, reserved for the leader
# Of this controller's requests; each batch of changes costs a new watch.
WATCH_REQUEST_FRACTION = 0.35
FRESHNESS_CHECK_FRACTION = 0.4  # of this controller's requests
MIN_CHECK_INTERVAL_S = 0.25  # users' polls within this time share one freshness check
CLOUD_LIMIT_FRACTION = 0.8  # of the cloud's request limit; only the leader calls the cloud
BASE_RESERVED_SOCKETS = 64  # for the state service, the cloud and the process's own files
MIN_CLIENT_SOCKETS = 16  # for workers and users, even if the file limit is lower


class Budgets(NamedTuple):
    """Request rates that one controller may use."""

    calls_per_s: float  # requests to the state service
    writes_per_s: WriteRates  # writes to the state service, as leader and as non-leader
    watch_delay_s: float  # between the response to a watch and the next watch
    check_interval_s: float  # between two freshness checks of the watch cache
    cloud_calls_per_s: float


def budgets_of(deployment: Deployment) -> Budgets:
    """Divide a deployment's limits among its controllers."""
    # The state service switches to its announced limits without notice, so the lower of the current
    # and the announced value of each limit applies from the start.
    limits = deployment.state.lowest()
    calls_per_s = limits.rps * STATE_LIMIT_FRACTION / deployment.count
    writes_per_s = limits.write_rps * STATE_LIMIT_FRACTION
    return Budgets(
        calls_per_s=calls_per_s,
        writes_per_s=WriteRates(
            following=writes_per_s * (1 - LEADER_WRITE_FRACTION) / max(1, deployment.count - 1),
            leading=writes_per_s * LEADER_WRITE_FRACTION,
        ),
        watch_delay_s=1.0 / (WATCH_REQUEST_FRACTION * calls_per_s),
        check_interval_s=max(MIN_CHECK_INTERVAL_S, 1.0 / (FRESHNESS_CHECK_FRACTION * calls_per_s)),
        cloud_calls_per_s=deployment.cloud.rps * CLOUD_LIMIT_FRACTION,
    )


def max_client_sockets(deployment: Deployment) -> int:
    """Return how many connections of workers and users may be open at the same time.

    The remaining sockets are reserved for the state service, the cloud and the peers, so that
    connections of workers and users can't exhaust them.
    """
    reserved = BASE_RESERVED_SOCKETS + 8 * deployment.count
    open_calls = 2.0 * CALL_TIMEOUT_S * deployment.state.rps / deployment.count
    return max(MIN_CLIENT_SOCKETS, deployment.machine_limits.fd_limit - int(reserved + open_calls))
