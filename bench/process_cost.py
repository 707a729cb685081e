"""Measures the processor time of a process that owns nothing.

Starts processes one after the other beside a stand-in of the store, and reads
their processor time when they are ready and while they idle. The libraries and
packages come from the folder in `PYTHONPATH`, as on the platform.
Usage: `PYTHONPATH=target/deps python -m bench.process_cost`.
"""

import asyncio
import os
import pathlib
import random
import statistics
import sys
import tempfile
import time

import attrs

REPOSITORY = pathlib.Path(__file__).parent.parent
# The bench itself also uses the stand-ins, which no deployed process has.
sys.path += [str(REPOSITORY / "platform" / "standins"), str(REPOSITORY)]

from sapphirestall_core.batch import model  # noqa: E402
from sapphirestall_standins import documents  # noqa: E402
from sapphirestall_standins import store as store_module  # noqa: E402
from soak import processes  # noqa: E402

REPEATS = 5
SETTLE_S = 2.0
MEASURED_S = 4.0
CHECK_INTERVAL_S = 1.0
POLL_INTERVAL_S = 0.1
READY_LIMIT_S = 20.0
HOST = "127.0.0.1"
CALLERS_PORT = 28161
READY_PORT = 28167
REQUEST = b"GET /sapphirestall/ready HTTP/1.1\r\nHost: x\r\n\r\n"


@attrs.frozen
class Cost:
    """Processor time and memory of one process.

    Attributes:
        start_s: Processor time until it was ready, in seconds.
        idle_s: Processor time per second with a readiness check a second, in
            seconds.
        memory_mb: Resident memory at the end, in MB.
    """

    start_s: float
    idle_s: float
    memory_mb: float


def read_cpu_s(pid: int) -> float:
    """Returns the processor time of all threads of a process, in seconds."""
    threads = pathlib.Path(f"/proc/{pid}/task").iterdir()
    times = [
        (thread / "schedstat").read_text().split()[0] for thread in threads
    ]
    return sum(map(int, times)) / 1e9


def read_memory_mb(pid: int) -> float:
    """Returns the resident memory of a process, in MB."""
    pages = int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


async def check_ready(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> bool:
    """Sends a readiness check on an open connection; returns its outcome."""
    writer.write(REQUEST)
    head = await reader.readuntil(b"\r\n\r\n")
    return b" 200 " in head.split(b"\r\n")[0]


async def wait_ready() -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Waits for the process to be ready; returns the connection to it."""
    deadline = time.monotonic() + READY_LIMIT_S
    streams = None
    while time.monotonic() < deadline:
        try:
            streams = streams or await asyncio.open_connection(HOST, READY_PORT)
            if await check_ready(*streams):
                return streams
        except OSError:
            streams = None
        await asyncio.sleep(POLL_INTERVAL_S)
    raise TimeoutError(f"not ready within {READY_LIMIT_S} s")


async def measure(settings: pathlib.Path) -> Cost:
    """Starts a process, measures it and ends it."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "sapphirestall_platform",
        env={**os.environ, processes.SETTINGS_VARIABLE: str(settings)},
        stdout=asyncio.subprocess.DEVNULL,
    )
    try:
        streams = await wait_ready()
        start_s = read_cpu_s(process.pid)
        await asyncio.sleep(SETTLE_S)
        before = read_cpu_s(process.pid)
        for _ in range(round(MEASURED_S / CHECK_INTERVAL_S)):
            await check_ready(*streams)
            await asyncio.sleep(CHECK_INTERVAL_S)
        idle_s = (read_cpu_s(process.pid) - before) / MEASURED_S
        memory_mb = read_memory_mb(process.pid)
        streams[1].close()
    finally:
        process.kill()
        await process.wait()
    return Cost(start_s, idle_s, memory_mb)


async def run() -> None:
    """Measures `REPEATS` processes and prints the median costs."""
    store = store_module.Store(
        random.Random(1), lambda _: "", lambda _, name: name, 500
    )
    configuration = model.Configuration(1, (), (model.Service("rota"),))
    store.write(
        store_module.CONFIGURATION_KEY,
        documents.encode_configuration(configuration),
    )
    port = await store.listen(HOST)
    expiry = asyncio.create_task(store.run())
    with tempfile.TemporaryDirectory() as directory:
        path = pathlib.Path(directory) / "boot.conf"
        settings = documents.InstanceSettings(
            "e1",
            "dc1",
            ("dc1",),
            f"{HOST}:{CALLERS_PORT}",
            f"{HOST}:{READY_PORT}",
            f"{HOST}:{port}",
        )
        path.write_text(documents.encode_settings(settings))
        costs = [await measure(path) for _ in range(REPEATS)]
    expiry.cancel()
    starts = sorted(cost.start_s for cost in costs)
    print(
        f"start {statistics.median(starts):.3f} s"
        f" ({starts[0]:.3f} to {starts[-1]:.3f}),"
        f" idle {1e3 * statistics.median(c.idle_s for c in costs):.2f} ms/s,"
        f" memory {statistics.median(c.memory_mb for c in costs):.1f} MB"
    )


if __name__ == "__main__":
    asyncio.run(run())
