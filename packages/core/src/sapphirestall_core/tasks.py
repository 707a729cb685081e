"""Registration of the handlers of batch work.

Each module registers its handlers when it is imported: `takeover` acquires
partitions, `polling` and `inventory` handle polls and reports, `starts` places
tasks, `eviction` evicts them, `moves` moves them to other partitions,
`commits` writes progress, `record_reads`, `job_updates` and `submission` read
and write job records, and `job_views` and `worker_views` answer operators'
queries.
"""

from sapphirestall_core import answers
from sapphirestall_core import commits
from sapphirestall_core import eviction
from sapphirestall_core import job_updates
from sapphirestall_core import job_views
from sapphirestall_core import messages
from sapphirestall_core import moves
from sapphirestall_core import polling
from sapphirestall_core import record_reads
from sapphirestall_core import starts
from sapphirestall_core import submission
from sapphirestall_core import takeover
from sapphirestall_core import worker_views

HANDLER_MODULES = (
    job_updates,
    answers,
    commits,
    eviction,
    job_views,
    moves,
    polling,
    record_reads,
    starts,
    submission,
    takeover,
    worker_views,
)
START_TIMERS: tuple[messages.Timer, ...] = (
    takeover.LeaseDue(),
    takeover.OwnersDue(),
    record_reads.JobListDue(),
    submission.FreeCapacityDue(),
    moves.MovesDue(),
)
