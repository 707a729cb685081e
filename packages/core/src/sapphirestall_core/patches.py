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
# The front end ends a call after 10 s without a reason; this limit is lower, so
# that the operator gets the reason.
PATCH_TIMEOUT_S = 7.0
INITIAL_RETRY_S = 0.1
MAX_RETRY_S = 1.0
RETRY_JITTER = 0.5


@attrs.frozen
class PatchAttempt:
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

    attempt: PatchAttempt


@attrs.frozen
class WritePatch(store_messages.Purpose):
    """Purpose of the write of the patched document."""

    attempt: PatchAttempt
    document: configuration.Document


@attrs.frozen
class PatchDue(messages.Timer):
    """Timer for the next try of a patch."""

    attempt: PatchAttempt


@dispatch.execute.register(operator_messages.PatchConfiguration)
def patch_configuration(
    command: operator_messages.PatchConfiguration,
    call_id: str,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    """Executes a patch: reads the stored document first."""
    return [_make_read(PatchAttempt(call_id, command, now + PATCH_TIMEOUT_S))]


def _make_read(attempt: PatchAttempt) -> store_messages.StoreGet:
    return store_messages.StoreGet(
        ReadBeforePatch(attempt),
        configuration_sync.CONFIGURATION_KEY,
        configuration.Document,
    )


@dispatch.handle_timer.register(PatchDue)
def retry_patch(
    timer: PatchDue, instance: state.Instance, now: float
) -> dispatch.Effects:
    """Reads the stored document again after a failed try."""
    return [_make_read(timer.attempt)]


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
    attempt = purpose.attempt
    match reply.outcome:
        case store_messages.Found(value=configuration.Document() as current):
            stored_version = reply.outcome.version
        case store_messages.Absent():
            current, stored_version = configuration.Document(), 0
        case _:
            return _retry(attempt, "store_unavailable", now)
    if attempt.command.patch_id in current.patch_ids:
        return _confirm(attempt.call_id, current, instance, now)
    failure = _find_conflict(attempt.command, current, instance)
    if failure:
        return _fail(attempt.call_id, failure)
    return _apply_and_write(attempt, current, stored_version)


def _find_conflict(
    command: operator_messages.PatchConfiguration,
    current: configuration.Document,
    instance: state.Instance,
) -> operator_messages.Failure | None:
    in_force = instance.configuration.document.version
    if current.version < in_force:
        # The store was restored from an old backup. Its next versions would be
        # lower than the one in force, and no instance would adopt them.
        detail = f"the store has {current.version}, in force is {in_force}"
        return _make_failure("store_reverted", 503, detail)
    if command.base_version != current.version:
        detail = f"the current version is {current.version}"
        return _make_failure("version_conflict", 409, detail)
    return None


def _apply_and_write(
    attempt: PatchAttempt, current: configuration.Document, stored_version: int
) -> dispatch.Effects:
    command = attempt.command
    document = configuration.apply_patch(
        current, command.patch_id, command.patch
    )
    errors = policy.list_errors(document.body)
    if errors:
        detail = "; ".join(errors)
        failure = _make_failure("configuration_invalid", 422, detail)
        return _fail(attempt.call_id, failure)
    if configuration.measure_size(document) > configuration.MAX_SIZE_BYTES:
        detail = f"allowed: {configuration.MAX_SIZE_BYTES} bytes"
        failure = _make_failure("configuration_too_large", 413, detail)
        return _fail(attempt.call_id, failure)
    if command.preview:
        changes = configuration.list_changes(current.body, document.body)
        preview = operator_messages.ConfigurationPreviewed(
            document.version, changes, document.body
        )
        return [operator_messages.AnswerOperator(attempt.call_id, preview)]
    return [
        store_messages.StorePut(
            WritePatch(attempt, document),
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
    attempt = purpose.attempt
    match reply.outcome:
        case store_messages.Written():
            return _confirm(attempt.call_id, purpose.document, instance, now)
        case store_messages.Unavailable(ambiguous=True):
            unsettled = attrs.evolve(attempt, may_have_applied=True)
            return _retry(unsettled, "store_unavailable", now)
        case store_messages.Unavailable():
            return _retry(attempt, "store_unavailable", now)
        case _:
            return _retry(attempt, "write_conflict", now)


def _retry(attempt: PatchAttempt, code: str, now: float) -> dispatch.Effects:
    delay_s = min(MAX_RETRY_S, INITIAL_RETRY_S * 2.0**attempt.failed_tries)
    if now + delay_s >= attempt.deadline:
        return _give_up(attempt, code)
    later = attrs.evolve(
        attempt, failed_tries=attempt.failed_tries + 1, last_code=code
    )
    return [
        messages.CountRetry(PART, code),
        messages.StartTimer(PatchDue(later), delay_s, RETRY_JITTER),
    ]


def _give_up(attempt: PatchAttempt, code: str) -> dispatch.Effects:
    if not attempt.may_have_applied:
        detail = f"no try succeeded within {PATCH_TIMEOUT_S} s"
        return _fail(attempt.call_id, _make_failure(code, 503, detail))
    unknown = operator_messages.OutcomeUnknown(
        "patch_unsettled",
        "configuration",
        "a write got no answer; repeat the patch with the same patch id "
        f"{attempt.command.patch_id!r} to learn its outcome",
    )
    return [
        messages.CountRefusal(PART, unknown.code),
        operator_messages.AnswerOperator(attempt.call_id, unknown),
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
