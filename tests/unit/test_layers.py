"""The layers of the package, as the import linter sees them."""

from __future__ import annotations

import contextlib
import io
from pathlib import Path

import pytest
from importlinter.cli import lint_imports

ROOT = Path(__file__).resolve().parents[2]


def test_layers_import_downwards_only_and_without_cycles() -> None:
    """`pyproject.toml` holds the contracts."""
    output = io.StringIO()
    with contextlib.redirect_stdout(output):
        failed = lint_imports(str(ROOT / "pyproject.toml"), no_cache=True)
    assert not failed, output.getvalue()


def test_an_import_upwards_is_noticed(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """The same contract on a package whose lower layer imports the upper one."""
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
    monkeypatch.syspath_prepend(str(tmp_path))
    with contextlib.redirect_stdout(io.StringIO()):
        failed = lint_imports(str(config), no_cache=True)
    assert failed
