"""Lists simulated scenarios in which a job class, a team or a job size was hardly served.

    PYTHONPATH=src:tests python tests/tools/list_unserved.py --revision 34280c3 --below 0.5

The rows come from the entries in `journal`, whose figures are all simulated. Each row names a group
of jobs, the fraction of the group that was served, and the scenario. To compare two revisions, list
both.
"""

from __future__ import annotations

import argparse
import json
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any, NamedTuple

from support.paths import ROOT

JOURNAL = ROOT / "journal"
UNSERVED_BELOW = 0.5  # a scenario fails for a group if a smaller fraction of it is served


class UnservedGroup(NamedTuple):
    """A group of jobs of which too small a fraction was served in one scenario.

    Attributes:
        revision: Abbreviated commit of the simulated sources, with `+` for uncommitted changes.
        command: The command that wrote the journal entry.
        site: The simulated site.
        scenario: The name of the scenario.
        machines: The number of machines in the scenario.
        score: The score of the scenario.
        group: The job class, team or job size.
        served: The fraction of the group that was served, from 0 to 1.
        entry: The file name of the journal entry, without its suffix.
    """

    revision: str
    command: str
    site: str
    scenario: str
    machines: int
    score: float
    group: str
    served: float
    entry: str

    def line(self) -> str:
        """Format the row as text."""
        return (
            f"{self.revision}  {self.command:8}  {self.site}  {self.scenario}  "
            f"{self.machines} machines  score {self.score:.2f}  "
            f"{self.group} {self.served:.3f}  ({self.entry})"
        )


def read_entries(folder: Path) -> Iterator[tuple[str, dict[str, Any]]]:
    """Yield the file name and the content of each journal entry, oldest first."""
    for path in sorted(folder.glob("*.json")):
        yield path.stem, json.loads(path.read_text())


def unserved_groups(
    journal: Iterable[tuple[str, dict[str, Any]]],
    *,
    revision: str = "",
    site: str = "",
    below: float = UNSERVED_BELOW,
) -> Iterator[UnservedGroup]:
    """Yield the groups of which a smaller fraction than `below` was served.

    Args:
        journal: The file name and the content of each journal entry.
        revision: Yield only entries whose commit begins with this text.
        site: Yield only entries of this site; empty for all sites.
        below: The fraction from which on a group counts as served.
    """
    for name, entry in journal:
        if not entry["head"].startswith(revision) or (site and entry["site"] != site):
            continue
        for scenario in entry["days"] or []:
            for group, _, served in scenario["served"] or []:
                if served is not None and served < below:
                    yield UnservedGroup(
                        revision=entry["head"][:7] + ("+" if entry["dirty"] else ""),
                        command=entry["cmd"],
                        site=entry["site"],
                        scenario=scenario["name"],
                        machines=scenario["servers"],
                        score=scenario["score"] or 0.0,
                        group=group,
                        served=served,
                        entry=name,
                    )


def main() -> None:
    """Run the command."""
    parser = argparse.ArgumentParser(
        description="List scenarios in which a group of jobs was hardly served."
    )
    parser.add_argument("--revision", default="", help="only commits that begin with this text")
    parser.add_argument("--site", default="", help="only this site")
    parser.add_argument(
        "--below",
        type=float,
        default=UNSERVED_BELOW,
        help="fraction of a group below which it counts as unserved",
    )
    options = parser.parse_args()
    rows = unserved_groups(
        read_entries(JOURNAL), revision=options.revision, site=options.site, below=options.below
    )
    for row in rows:
        print(row.line())


if __name__ == "__main__":
    main()
