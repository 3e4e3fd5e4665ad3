"""The command line."""

from __future__ import annotations

import importlib
import sys
from collections.abc import Callable, Coroutine
from typing import Any

import anyio
import click
import msgspec

from dapplewick import __version__, client
from dapplewick.cli.status_text import status_lines
from dapplewick.config import SettingsError, load
from dapplewick.controller.startup import SCRIPT_VARIABLE, run_controller
from dapplewick.errors import DapplewickError
from dapplewick.script import ScriptError
from dapplewick.script import load as load_script


class CommandError(DapplewickError, click.ClickException):
    """One line on standard error, with an exit code."""

    def __init__(self, message: str) -> None:
        super().__init__(" ".join(message.split()))

    def show(self, file: Any = None) -> None:  # noqa: ARG002 - click's signature
        """Print the line."""
        click.echo(f"dapplewick: {self.message}", err=True)


class InvalidInputError(CommandError):
    """What was given can't be used."""

    exit_code = 2


class LazyGroup(click.Group):
    """A group whose commands are in a module that is loaded only when one of them is used."""

    def __init__(self, *args: Any, module: str, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self._module = module

    def _load(self) -> None:
        if not self.commands:
            for command in importlib.import_module(self._module).COMMANDS:
                self.add_command(command)

    def list_commands(self, ctx: click.Context) -> list[str]:
        """The names of its commands."""
        self._load()
        return super().list_commands(ctx)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """One of its commands."""
        self._load()
        return super().get_command(ctx, cmd_name)


def _await(call: Callable[[], Coroutine[Any, Any, dict[str, Any]]]) -> dict[str, Any]:
    try:
        return anyio.run(call)
    except client.ClientError as err:
        raise CommandError(str(err)) from None


def _json(value: Any) -> None:
    click.echo(msgspec.json.format(msgspec.json.encode(value)).decode())


@click.group()
@click.version_option(__version__, prog_name="dapplewick")
def main() -> None:
    """A cluster scheduler for gangs and arrays on rented machines."""


config_option = click.option("--config", required=True, help="The platform's settings file.")
script_option = click.option(
    "--script", envvar=SCRIPT_VARIABLE, help=f"Operators' Starlark script ({SCRIPT_VARIABLE})."
)
user_option = click.option("--at", required=True, help="host:port that users reach.")


@main.command()
@config_option
@script_option
@click.option("--shares", help="Plan of shares, a Starlark script; shares are off without one.")
def run(config: str, script: str | None, shares: str | None) -> None:
    """Run one controller until it is killed."""
    sys.exit(run_controller(config, script, shares))


@main.command()
@config_option
@script_option
def check(config: str, script: str | None) -> None:
    """Check a settings file and a script without starting."""
    try:
        settings = load(config)
    except SettingsError as err:
        raise InvalidInputError(f"settings: {err}") from None
    click.echo(f"settings: good; {settings.host_name} of {settings.deployment.count} controllers")
    if script:
        try:
            tuning = load_script(script)
        except ScriptError as err:
            raise InvalidInputError(f"script: {err}") from None
        click.echo("script: good")
        _json(msgspec.to_builtins(tuning))


@main.command()
@click.option("--at", required=True, help="host:port of a controller's peer address.")
@click.option("--json", "as_json", is_flag=True, help="JSON instead of text.")
def status(at: str, as_json: bool) -> None:
    """Ask a running controller how it is."""
    answer = _await(lambda: client.status(at))
    if as_json:
        _json(answer)
    else:
        for line in status_lines(answer):
            click.echo(line)


@main.group(cls=LazyGroup, module="dapplewick.cli.partitions")
def shares() -> None:
    """Machines of a zone that are kept for some teams: show, plan, move, cancel."""


@main.command()
@user_option
@click.argument("file", type=click.File("rb"))
def submit(at: str, file: Any) -> None:
    """Submit a job: FILE holds its JSON, - is standard input."""
    data = file.read()
    _json(_await(lambda: client.submit(at, data)))


@main.command()
@user_option
@click.argument("job")
def poll(at: str, job: str) -> None:
    """Ask for a job's state."""
    _json(_await(lambda: client.poll(at, job)))


@main.command()
@user_option
@click.argument("job")
def cancel(at: str, job: str) -> None:
    """Cancel a job."""
    _json(_await(lambda: client.cancel(at, job)))
