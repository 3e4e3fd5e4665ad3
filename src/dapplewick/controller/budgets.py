"""How much of the limits of the services and of its machine one controller may use."""

from __future__ import annotations

from typing import NamedTuple

from dapplewick.config import Deployment
from dapplewick.coordination.election import WriteRates
from dapplewick.storage.state_client import CALL_TIMEOUT_S

STATE_LIMIT_SHARE = 0.9  # of the state service's limits that all controllers use together
LEADER_WRITE_SHARE = 0.8  # of the writes: the leader's
WATCH_REQUEST_SHARE = (
    0.35  # of this controller's requests: a watch is opened anew after each change
)
FRESHNESS_CHECK_SHARE = 0.4  # of this controller's requests: checks that the watch cache is current
MIN_CHECK_INTERVAL_S = 0.25  # polls within this time wait for one check together
CLOUD_LIMIT_SHARE = 0.8  # of the cloud's limit: only the leader calls it
BASE_RESERVED_SOCKETS = (
    64  # kept for the state service, the cloud and what a process has open anyway
)
MIN_CLIENT_SOCKETS = 16  # for workers and users, however low the limit is


class Budgets(NamedTuple):
    """What one controller may use of the state service and the cloud."""

    calls_per_s: float  # of the state service
    writes_per_s: WriteRates  # of the state service
    watch_delay_s: float  # between the answer to a watch and the next watch
    check_interval_s: float  # between two checks that the watch cache is current
    cloud_calls_per_s: float


def budgets_of(deployment: Deployment) -> Budgets:
    """Divide a deployment's limits among its controllers."""
    # The lower of the limits of now and of later, from the start: both are kept to before
    # and after a moment that comes without notice.
    limits = deployment.state.lowest()
    calls_per_s = limits.rps * STATE_LIMIT_SHARE / deployment.count
    writes_per_s = limits.write_rps * STATE_LIMIT_SHARE
    return Budgets(
        calls_per_s=calls_per_s,
        writes_per_s=WriteRates(
            following=writes_per_s * (1 - LEADER_WRITE_SHARE) / max(1, deployment.count - 1),
            leading=writes_per_s * LEADER_WRITE_SHARE,
        ),
        watch_delay_s=1.0 / (WATCH_REQUEST_SHARE * calls_per_s),
        check_interval_s=max(MIN_CHECK_INTERVAL_S, 1.0 / (FRESHNESS_CHECK_SHARE * calls_per_s)),
        cloud_calls_per_s=deployment.cloud.rps * CLOUD_LIMIT_SHARE,
    )


def max_client_sockets(deployment: Deployment) -> int:
    """How many connections of workers and users may be open.

    The state service, the cloud and the peers keep theirs, whatever workers and users do.
    """
    own = BASE_RESERVED_SOCKETS + 8 * deployment.count
    state_calls = 2.0 * CALL_TIMEOUT_S * deployment.state.rps / deployment.count
    return max(MIN_CLIENT_SOCKETS, deployment.machine_limits.fd_limit - int(own + state_calls))
