"""Paths that are cut in a simulation of batch instances.

Cuts may overlap, and last while an instance or a worker is started again under
its name: a path works when no cut of it is left.
"""

import collections
from collections.abc import Iterable

import attrs


@attrs.define
class PathCuts:
    """Cuts between instances, workers and the store.

    Attributes:
        store: Number of cuts between each instance and the store, by name.
        workers: Number of cuts between an instance and a worker, by name of the
            instance and id of the worker.
    """

    store: "collections.Counter[str]" = attrs.field(factory=collections.Counter)
    workers: "collections.Counter[tuple[str, str]]" = attrs.field(
        factory=collections.Counter
    )

    def cut_store(self, node_name: str) -> None:
        """Cuts an instance off from the store."""
        self.store[node_name] += 1

    def restore_store(self, node_name: str) -> None:
        """Ends a cut between an instance and the store."""
        self.store[node_name] -= 1

    def cut_workers(
        self, node_names: Iterable[str], worker_ids: Iterable[str]
    ) -> None:
        """Cuts each of some instances off from each of some workers."""
        self.workers.update(_pair(node_names, worker_ids))

    def restore_workers(
        self, node_names: Iterable[str], worker_ids: Iterable[str]
    ) -> None:
        """Ends a cut between some instances and some workers."""
        self.workers.subtract(_pair(node_names, worker_ids))

    def is_store_cut(self, node_name: str) -> bool:
        """Returns whether an instance is cut off from the store."""
        return self.store[node_name] > 0

    def is_worker_cut(self, node_name: str, worker_id: str) -> bool:
        """Returns whether an instance is cut off from a worker."""
        return self.workers[node_name, worker_id] > 0


def _pair(
    node_names: Iterable[str], worker_ids: Iterable[str]
) -> list[tuple[str, str]]:
    ids = list(worker_ids)
    return [(name, worker_id) for name in node_names for worker_id in ids]
