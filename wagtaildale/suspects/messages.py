"""What calls tell of requests under which servers end."""

from __future__ import annotations

from msgspec import Struct

from wagtaildale.suspects.fingerprints import Fingerprint
from wagtaildale.suspects.records import Suspicion


class EndsNoted(Struct, frozen=True):
    """The backend server beside this node ended while it ran requests.

    Attributes:
        suspicions: one for each request.
    """

    suspicions: tuple[Suspicion, ...]


class RequestAnswered(Struct, frozen=True):
    """A suspected request was run to its end."""

    fingerprint: Fingerprint


class RequestRefused(Struct, frozen=True):
    """A harmful request came again and was not run."""

    fingerprint: Fingerprint


SuspectMessage = EndsNoted | RequestAnswered | RequestRefused
