"""Options that several commands share."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING, Any, Final

import click
from result import Err

from wagtaildale.admin.client import AdminClient
from wagtaildale.cli.output import OutputFormat, fail
from wagtaildale.settings.load import read_token
from wagtaildale.settings.model import AdminSettings

if TYPE_CHECKING:
    from collections.abc import Callable

TOKEN_VARIABLE: Final = 'WAGTAILDALE_TOKEN'

output_option: Final = click.option(
    '--output',
    'form',
    type=click.Choice(OutputFormat),
    default=OutputFormat.text,
    help='Output format.',
)


def node_options(command: Callable[..., Any]) -> Callable[..., Any]:
    """Add the options for the address and the token of a node.

    Args:
        command: function of a click command.

    Returns:
        Function with the options.
    """
    return _add_node(command, required=True)


def optional_node_options(command: Callable[..., Any]) -> Callable[..., Any]:
    """Add the same options to a command that does not always need a node.

    Args:
        command: function of a click command.

    Returns:
        Function with the options.
    """
    return _add_node(command, required=False)


def make_client(
    node: str, token_file: Path | None, form: OutputFormat
) -> AdminClient:
    """Create a client from the options.

    Args:
        node: host and port of the node's administration API.
        token_file: file with the token; if None, the token comes from the
            environment variable.
        form: output format of a fault.

    Returns:
        Client of the node.
    """
    if token_file is None:
        return AdminClient(address=node, token=_read_variable())
    found = read_token(AdminSettings(token_file=str(token_file)))
    if isinstance(found, Err):
        fail((found.err_value,), form=form)
    return AdminClient(address=node, token=found.ok_value)


def _read_variable() -> str | None:
    found = read_token(AdminSettings(token_variable=TOKEN_VARIABLE))
    return None if isinstance(found, Err) else found.ok_value


def _add_node(
    command: Callable[..., Any],
    *,
    required: bool,
) -> Callable[..., Any]:
    node = click.option(
        '--node',
        envvar='WAGTAILDALE_NODE',
        required=required,
        metavar='HOST:PORT',
        help="A node's admin address; else $WAGTAILDALE_NODE.",
    )
    token = click.option(
        '--token-file',
        type=click.Path(exists=True, dir_okay=False, path_type=Path),
        help=f'File with the admin token; else ${TOKEN_VARIABLE}.',
    )
    return node(token(command))
