"""Scopes of tokens: operators see everything, a team its own services."""

from __future__ import annotations

import hmac
from typing import TYPE_CHECKING, Final

from msgspec import Struct
from result import Err, Ok, Result

from wagtaildale.settings.load import read_token
from wagtaildale.types import ServiceName, TeamName

if TYPE_CHECKING:
    from wagtaildale.errors.faults import Fault
    from wagtaildale.routing.view import FleetView
    from wagtaildale.settings.model import AdminSettings, TeamToken

BEARER: Final = 'Bearer '


class Scope(Struct, frozen=True, kw_only=True):
    """Services that a token gives access to.

    Attributes:
        team: team whose services are accessible; None for all services.
    """

    team: TeamName | None = None

    @property
    def is_unrestricted(self) -> bool:
        """Whether the scope covers everything."""
        return self.team is None

    def covers(self, service: str, *, view: FleetView) -> bool:
        """Check whether the scope covers a service.

        Args:
            service: name of the service.
            view: view of the fleet, with the team that owns the service.

        Returns:
            Whether access to the service is allowed.
        """
        if self.team is None:
            return True
        service_part = view.parts.get(ServiceName(service))
        return service_part is not None and service_part.team == self.team


UNRESTRICTED: Final = Scope()


class TokenAuthenticator:
    """Finds the scope of a request by its token."""

    def __init__(self, scopes: dict[str, Scope]) -> None:
        """Create an authenticator.

        Args:
            scopes: scopes by token; empty if the API requires no token.
        """
        self._scopes = scopes

    def find_scope(self, authorization: str) -> Scope | None:
        """Find the scope of a request.

        Args:
            authorization: Authorization header of the request; empty if it
                has none.

        Returns:
            The scope, or None if the token is missing or wrong.
        """
        if not self._scopes:
            return UNRESTRICTED
        found = None
        # Compares every token, so that the response time does not reveal
        # which token is similar to the given one.
        for token, scope in self._scopes.items():
            if hmac.compare_digest(authorization, BEARER + token):
                found = scope
        return found


def make_authenticator(
    settings: AdminSettings,
) -> Result[TokenAuthenticator, Fault]:
    """Read all tokens that the settings name and create an authenticator.

    Args:
        settings: settings that name the sources of the tokens.

    Returns:
        The authenticator, or the fault of the first unreadable token.
    """
    sources: list[tuple[AdminSettings | TeamToken, Scope]] = [
        (settings, UNRESTRICTED),
        *((team, Scope(team=team.team)) for team in settings.teams),
    ]
    scopes: dict[str, Scope] = {}
    for source, scope in sources:
        token = read_token(source)
        if isinstance(token, Err):
            return token
        if token.ok_value is not None:
            scopes[token.ok_value] = scope
    return Ok(TokenAuthenticator(scopes))
