"""Measures the processor time of a call over loopback, by size of its answer.

The server runs on a separate thread; only the time of the client's thread is
counted. Usage: `python -m bench.call_cost`.
"""

import asyncio
import json
import threading
import time

from sapphirestall_platform import transport

# Number of rows in an answer: 0 for a command, the others for listings.
ROW_COUNTS = (0, 8, 30)
WARM_UP_CALLS = 50
MEASURED_CALLS = 600
CALL_TIMEOUT_S = 5.0
# An owner of 60 workers makes this many calls a second. On the smallest
# machines, with 0.3 cores, they may take a quarter of its processor time.
OWNER_CALLS_PER_S = 400
OWNER_CORES = 0.3
OWNER_SHARE = 0.25
BOUND_S = OWNER_CORES * OWNER_SHARE / OWNER_CALLS_PER_S


def make_answer(rows: int) -> bytes:
    """Returns an encoded response with a number of rows."""
    listed = [[f"{row:016x}.0.1.{row}", 2, "", 41, 310] for row in range(rows)]
    body = json.dumps({"clock": 482_113, "rows": listed}).encode()
    head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


async def serve(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Answers requests on a connection; the path is the number of rows."""
    try:
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            path = head.split(b" ", 2)[1].decode()
            length = head.lower().partition(b"content-length: ")[2]
            await reader.readexactly(int(length.split(b"\r\n")[0]))
            writer.write(make_answer(int(path.removeprefix("/"))))
    except (asyncio.IncompleteReadError, ConnectionError):
        writer.close()


def start_server() -> int:
    """Starts a server on a separate thread and returns its port."""
    ports: list[int] = []
    started = threading.Event()

    async def run() -> None:
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        ports.append(server.sockets[0].getsockname()[1])
        started.set()
        await server.serve_forever()

    threading.Thread(target=lambda: asyncio.run(run()), daemon=True).start()
    started.wait()
    return ports[0]


async def measure(address: str, rows: int) -> float:
    """Returns the processor time of one call, in seconds."""
    body = {"last": 57, "until": 486_000, "token": 7}
    session = transport.make_session(1, (transport.make_trace(),))
    async with session:
        client = transport.Transport(session)
        before = 0.0
        for number in range(WARM_UP_CALLS + MEASURED_CALLS):
            if number == WARM_UP_CALLS:
                before = time.thread_time()
            await client.exchange(
                "POST", address, f"/{rows}", body, CALL_TIMEOUT_S
            )
        return (time.thread_time() - before) / MEASURED_CALLS


def main() -> None:
    """Prints the cost by size, and whether a command meets its bound."""
    address = f"127.0.0.1:{start_server()}"
    costs = {rows: asyncio.run(measure(address, rows)) for rows in ROW_COUNTS}
    for rows, cost_s in costs.items():
        print(f"answer of {rows} rows: {1e6 * cost_s:.0f} us a call")
    outcome = "ok" if costs[0] <= BOUND_S else "MISSED"
    print(f"bound of a call without rows {1e6 * BOUND_S:.0f} us: {outcome}")


if __name__ == "__main__":
    main()
