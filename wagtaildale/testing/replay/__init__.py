"""A replay of load for the decisions on calls, on a virtual clock.

Entries place, retry and hedge, owners admit, queue and refuse, by the
product's own decisions; backend servers and callers are modelled. There is
no socket and no control plane: the list of upstreams is what a test makes it.
"""

from wagtaildale.testing.replay.callers import Caller
from wagtaildale.testing.replay.clock import VirtualClock
from wagtaildale.testing.replay.load import LoadClass, Outcomes
from wagtaildale.testing.replay.mesh import ReplayMesh
from wagtaildale.testing.replay.servers import ReplayServer

__all__ = (
    'Caller',
    'LoadClass',
    'Outcomes',
    'ReplayMesh',
    'ReplayServer',
    'VirtualClock',
)
