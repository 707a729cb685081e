"""State of the request path."""

import enum

import attrs

from sapphirestall_core import membership
from sapphirestall_core import outcomes
from sapphirestall_core import policy
from sapphirestall_core import request_messages

# 64 buckets of 900 KB hold a day's claims for 14,000 answers of 4 KB or about
# 200,000 short ones. More buckets share fewer writes: with a saturated store,
# 256 had 156 requests answered in a second, 64 had 198 and 16 had 260.
CLAIM_BUCKETS = 64
# Places at the start; conflicts shrink the window, successes widen it.
INITIAL_CLAIM_WINDOW = 4.0
RETRY_TOKENS_PER_REQUEST = 0.1
# An executor that fails may take 8 requests with it; the reserve covers them.
MAX_RETRY_TOKENS = 10.0


class Phase(enum.Enum):
    """What a request waits for."""

    QUEUED = "queued"
    CLAIMING = "claiming"
    READY = "ready"
    BACKOFF = "backoff"
    SENDING = "sending"
    RELEASING = "releasing"
    JOINED = "joined"


@attrs.define
class Attempt:
    """One send of a request to an executor."""

    attempt_id: str
    executor_id: str
    sent_at: float


@attrs.define
class Request:
    """A request in flight.

    Attributes:
        operation: The operation as declared when the request arrived.
        sequence: Order of arrival at this instance.
        tried: Executors of earlier attempts.
        proofs: Proofs of the failed attempts so far.
        unproven: Whether an attempt failed without proof that it did not run.
        failure: The last failed attempt.
        claimed: Whether its idempotency key is claimed.
        joined: Ids of repeats that get the same outcome.
        outcome: Outcome that is given once the claim is released.
        armed: Whether a timer for its deadline is running.
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
    deadline_timer_set: bool = False


@attrs.define
class ClassQueue:
    """Requests of one class of one service that wait, in order of arrival.

    Attributes:
        waiting: Requests that need no claim.
        unclaimed: Requests whose key must be claimed first.
        ready: Requests that go out before the others: claimed or retried.
        claiming: Requests whose claim is being made.
        in_use: Slots that the class uses.
    """

    waiting: dict[str, Request] = attrs.field(factory=dict)
    unclaimed: dict[str, Request] = attrs.field(factory=dict)
    ready: dict[str, Request] = attrs.field(factory=dict)
    claiming: int = 0
    in_use: int = 0


@attrs.define
class RunTimeEstimate:
    """Smoothed time of an operation's successful attempts, in seconds."""

    value_s: float
    updated_at: float


@attrs.define
class Service:
    """Queues, retry budget and run times of one service.

    Attributes:
        retry_tokens: Retries that may still be made.
    """

    classes: dict[str, ClassQueue] = attrs.field(factory=dict)
    estimates: dict[str, RunTimeEstimate] = attrs.field(factory=dict)
    retry_tokens: float = MAX_RETRY_TOKENS


@attrs.define
class Executor:
    """What this instance uses of one executor.

    Attributes:
        failures: Connection failures since the last success.
        suspended: Whether it gets no requests until its next trial.
    """

    in_use: int = 0
    connect_failures: int = 0
    suspended: bool = False


@attrs.define
class Loan:
    """Slots of one executor that were lent or borrowed until a time."""

    count: int
    ends_at: float


@attrs.define
class Slots:
    """Slots of executors that this instance may use.

    Attributes:
        pool: Executors of the own data centre by service, by id.
        shares: Own share of each executor's slots.
        borrowed: Loans by executor and lender.
        lent: Loans by executor and borrower.
        demand: Slots that could be used beyond the own share, by service.
        peaks: Highest number of slots in use of late, by service.
        source: The list that the pool was made from.
        entries: The live entry instances that the shares were made from.
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
    """What is known about the request that claimed a key."""

    OPEN = "open"
    ANSWERED = "answered"
    UNKNOWN = "unknown"


@attrs.frozen
class Claim:
    """Durable record that an idempotency key is taken.

    Attributes:
        token: Entry instance and request that took the key.
        at: Wall clock, in seconds.
        digest: Digest of the request body.
        body: The executor's answer; None when it was too long to keep.
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
    """Claims of one bucket, by scope (service, operation and key)."""

    claims: dict[str, Claim] = attrs.field(factory=dict)


@attrs.frozen
class ClaimChange:
    """A change of one claim that waits to be written."""

    scope: str
    token: str


@attrs.frozen
class AcquireClaim(ClaimChange):
    """Claims a key."""

    request_id: str
    digest: str


@attrs.frozen
class RecordOutcome(ClaimChange):
    """Writes the outcome of a request into its claim."""

    state: ClaimState
    status: int = 0
    content_type: str = ""
    body: bytes | None = None


@attrs.frozen
class ReleaseClaim(ClaimChange):
    """Removes a claim of a request that did not run.

    Attributes:
        request_id: Request that waits for the release; empty when none does.
    """

    request_id: str = ""


@attrs.define
class Bucket:
    """Changes of one bucket that are not yet confirmed.

    Attributes:
        waiting: Changes for the next write.
        batch: Changes in the write under way.
        uncertain: Tokens whose claim may have been written.
        busy: Whether a store call for this bucket is under way.
        timer: Whether a timer will start the next call.
        failures: Failed store calls since the last success.
    """

    waiting: list[ClaimChange] = attrs.field(factory=list)
    batch: list[ClaimChange] = attrs.field(factory=list)
    uncertain_tokens: set[str] = attrs.field(factory=set)
    call_in_flight: bool = False
    timer_running: bool = False
    failures: int = 0


@attrs.define
class Claims:
    """Claims that this instance makes, records and releases.

    Attributes:
        by_scope: First request in flight here, by scope.
        buckets: Buckets with unconfirmed changes, by number.
        refused_until: Claims are refused until then, as the store failed.
        window: Most buckets that may be read or written at the same time.
        pending: Buckets that wait for a place in the window, oldest first.
    """

    bucket_count: int = CLAIM_BUCKETS
    by_scope: dict[str, str] = attrs.field(factory=dict)
    buckets: dict[int, Bucket] = attrs.field(factory=dict)
    refused_until: float = 0.0
    window: float = INITIAL_CLAIM_WINDOW
    waiting_buckets: dict[int, None] = attrs.field(factory=dict)


@attrs.define
class Requests:
    """All requests in flight at this instance.

    Attributes:
        by_attempt: Request id by id of the attempt that is under way.
        sequence: Number of requests that were accepted so far.
    """

    in_flight: dict[str, Request] = attrs.field(factory=dict)
    by_attempt: dict[str, str] = attrs.field(factory=dict)
    services: dict[str, Service] = attrs.field(factory=dict)
    slots: Slots = attrs.field(factory=Slots)
    claims: Claims = attrs.field(factory=Claims)
    sequence: int = 0

    def is_idle(self) -> bool:
        """Tells whether nothing is in flight and no claim must be written."""
        return not self.in_flight and not self.claims.buckets
