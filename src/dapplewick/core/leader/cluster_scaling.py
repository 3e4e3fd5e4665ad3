"""Autoscaling of the cluster: responses to provisioning requests, scaling out, scaling in."""

from __future__ import annotations

import logging

import msgspec

from dapplewick.core.leader.array_order import PendingArray
from dapplewick.core.leader.capacity_requests import CapacityRequest, CapacityRequestPlanner
from dapplewick.core.leader.machine_lifecycle import MachineLifecycle
from dapplewick.core.leader.provisioner import Provisioner
from dapplewick.core.leader.scale_in import ScaleInPlanner
from dapplewick.core.leader.shard_capacity import ShardCapacity
from dapplewick.core.leader.shard_contacts import ShardContacts
from dapplewick.core.leader.term_ids import TermIdGenerator
from dapplewick.storage.conditional_write import ConditionalWrite
from dapplewick.storage.keys import PROVISIONING_REQUESTS
from dapplewick.storage.machine_records import ProvisioningRequest
from dapplewick.storage.watch_cache import WatchCache
from dapplewick.storage.write_priority import WritePriority
from dapplewick.types import NEVER_S, MachineId, Seconds

log = logging.getLogger(__name__)

SCALING_INTERVAL_S = 1.0  # minimum time between two scaling decisions
INITIAL_STATUS_WAIT_S = 1.0  # a new leader waits this long for the first statuses of shard owners


class ClusterAutoscaler:
    """Decides how many machines to provision and to terminate, once all shards have reported.

    Attributes:
        provisioning_responses: The cloud's responses to provisioning requests that are still
            recorded, by request name: the machines provided, or None if the cloud refused.
        unmet: The capacity requests that could not be fully served at the last scaling decision.
    """

    def __init__(
        self,
        cache: WatchCache,
        contacts: ShardContacts,
        capacity_requests: CapacityRequestPlanner,
        provisioner: Provisioner,
        scale_in: ScaleInPlanner,
        machine_lifecycle: MachineLifecycle,
        ids: TermIdGenerator,
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
        self.provisioning_responses: dict[str, list[MachineId] | None] = {}
        self.unmet: list[CapacityRequest] = []

    def changes(
        self,
        now: Seconds,
        wall_time: Seconds,
        shard_capacities: list[ShardCapacity],
        pending: list[PendingArray],
    ) -> list[ConditionalWrite]:
        """Process the cloud's responses and decide on scaling.

        Terminations and newly provisioned machines are drafted with `MachineLifecycle`.

        Returns:
            The writes that add new provisioning requests and remove completed ones.
        """
        changes = self._process_provisioning_responses(now, wall_time)
        if now - self._scaled_at >= SCALING_INTERVAL_S and self._is_ready(now):
            self._scaled_at = now
            requests = self._capacity_requests.capacity_requests(wall_time, pending)
            # Computed first, because `scale_out` reserves slots in `shard_capacities`.
            spare_slots = self._scale_in.spare_slots(shard_capacities)
            scale_out = self._provisioner.scale_out(now, wall_time, requests, shard_capacities)
            changes += [self._provisioning_write(request) for request in scale_out.requests]
            self.unmet = scale_out.unmet
            self._scale_in.terminate_idle(scale_out.unmet, spare_slots)
        return changes

    def _process_provisioning_responses(
        self, now: Seconds, wall_time: Seconds
    ) -> list[ConditionalWrite]:
        """Draft the machines that the cloud provided, and remove the completed requests."""
        changes = []
        for name, machines in list(self.provisioning_responses.items()):
            request = self._cache.provisioning_requests.get(name)
            if request is None:
                del self.provisioning_responses[name]
                continue
            if machines is None or len(machines) < request.count:
                self._provisioner.record_refusal(now, request)
            self._machine_lifecycle.add_provisioned(name, request, machines or [], wall_time)
            key = PROVISIONING_REQUESTS + name
            version = self._cache.version(key)
            changes.append(ConditionalWrite(key, None, version, WritePriority.URGENT))
        return changes

    def _provisioning_write(self, request: ProvisioningRequest) -> ConditionalWrite:
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
        """Whether scaling can be decided: types are known, all shard owners reported recently."""
        if not self._cache.types or now - self._started_at < INITIAL_STATUS_WAIT_S:
            return False
        return self._contacts.all_fresh(now)
