"""Who may see what: the operators everything, a team its own services."""

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
    """What a token opens.

    Attributes:
        team: whose services; nothing for those of all.
    """

    team: TeamName | None = None

    @property
    def is_unrestricted(self) -> bool:
        """Whether it opens everything."""
        return self.team is None

    def covers(self, service: str, *, view: FleetView) -> bool:
        """Tell whether it opens a service.

        Args:
            service: its name.
            view: says which team owns it.

        Returns:
            Whether the service may be seen.
        """
        if self.team is None:
            return True
        service_part = view.parts.get(ServiceName(service))
        return service_part is not None and service_part.team == self.team


UNRESTRICTED: Final = Scope()


class TokenAuthenticator:
    """Finds the scope of a request's token."""

    def __init__(self, scopes: dict[str, Scope]) -> None:
        """Take the tokens.

        Args:
            scopes: by token; none if the API is open.
        """
        self._scopes = scopes

    def find_scope(self, authorization: str) -> Scope | None:
        """Find what a request may see.

        Args:
            authorization: its header, empty if there is none.

        Returns:
            The scope, or nothing if the token is missing or wrong.
        """
        if not self._scopes:
            return UNRESTRICTED
        found = None
        # Every token is compared, so that time says nothing of which is
        # nearly right.
        for token, scope in self._scopes.items():
            if hmac.compare_digest(authorization, BEARER + token):
                found = scope
        return found


def make_authenticator(
    settings: AdminSettings,
) -> Result[TokenAuthenticator, Fault]:
    """Read every token of the settings.

    Args:
        settings: where the tokens are found.

    Returns:
        The doorkeeper, or the first fault.
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
