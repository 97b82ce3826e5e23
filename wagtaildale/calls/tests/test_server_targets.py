"""Tests of the instances for which a backend server runs requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
from msgspec import structs

from wagtaildale.calls.failures import CallFailed
from wagtaildale.calls.tests.pairs import build_run
from wagtaildale.calls.tests.targets import SERVICE, build_targets
from wagtaildale.errors.codes import Code
from wagtaildale.testing.builders import build_record
from wagtaildale.types import (
    InstanceId,
    ListedState,
    Outcome,
    ServiceName,
    Version,
)

if TYPE_CHECKING:
    from wagtaildale.calls.owner.server_targets import ServerTargets
    from wagtaildale.membership.records import InstanceRecord

EARLIER = InstanceId('earlier')
LATER = InstanceId('later')


def build_replaced_targets(
    *listed: InstanceRecord,
    service: ServiceName = SERVICE,
) -> ServerTargets:
    """Build the targets of a server that has replaced another one."""
    targets = build_targets(*listed, service=service)
    targets.note_denied(EARLIER)
    targets.note_identified(LATER)
    return targets


def assert_refused(targets: ServerTargets, code: Code) -> None:
    """Assert that a request for the earlier instance fails as not run."""
    with pytest.raises(CallFailed) as caught:
        targets.check(build_run(instance=EARLIER).fields)
    assert caught.value.code is code
    assert caught.value.outcome is Outcome.not_run


def test_replacement_server_gets_the_request() -> None:
    fields = build_run(instance=EARLIER).fields
    targets = build_replaced_targets()
    targets.check(fields)
    assert targets.resolve_target(fields) == LATER


def test_server_of_another_service_does_not_get_the_request() -> None:
    """A booking runs on a service that merely reuses an address.

    Addresses may pass to servers of other services. Both the service of the
    node and the listed service of the server must match the request.
    """
    assert_refused(
        build_replaced_targets(service=ServiceName('payroll')),
        Code.wrong_instance,
    )
    listed = build_record(LATER, service='payroll')
    assert_refused(build_replaced_targets(listed), Code.wrong_instance)


def test_leaving_server_does_not_get_the_request() -> None:
    listed = build_record(LATER, state=ListedState.leaving)
    assert_refused(build_replaced_targets(listed), Code.draining)


def test_listeners_are_notified_of_each_refusal() -> None:
    """The server is never asked again if the first identity probe is lost."""
    notified: list[None] = []
    targets = build_replaced_targets(service=ServiceName('payroll'))
    targets.denial_listeners.append(lambda: notified.append(None))
    assert_refused(targets, Code.wrong_instance)
    assert_refused(targets, Code.wrong_instance)
    assert len(notified) == 2


def test_removed_server_gets_nothing_from_an_entry_that_is_behind() -> None:
    """An entry that was late with its list sends to a removed server."""
    run = build_run(instance=LATER)
    fields = structs.replace(run.fields, list_version=Version(6))
    targets = build_targets(list_version=Version(7))
    with pytest.raises(CallFailed) as caught:
        targets.check(fields)
    assert caught.value.code is Code.draining
    assert caught.value.outcome is Outcome.not_run


def test_owner_that_is_behind_serves_a_new_server() -> None:
    """A new server is refused until its own node has heard of it."""
    run = build_run(instance=LATER)
    fields = structs.replace(run.fields, list_version=Version(7))
    build_targets(list_version=Version(6)).check(fields)
