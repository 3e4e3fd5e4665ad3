"""What work with accelerators needs of its machines, so that other work leaves it room."""

from __future__ import annotations

import math

from dapplewick.storage.records import Mirror
from dapplewick.types import NOTHING, Seconds, Size

MEMORY_S = 60.0  # a demand that has passed is believed in for about this long
HEADROOM = 1.2


class AcceleratorDemand:
    """How many accelerators are wanted, and the CPUs and memory that go with each.

    A machine's accelerators are worth nothing without CPUs. Work that needs none of them may
    use a machine's other resources only beyond this share.
    """

    def __init__(self, mirror: Mirror) -> None:
        self.mirror = mirror
        self._wanted = 0.0
        self._at = 0.0
        self._each = Size(0.0, 1.0, 0.0)
        self._share = 0.0

    def update(self, now: Seconds) -> None:
        wanted = cpus = ram = 0.0
        for _, job in self.mirror.each_live():
            spec = job.spec
            if spec.gpus > 0 and job.open:
                wanted += spec.gpus * (spec.tasks - len(job.done))
                cpus = max(cpus, spec.cpus / spec.gpus)
                ram = max(ram, spec.ram / spec.gpus)
        if cpus or ram:
            self._each = Size(cpus, 1.0, ram)
        fade = math.exp(-max(0.0, now - self._at) / MEMORY_S)
        self._at = now
        self._wanted = max(wanted * HEADROOM, self._wanted * fade)
        have = 0.0
        for record in self.mirror.machines.values():
            kind = self.mirror.types.get(record.type)
            if kind is not None and record.up and not record.doomed:
                have += kind.gpus
        self._share = min(1.0, self._wanted / have) if have else 0.0

    def reserve(self, capacity: Size, free: Size) -> Size:
        """What is to be left free on a machine for the accelerators that are wanted."""
        if capacity.gpus <= 0 or self._share <= 0.01:
            return NOTHING
        target = math.ceil(self._share * capacity.gpus - 1e-6)
        count = max(0.0, min(free.gpus, target - (capacity.gpus - free.gpus)))
        return Size(self._each.cpus * count, 0.0, self._each.ram * count)
