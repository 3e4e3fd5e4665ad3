"""Placement constraints of jobs."""

from __future__ import annotations

from dapplewick.core.shard.state import Machine
from dapplewick.protocol.job_spec import JobSpec
from dapplewick.types import Zone


class PlacementConstraints:
    """Checks the constraints in job specifications against the machines of one zone."""

    def __init__(self, zone: Zone) -> None:
        self._zone = zone

    def allow(self, spec: JobSpec, machine: Machine) -> bool:
        """Whether a job's constraints on type, spot machines and zone allow this machine."""
        return (
            (spec.types is None or machine.type in spec.types)
            and (spec.spot or not machine.spot)
            and (spec.zone is None or spec.zone == self._zone)
        )
