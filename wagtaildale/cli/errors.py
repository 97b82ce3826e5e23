"""``wagtaildale errors``: prints the meaning of the result codes."""

from __future__ import annotations

from typing import Final

import click

from wagtaildale.cli.options import output_option
from wagtaildale.cli.output import OutputFormat, print_json, print_table
from wagtaildale.errors.codes import MEANINGS, Code

MARKDOWN_HEADER: Final = """# Result codes

The thousands name the duty that reports a code: 1 settings, 2 operators'
files, 3 distribution, 4 calls, 5 lifecycle, 6 administration. This page is
printed by `wagtaildale errors --markdown`; a test keeps the two in step.

| code | name | meaning |
|---|---|---|
"""


@click.command('errors')
@click.argument('number', type=int, required=False)
@click.option('--markdown', is_flag=True, help='Print docs/errors.md.')
@output_option
def show_errors(
    number: int | None, *, markdown: bool, form: OutputFormat
) -> None:
    """Explain all result codes, or the one with NUMBER.

    \b
    Example:
      wagtaildale errors 4012
    \f

    Args:
        number: code to explain; all codes if it is missing.
        markdown: whether to print the page of the documentation.
        form: output format.
    """
    known = [code for code in Code if number in {None, code.value}]
    if not known:
        raise click.BadParameter(f'got {number}, expected a result code')
    if markdown:
        click.echo(write_markdown(), nl=False)
    elif form is OutputFormat.json:
        print_json([_describe(code) for code in known])
    else:
        print_table(('code', 'name', 'meaning'), rows=map(_describe, known))


def write_markdown() -> str:
    """Write the page ``docs/errors.md``.

    Returns:
        Text of the page.
    """
    rows = ''.join(
        '| {0} | {1} | {2} |\n'.format(*_describe(code)) for code in Code
    )
    return MARKDOWN_HEADER + rows


def _describe(code: Code) -> tuple[str, str, str]:
    return str(code.value), code.name, MEANINGS[code]
