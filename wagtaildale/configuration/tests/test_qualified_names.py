"""Tests of names of service and class."""

from __future__ import annotations

import pytest

from wagtaildale.configuration.qualified_names import (
    find_service,
    qualify_class,
)
from wagtaildale.types import ClassName, ServiceName


@pytest.mark.parametrize('name', ['intake', 'desk/intake', '/'])
def test_service_is_found_again(name: str) -> None:
    """Owners took calls of a service with a slash for those of another."""
    service = ServiceName(name)
    qualified_name = qualify_class(service, ClassName('lookup'))
    assert find_service(qualified_name) == service
