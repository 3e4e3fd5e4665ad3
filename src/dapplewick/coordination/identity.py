"""Who a controller process is among the controllers of its deployment."""

from __future__ import annotations

from dataclasses import dataclass

from dapplewick.types import ControllerName


@dataclass
class Identity:
    """The name of a controller, and the incarnation that tells this process from earlier ones."""

    name: ControllerName
    zone: str
    incarnation: str
