"""How much of the limits of the services and of its machine one controller may use."""

from __future__ import annotations

from typing import NamedTuple

from dapplewick.config import Deployment
from dapplewick.coordination.election import WriteRates
from dapplewick.storage.state_client import CALL_TIMEOUT_S

USED_SHARE = 0.9  # of the state service's limits that all controllers use together
LEADER_WRITES_SHARE = 0.8  # of the writes: the leader's
WATCH_SHARE = 0.35  # of this controller's requests: a watch is opened anew after each change
CHECK_SHARE = 0.4  # of this controller's requests: checks that the watch cache is current
CHECK_INTERVAL_S = 0.25  # polls within this time wait for one check together
CLOUD_SHARE = 0.8  # of the cloud's limit: only the leader calls it
OWN_SOCKETS = 64  # kept for the state service, the cloud and what a process has open anyway
MIN_CLIENT_SOCKETS = 16  # for workers and users, however low the limit is


class Budgets(NamedTuple):
    """What one controller may use of the state service and the cloud."""

    calls_per_s: float  # of the state service
    writes_per_s: WriteRates  # of the state service
    watch_gap_s: float  # between the answer to a watch and the next watch
    check_interval_s: float  # between two checks that the watch cache is current
    cloud_calls_per_s: float


def budgets_of(deployment: Deployment) -> Budgets:
    """Divide a deployment's limits among its controllers."""
    # The lower of the limits of now and of later, from the start: both are kept to before
    # and after a moment that comes without notice.
    limits = deployment.state.lowest()
    calls_per_s = limits.rps * USED_SHARE / deployment.count
    writes_per_s = limits.write_rps * USED_SHARE
    return Budgets(
        calls_per_s=calls_per_s,
        writes_per_s=WriteRates(
            following=writes_per_s * (1 - LEADER_WRITES_SHARE) / max(1, deployment.count - 1),
            leading=writes_per_s * LEADER_WRITES_SHARE,
        ),
        watch_gap_s=1.0 / (WATCH_SHARE * calls_per_s),
        check_interval_s=max(CHECK_INTERVAL_S, 1.0 / (CHECK_SHARE * calls_per_s)),
        cloud_calls_per_s=deployment.cloud.rps * CLOUD_SHARE,
    )


def max_client_sockets(deployment: Deployment) -> int:
    """How many connections of workers and users may be open.

    The state service, the cloud and the peers keep theirs, whatever workers and users do.
    """
    own = OWN_SOCKETS + 8 * deployment.count
    state_calls = 2.0 * CALL_TIMEOUT_S * deployment.state.rps / deployment.count
    return max(MIN_CLIENT_SOCKETS, deployment.machine_limits.fd_limit - int(own + state_calls))
