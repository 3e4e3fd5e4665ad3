"""Which machines a job may use."""

from __future__ import annotations

from dapplewick.core.shard.state import Machine
from dapplewick.protocol.job_spec import JobSpec
from dapplewick.types import Zone


class PlacementConstraints:
    """The constraints that jobs state, applied to the machines of one zone."""

    def __init__(self, zone: Zone) -> None:
        self._zone = zone

    def allow(self, spec: JobSpec, machine: Machine) -> bool:
        """Whether a job may use a machine of this type and kind, in this zone."""
        return (
            (spec.types is None or machine.type in spec.types)
            and (spec.spot or not machine.spot)
            and (spec.zone is None or spec.zone == self._zone)
        )
