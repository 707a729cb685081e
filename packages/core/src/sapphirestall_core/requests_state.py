"""State of the requests that this instance has accepted and not yet ended."""

import enum
import math

import attrs

from sapphirestall_core import membership
from sapphirestall_core import outcomes
from sapphirestall_core import policy
from sapphirestall_core import request_messages
from sapphirestall_core import store_health

# Number of store documents over which the claims are spread. 64 documents of at
# most 900 KB hold the claims of one day: 14,000 with answers of 4 KB, or about
# 200,000 with short answers. With fewer documents more claims share a write,
# but fewer claims fit. With a saturated store, 156 requests per second were
# answered with 256 documents, 198 with 64 and 260 with 16.
CLAIM_BUCKETS = 64
# Buckets that may have a store call in flight when the process starts. Write
# conflicts and lost answers halve this window; successful writes widen it.
INITIAL_CLAIM_WINDOW = 4.0
# Retry tokens that each first attempt adds. In the long run, retries are at
# most 10% of the first attempts.
RETRY_TOKENS_PER_REQUEST = 0.1
# Enough to retry the requests in all 8 slots of an executor that fails.
MAX_RETRY_TOKENS = 10.0


class Phase(enum.Enum):
    """Phase of a request between its arrival and its outcome.

    Attributes:
        QUEUED: Waits for a slot, or for its key to be claimed.
        CLAIMING: The claim of its idempotency key is being written.
        READY: Waits for a slot; its key is claimed or it is to be retried.
        BACKOFF: Waits for the delay before its next attempt.
        SENDING: An attempt is in flight.
        RELEASING: It did not run; the removal of its claim is being written.
        JOINED: Waits for the outcome of an earlier request with the same key.
    """

    QUEUED = "queued"
    CLAIMING = "claiming"
    READY = "ready"
    BACKOFF = "backoff"
    SENDING = "sending"
    RELEASING = "releasing"
    JOINED = "joined"


@attrs.define
class Attempt:
    """One sending of a request to an executor.

    Attributes:
        sent_at: Monotonic time of the sending, in seconds.
    """

    attempt_id: str
    executor_id: str
    sent_at: float


@attrs.define
class Request:
    """A request that was accepted and has no outcome yet.

    Attributes:
        arrival: Event with which the request arrived.
        operation: Policy of the operation when the request arrived.
        sequence: Position in the order of arrival at this instance.
        attempts_made: Number of attempts so far.
        attempt: Attempt in flight, if any.
        tried_executors: Ids of the executors of all attempts so far.
        proofs: For each failed attempt that certainly did not run, the proof.
        may_have_run: Whether an attempt failed without such a proof.
        last_failure: Event of the last failed attempt.
        key_claimed: Whether this request holds the claim of its key.
        duplicates: Ids of later requests with the same key that get the
            outcome of this one.
        caller_gone: Whether the caller closed its connection.
        outcome: Outcome to deliver once the claim is released.
        deadline_timer_scheduled: Whether a `RequestDue` timer is set.
    """

    arrival: request_messages.RequestArrived
    operation: policy.Operation
    sequence: int = 0
    phase: Phase = Phase.QUEUED
    attempts_made: int = 0
    attempt: Attempt | None = None
    tried_executors: set[str] = attrs.field(factory=set)
    proofs: list[outcomes.Proof] = attrs.field(factory=list)
    may_have_run: bool = False
    last_failure: request_messages.AttemptFailed | None = None
    key_claimed: bool = False
    duplicates: list[str] = attrs.field(factory=list)
    caller_gone: bool = False
    outcome: outcomes.Outcome | None = None
    deadline_timer_scheduled: bool = False


@attrs.define
class ClassQueue:
    """Queued requests of one class of one service.

    The dictionaries hold requests by id, in the order in which they were added.

    Attributes:
        waiting: Repeatable requests; they need no claim.
        unclaimed: Requests that can't be sent before their key is claimed.
        ready: Requests whose key is claimed, and retries. They are sent before
            those in `waiting`.
        claiming: Number of requests whose claim is being written.
        in_use: Number of executor slots that requests of the class occupy.
    """

    waiting: dict[str, Request] = attrs.field(factory=dict)
    unclaimed: dict[str, Request] = attrs.field(factory=dict)
    ready: dict[str, Request] = attrs.field(factory=dict)
    claiming: int = 0
    in_use: int = 0


@attrs.define
class RunTimeEstimate:
    """Smoothed run time of an operation.

    Attributes:
        value_s: Moving average over successful attempts, in seconds.
        updated_at: Monotonic time of the last sample, in seconds.
    """

    value_s: float
    updated_at: float


@attrs.define
class Service:
    """Queues, retry budget and run times of one service.

    Attributes:
        classes: Queues by request class.
        estimates: Run-time estimates by operation.
        retry_tokens: Tokens left in the retry budget; a retry takes one.
    """

    classes: dict[str, ClassQueue] = attrs.field(factory=dict)
    estimates: dict[str, RunTimeEstimate] = attrs.field(factory=dict)
    retry_tokens: float = MAX_RETRY_TOKENS


@attrs.define
class Executor:
    """Slot use and connection failures of one executor, as seen from here.

    Attributes:
        in_use: Number of its slots that this instance occupies.
        connect_failures: Failed connections since the last answer.
        suspended: Whether it gets no requests until its `TrialDue` timer fires
            or an answer arrives.
        suspended_at: Monotonic time of its last suspension, in seconds.
    """

    in_use: int = 0
    connect_failures: int = 0
    suspended: bool = False
    suspended_at: float = -math.inf


@attrs.define
class Loan:
    """Slots of one executor that are lent or borrowed for a limited time.

    Attributes:
        count: Number of slots.
        ends_at: Monotonic time of its end, in seconds.
    """

    count: int
    ends_at: float


@attrs.define
class Slots:
    """Executor slots that this instance may use.

    The slots of each executor are divided among the live entry instances of
    its data centre. An instance may lend idle slots of its share to another.

    Attributes:
        executors: Use of each executor, by executor id.
        pool: Executors of this data centre by service, sorted by id.
        shares: Slots of this instance at each executor, by executor id.
        borrowed: Loans to this instance, by executor and lender.
        lent: Loans by this instance, by executor and borrower.
        demand: By service, slots that queued and running requests need beyond
            the share.
        peak_use: By service, the recent maximum of queued and running
            requests; it decays over about one second.
        source_listings: Platform list from which `pool` was computed.
        source_entries: Ids of the live entry instances among which the shares
            were divided.
        refreshed_at: Monotonic time at which the shares were last checked, in
            seconds.
    """

    executors: dict[str, Executor] = attrs.field(factory=dict)
    pool: dict[str, list[membership.Listing]] = attrs.field(factory=dict)
    shares: dict[str, int] = attrs.field(factory=dict)
    borrowed: dict[tuple[str, str], Loan] = attrs.field(factory=dict)
    lent: dict[tuple[str, str], Loan] = attrs.field(factory=dict)
    demand: dict[str, int] = attrs.field(factory=dict)
    peak_use: dict[str, float] = attrs.field(factory=dict)
    source_listings: dict[str, membership.Listing] | None = None
    source_entries: list[str] = attrs.field(factory=list)
    refreshed_at: float = 0.0


class ClaimState(enum.Enum):
    """Stored state of the request that claimed a key.

    Attributes:
        OPEN: No outcome has been recorded.
        ANSWERED: An executor answered it.
        UNKNOWN: It may or may not have run.
    """

    OPEN = "open"
    ANSWERED = "answered"
    UNKNOWN = "unknown"


@attrs.frozen
class Claim:
    """Stored record that a request has claimed an idempotency key.

    Attributes:
        token: Identifies the request that holds the claim: the ids of its entry
            instance and of the request.
        at: Wall-clock time of the claim, in seconds.
        digest: Digest of the request body.
        status: Status of the executor's answer.
        content_type: Content type of the executor's answer.
        body: Body of the executor's answer; None before there is one, and for
            an answer that is too long to be stored.
    """

    token: str
    at: float
    digest: str
    state: ClaimState = ClaimState.OPEN
    status: int = 0
    content_type: str = ""
    body: bytes | None = None


@attrs.frozen
class ClaimDocument:
    """Store document with the claims of one bucket.

    Attributes:
        claims: Claims by scope (service, operation and key).
    """

    claims: dict[str, Claim] = attrs.field(factory=dict)


@attrs.frozen
class ClaimChange:
    """Base of the changes of a claim that wait to be written.

    Attributes:
        scope: Service, operation and key.
        token: Token of the request that holds or asks for the claim.
    """

    scope: str
    token: str


@attrs.frozen
class AcquireClaim(ClaimChange):
    """Claim of a key for a request.

    Attributes:
        request_id: Request that waits for the claim.
        digest: Digest of the request body.
    """

    request_id: str
    digest: str


@attrs.frozen
class RecordOutcome(ClaimChange):
    """Outcome of a request, to be stored in its claim.

    The attributes are those of `Claim`.
    """

    state: ClaimState
    status: int = 0
    content_type: str = ""
    body: bytes | None = None


@attrs.frozen
class ReleaseClaim(ClaimChange):
    """Removal of the claim of a request that did not run.

    Attributes:
        request_id: Request that waits for the removal; empty if none does.
    """

    request_id: str = ""


@attrs.define
class Bucket:
    """Unconfirmed changes of the claims in one store document.

    Attributes:
        waiting: Changes for the next write.
        batch: Changes in the write in flight.
        uncertain_tokens: Tokens of changes whose write had no answer; it may or
            may not have taken effect.
        call_in_flight: Whether a store call for this bucket is in flight.
        timer_scheduled: Whether a `BucketDue` timer will start the next call.
        failures: Failed store calls since the last success.
    """

    waiting: list[ClaimChange] = attrs.field(factory=list)
    batch: list[ClaimChange] = attrs.field(factory=list)
    uncertain_tokens: set[str] = attrs.field(factory=set)
    call_in_flight: bool = False
    timer_scheduled: bool = False
    failures: int = 0


@attrs.define
class Claims:
    """Claims of idempotency keys that this instance is changing.

    Attributes:
        bucket_count: Number of buckets; the same at all instances.
        by_scope: By scope, the id of the first request in flight here. Later
            requests with the same scope become its duplicates.
        buckets: Buckets with unconfirmed changes, by number.
        store: Outcomes of the store calls.
        next_trial_at: Monotonic time in seconds from which on one claim may be
            made while the store is unavailable.
        window: Maximum number of buckets with a store call in flight.
        waiting_buckets: Numbers of the buckets whose call waits because the
            window is full, oldest first.
    """

    bucket_count: int = CLAIM_BUCKETS
    by_scope: dict[str, str] = attrs.field(factory=dict)
    buckets: dict[int, Bucket] = attrs.field(factory=dict)
    store: store_health.StoreHealth = attrs.field(
        factory=store_health.StoreHealth
    )
    next_trial_at: float = -math.inf
    window: float = INITIAL_CLAIM_WINDOW
    waiting_buckets: dict[int, None] = attrs.field(factory=dict)


@attrs.define
class Requests:
    """All requests in flight at this instance.

    Attributes:
        in_flight: Requests by id.
        by_attempt: Request id by id of the attempt in flight.
        services: Queues and retry budgets by service.
        sequence: Number of requests accepted so far.
    """

    in_flight: dict[str, Request] = attrs.field(factory=dict)
    by_attempt: dict[str, str] = attrs.field(factory=dict)
    services: dict[str, Service] = attrs.field(factory=dict)
    slots: Slots = attrs.field(factory=Slots)
    claims: Claims = attrs.field(factory=Claims)
    sequence: int = 0

    def is_idle(self) -> bool:
        """Returns whether no request and no change of a claim is in flight."""
        return not self.in_flight and not self.claims.buckets
