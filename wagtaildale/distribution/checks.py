"""Checks that validate each kind of document as a whole."""

from __future__ import annotations

from types import MappingProxyType
from typing import TYPE_CHECKING, Final

from result import Err, Ok, Result

from wagtaildale.configuration.validation import check_parts
from wagtaildale.membership.records import check_records
from wagtaildale.types import DocumentKind

if TYPE_CHECKING:
    from wagtaildale.document.model import Document
    from wagtaildale.errors.faults import Fault


def check_configuration(document: Document) -> Result[None, Fault]:
    """Check that every route of a version has its service and class.

    Args:
        document: configuration with all of its parts.

    Returns:
        None, or the fault.
    """
    checked = check_parts(document.blobs)
    return checked if isinstance(checked, Err) else Ok(None)


def check_instances(document: Document) -> Result[None, Fault]:
    """Check that every record of an instance list can be decoded.

    Args:
        document: list with all of its records.

    Returns:
        None, or the fault.
    """
    checked = check_records(document.blobs)
    return checked if isinstance(checked, Err) else Ok(None)


CHECKS: Final = MappingProxyType(
    {
        DocumentKind.configuration: check_configuration,
        DocumentKind.instances: check_instances,
    },
)
