"""Commands for operators' files: check, compile and diff."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING, Any

import click
from result import Err

from wagtaildale.cli.options import output_option
from wagtaildale.cli.output import OutputFormat, fail, print_json, print_table
from wagtaildale.configuration.comparison import compare_parts
from wagtaildale.configuration.compiled import (
    Compiled,
    compile_mesh,
    decode_parts,
    write_compiled,
)
from wagtaildale.configuration.files import read_mesh

if TYPE_CHECKING:
    from result import Result

    from wagtaildale.configuration.model import MeshEntry
    from wagtaildale.errors.faults import Faults


@click.command()
@click.argument('mesh_file', metavar='FILE', type=click.Path())
@click.option('--against', type=click.Path(), help='Show what would change.')
@output_option
def check(mesh_file: str, against: str | None, form: OutputFormat) -> None:
    """Check an operators' FILE and list all its faults.

    \b
    Examples:
      wagtaildale check mesh.toml
      wagtaildale check mesh.toml --against in-force.toml
    \f

    Args:
        mesh_file: path of the file.
        against: path of the file in force, to print the changes to it.
        form: output format.
    """
    mesh = _unwrap(read_mesh(mesh_file), form)
    if against is not None:
        old = _unwrap(read_mesh(against), form)
        _print_changes(old, mesh, form)
        return
    classes = sum(len(service.classes) for service in mesh.services)
    if form is OutputFormat.json:
        print_json({'faults': [], 'name': mesh.name, 'classes': classes})
        return
    click.echo(
        f'{mesh_file}: good; {len(mesh.services)} services, {classes} classes',
    )


@click.command('compile')
@click.argument('mesh_file', metavar='FILE', type=click.Path())
@click.option('--version', type=int, required=True, help='Rises each time.')
@click.option(
    '--out',
    type=click.Path(file_okay=False, path_type=Path),
    required=True,
    help='Folder for manifest and parts.',
)
@output_option
def compile_file(
    mesh_file: str, version: int, out: Path, form: OutputFormat
) -> None:
    """Compile an operators' FILE to the manifest and parts to publish.

    Publish every file of OUT/parts first and OUT/manifest.json last.

    \b
    Example:
      wagtaildale compile mesh.toml --version 7 --out out/
    \f

    Args:
        mesh_file: path of the file.
        version: version of the manifest.
        out: folder for the manifest and the parts.
        form: output format.
    """
    mesh = _unwrap(read_mesh(mesh_file), form)
    compiled = _unwrap(compile_mesh(mesh, version=version), form)
    write_compiled(compiled, folder=out)
    _print_compiled(compiled, out, form)


@click.command()
@click.argument('old', type=click.Path())
@click.argument('new', type=click.Path())
@output_option
def diff(old: str, new: str, form: OutputFormat) -> None:
    """Show the changes from the file OLD to the file NEW.

    \b
    Example:
      wagtaildale diff in-force.toml proposed.toml
    \f

    Args:
        old: path of the file in force.
        new: path of the proposed file.
        form: output format.
    """
    before = _unwrap(read_mesh(old), form)
    after = _unwrap(read_mesh(new), form)
    _print_changes(before, after, form)


def _unwrap(outcome: Result[Any, Faults], form: OutputFormat) -> Any:
    if isinstance(outcome, Err):
        fail(outcome.err_value, form=form)
    return outcome.ok_value


def _print_changes(old: MeshEntry, new: MeshEntry, form: OutputFormat) -> None:
    before = decode_parts(_unwrap(compile_mesh(old, version=1), form))
    after = decode_parts(_unwrap(compile_mesh(new, version=1), form))
    changes = compare_parts(before, new=after)
    if form is OutputFormat.json:
        print_json({'changes': changes})
    elif changes:
        rows = [
            (change.kind.value, change.subject, change.old, change.new)
            for change in changes
        ]
        print_table(('change', 'of', 'from', 'to'), rows=rows)
    else:
        click.echo('nothing changes')


def _print_compiled(compiled: Compiled, out: Path, form: OutputFormat) -> None:
    manifest = compiled.manifest
    if form is OutputFormat.json:
        print_json(manifest)
        return
    size = sum(map(len, compiled.parts.values()))
    click.echo(
        f'version {manifest.version}: {len(manifest.parts)} parts, '
        f'{size} bytes, in {out}',
    )
