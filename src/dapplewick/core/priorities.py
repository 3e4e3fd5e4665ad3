"""How work ranks where it could be preempted."""

from __future__ import annotations

# A task of a gang or a service counts as this among the ends of tasks: nothing preempts it.
NON_PREEMPTIBLE_PRIORITY = 99
