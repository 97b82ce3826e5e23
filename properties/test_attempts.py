"""State machine: the attempts of one call, with failures of any kind."""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from wagtaildale.calls.entry.attempts import Attempts, find_final_code
from wagtaildale.calls.entry.budgets import RetryBudget
from wagtaildale.calls.failures import CallFailed
from wagtaildale.errors.codes import Code
from wagtaildale.routing.table import DEFAULT_RETRIES
from wagtaildale.testing.builders import build_retry_limits
from wagtaildale.types import InstanceId, Outcome

DEADLINE = 10
CALL_CODES = tuple(code for code in Code if 4000 < code < 5000)


class AttemptMachine(RuleBasedStateMachine):
    """Attempts that are rejected, run, cut off or hedged, in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.attempts = self._build(idempotent=False, tokens=0)
        self.now = float(0)
        self.may_have_run = False
        self.sent_attempts = 0
        self.final: Code | None = None

    @initialize(idempotent=st.booleans(), tokens=st.floats(0, 3))
    def start(self, idempotent: bool, tokens: float) -> None:
        self.attempts = self._build(idempotent=idempotent, tokens=tokens)
        self.sent_attempts = 1

    @rule(seconds=st.floats(0, 4))
    def wait(self, seconds: float) -> None:
        self.now += seconds

    @precondition(lambda self: self.final is None)
    @rule(
        code=st.sampled_from(CALL_CODES),
        ran=st.booleans(),
        replayable=st.booleans(),
    )
    def fail(self, code: Code, ran: bool, replayable: bool) -> None:
        outcome = Outcome.unknown if ran else Outcome.not_run
        failure = CallFailed(code, outcome=outcome)
        self.may_have_run = self.may_have_run or ran
        self.attempts.tried.append(InstanceId(str(self.sent_attempts)))
        if self.attempts.try_retry(
            failure,
            now=self.now,
            replayable=replayable,
        ):
            assert self.now < DEADLINE
            assert replayable
            self._send()
        else:
            idempotent = self.attempts.idempotent
            self.final = find_final_code(failure, idempotent=idempotent)

    @precondition(lambda self: self.final is None)
    @rule()
    def hedge(self) -> None:
        if self.attempts.try_hedge(now=self.now):
            assert self.now < DEADLINE
            self._send()

    @invariant()
    def attempts_are_bounded(self) -> None:
        assert self.sent_attempts <= DEFAULT_RETRIES + 1

    @invariant()
    def budget_is_never_overdrawn(self) -> None:
        assert self.attempts.budget.tokens >= 0

    def _send(self) -> None:
        # A non-idempotent request that may have run is never sent again.
        assert self.attempts.idempotent or not self.may_have_run
        self.sent_attempts += 1

    def _build(self, *, idempotent: bool, tokens: float) -> Attempts:
        return Attempts(
            idempotent=idempotent,
            deadline=DEADLINE,
            budget=RetryBudget(build_retry_limits(slack=tokens), now=0),
        )


TestAttempts = AttemptMachine.TestCase
TestAttempts.settings = settings(
    derandomize=True,
    deadline=None,
    max_examples=80,
    stateful_step_count=20,
)
