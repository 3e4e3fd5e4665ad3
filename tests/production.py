"""The version in production, from the repository's history, beside the present one.

`deploy/service.toml` names its commit. Its package is read from there under another name, so that
controllers of both versions run in one process. A missing history fails the tests that need it.
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

ROOT = Path(__file__).resolve().parent.parent
NAME = "dapplewick_in_production"


def commit() -> str:
    text = (ROOT / "deploy" / "service.toml").read_text()
    return str(tomllib.loads(text)["production"])


@lru_cache(maxsize=1)
def load() -> SimpleNamespace:
    """The modules of the version in production."""
    archive = subprocess.run(
        ["git", "-C", str(ROOT), "archive", commit(), "src/dapplewick"],
        check=True, capture_output=True,
    ).stdout  # fmt: skip
    folder = Path(tempfile.mkdtemp(prefix="production-"))
    with tarfile.open(fileobj=io.BytesIO(archive)) as tar:
        tar.extractall(folder, filter="data")
    (folder / "src" / "dapplewick").rename(folder / NAME)
    for path in (folder / NAME).rglob("*.py"):
        text = re.sub(r"\b(from|import) dapplewick\b", rf"\1 {NAME}", path.read_text())
        path.write_text(text)
    sys.path.insert(0, str(folder))

    def module(name: str) -> object:
        return importlib.import_module(f"{NAME}.{name}")

    return SimpleNamespace(
        Node=module("node").Node,  # type: ignore[attr-defined]
        config=module("config"),
        http=module("transport.http"),
        records=module("storage.records"),
        wire=module("protocol.wire"),
    )
