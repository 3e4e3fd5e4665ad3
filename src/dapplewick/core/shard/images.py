"""Which machines have which container image."""

from __future__ import annotations

from collections.abc import Collection

from dapplewick.core.shard.state import MAX_IMAGES, Machine
from dapplewick.types import MachineId


class Images:
    """Which machines have which image, or fetch it, or are about to.

    A job's tasks join together, before the first of them is listed in a heartbeat: what is only
    assigned to a machine counts, or each of them would have the image fetched by another machine.
    """

    def __init__(self) -> None:
        self._machines_with: dict[str, dict[MachineId, None]] = {}

    def add(self, machine: Machine, image: str) -> None:
        """Note an image of a machine; beyond `MAX_IMAGES` the one noted first is forgotten."""
        images = machine.images
        if image in images:
            return
        images[image] = None
        self._machines_with.setdefault(image, {})[machine.id] = None
        while len(images) > MAX_IMAGES:
            self._remove(machine, next(iter(images)))

    def _remove(self, machine: Machine, image: str) -> None:
        del machine.images[image]
        machine_ids = self._machines_with[image]
        del machine_ids[machine.id]
        if not machine_ids:
            del self._machines_with[image]

    def clear(self, machine: Machine) -> None:
        """Forget all images of a machine: it is gone, or a new incarnation of it has begun."""
        for image in list(machine.images):
            self._remove(machine, image)

    def machines_with(self, image: str) -> Collection[MachineId]:
        """The machines that have an image, in the order in which that was noted."""
        return self._machines_with.get(image, {}).keys()
