"""Identifiers and states that every slice shares.

Identifiers are ``NewType`` over plain values, so that a type checker keeps
an instance id from standing where a service name is due, at no cost while
running.
"""

from __future__ import annotations

from enum import Enum
from typing import NewType

InstanceId = NewType('InstanceId', str)
Incarnation = NewType('Incarnation', int)
DataCentre = NewType('DataCentre', str)
Region = NewType('Region', str)
ServiceName = NewType('ServiceName', str)
ClassName = NewType('ClassName', str)
TeamName = NewType('TeamName', str)
RequestId = NewType('RequestId', str)
Version = NewType('Version', int)
Digest = NewType('Digest', bytes)
Seconds = NewType('Seconds', float)
# Names a call on the connection between two nodes.
CallNumber = NewType('CallNumber', int)

NO_VERSION = Version(0)
# Of a process that is not known.
UNKNOWN_INCARNATION = Incarnation(0)


class DocumentKind(Enum):
    """Which replicated document a message speaks of."""

    configuration = 'c'
    instances = 'i'


class NodeState(Enum):
    """Where a node stands between its start and its end."""

    joining = 'joining'
    ready = 'ready'
    leaving = 'leaving'
    suspect = 'suspect'
    dead = 'dead'


class ListedState(Enum):
    """What the platform's instance list says of an instance."""

    live = 'live'
    leaving = 'leaving'


class Outcome(Enum):
    """What a caller may conclude about its request."""

    answered = 'answered'
    not_run = 'not-run'
    unknown = 'unknown'
