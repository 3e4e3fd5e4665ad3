"""The identity of a controller process within its deployment."""

from __future__ import annotations

from dataclasses import dataclass

from dapplewick.types import ControllerName


@dataclass
class Identity:
    """The identity of a controller process.

    Attributes:
        name: the name of the controller in the settings.
        zone: the zone in which the controller runs.
        incarnation: distinguishes this process from earlier processes of the same controller.
    """

    name: ControllerName
    zone: str
    incarnation: str
