"""Wagtaildale: configuration distribution for a service mesh.

The names exported here are for programs that check and compile operators'
files. The daemon is ``wagtaildaled``, the command line ``wagtaildale``.
"""

from wagtaildale.configuration.compiled import (
    Compiled,
    compile_mesh,
    write_compiled,
)
from wagtaildale.configuration.files import parse_mesh, read_mesh
from wagtaildale.configuration.model import MeshEntry
from wagtaildale.errors.codes import MEANINGS, Code
from wagtaildale.errors.faults import Fault
from wagtaildale.types import Outcome

__all__ = (
    'MEANINGS',
    'Code',
    'Compiled',
    'Fault',
    'MeshEntry',
    'Outcome',
    'compile_mesh',
    'parse_mesh',
    'read_mesh',
    'write_compiled',
)
