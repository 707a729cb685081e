"""Starts stand-ins and entry instances as processes on loopback addresses."""

import asyncio
import contextlib
import os
import pathlib
import socket
import subprocess
import sys
import tempfile
from typing import Any

import aiohttp
import attrs
import yaml

# All interpreters of a fleet start at once, and the machine may be busy.
START_TIMEOUT_S = 60.0
STOP_TIMEOUT_S = 10.0
HOST = "127.0.0.1"


# Below the kernel's range of ephemeral ports: a port of that range may be taken
# by an outgoing connection between the check and the start of the process.
FIRST_PORT = 20_000
PORTS_PER_PROCESS = 240
PROCESS_RANGES = 50
_allocated_ports: set[int] = set()


def find_port() -> int:
    """Returns a free port that this process has not returned before.

    A process that starts or restarts may not listen yet, so that its port looks
    free. Therefore no port is returned twice, and test runners that run at the
    same time mostly use different ranges, chosen by process id.

    Raises:
        RuntimeError: No port of the range is free.
    """
    first = FIRST_PORT + os.getpid() % PROCESS_RANGES * PORTS_PER_PROCESS
    for port in range(first, first + PORTS_PER_PROCESS):
        if port in _allocated_ports:
            continue
        _allocated_ports.add(port)
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind((HOST, port))
            return port
    raise RuntimeError(f"no free port in {PORTS_PER_PROCESS} from {first} on")


@attrs.define
class Entry:
    """An entry instance.

    Attributes:
        instance_id: Its id.
        data_centre: Its data centre.
        callers: Address at which it listens for callers.
        operators: Address at which it listens for operators.
        peers: Address at which it listens for peers.
        settings: Its settings file.
    """

    instance_id: str
    data_centre: str
    callers: str
    operators: str
    peers: str
    settings: pathlib.Path


@attrs.define
class Fleet:
    """Processes of one run, which `stop` or `stop_async` ends.

    Attributes:
        directory: Directory of settings and output.
        processes: Processes that were started, by name.
        listings: The platform's instance list.
        entries: Entry instances by name.
        addresses: Address of each process, by name.
        store: Address of the store.
    """

    directory: pathlib.Path = attrs.field(
        factory=lambda: pathlib.Path(tempfile.mkdtemp(prefix="fleet-"))
    )
    processes: dict[str, subprocess.Popen[bytes]] = attrs.field(factory=dict)
    listings: list[dict[str, Any]] = attrs.field(factory=list)
    entries: dict[str, Entry] = attrs.field(factory=dict)
    addresses: dict[str, str] = attrs.field(factory=dict)
    store: str = ""

    def spawn(self, name: str, *arguments: str) -> None:
        """Starts a Python module as a process with its output in a file."""
        with (self.directory / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                [sys.executable, "-m", *arguments],
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
            )

    def add_store(self) -> None:
        """Starts the platform's store."""
        port = find_port()
        self.store = f"{HOST}:{port}"
        self.addresses["store"] = self.store
        self.spawn("store", "standins.store", "--port", str(port))

    def add_executor(
        self, name: str, data_centre: str, service: str, **options: object
    ) -> None:
        """Starts an executor and lists it."""
        port = find_port()
        arguments = ["--name", name, "--port", str(port)]
        self.spawn(
            name, "standins.executor", *arguments, *_format_options(options)
        )
        self._list(name, "executor", data_centre, port, service=service)

    def add_worker(
        self, name: str, data_centre: str, rack: str, **options: object
    ) -> None:
        """Starts a worker and lists it."""
        port = find_port()
        arguments = ["--port", str(port)]
        self.spawn(
            name, "standins.worker", *arguments, *_format_options(options)
        )
        self._list(name, "worker", data_centre, port, rack=rack)

    def add_entry(
        self, name: str, data_centre: str, store: str = "", listed: str = ""
    ) -> None:
        """Starts an entry instance and lists it.

        Args:
            name: Its id.
            data_centre: Its data centre.
            store: Address of a relay to the store; empty for the store itself.
            listed: Address of a relay to its address for peers, which is listed
                instead; empty if there is none.
        """
        ports = [find_port() for _ in range(3)]
        callers, operators, peers = (f"{HOST}:{port}" for port in ports)
        settings = {
            "instance_id": name,
            "data_centre": data_centre,
            "callers_listen": callers,
            "operators_listen": operators,
            "peers_listen": peers,
            "store_address": store or self.store,
        }
        path = self.directory / f"{name}.yaml"
        path.write_text(yaml.safe_dump(settings), encoding="utf-8")
        self.entries[name] = Entry(
            name, data_centre, callers, operators, peers, path
        )
        self._list(name, "entry", data_centre, ports[2])
        if listed:
            self.listings[-1]["address"] = listed
        self.start_entry(name)

    def start_entry(self, name: str) -> None:
        """Starts or restarts an entry instance that was added."""
        path = str(self.entries[name].settings)
        self.spawn(name, "sapphirestall_entry.main", path)

    def _list(
        self, name: str, kind: str, data_centre: str, port: int, **more: str
    ) -> None:
        self.addresses[name] = f"{HOST}:{port}"
        self.listings.append(
            {
                "instance_id": name,
                "kind": kind,
                "data_centre": data_centre,
                "address": self.addresses[name],
                "state": "live",
                "incarnation": name,
                **more,
            }
        )

    async def publish(self, session: aiohttp.ClientSession) -> None:
        """Sends the instance list to the platform."""
        url = f"http://{self.store}/instances"
        async with session.put(url, json=self.listings) as response:
            response.raise_for_status()

    async def wait_ready(self, session: aiohttp.ClientSession) -> None:
        """Waits until the store and every entry instance answer.

        Raises:
            TimeoutError: One did not answer within `START_TIMEOUT_S`.
        """
        urls = [f"http://{self.store}/counts"]
        urls += [f"http://{e.operators}/healthz" for e in self.entries.values()]
        async with asyncio.timeout(START_TIMEOUT_S):
            for url in urls:
                while not await _answers(session, url):
                    await asyncio.sleep(0.05)

    async def stop_async(self) -> None:
        """Ends all processes without blocking the event loop."""
        for process in self.processes.values():
            process.terminate()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(STOP_TIMEOUT_S):
                while any(p.poll() is None for p in self.processes.values()):
                    await asyncio.sleep(0.1)
        for process in self.processes.values():
            process.kill()
            process.wait()

    def stop(self) -> None:
        """Ends all processes; blocks until they have ended."""
        for process in self.processes.values():
            process.terminate()
        for process in self.processes.values():
            try:
                process.wait(STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()


async def _answers(session: aiohttp.ClientSession, url: str) -> bool:
    try:
        async with session.get(url) as response:
            return response.status == 200
    except aiohttp.ClientError:
        return False


def _format_options(options: dict[str, object]) -> list[str]:
    return [
        text
        for name, value in options.items()
        for text in (f"--{name.replace('_', '-')}", str(value))
    ]
