"""Names of classes that are unique within the mesh: ``service/class``."""

from __future__ import annotations

from typing import Final

from wagtaildale.types import ClassName, ServiceName

# Names of classes do not contain it; names of a platform's services may.
SEPARATOR: Final = '/'


def qualify_class(service: ServiceName, work_class: ClassName) -> str:
    """Name a class together with its service.

    Args:
        service: service that is called.
        work_class: name of the class.

    Returns:
        The qualified name, for example ``intake/lookup``.
    """
    return f'{service}{SEPARATOR}{work_class}'


def find_service(qualified_name: str) -> ServiceName:
    """Find the service of a qualified class name.

    Args:
        qualified_name: names of service and class.

    Returns:
        Name of the service.
    """
    return ServiceName(qualified_name.rpartition(SEPARATOR)[0])
