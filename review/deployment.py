"""A small deployment: entry processes, a store, executors and requesters."""

import asyncio
import contextlib
import os
import pathlib
import shutil
import signal
import socket
import sys
import tempfile
import time
from typing import Any

import aiohttp
import standin_store
import standin_worker

HOST = "press.example"
PREFIX = "/desk/"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
COMMAND = ("python3", "-m", "sapphirestall_platform")
ROOT = pathlib.Path(__file__).resolve().parent.parent
# Bounds of a small deployment, as in the example of DEPLOY.md.
SETTINGS = """\
node={node}
role=scheduler
class=edge
serves=edge
ip=127.0.0.1
zone={zone}
region=region-{zone}
zones.{zone}=region-{zone}
listen.front=127.0.0.1:{front}
listen.ready=127.0.0.1:{ready}
limits.cpu_share=0.43
limits.cores=1
limits.memory_mb=300
limits.max_fds=4100
heartbeat_ms=1500
tolerate.machines=1
tolerate.zones=1
tolerate.regions=1
bounds.contact_ms=3000
bounds.ack_ms=4000
bounds.drain_ms=2000
bounds.grace_s=6
bounds.config_apply_ms=2000
bounds.recover_s=12
bounds.hold_max_ms=6000
bounds.stop_ms=400
bounds.cancel_ms=3000
bounds.visible_ms=3000
bounds.status_s=120
orders=call
platform.address=127.0.0.1:{store}
platform.form=kv
platform.writes_per_s=400
platform.reads_per_s=2000
platform.history_s=20
platform.value_bytes=1048576
platform.ttl_min_ms=1000
"""
ROUTE = {
    "name": "tally",
    "host": HOST,
    "prefix": PREFIX,
    "service": "desk",
    "priority": 0,
    "max_attempts": 4,
    "stretch": 2.0,
    "target_latency_ms": 1000,
}


class UnableError(Exception):
    """The case can't run here."""


def find_port() -> int:
    """Returns a free port of the loopback address."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port: int = probe.getsockname()[1]
        return port


class Instance:
    """An entry process of the system."""

    def __init__(self, name: str, zone: str, directory: pathlib.Path) -> None:
        self.name, self.zone, self.directory = name, zone, directory
        self.front, self.ready = 0, 0
        self.process: asyncio.subprocess.Process | None = None

    async def start(self, store_port: int) -> None:
        """Starts the process with the command of the deploy file."""
        path = self.directory / f"{self.name}.conf"
        text = SETTINGS.format(
            node=self.name,
            zone=self.zone,
            front=self.front,
            ready=self.ready,
            store=store_port,
        )
        path.write_text(text, encoding="utf-8")
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": str(self.directory),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "SAPPHIRESTALL_CONFIG": str(path),
        }
        with (self.directory / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *COMMAND, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    async def stop(self, number: signal.Signals) -> None:
        """Sends a signal to the process and waits for its end."""
        if self.process is None or self.process.returncode is not None:
            return
        self.process.send_signal(number)
        try:
            await asyncio.wait_for(self.process.wait(), 8)
        except TimeoutError:
            self.process.kill()
            await self.process.wait()


class Deployment:
    """The parties of a case and the record of what they saw."""

    def __init__(self) -> None:
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.started_at = time.monotonic()
        self.events: list[dict[str, Any]] = []
        self.store = standin_store.Store()
        self.workers: dict[str, standin_worker.Worker] = {}
        self.instances: dict[str, Instance] = {}
        self.durations: dict[str, float] = {}
        self.store_ports: dict[str, int] = {}
        # What a task of each step requests, by the step's number.
        self.amounts: dict[str, int] = {}

    def now(self) -> float:
        """Returns the seconds since the start."""
        return round(time.monotonic() - self.started_at, 3)

    def note(self, what: str, **fields: Any) -> None:
        """Records an event."""
        self.events.append({"t": self.now(), "what": what, **fields})

    def find(self, what: str, **fields: Any) -> list[dict[str, Any]]:
        """Returns the recorded events of a kind with these fields."""
        return [
            event
            for event in self.events
            if event["what"] == what
            and all(event.get(name) == value for name, value in fields.items())
        ]

    def get_duration(self, task: str) -> float:
        """Returns how long a task takes, by the job and step in its name."""
        job, _, step, _ = task.split(".")
        return self.durations.get(f"{job}.{step}", 1.0)

    def add_worker(
        self, name: str, zone: str, labels: list[str], cpu: int = 4000
    ) -> standin_worker.Worker:
        """Adds an executor, which `start` starts."""
        worker = standin_worker.Worker(
            self.store, self.note, name, zone, labels, self.get_duration, cpu
        )
        self.workers[name] = worker
        return worker

    def add_instance(self, name: str, zone: str) -> None:
        """Adds an entry process, which `start` starts."""
        self.instances[name] = Instance(name, zone, self.directory)

    def find_address(self, region: str, server: str) -> str | None:
        """Returns where the nodes of a region reach an executor."""
        worker = self.workers.get(server)
        if worker is None or not region or worker.zone == region:
            return None
        return f"127.0.0.1:{worker.far_port}"

    def set_region_lost(self, region: str, lost: bool) -> None:
        """Cuts a region off from the platform and all others, or heals it."""
        self.note("region_lost" if lost else "region_back", region=region)
        if lost:
            self.store.lost_regions.add(region)
        else:
            self.store.lost_regions.discard(region)
        for worker in self.workers.values():
            worker.far_lost = lost
            if worker.zone == region:
                worker.cut_from_store = lost

    async def start(self) -> None:
        """Starts all parties and waits until the system can accept work."""
        await self.store.start()
        self.store.find_address = self.find_address
        for zone in {instance.zone for instance in self.instances.values()}:
            self.store_ports[zone] = await self.store.listen(zone)
        config = {
            "version": 3,
            "routes": [ROUTE],
            "services": [{"name": "desk"}],
            "limits": {},
        }
        self.store.put("op/config", config)
        for worker in self.workers.values():
            await worker.start()
            worker.report()
        for instance in self.instances.values():
            instance.front, instance.ready = find_port(), find_port()
            await instance.start(self.store_ports[instance.zone])
        await self._wait_until_ready()
        partitions = {
            (worker.zone, (int(worker.labels[1][1:]) + 1) // 2)
            for worker in self.workers.values()
        }
        ends_at = time.monotonic() + 20
        while time.monotonic() < ends_at:
            listed = [k for k in self.store.items if k.startswith("summaries/")]
            if listed and len(listed) >= len(partitions):
                await asyncio.sleep(1.5)
                self.note("ready", partitions=len(listed))
                return
            await asyncio.sleep(0.1)
        raise UnableError("no owner for some partition")

    async def _wait_until_ready(self) -> None:
        ends_at = time.monotonic() + 30
        async with aiohttp.ClientSession() as session:
            for instance in self.instances.values():
                url = f"http://127.0.0.1:{instance.ready}/sapphirestall/ready"
                while True:
                    with contextlib.suppress(aiohttp.ClientError, OSError):
                        async with session.get(url) as response:
                            if response.status == 200:
                                break
                    process = instance.process
                    if process is not None and process.returncode is not None:
                        # Another program has taken a port meanwhile.
                        instance.front, instance.ready = (
                            find_port(),
                            find_port(),
                        )
                        await instance.start(self.store_ports[instance.zone])
                        url = f"http://127.0.0.1:{instance.ready}"
                        url += "/sapphirestall/ready"
                    if time.monotonic() > ends_at:
                        raise UnableError(f"{instance.name} isn't ready")
                    await asyncio.sleep(0.1)

    def find_owner(self, partition: str) -> Instance:
        """Returns the entry process that owns a partition."""
        record = self.store.read(f"owners/{partition}")
        if record is None:
            raise UnableError(f"{partition} has no owner")
        return self.instances[record["instance_id"].partition("/")[0]]

    async def call(
        self,
        method: str,
        instance: str,
        job: str,
        body: object = None,
        deadline_s: float = 3.0,
    ) -> tuple[int, Any]:
        """Makes a requester's call; status 0 stands for no answer."""
        address = f"127.0.0.1:{self.instances[instance].front}"
        headers = {
            "Host": HOST,
            "Deadline-Ms": str(round(deadline_s * 1000)),
        }
        sent_at = self.now()
        status, answer = 0, None
        timeout = aiohttp.ClientTimeout(total=deadline_s + 0.5)
        with contextlib.suppress(aiohttp.ClientError, TimeoutError, OSError):
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.request(
                    method,
                    f"http://{address}{PREFIX}{job}",
                    json=body,
                    headers=headers,
                ) as response,
            ):
                raw = await response.read()
                if raw:
                    answer = await response.json(content_type=None)
                status = response.status
        self.note(
            "call",
            method=method,
            to=instance,
            job=job,
            sent=sent_at,
            status=status,
            answer=answer,
        )
        return status, answer

    async def submit(
        self, job: str, steps: list[dict[str, Any]], instance: str
    ) -> None:
        """Submits a job until it is accepted, as a requester does."""
        for _ in range(5):
            body = {"spec": f"spec of {job}", "steps": steps}
            status, _ = await self.call("POST", instance, job, body)
            if status == 200:
                return
            await asyncio.sleep(1)
        raise UnableError(f"{job} isn't accepted")

    def describe_capacity(
        self, cpu: int, label: str = ""
    ) -> tuple[int, float, list[str]]:
        """Returns the free capacity for tasks on the executors that are up.

        Args:
            cpu: What a task requests.
            label: Label that the executor must have; empty for any.

        Returns:
            The number of such tasks that fit, the share of all capacity that is
            in use, and the ids of the executors with room for one.
        """
        fitting, used, total, names = 0, 0, 0, []
        for worker in self.workers.values():
            if not worker.up:
                continue
            taken = sum(
                self.amounts.get(task.split(".")[2], 0)
                for task, _ in worker.running
            )
            used += taken
            total += worker.cpu
            count = (worker.cpu - taken) // cpu
            if count and (not label or label in worker.labels):
                fitting += count
                names.append(worker.name)
        return fitting, used / max(1, total), names

    async def stop(self) -> None:
        """Ends all processes and removes the temporary folder."""
        for instance in self.instances.values():
            await instance.stop(signal.SIGKILL)
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.directory, keep, dirs_exist_ok=True)
        shutil.rmtree(self.directory, ignore_errors=True)

    def write_record(self, path: pathlib.Path, verdict: str) -> None:
        """Writes what was sent, answered and run, and the verdict."""
        lines = [f"TROUBLE={int(TROUBLE)}"]
        for event in self.events:
            fields = " ".join(
                f"{name}={value}"
                for name, value in event.items()
                if name not in ("t", "what")
            )
            lines.append(f"{event['t']:8.3f} {event['what']} {fields}")
        lines.append(verdict)
        path.write_text("\n".join(lines) + "\n", encoding="utf-8")


def find_overlaps(parties: Deployment) -> list[str]:
    """Returns which tasks had two runs at the same time."""
    breaches = []
    for event in parties.find("start"):
        for other in parties.find("start", task=event["task"]):
            if other["t"] <= event["t"]:
                continue
            ends = [
                end["t"]
                for end in parties.find("end", task=event["task"])
                if end["run"] == event["run"]
            ]
            ends += [
                crash["t"]
                for crash in parties.find("crashes", worker=event["worker"])
            ]
            ends_at = min(ends, default=parties.now())
            if other["t"] < ends_at:
                breaches.append(
                    f"TWICE: {event['task']} run {event['run']} on "
                    f"{event['worker']} from {event['t']} to {ends_at}, run "
                    f"{other['run']} on {other['worker']} from {other['t']}"
                )
    return breaches


def main(build: Any, play: Any) -> None:
    """Plays a case and exits with 1 if the rule was broken.

    Args:
        build: Adds the parties to a deployment.
        play: Coroutine that plays the case; returns the breaches seen.
    """
    sys.exit(asyncio.run(_run(build, play)))


async def _run(build: Any, play: Any) -> int:
    deployment = Deployment()
    build(deployment)
    code = 2
    try:
        await deployment.start()
        breaches = await play(deployment)
        code = 1 if breaches else 0
        verdict = "BROKEN: " + "; ".join(breaches) if breaches else "held"
    except UnableError as error:
        verdict = f"couldn't run: {error}"
    except Exception as error:  # noqa: BLE001
        # A fault of the script isn't a verdict.
        verdict = f"couldn't run: {error!r}"
    finally:
        await deployment.stop()
    deployment.write_record(pathlib.Path(sys.argv[1]), verdict)
    return code
