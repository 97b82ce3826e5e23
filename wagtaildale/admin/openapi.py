"""Generates the OpenAPI description from the table of endpoints."""

from __future__ import annotations

from typing import Any, Final

from msgspec import json

from wagtaildale.admin.endpoints import ENDPOINTS, Endpoint

VERSION: Final = '3.1.0'
REFERENCE: Final = '#/components/schemas/{name}'

Description = dict[str, Any]


def describe_api() -> Description:
    """Describe the whole API.

    Returns:
        OpenAPI document.
    """
    document_types = [endpoint.document_type for endpoint in ENDPOINTS]
    schemas, components = json.schema_components(
        document_types,
        ref_template=REFERENCE,
    )
    paths = {
        endpoint.path: {
            endpoint.method.lower(): _describe_endpoint(endpoint, schema)
        }
        for endpoint, schema in zip(ENDPOINTS, schemas, strict=True)
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
    """Write the description in the form of ``docs/openapi.json``.

    Returns:
        Indented JSON with sorted keys.
    """
    return json.format(json.encode(describe_api(), order='sorted')) + b'\n'


def _describe_endpoint(endpoint: Endpoint, schema: Description) -> Description:
    return {
        'summary': endpoint.summary,
        'parameters': [
            {'name': name, 'in': 'query', 'schema': {'type': 'string'}}
            for name in endpoint.query
        ],
        'responses': {
            '200': {
                'description': endpoint.summary,
                'content': {'application/json': {'schema': schema}},
            },
        },
    }
