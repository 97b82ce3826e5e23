"""Messages about suspected requests, from calls to the distribution task."""

from __future__ import annotations

from msgspec import Struct

from wagtaildale.suspects.fingerprints import Fingerprint
from wagtaildale.suspects.records import Suspicion


class EndsNoted(Struct, frozen=True):
    """The backend server beside this node ended while it ran requests.

    Attributes:
        suspicions: suspicion for each of the requests.
    """

    suspicions: tuple[Suspicion, ...]


class RequestAnswered(Struct, frozen=True):
    """A suspected request was answered."""

    fingerprint: Fingerprint


class RequestRefused(Struct, frozen=True):
    """A harmful request was received again and was not run."""

    fingerprint: Fingerprint


SuspectMessage = EndsNoted | RequestAnswered | RequestRefused
