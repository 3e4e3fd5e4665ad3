"""Runs operators' Starlark scripts; names assigned at the top level become settings."""

from __future__ import annotations

import difflib
from collections.abc import Iterable, Sequence
from pathlib import Path
from typing import Any

import msgspec

from dapplewick.errors import DapplewickError
from dapplewick.tuning import CLASS_WEIGHT_LIMITS, SETTING_LIMITS, Tuning

MAX_STEP_CHECKS = 5000  # Starlark calls the check about every 1,000 steps
MAX_CALL_DEPTH = 50
MAX_SCRIPT_BYTES = 64 * 1024

# Functions available to scripts besides the Starlark built-ins. Scripts have no access to files,
# network or clock.
PRELUDE = """
def minutes(n):
    return n * 60.0

def hours(n):
    return n * 3600.0
"""


class ScriptError(DapplewickError):
    """The script is invalid; the text has its file, line and the reason."""


def _error_line(error: Exception) -> str:
    """Format a Starlark error as one line that begins with the location."""
    lines = [line.strip() for line in str(error).splitlines() if line.strip()]
    reason = lines[0].removeprefix("error:").strip() if lines else "unknown error"
    locations = [line.removeprefix("-->").strip() for line in lines if line.startswith("-->")]
    return f"{locations[0]}: {reason}" if locations else reason


def evaluate(name: str, text: str, settings: Iterable[str]) -> dict[str, Any]:
    """Run a script and return the values of the settings that it assigned.

    Args:
        name: The file name for error messages.
        text: The script.
        settings: The names of all settings.

    Raises:
        ScriptError: The script fails or takes too many steps.
    """
    # Imported lazily: a controller without a script doesn't need it.
    import starlark

    checks = 0

    def check_cancelled() -> bool:
        nonlocal checks
        checks += 1
        return checks > MAX_STEP_CHECKS

    options = starlark.EvalOptions(
        check_cancelled=check_cancelled, max_callstack_size=MAX_CALL_DEPTH
    )
    globals_ = starlark.Globals.standard()
    module = starlark.Module()
    try:
        starlark.eval_with(options, module, starlark.parse("prelude", PRELUDE), globals_)
        tree = starlark.parse(name, text)
        starlark.eval_with(options, module, tree, globals_)
    except starlark.StarlarkError as err:
        if checks > MAX_STEP_CHECKS:
            raise ScriptError(f"{name}: takes too many steps") from None
        raise ScriptError(_error_line(err)) from None
    values = {}
    for setting in settings:
        value = module[setting]
        if value is not None:
            values[setting] = value
    return values


def _top_level_assignments(text: str) -> list[tuple[int, str]]:
    """Return the line numbers and names of assignments at the top level."""
    found = []
    for line_number, line in enumerate(text.splitlines(), 1):
        name, equals, right_side = line.partition("=")
        assigned = equals and not right_side.startswith("=") and name == name.lstrip()
        if assigned and name.strip().isidentifier():
            found.append((line_number, name.strip()))
    return found


def assigned_lines(name: str, text: str, settings: Sequence[str]) -> dict[str, int]:
    """Return the line number of each setting that a script assigns.

    Raises:
        ScriptError: The script assigns a name that is not a setting and does not begin with _.
    """
    lines: dict[str, int] = {}
    for line, assigned in _top_level_assignments(text):
        if assigned.startswith("_"):
            continue
        lines[assigned] = line
        if assigned not in settings:
            nearest = difflib.get_close_matches(assigned, settings, 1, 0.0)
            raise ScriptError(
                f"{name}:{line}: unknown setting {assigned!r}; the nearest known is {nearest[0]!r}"
            )
    return lines


def _checked_number(
    location: str, setting: str, value: object, limits: tuple[float, float]
) -> float:
    """Return a setting's value as a float.

    Raises:
        ScriptError: The value is not a number within `limits`.
    """
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ScriptError(f"{location}: {setting}: a number is needed")
    if not limits[0] <= value <= limits[1]:
        raise ScriptError(f"{location}: {setting}: must be from {limits[0]} to {limits[1]}")
    return float(value)


def parse(name: str, text: str) -> Tuning:
    """Run a script and validate its settings; names that begin with _ are private to the script.

    Raises:
        ScriptError: The script fails, or a setting is unknown or invalid.
    """
    lines = assigned_lines(name, text, Tuning.__struct_fields__)
    values = evaluate(name, text, Tuning.__struct_fields__)
    for setting, value in values.items():
        location = f"{name}:{lines.get(setting, 1)}"
        if setting == "class_weights":
            if not isinstance(value, dict) or not all(isinstance(k, str) for k in value):
                raise ScriptError(f"{location}: {setting}: a dict of classes is needed")
            values[setting] = {
                job_class: _checked_number(
                    location, f"{setting}[{job_class!r}]", weight, CLASS_WEIGHT_LIMITS
                )
                for job_class, weight in value.items()
            }
        else:
            values[setting] = _checked_number(location, setting, value, SETTING_LIMITS[setting])
    return msgspec.convert(values, type=Tuning)


def load(path: str) -> Tuning:
    """Read and run a script file, and validate its settings.

    Raises:
        ScriptError: The file can't be read, the script fails, or a setting is unknown or invalid.
    """
    return parse(path, read_script(path))


def read_script(path: str) -> str:
    """Return the text of a script file.

    Raises:
        ScriptError: The file can't be read, is too large, or is not UTF-8.
    """
    try:
        data = Path(path).read_bytes()
    except OSError as err:
        raise ScriptError(f"{path}: {err.strerror}") from None
    if len(data) > MAX_SCRIPT_BYTES:
        raise ScriptError(f"{path}: larger than {MAX_SCRIPT_BYTES} bytes")
    try:
        return data.decode()
    except UnicodeDecodeError:
        raise ScriptError(f"{path}: not UTF-8") from None
