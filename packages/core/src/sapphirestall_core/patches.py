"""Operators' patches of the configuration.

A patch reads the stored document, applies the change and writes the result on
the condition that the stored document has not changed.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from sapphirestall_core import configuration
from sapphirestall_core import configuration_sync
from sapphirestall_core import dispatch
from sapphirestall_core import messages
from sapphirestall_core import operator_messages
from sapphirestall_core import policy
from sapphirestall_core import store_messages

if TYPE_CHECKING:
    from sapphirestall_core import state

PART = "configuration"
# Below the front end's timeout of 10 s, whose response would not contain the
# reason of the failure.
PATCH_TIMEOUT_S = 7.0
INITIAL_RETRY_S = 0.1
MAX_RETRY_S = 1.0
RETRY_JITTER = 0.5


@attrs.frozen
class PatchProgress:
    """Progress of one patch command.

    Attributes:
        call_id: Call of the operator, which gets the result.
        command: The patch.
        deadline: Monotonic time after which no retry starts, in seconds.
        failed_tries: Number of failed tries.
        may_have_applied: Whether an earlier write may have taken effect.
        last_code: Reason code of the last failed try.
    """

    call_id: str
    command: operator_messages.PatchConfiguration
    deadline: float
    failed_tries: int = 0
    may_have_applied: bool = False
    last_code: str = ""


@attrs.frozen
class ReadBeforePatch(store_messages.Purpose):
    """Purpose of the read of the document that a patch changes."""

    progress: PatchProgress


@attrs.frozen
class WritePatch(store_messages.Purpose):
    """Purpose of the write of the patched document."""

    progress: PatchProgress
    document: configuration.Document


@attrs.frozen
class PatchDue(messages.Timer):
    """Timer to try a patch again."""

    progress: PatchProgress


@dispatch.execute.register(operator_messages.PatchConfiguration)
def patch_configuration(
    command: operator_messages.PatchConfiguration,
    call_id: str,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    """Executes a patch: reads the stored document first."""
    return [_make_read(PatchProgress(call_id, command, now + PATCH_TIMEOUT_S))]


def _make_read(progress: PatchProgress) -> store_messages.StoreGet:
    return store_messages.StoreGet(
        ReadBeforePatch(progress),
        configuration_sync.CONFIGURATION_KEY,
        configuration.Document,
    )


@dispatch.handle_timer.register(PatchDue)
def retry_patch(
    timer: PatchDue, instance: state.Instance, now: float
) -> dispatch.Effects:
    """Reads the stored document again after a failed try."""
    return [_make_read(timer.progress)]


@dispatch.handle_store_reply.register(ReadBeforePatch)
def handle_read_reply(
    purpose: ReadBeforePatch,
    reply: store_messages.StoreReply,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    """Applies the patch to the document that was read, or refuses it.

    A patch whose id the document contains has been applied before; it is
    confirmed.
    """
    progress = purpose.progress
    match reply.outcome:
        case store_messages.Found(value=configuration.Document() as current):
            stored_version = reply.outcome.version
        case store_messages.Absent():
            current, stored_version = configuration.Document(), 0
        case _:
            return _retry(progress, "store_unavailable", now)
    if progress.command.patch_id in current.patch_ids:
        return _confirm(progress.call_id, current, instance, now)
    failure = _find_conflict(progress.command, current, instance)
    if failure:
        return _fail(progress.call_id, failure)
    return _apply_and_write(progress, current, stored_version)


def _find_conflict(
    command: operator_messages.PatchConfiguration,
    current: configuration.Document,
    instance: state.Instance,
) -> operator_messages.Failure | None:
    in_force = instance.configuration.document.version
    if current.version < in_force:
        # The store was restored from an old backup. Its next versions would be
        # lower than the one in force, and no instance would adopt them.
        detail = (
            f"the stored version is {current.version}, in force is {in_force}"
        )
        return _make_failure("store_reverted", 503, detail)
    if command.base_version != current.version:
        detail = f"the current version is {current.version}"
        return _make_failure("version_conflict", 409, detail)
    return None


def _apply_and_write(
    progress: PatchProgress,
    current: configuration.Document,
    stored_version: int,
) -> dispatch.Effects:
    command = progress.command
    document = configuration.apply_patch(
        current, command.patch_id, command.patch
    )
    errors = policy.list_errors(document.body)
    if errors:
        detail = "; ".join(errors)
        failure = _make_failure("configuration_invalid", 422, detail)
        return _fail(progress.call_id, failure)
    if configuration.measure_size(document) > configuration.MAX_SIZE_BYTES:
        detail = f"the document exceeds {configuration.MAX_SIZE_BYTES} bytes"
        failure = _make_failure("configuration_too_large", 413, detail)
        return _fail(progress.call_id, failure)
    if command.preview:
        changes = configuration.list_changes(current.body, document.body)
        preview = operator_messages.ConfigurationPreviewed(
            document.version, changes, document.body
        )
        return [operator_messages.AnswerOperator(progress.call_id, preview)]
    return [
        store_messages.StorePut(
            WritePatch(progress, document),
            configuration_sync.CONFIGURATION_KEY,
            document,
            stored_version,
        )
    ]


@dispatch.handle_store_reply.register(WritePatch)
def handle_write_reply(
    purpose: WritePatch,
    reply: store_messages.StoreReply,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    """Confirms an accepted patch; retries after any other reply.

    A write whose reply was lost may still take effect. The next try either
    finds the patch id in the document or writes with the same expected version,
    so that only one of the two writes takes effect.
    """
    progress = purpose.progress
    match reply.outcome:
        case store_messages.Written():
            return _confirm(progress.call_id, purpose.document, instance, now)
        case store_messages.Unavailable(ambiguous=True):
            unsettled = attrs.evolve(progress, may_have_applied=True)
            return _retry(unsettled, "store_unavailable", now)
        case store_messages.Unavailable():
            return _retry(progress, "store_unavailable", now)
        case _:
            return _retry(progress, "write_conflict", now)


def _retry(progress: PatchProgress, code: str, now: float) -> dispatch.Effects:
    delay_s = min(MAX_RETRY_S, INITIAL_RETRY_S * 2.0**progress.failed_tries)
    if now + delay_s >= progress.deadline:
        return _give_up(progress, code)
    later = attrs.evolve(
        progress, failed_tries=progress.failed_tries + 1, last_code=code
    )
    return [
        messages.CountRetry(PART, code),
        messages.StartTimer(PatchDue(later), delay_s, RETRY_JITTER),
    ]


def _give_up(progress: PatchProgress, code: str) -> dispatch.Effects:
    if not progress.may_have_applied:
        detail = f"all tries failed within {PATCH_TIMEOUT_S} s"
        return _fail(progress.call_id, _make_failure(code, 503, detail))
    unknown = operator_messages.OutcomeUnknown(
        "patch_unsettled",
        "configuration",
        "the reply to a write was lost; repeat the patch with the patch id "
        f"{progress.command.patch_id!r} to learn its outcome",
    )
    return [
        messages.CountRefusal(PART, unknown.code),
        operator_messages.AnswerOperator(progress.call_id, unknown),
    ]


def _confirm(
    call_id: str,
    document: configuration.Document,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    shown = operator_messages.ConfigurationShown(
        document.version, document.body
    )
    return [
        operator_messages.AnswerOperator(call_id, shown),
        *configuration_sync.adopt_document(document, instance, now, "patch"),
    ]


def _make_failure(
    code: str, status: int, detail: str
) -> operator_messages.Failure:
    return operator_messages.Failure(code, "configuration", detail, status)


def _fail(call_id: str, failure: operator_messages.Failure) -> dispatch.Effects:
    return [
        messages.CountRefusal(PART, failure.code),
        operator_messages.AnswerOperator(call_id, failure),
    ]
