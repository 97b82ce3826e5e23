"""Load simulation of placement, retries and admission on a virtual clock.

Entries and owners run the production code that places, retries and hedges
requests and admits, queues and refuses them. Backend servers and callers are
models. There are no sockets and no control plane: the test sets the list of
upstreams.
"""

from wagtaildale.testing.replay.callers import Caller
from wagtaildale.testing.replay.clock import VirtualClock
from wagtaildale.testing.replay.load import LoadClass, Outcomes
from wagtaildale.testing.replay.mesh import ReplayMesh
from wagtaildale.testing.replay.servers import ReplayServer
from wagtaildale.testing.replay.slow_periods import SlowPeriods

__all__ = (
    'Caller',
    'LoadClass',
    'Outcomes',
    'ReplayMesh',
    'ReplayServer',
    'SlowPeriods',
    'VirtualClock',
)
