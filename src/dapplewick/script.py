"""Operators' Starlark scripts: names that are set at the top level become settings."""

from __future__ import annotations

import difflib
from collections.abc import Iterable, Sequence
from pathlib import Path
from typing import Any

import msgspec

from dapplewick.errors import DapplewickError
from dapplewick.tuning import LIMITS, WEIGHT_LIMITS, Tuning

MAX_CHECKS = 5000  # of about a thousand steps each
MAX_DEPTH = 50
MAX_BYTES = 64 * 1024

# What a script may call. It has no other way out: no files, no network, no clock.
PRELUDE = """
def minutes(n):
    return n * 60.0

def hours(n):
    return n * 3600.0
"""


class ScriptError(DapplewickError):
    """The script can't be used; the text has its file, line and reason."""


def _first_line(error: Exception) -> str:
    """Starlark's report in one line, the place in front."""
    lines = [line.strip() for line in str(error).splitlines() if line.strip()]
    reason = lines[0].removeprefix("error:").strip() if lines else "unknown error"
    placements = [line.removeprefix("-->").strip() for line in lines if line.startswith("-->")]
    return f"{placements[0]}: {reason}" if placements else reason


def evaluate(name: str, text: str, settings: Iterable[str]) -> dict[str, Any]:
    """Run a script; gives what it set of these settings.

    Raises:
        ScriptError: the script can't be run, or takes too many steps.
    """
    # Loaded only here: controllers without a script do without it.
    import starlark

    checks = 0

    def check_cancelled() -> bool:
        nonlocal checks
        checks += 1
        return checks > MAX_CHECKS

    options = starlark.EvalOptions(check_cancelled=check_cancelled, max_callstack_size=MAX_DEPTH)
    known = starlark.Globals.standard()
    module = starlark.Module()
    try:
        starlark.eval_with(options, module, starlark.parse("prelude", PRELUDE), known)
        tree = starlark.parse(name, text)
        starlark.eval_with(options, module, tree, known)
    except starlark.StarlarkError as err:
        if checks > MAX_CHECKS:
            raise ScriptError(f"{name}: takes too many steps") from None
        raise ScriptError(_first_line(err)) from None
    values = {}
    for setting in settings:
        value = module[setting]
        if value is not None:
            values[setting] = value
    return values


def _assigned(text: str) -> list[tuple[int, str]]:
    """Names assigned at the top level, with their lines."""
    found = []
    for number, line in enumerate(text.splitlines(), 1):
        name, equals, rest = line.partition("=")
        assigned = equals and not rest.startswith("=") and name == name.lstrip()
        if assigned and name.strip().isidentifier():
            found.append((number, name.strip()))
    return found


def assigned_lines(name: str, text: str, settings: Sequence[str]) -> dict[str, int]:
    """The lines of the settings that a script assigns.

    Raises:
        ScriptError: it assigns a name that is none of them, and that does not begin with _.
    """
    lines: dict[str, int] = {}
    for line, assigned in _assigned(text):
        if assigned.startswith("_"):
            continue
        lines[assigned] = line
        if assigned not in settings:
            near = difflib.get_close_matches(assigned, settings, 1, 0.0)
            raise ScriptError(
                f"{name}:{line}: unknown setting {assigned!r}; the nearest known is {near[0]!r}"
            )
    return lines


def _number(place: str, setting: str, value: object, limits: tuple[float, float]) -> float:
    """A setting's value, if it is a number within its limits."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ScriptError(f"{place}: {setting}: a number is needed")
    if not limits[0] <= value <= limits[1]:
        raise ScriptError(f"{place}: {setting}: must be from {limits[0]} to {limits[1]}")
    return float(value)


def parse(name: str, text: str) -> Tuning:
    """Run a script and check what it sets. Names that begin with _ are the script's own.

    Raises:
        ScriptError: it can't be run, or a setting is wrong.
    """
    lines = assigned_lines(name, text, Tuning.__struct_fields__)
    values = evaluate(name, text, Tuning.__struct_fields__)
    for setting, value in values.items():
        place = f"{name}:{lines.get(setting, 1)}"
        if setting == "class_weights":
            if not isinstance(value, dict) or not all(isinstance(k, str) for k in value):
                raise ScriptError(f"{place}: {setting}: a dict of classes is needed")
            values[setting] = {
                job_class: _number(place, f"{setting}[{job_class!r}]", weight, WEIGHT_LIMITS)
                for job_class, weight in value.items()
            }
        else:
            values[setting] = _number(place, setting, value, LIMITS[setting])
    return msgspec.convert(values, type=Tuning)


def load(path: str) -> Tuning:
    """Read, run and check a script file.

    Raises:
        ScriptError: it can't be read or run, or a setting is wrong.
    """
    return parse(path, read_script(path))


def read_script(path: str) -> str:
    """The text of a script file.

    Raises:
        ScriptError: it can't be read, is too large, or is no UTF-8.
    """
    try:
        data = Path(path).read_bytes()
    except OSError as err:
        raise ScriptError(f"{path}: {err.strerror}") from None
    if len(data) > MAX_BYTES:
        raise ScriptError(f"{path}: over {MAX_BYTES} bytes")
    try:
        return data.decode()
    except UnicodeDecodeError:
        raise ScriptError(f"{path}: not UTF-8") from None
