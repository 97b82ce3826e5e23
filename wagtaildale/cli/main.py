"""``wagtaildale``: the command line for operators."""

from __future__ import annotations

import click

from wagtaildale.cli.errors import show_errors
from wagtaildale.cli.explain import explain
from wagtaildale.cli.files import check, compile_file, diff
from wagtaildale.cli.keys import keys
from wagtaildale.cli.nodes import drain
from wagtaildale.cli.status import status
from wagtaildale.cli.suspects import suspects
from wagtaildale.cli.timeline import timeline


@click.group(context_settings={'max_content_width': 100})
@click.version_option(package_name='wagtaildale', prog_name='wagtaildale')
def main() -> None:
    """Check and compile operators' files, and monitor the fleet.

    \b
    Examples:
      wagtaildale check examples/hailmark.toml
      wagtaildale compile examples/hailmark.toml --version 7 --out out/
      wagtaildale status --node 127.0.1.1:8083

    Exit codes: 0 done, 1 faults found, 2 wrong usage, 3 node unreachable.
    """


main.add_command(check)
main.add_command(compile_file)
main.add_command(diff)
main.add_command(status)
main.add_command(explain)
main.add_command(drain)
main.add_command(suspects)
main.add_command(timeline)
main.add_command(show_errors)
main.add_command(keys)


if __name__ == '__main__':
    main()
