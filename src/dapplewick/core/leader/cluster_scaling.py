"""The cluster's size: answers to provisioning requests, scaling out and scaling in."""

from __future__ import annotations

import logging

import msgspec

from dapplewick.core.leader.array_order import PendingArray
from dapplewick.core.leader.capacity_requests import CapacityRequest, CapacityRequestPlanner
from dapplewick.core.leader.machine_lifecycle import MachineLifecycle
from dapplewick.core.leader.provisioner import Provisioner
from dapplewick.core.leader.scale_in import ScaleIn
from dapplewick.core.leader.shard_capacity import ShardCapacity
from dapplewick.core.leader.shard_contacts import ShardContacts
from dapplewick.core.leader.term_ids import TermIds
from dapplewick.storage.conditional_write import ConditionalWrite
from dapplewick.storage.keys import PROVISIONING_REQUESTS
from dapplewick.storage.machine_records import ProvisioningRequest
from dapplewick.storage.watch_cache import WatchCache
from dapplewick.storage.write_priority import WritePriority
from dapplewick.types import NEVER_S, MachineId, Seconds

log = logging.getLogger(__name__)

SCALING_INTERVAL_S = 1.0  # scaling out and in is decided this often
FIRST_STATUSES_S = 1.0  # the shards' owners have so long to tell a new leader of themselves


class ClusterScaling:
    """Decides on the number of machines, as soon as enough is known of the shards.

    Attributes:
        provisioned: The cloud's answers to provisioning requests that are still recorded: the
            machines that it gave, or None if it refused.
        unmet: The requests for which nothing could be provisioned when that was decided last.
    """

    def __init__(
        self,
        cache: WatchCache,
        contacts: ShardContacts,
        capacity_requests: CapacityRequestPlanner,
        provisioner: Provisioner,
        scale_in: ScaleIn,
        machine_lifecycle: MachineLifecycle,
        ids: TermIds,
        now: Seconds,
    ) -> None:
        self._cache = cache
        self._contacts = contacts
        self._capacity_requests = capacity_requests
        self._provisioner = provisioner
        self._scale_in = scale_in
        self._machine_lifecycle = machine_lifecycle
        self._ids = ids
        self._started_at = now
        self._scaled_at = NEVER_S
        self.cloud_answers: dict[str, list[MachineId] | None] = {}
        self.unmet: list[CapacityRequest] = []

    def changes(
        self,
        now: Seconds,
        wall_time: Seconds,
        shard_capacities: list[ShardCapacity],
        pending: list[PendingArray],
    ) -> list[ConditionalWrite]:
        """The writes of provisioning requests; what ends machines is drafted with these."""
        changes = self._take_answers(now, wall_time)
        if now - self._scaled_at >= SCALING_INTERVAL_S and self._is_ready(now):
            self._scaled_at = now
            requests = self._capacity_requests.capacity_requests(wall_time, pending)
            # Before scaling out takes slots for what waits.
            spare_slots = self._scale_in.spare_slots(shard_capacities)
            wanted = self._provisioner.scale_out(now, wall_time, requests, shard_capacities)
            changes += [self._request(request) for request in wanted.requests]
            self.unmet = wanted.unmet
            self._scale_in.terminate_idle(wanted.unmet, spare_slots)
        return changes

    def _take_answers(self, now: Seconds, wall_time: Seconds) -> list[ConditionalWrite]:
        """Draft the machines that the cloud gave, and the end of their requests."""
        changes = []
        for name, machines in list(self.cloud_answers.items()):
            request = self._cache.provisioning_requests.get(name)
            if request is None:
                del self.cloud_answers[name]
                continue
            if machines is None or len(machines) < request.count:
                self._provisioner.record_no_capacity(now, request)
            self._machine_lifecycle.add_provisioned(name, request, machines or [], wall_time)
            key = PROVISIONING_REQUESTS + name
            version = self._cache.version(key)
            changes.append(ConditionalWrite(key, None, version, WritePriority.URGENT))
        return changes

    def _request(self, request: ProvisioningRequest) -> ConditionalWrite:
        name = self._ids.next_request_name()
        log.info(
            "event=provisioning_requested request=%s type=%s zone=%s spot=%s count=%d",
            name,
            request.type,
            request.zone,
            request.spot,
            request.count,
        )
        value = msgspec.to_builtins(request)
        return ConditionalWrite(PROVISIONING_REQUESTS + name, value, 0, WritePriority.NORMAL)

    def _is_ready(self, now: Seconds) -> bool:
        """Whether enough is known to decide on machines: every owned shard was heard."""
        if not self._cache.types or now - self._started_at < FIRST_STATUSES_S:
            return False
        return self._contacts.all_fresh(now)
