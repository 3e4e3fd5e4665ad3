"""The import contracts between the layers of the package.

The import linter runs in a subprocess, because it configures logging and thereby permanently
disables all loggers of its process.
"""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

from support.paths import ROOT

LINTER = "from importlinter.cli import lint_imports_command; lint_imports_command()"


def lint(config: Path, sources: Path) -> subprocess.CompletedProcess[str]:
    """Check the import contracts of a configuration file on the packages in a directory."""
    return subprocess.run(
        [sys.executable, "-c", LINTER, "--config", str(config), "--no-cache"],
        env=os.environ | {"PYTHONPATH": str(sources)},
        capture_output=True,
        text=True,
        check=False,
        timeout=120,
    )


def test_layers_import_downwards_only_and_without_cycles() -> None:
    """The contracts are defined in `pyproject.toml`."""
    linted = lint(ROOT / "pyproject.toml", ROOT / "src")
    assert linted.returncode == 0, linted.stdout + linted.stderr
    assert "Contracts: 2 kept, 0 broken." in linted.stdout


def test_an_upward_import_is_detected(tmp_path: Path) -> None:
    """A layer contract fails on a package whose lower layer imports the upper layer."""
    package = tmp_path / "upside_down"
    package.mkdir()
    (package / "__init__.py").touch()
    (package / "upper.py").write_text("VALUE = 1\n")
    (package / "lower.py").write_text("from upside_down.upper import VALUE as VALUE\n")
    config = tmp_path / "contracts.toml"
    config.write_text(
        "[tool.importlinter]\n"
        'root_package = "upside_down"\n'
        "[[tool.importlinter.contracts]]\n"
        'name = "layers"\n'
        'type = "layers"\n'
        'containers = ["upside_down"]\n'
        'layers = ["upper", "lower"]\n'
    )
    linted = lint(config, tmp_path)
    assert linted.returncode == 1
    assert "Contracts: 0 kept, 1 broken." in linted.stdout
