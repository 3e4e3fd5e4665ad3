"""Lists the days of the journal on which a class, a team or a size of jobs was hardly served.

    PYTHONPATH=src:tests python tests/tools/list_unserved.py --revision 34280c3 --below 0.5

Each row names a group of jobs, the part of it that was served, and the day: two revisions can be
compared by listing both. All figures of the journal are simulated.
"""

from __future__ import annotations

import argparse
import json
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any, NamedTuple

from support.paths import ROOT

JOURNAL = ROOT / "journal"
UNSERVED_BELOW = 0.5  # a day fails for its users if less than this part of a group is served


class UnservedGroup(NamedTuple):
    """A group of jobs of which too few were served on one day."""

    revision: str
    command: str
    site: str
    day: str
    machines: int
    score: float
    group: str
    served: float
    entry: str

    def line(self) -> str:
        """The row as text."""
        return (
            f"{self.revision}  {self.command:8}  {self.site}  {self.day}  "
            f"{self.machines} machines  score {self.score:.2f}  "
            f"{self.group} {self.served:.3f}  ({self.entry})"
        )


def entries(folder: Path) -> Iterator[tuple[str, dict[str, Any]]]:
    """Every entry of a journal with its file's name, oldest first."""
    for path in sorted(folder.glob("*.json")):
        yield path.stem, json.loads(path.read_text())


def unserved_groups(
    journal: Iterable[tuple[str, dict[str, Any]]],
    *,
    revision: str = "",
    site: str = "",
    below: float = UNSERVED_BELOW,
) -> Iterator[UnservedGroup]:
    """The groups of which less than a part was served, as far as the entries tell."""
    for name, entry in journal:
        if not entry["head"].startswith(revision) or (site and entry["site"] != site):
            continue
        for day in entry["days"] or []:
            for group, _, served in day["served"] or []:
                if served is not None and served < below:
                    yield UnservedGroup(
                        revision=entry["head"][:7] + ("+" if entry["dirty"] else ""),
                        command=entry["cmd"],
                        site=entry["site"],
                        day=day["name"],
                        machines=day["servers"],
                        score=day["score"] or 0.0,
                        group=group,
                        served=served,
                        entry=name,
                    )


def main() -> None:
    """Print the rows."""
    parser = argparse.ArgumentParser(description="Days on which a group of jobs was hardly served.")
    parser.add_argument("--revision", default="", help="only of revisions that begin with this")
    parser.add_argument("--site", default="", help="only of this site")
    parser.add_argument("--below", type=float, default=UNSERVED_BELOW, help="part that was served")
    options = parser.parse_args()
    rows = unserved_groups(
        entries(JOURNAL), revision=options.revision, site=options.site, below=options.below
    )
    for row in rows:
        print(row.line())


if __name__ == "__main__":
    main()
