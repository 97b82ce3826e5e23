"""Identifiers and states that all packages share.

Identifiers are ``NewType`` over plain values: a type checker then rejects,
for example, an instance id in place of a service name, without a cost at run
time.
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
# Identifies a call on one connection between two nodes.
CallNumber = NewType('CallNumber', int)

NO_VERSION = Version(0)
# Incarnation of a process that is not known.
UNKNOWN_INCARNATION = Incarnation(0)


class DocumentKind(Enum):
    """The replicated documents."""

    configuration = 'c'
    instances = 'i'


class NodeState(Enum):
    """Stage in the life of a node."""

    joining = 'joining'
    ready = 'ready'
    leaving = 'leaving'
    suspect = 'suspect'
    dead = 'dead'


class ListedState(Enum):
    """State of an instance in the platform's instance list."""

    live = 'live'
    leaving = 'leaving'


class Outcome(Enum):
    """What a caller may conclude about its request."""

    answered = 'answered'
    not_run = 'not-run'
    unknown = 'unknown'
