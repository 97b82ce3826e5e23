"""What happens in a run of a deployment beside servers that leave."""

from __future__ import annotations

from types import MappingProxyType
from typing import Final

from msgspec import Struct

from standins.deployment.store import USUAL_DELAY_SECONDS


class Scenario(Struct, frozen=True, kw_only=True):
    """Load and disturbances; gaps are mean seconds, 0 for never.

    Attributes:
        load: factor of the deployment's usual rate.
        burst: factor of the rate in every second burst period.
        patience: factor of all targets and time limits.
        slots: requests that a server runs at once; 0 for the deployment's
            figure.
        removed_share: share of the leaving servers whose entry is only
            removed.
        leave_gap: between two servers that leave.
        stop_gap: between two planned stops of nodes.
        kill_gap: between two kills of nodes.
        pause_gap: between two pauses of nodes.
        pause_seconds: longest pause.
        store_delay: time that the store takes for an answer, seconds.
        outage_gap: between two outages of the store.
        outage_seconds: longest outage.
        refuse_gap: between two nodes that the store turns away.
        storm_gap: between two series of configurations.
        drop_gap: between two times at which the store drops its history.
        silence_gap: between two times in which no watch is answered.
        hidden_share: share of the leaving servers whose change watches leave
            out.
        word_share: share of the leaving servers that say so in their answers
            only.
        names_limits: whether servers name rate limits, some of which can't be
            read.
        replaces: whether a server that leaves is replaced by another; the new
            node's first read tells all others of what has changed.
    """

    load: float = 1
    burst: float = 1
    patience: float = 1
    slots: int = 0
    removed_share: float = 0.3
    leave_gap: float = 1
    stop_gap: float = 0
    kill_gap: float = 0
    pause_gap: float = 0
    pause_seconds: float = 2
    store_delay: float = USUAL_DELAY_SECONDS
    outage_gap: float = 0
    outage_seconds: float = 4
    refuse_gap: float = 0
    storm_gap: float = 0
    drop_gap: float = 0
    silence_gap: float = 0
    hidden_share: float = 0
    word_share: float = 0
    names_limits: bool = False
    replaces: bool = True


SCENARIOS: Final = MappingProxyType(
    {
        'calm': Scenario(),
        'waits': Scenario(removed_share=1, patience=8, slots=2),
        'stops': Scenario(stop_gap=1.5, kill_gap=4),
        'pauses': Scenario(pause_gap=1, stop_gap=3),
        'store': Scenario(refuse_gap=1, outage_gap=10, store_delay=0.1),
        'versions': Scenario(storm_gap=8, stop_gap=3),
        'outage': Scenario(outage_gap=60, outage_seconds=30),
        'hidden': Scenario(hidden_share=1),
        'silence': Scenario(silence_gap=40, leave_gap=3, replaces=False),
        'words': Scenario(word_share=1, names_limits=True),
        'incident': Scenario(
            stop_gap=6,
            outage_gap=20,
            drop_gap=5,
            storm_gap=15,
            hidden_share=0.3,
            word_share=0.3,
            names_limits=True,
        ),
    },
)
