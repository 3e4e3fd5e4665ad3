"""Entry point and top-level commands of the command line."""

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
    """An error shown as one line on standard error; ends the command with exit code 1."""

    def __init__(self, message: str) -> None:
        super().__init__(" ".join(message.split()))

    def show(self, file: Any = None) -> None:  # noqa: ARG002 - signature set by click
        """Print the message to standard error."""
        click.echo(f"dapplewick: {self.message}", err=True)


class InvalidInputError(CommandError):
    """An argument or an input file is invalid; ends the command with exit code 2."""

    exit_code = 2


class LazyGroup(click.Group):
    """A command group whose module is imported only when the group is used."""

    def __init__(self, *args: Any, module: str, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self._module = module

    def _load(self) -> None:
        if not self.commands:
            for command in importlib.import_module(self._module).COMMANDS:
                self.add_command(command)

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names of the commands in the group."""
        self._load()
        return super().list_commands(ctx)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Return a command of the group by name."""
        self._load()
        return super().get_command(ctx, cmd_name)


def _run(call: Callable[[], Coroutine[Any, Any, dict[str, Any]]]) -> dict[str, Any]:
    try:
        return anyio.run(call)
    except client.ClientError as err:
        raise CommandError(str(err)) from None


def _print_json(value: Any) -> None:
    click.echo(msgspec.json.format(msgspec.json.encode(value)).decode())


@click.group()
@click.version_option(__version__, prog_name="dapplewick")
def main() -> None:
    """A cluster scheduler for gangs and array jobs on rented machines."""


config_option = click.option("--config", required=True, help="Path of the settings file.")
script_option = click.option(
    "--script",
    envvar=SCRIPT_VARIABLE,
    help=f"Starlark script with settings ({SCRIPT_VARIABLE}).",
)
user_option = click.option("--at", required=True, help="host:port of a controller's user API.")


@main.command()
@config_option
@script_option
@click.option("--shares", help="Starlark script with the plan of shares; without it, no shares.")
def run(config: str, script: str | None, shares: str | None) -> None:
    """Run one controller until it is killed."""
    sys.exit(run_controller(config, script, shares))


@main.command()
@config_option
@script_option
def check(config: str, script: str | None) -> None:
    """Validate a settings file and a script without starting a controller."""
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
        _print_json(msgspec.to_builtins(tuning))


@main.command()
@click.option("--at", required=True, help="host:port of a controller's peer address.")
@click.option("--json", "as_json", is_flag=True, help="Print JSON instead of text.")
def status(at: str, as_json: bool) -> None:
    """Show the status of a running controller."""
    answer = _run(lambda: client.status(at))
    if as_json:
        _print_json(answer)
    else:
        for line in status_lines(answer):
            click.echo(line)


@main.group(cls=LazyGroup, module="dapplewick.cli.partitions")
def shares() -> None:
    """Manage shares: machines of a zone reserved for some teams."""


@main.command()
@user_option
@click.argument("file", type=click.File("rb"))
def submit(at: str, file: Any) -> None:
    """Submit the job that FILE describes in JSON; - reads standard input."""
    data = file.read()
    _print_json(_run(lambda: client.submit(at, data)))


@main.command()
@user_option
@click.argument("job")
def poll(at: str, job: str) -> None:
    """Show the state of a job."""
    _print_json(_run(lambda: client.poll(at, job)))


@main.command()
@user_option
@click.argument("job")
def cancel(at: str, job: str) -> None:
    """Cancel a job."""
    _print_json(_run(lambda: client.cancel(at, job)))
