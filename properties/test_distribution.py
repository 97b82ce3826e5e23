"""State machine: three to six nodes' decisions through one fake network."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from wagtaildale.configuration.whole import check_parts
from wagtaildale.distribution.messages import Leave
from wagtaildale.document.eras import Era, find_revision, make_version
from wagtaildale.document.model import make_document
from wagtaildale.suspects.snapshots import NOTHING_KNOWN
from wagtaildale.suspects.fingerprints import Fingerprint
from wagtaildale.suspects.messages import EndsNoted, RequestAnswered
from wagtaildale.suspects.records import Suspicion
from wagtaildale.testing.builders import (
    build_configuration,
    build_instances,
    build_part,
)
from wagtaildale.testing.network import FakeNetwork
from wagtaildale.types import Kind, NodeState, Version

if TYPE_CHECKING:
    from wagtaildale.suspects.table import SuspectTable
    from wagtaildale.types import InstanceId

NAMES = ('a', 'b', 'c', 'd', 'e', 'f')
SERVICES = ('casefiles', 'intake', 'reports')
PAUSE_SECONDS = 30.0
FIRST = Version(1)
DEADLY = Fingerprint(b'deadly query')
# Digests go from node to node once a second.
ROUNDS_TO_AGREE = 10


class DistributionMachine(RuleBasedStateMachine):
    """Loses, doubles, reorders, cuts, pauses, kills, lies."""

    def __init__(self) -> None:
        super().__init__()
        self.network = FakeNetwork(NAMES[:3], data_centres=('derby',))
        self.version = 0
        self.era = 0
        self.good = set[int]()

    def has_staying(self, *, but: int) -> bool:
        """Tell whether more nodes than some stay."""
        states = (
            node.state.members.state for node in self.network.nodes.values()
        )
        return sum(state is not NodeState.leaving for state in states) > but

    @initialize(
        count=st.integers(3, len(NAMES)),
        centres=st.integers(1, 2),
    )
    def start(self, count: int, centres: int) -> None:
        self.network = FakeNetwork(
            NAMES[:count],
            data_centres=('derby', 'coventry')[:centres],
        )
        self.publish(services=1, within_ms=150)
        self.network.settle()

    @rule(services=st.integers(1, 3), within_ms=st.integers(100, 103))
    def publish(self, services: int, within_ms: int) -> None:
        self.version += 1
        self.good.add(self.version)
        self.network.source.show(
            build_configuration(
                self.version,
                services=SERVICES[:services],
                within_ms=within_ms,
            ),
        )

    @rule()
    def publish_dangling(self) -> None:
        self.version += 1
        part = build_part('casefiles', routed_to='gone')
        self._show(self.version, part)

    @rule()
    def publish_again_under_same_number(self) -> None:
        # Nodes may take either content; none may move between the two.
        part = build_part('casefiles', within_ms=999)
        self._show(self.version, part)

    @rule()
    def show_older(self) -> None:
        older = max(FIRST, self.version - 1)
        self._show(older, build_part('casefiles', within_ms=100 + older))

    @rule(revision=st.integers(1, 9), listed=st.integers(1, len(NAMES)))
    def come_back(self, revision: int, listed: int) -> None:
        """Let the platform come back from an older copy."""
        self.era += 1
        self._list(revision, listed)

    @rule(listed=st.integers(1, len(NAMES)))
    def change_list(self, listed: int) -> None:
        self._list(find_revision(self._find_listed()) + 1, listed)

    @rule(choice=st.integers(0, 5))
    def end_server(self, choice: int) -> None:
        """Let a server end under the one request that does that."""
        name = self._pick(choice)
        known = self._find_suspects(name).records.get(DEADLY, NOTHING_KNOWN)
        suspicion = Suspicion(DEADLY, known.clearings, known.ends + 1)
        self.network.tell(name, EndsNoted((suspicion,)))

    @rule(choice=st.integers(0, 5))
    def answer(self, choice: int) -> None:
        """Let a server answer the request after all."""
        name = self._pick(choice)
        if self._find_suspects(name).get_snapshot().find(DEADLY).ends:
            self.network.tell(name, RequestAnswered(DEADLY))

    @rule(down=st.booleans())
    def toggle_source(self, down: bool) -> None:
        self.network.source.down = down

    @rule(choice=st.integers(0, 5))
    def tick(self, choice: int) -> None:
        self.network.now += 0.5
        self.network.tick(self._pick(choice))

    @rule(choice=st.integers(0, 5))
    def read_source(self, choice: int) -> None:
        self.network.read_source(self._pick(choice))

    @precondition(lambda self: self.network.flying)
    @rule(choice=st.integers(0, 1000), keep=st.booleans())
    def deliver(self, choice: int, keep: bool) -> None:
        index = choice % len(self.network.flying)
        self.network.deliver(index, keep=keep)

    @precondition(lambda self: self.network.flying)
    @rule(choice=st.integers(0, 1000))
    def lose(self, choice: int) -> None:
        self.network.flying.pop(choice % len(self.network.flying))

    @rule(one=st.integers(0, 5), other=st.integers(0, 5))
    def cut(self, one: int, other: int) -> None:
        self.network.cut(self._pick(one), self._pick(other))

    @rule()
    def heal(self) -> None:
        self.network.heal()

    @rule(choice=st.integers(0, 5))
    def restart(self, choice: int) -> None:
        self.network.restart(self._pick(choice))

    @rule(choice=st.integers(0, 5))
    def pause(self, choice: int) -> None:
        self.network.nodes[self._pick(choice)].paused = True

    @rule(choice=st.integers(0, 5))
    def wake(self, choice: int) -> None:
        self.network.now += PAUSE_SECONDS
        self.network.wake(self._pick(choice), late_by=PAUSE_SECONDS)

    @precondition(lambda self: self.has_staying(but=1))
    @rule(choice=st.integers(0, 5))
    def leave(self, choice: int) -> None:
        """Let a node leave; where none stays nobody reads the platform."""
        self.network.tell(self._pick(choice), Leave())

    @rule()
    def pass_round(self) -> None:
        self.network.pass_round()

    @invariant()
    def versions_never_go_back(self) -> None:
        for node in self.network.nodes.values():
            for seen in node.seen.values():
                assert seen == sorted(set(seen))

    @invariant()
    def every_version_in_force_is_whole(self) -> None:
        for node in self.network.nodes.values():
            held = node.state.stores[Kind.configuration].held
            assert check_parts(held.blobs).is_ok()

    def teardown(self) -> None:
        """With the faults over, a new version reaches every node."""
        self.network.heal()
        self.network.source.down = False
        for instance in self.network.nodes:
            self.network.wake(instance, late_by=PAUSE_SECONDS)
        self._list(find_revision(self._find_listed()) + 1, len(NAMES))
        self.publish(services=2, within_ms=150)
        self.network.settle(rounds=90)
        assert self.network.is_converged()
        rounds_left = ROUNDS_TO_AGREE
        while rounds_left:
            self.network.pass_round()
            rounds_left -= 1
        # What is held against the request, where it is grave.
        sums = {
            self._find_suspects(name).compute_checksum()
            for name in self.network.nodes
        }
        assert len(sums) == 1

    def _find_suspects(self, name: InstanceId) -> SuspectTable:
        state = self.network.nodes[name].state
        return state.suspects

    def _find_listed(self) -> Version:
        source = self.network.source
        return source.shown[Kind.instances].version

    def _list(self, revision: int, listed: int) -> None:
        version = make_version(Era(self.era), revision=revision)
        records = self.network.records[:listed]
        self.network.source.show(build_instances(*records, version=version))

    def _show(self, version: int, part: bytes) -> None:
        document = make_document(
            Kind.configuration,
            version=Version(version),
            blobs={'casefiles': part},
        )
        self.network.source.show(document)

    def _pick(self, choice: int) -> InstanceId:
        names = tuple(self.network.nodes)
        return names[choice % len(names)]


TestDistribution = DistributionMachine.TestCase
TestDistribution.settings = settings(
    derandomize=True,
    deadline=None,
    max_examples=60,
    stateful_step_count=40,
)
