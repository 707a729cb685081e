"""Ids by which instances and their processes are named in the store."""

from sapphirestall_core.batch import state


def make_owner_id(batch: state.Batch) -> str:
    """Returns the owner id of this incarnation of the instance."""
    return f"{batch.identity.instance_id}/{batch.identity.incarnation}"


def make_process_id(batch: state.Batch) -> str:
    """Returns the id of this process, which tells where it runs."""
    return _make_process_prefix(batch) + batch.identity.incarnation


def _make_process_prefix(batch: state.Batch) -> str:
    return f"{batch.identity.instance_id}@{batch.identity.address}/"


def was_former_process(batch: state.Batch, process_id: str) -> bool:
    """Returns whether a process ran in the place of this one and has ended."""
    if not batch.identity.address or process_id == make_process_id(batch):
        return False
    return process_id.startswith(_make_process_prefix(batch))
