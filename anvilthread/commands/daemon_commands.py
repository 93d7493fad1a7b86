"""The commands that run daemons."""

from pathlib import Path
from typing import Annotated, Final, TypeAlias

import typer

from anvilthread.commands import components
from anvilthread.commands.command_failure import require
from anvilthread.settings import (
    read_agent_settings,
    read_balancer_settings,
)

SettingsOption: TypeAlias = Annotated[
    Path,
    typer.Option(
        '--settings',
        metavar='FILE',
        help='TOML settings of this process.',
        show_default=False,
    ),
]
CheckOption: TypeAlias = Annotated[
    bool, typer.Option('--check', help='Check the settings and exit.')
]

BALANCER_HELP: Final = """Run a balancer.

It forwards packets between clients and agents until SIGTERM, and reads the
key file again on SIGHUP.

\b
Examples:
  anvilthread balancer --settings /run/anvilthread/balancer.toml
  anvilthread balancer --settings balancer.toml --check
"""
AGENT_HELP: Final = """Run an agent beside its target.

It terminates the connections of its services until SIGTERM, and reads the
key file again on SIGHUP.

\b
Examples:
  anvilthread agent --settings /run/anvilthread/agent.toml
  anvilthread agent --settings agent.toml --check
"""


def balancer(settings: SettingsOption, *, check: CheckOption = False) -> None:
    """Runs a balancer, or only checks its settings."""
    balancer_settings = require(read_balancer_settings(settings))
    if check:
        typer.echo(f'{settings}: the settings are valid')
        return
    components.run_balancer(balancer_settings)


def agent(settings: SettingsOption, *, check: CheckOption = False) -> None:
    """Runs an agent, or only checks its settings."""
    agent_settings = require(read_agent_settings(settings))
    if check:
        typer.echo(f'{settings}: the settings are valid')
        return
    components.run_agent(agent_settings)
