"""Loads earlier versions of the service from the Git history, next to the current version.

`deploy/service.toml` names the commit in production. The package of a commit is extracted and
imported under another name, so that controllers of several versions can run in one process. Tests
that need a commit fail if the history lacks it.
"""

from __future__ import annotations

import importlib
import io
import re
import subprocess
import sys
import tarfile
import tempfile
import tomllib
from functools import lru_cache
from pathlib import Path
from types import SimpleNamespace
from typing import Any

from support.paths import ROOT

# An earlier commit of main, with services and with records of format 3.
PREVIOUS_MAIN = "c6e3367"


def commit() -> str:
    """The commit in production, from `deploy/service.toml`."""
    text = (ROOT / "deploy" / "service.toml").read_text()
    return str(tomllib.loads(text)["production"])


def load() -> SimpleNamespace:
    """The modules of the version in production."""
    return load_commit(commit())


@lru_cache(maxsize=2)
def load_commit(revision: str) -> SimpleNamespace:
    """The modules of the version at a commit, under the names that the tests use."""
    name = f"dapplewick_at_{revision[:7]}"
    archive = subprocess.run(
        ["git", "-C", str(ROOT), "archive", revision, "src/dapplewick"],
        check=True,
        capture_output=True,
    ).stdout
    folder = Path(tempfile.mkdtemp(prefix="earlier-version-"))
    with tarfile.open(fileobj=io.BytesIO(archive)) as tar:
        tar.extractall(folder, filter="data")
    (folder / "src" / "dapplewick").rename(folder / name)
    for path in (folder / name).rglob("*.py"):
        text = re.sub(r"\b(from|import) dapplewick\b", rf"\1 {name}", path.read_text())
        path.write_text(text)
    sys.path.insert(0, str(folder))

    def module(path: str) -> object:
        return importlib.import_module(f"{name}.{path}")

    separate = (folder / name / "transport" / "http_client.py").exists()
    client: Any = module("transport.http_client" if separate else "transport.http")

    return SimpleNamespace(
        Controller=module("node").Node,  # type: ignore[attr-defined]
        config=module("config"),
        http_client=SimpleNamespace(HttpError=client.HttpError, RequestNotSentError=client.NotSent),
        WatchCache=module("storage.records").Mirror,  # type: ignore[attr-defined]
        machines=module("core.machines"),
        records=module("storage.records"),
        wire=module("protocol.wire"),
    )
