"""Decides whether a document store applies an offered version.

The functions are deterministic and use no clock or socket. A version is
applied as a whole or not at all; older versions are ignored, and a version
that failed validation is not tried again.
"""

from __future__ import annotations

from functools import singledispatch
from typing import TYPE_CHECKING

from result import Err

from wagtaildale.configuration.compiled import hash_part
from wagtaildale.document.messages import (
    Applied,
    BlobsOffered,
    BlobsWanted,
    DeltaOffered,
    Origin,
    OutlineOffered,
    OutlineWanted,
    Rejected,
    StoreEffect,
)
from wagtaildale.document.model import (
    Document,
    apply_delta,
    assemble_document,
    digest_outline,
    is_superseded,
)
from wagtaildale.document.state import PendingVersion, StoreState
from wagtaildale.errors.codes import Code
from wagtaildale.errors.faults import Fault
from wagtaildale.types import Digest, Version

if TYPE_CHECKING:
    from wagtaildale.document.model import Outline


@singledispatch
def decide_offer(message: object, state: StoreState) -> list[StoreEffect]:
    """Handle a message to a document store.

    Args:
        message: a ``DeltaOffered``, ``OutlineOffered`` or ``BlobsOffered``.
        state: state of the store, updated in place.

    Returns:
        The effects to carry out.

    Raises:
        TypeError: for a message of any other type.
    """
    raise TypeError(
        f'got {message!r}, expected an offered delta, outline or blobs'
    )


@decide_offer.register
def _decide_delta(
    message: DeltaOffered,
    state: StoreState,
) -> list[StoreEffect]:
    delta = message.delta
    effects = _decide_known_version(
        state, delta.version, delta.digest, is_whole=delta.is_whole
    )
    if effects is not None:
        return effects
    held = state.held
    if (held.version, held.digest) != (delta.base_version, delta.base_digest):
        return [OutlineWanted(kind=held.kind, origin=message.origin)]
    document = apply_delta(held, delta=delta)
    if document.digest != delta.digest:
        return [_reject_corrupt(state, document, message.origin)]
    return _validate_and_apply(state, document, message.origin)


@decide_offer.register
def _decide_outline(
    message: OutlineOffered,
    state: StoreState,
) -> list[StoreEffect]:
    outline = message.outline
    digest = digest_outline(outline)
    effects = _decide_known_version(
        state, outline.version, digest, is_whole=outline.is_whole
    )
    if effects is not None:
        return effects
    pending = state.pending
    if pending is not None and pending.outline.version > outline.version:
        return []
    if pending is None or pending.digest != digest:
        state.pending = _start_pending(state, outline, digest)
    return _apply_if_complete(state, message.origin)


@decide_offer.register
def _decide_blobs(
    message: BlobsOffered,
    state: StoreState,
) -> list[StoreEffect]:
    pending = state.pending
    if pending is None:
        return []
    missing = set(pending.list_missing())
    for blob in message.blobs:
        digest = hash_part(blob)
        if digest in missing:
            pending.found[digest] = blob
    if len(pending.list_missing()) == len(missing):
        return []
    return _apply_if_complete(state, message.origin)


def _decide_known_version(
    state: StoreState,
    version: Version,
    digest: Digest,
    *,
    is_whole: bool,
) -> list[StoreEffect] | None:
    # Returns the effects for a version that is held, refused, older or reused,
    # and nothing for a version that is to be processed.
    held = state.held
    if version == held.version and digest == held.digest:
        return []
    if (version, digest) in state.refused:
        return [_reject(state, version, Code.version_refused)]
    if version < held.version:
        return [_reject(state, version, Code.version_older)]
    if is_superseded(held, version=version, digest=digest, is_whole=is_whole):
        return None
    # The publisher used a version number twice, so that nodes may have
    # different routes under one version. A node keeps the document that it
    # received first, and changes only to a higher version.
    return [_reject(state, version, Code.version_reused)]


def _reject(state: StoreState, version: Version, code: Code) -> Rejected:
    held = state.held
    return Rejected(
        kind=held.kind,
        version=version,
        fault=Fault(
            code=code,
            where=f'{held.kind.name} version {version}',
            got=f'version {version}',
            expected=f'a valid version above {held.version}',
        ),
        should_report=code is Code.version_reused,
    )


def _reject_corrupt(
    state: StoreState,
    document: Document,
    origin: Origin,
) -> Rejected:
    fault = Fault(
        code=Code.delta_mismatch,
        where=f'{document.kind.name} from {origin or "the platform"}',
        got=f'digest {document.digest.hex()}',
        expected='the digest stated in the delta',
    )
    return Rejected(
        kind=state.held.kind,
        version=document.version,
        fault=fault,
        should_report=True,
    )


def _start_pending(
    state: StoreState,
    outline: Outline,
    digest: Digest,
) -> PendingVersion:
    wanted = set(outline.entries.values())
    held = state.held
    found = {
        held.entries[name]: blob
        for name, blob in held.blobs.items()
        if held.entries[name] in wanted
    }
    if state.pending is not None:
        found.update(state.pending.found)
    return PendingVersion(outline=outline, digest=digest, found=found)


def _apply_if_complete(state: StoreState, origin: Origin) -> list[StoreEffect]:
    pending = state.pending
    if pending is None:
        return []
    missing = pending.list_missing()
    if missing:
        kind = pending.outline.kind
        return [BlobsWanted(kind=kind, digests=missing, origin=origin)]
    blobs = {
        name: pending.found[digest]
        for name, digest in pending.outline.entries.items()
    }
    document = assemble_document(pending.outline, blobs=blobs)
    return _validate_and_apply(state, document, origin)


def _validate_and_apply(
    state: StoreState,
    document: Document,
    origin: Origin,
) -> list[StoreEffect]:
    pending = state.pending
    if pending and pending.outline.version <= document.version:
        state.pending = None
    validation = state.check(document)
    if isinstance(validation, Err):
        state.note_refused(document, validation.err_value)
        return [
            Rejected(
                kind=document.kind,
                version=document.version,
                fault=validation.err_value,
                should_report=True,
            ),
        ]
    before = state.held
    state.history.appendleft(before)
    state.held = document
    return [Applied(before=before, document=document, origin=origin)]
