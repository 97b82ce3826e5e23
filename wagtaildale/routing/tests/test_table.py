"""Tests of the routing table."""

from __future__ import annotations

import pytest
from msgspec import json, structs

from wagtaildale.configuration.compiled import decode_part
from wagtaildale.configuration.validation import check_parts
from wagtaildale.errors.codes import Code
from wagtaildale.routing.table import RoutingTable
from wagtaildale.testing.builders import MESH_TEXT, build_compiled, build_part

ROUTES = f"""{MESH_TEXT}
[[services.routes]]
methods = ["GET"]
path = "/files/new"
work_class = "booking"

[[services.routes]]
methods = ["GET", "PUT"]
path = "/files/{{rest*}}"
work_class = "booking"
"""


def build_table() -> RoutingTable:
    parts = build_compiled(text=ROUTES).parts
    blobs = {str(name): blob for name, blob in parts.items()}
    return RoutingTable(check_parts(blobs).unwrap())


@pytest.mark.parametrize(
    ('method', 'path', 'template'),
    [
        ('GET', '/files/7', '/files/{claim}'),
        ('GET', '/files/new', '/files/new'),
        ('GET', '/files/a%2Fb', '/files/{claim}'),
        ('GET', '/files/%6eew', '/files/new'),
        ('GET', '/files/7/photos', '/files/{rest*}'),
        ('PUT', '/files/7', '/files/{rest*}'),
        ('HEAD', '/files/7', '/files/{claim}'),
        ('POST', '/bookings', '/bookings'),
        ('POST', '/files/7', None),
        ('GET', '/bookings', None),
        ('GET', '/files/..', None),
        ('GET', '/files/%2e%2e', None),
        ('GET', '/files/%ff', None),
        ('GET', 'files/7', None),
        ('GET', '/', None),
    ],
)
def test_request_matches_the_most_specific_route(
    method: str, path: str, template: str | None
) -> None:
    match = build_table().find(method, path)
    found = match.template if match else None
    assert found == template


def test_version_with_two_classes_of_one_name_is_rejected() -> None:
    """The kind of one of them was that of both, so that bookings repeated."""
    part = decode_part(build_part()).unwrap()
    repeated = structs.replace(part, classes=(*part.classes, *part.classes))
    fault = check_parts({'casefiles': json.encode(repeated)}).unwrap_err()
    assert fault.code is Code.name_twice
