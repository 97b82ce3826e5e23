"""The OpenAPI description, made from the table of pages."""

from __future__ import annotations

from typing import Any, Final

from msgspec import json

from wagtaildale.admin.pages import PAGES, Page

VERSION: Final = '3.1.0'
REFERENCE: Final = '#/components/schemas/{name}'

Description = dict[str, Any]


def describe_api() -> Description:
    """Describe the whole API.

    Returns:
        An OpenAPI document.
    """
    shapes = [page.shape for page in PAGES]
    schemas, components = json.schema_components(
        shapes,
        ref_template=REFERENCE,
    )
    paths = {
        page.path: {page.method.lower(): _describe_page(page, schema)}
        for page, schema in zip(PAGES, schemas, strict=True)
    }
    return {
        'openapi': VERSION,
        'info': {'title': 'wagtaildale administration API', 'version': '1'},
        'paths': paths,
        'components': {
            'schemas': components,
            'securitySchemes': {'token': {'type': 'http', 'scheme': 'bearer'}},
        },
        'security': [{'token': []}],
    }


def write_api() -> bytes:
    """Write the description as ``docs/openapi.json`` holds it.

    Returns:
        Indented JSON.
    """
    return json.format(json.encode(describe_api(), order='sorted')) + b'\n'


def _describe_page(page: Page, schema: Description) -> Description:
    return {
        'summary': page.summary,
        'parameters': [
            {'name': name, 'in': 'query', 'schema': {'type': 'string'}}
            for name in page.query
        ],
        'responses': {
            '200': {
                'description': page.summary,
                'content': {'application/json': {'schema': schema}},
            },
        },
    }
