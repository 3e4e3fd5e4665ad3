"""Index of container images by machine."""

from __future__ import annotations

from collections.abc import Collection

from dapplewick.core.shard.state import MAX_IMAGES, Machine
from dapplewick.types import MachineId


class ImageIndex:
    """Index of the machines that have an image, fetch it or have a task assigned that needs it.

    The tasks of a job are assigned together, before a heartbeat lists the first of them. Images of
    assigned tasks are included because each task would otherwise choose another machine, and all
    of these would fetch the image.
    """

    def __init__(self) -> None:
        self._machines_with: dict[str, dict[MachineId, None]] = {}

    def add(self, machine: Machine, image: str) -> None:
        """Add an image of a machine; beyond `MAX_IMAGES` the oldest entry is removed."""
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
        """Remove all images of a machine that was removed or began a new incarnation."""
        for image in list(machine.images):
            self._remove(machine, image)

    def machines_with(self, image: str) -> Collection[MachineId]:
        """The machines that have an image, in the order in which they were added."""
        return self._machines_with.get(image, {}).keys()
