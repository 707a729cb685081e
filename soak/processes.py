"""Processes of entry instances: start, signals, end."""

from __future__ import annotations

import asyncio
import os
import pathlib
import signal
import subprocess
import sys
import time

import attrs

PROGRAM = "sapphirestall_platform"
SETTINGS_VARIABLE = "SAPPHIRESTALL_CONFIG"
POLL_INTERVAL_S = 0.1
CALLERS_PORT = 8161
READY_PORT = 8167


@attrs.define(eq=False)
class Instance:
    """An entry instance and its process.

    Attributes:
        name: Name of the instance.
        data_centre: Name of its data centre.
        host: Loopback address that no other instance or soak uses.
        settings: Path of its settings file.
        log: Path of its log.
        process: Last process that was started; None if none was.
        sigterm_at: Monotonic time at which the process was first sent SIGTERM,
            in seconds; None if it was not.
        pause_count: Number of faults that currently pause the process.
        paused_at: Monotonic time at which the process was paused, in seconds;
            None if it is not paused. A process that was started during a pause
            is not paused.
        paused_s: Time for which the process was paused since it was first sent
            SIGTERM, without a pause that lasts, in seconds.
        should_run: Whether a process should be running.
        is_removed: Whether the instance was removed and is not started again.
        started_at: Monotonic time at which the process was started, in seconds.
    """

    name: str
    data_centre: str
    host: str
    settings: pathlib.Path
    log: pathlib.Path
    process: subprocess.Popen[bytes] | None = None
    sigterm_at: float | None = None
    pause_count: int = 0
    paused_at: float | None = None
    paused_s: float = 0.0
    should_run: bool = False
    is_removed: bool = False
    started_at: float = 0.0

    @property
    def ready_address(self) -> str:
        """Address of the readiness check, as host:port."""
        return f"{self.host}:{READY_PORT}"

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended; it may be paused."""
        return self.process is not None and self.process.poll() is None

    def start(self) -> None:
        """Starts a process unless one runs or the instance was removed."""
        if self.is_running or self.is_removed:
            return
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", PROGRAM],
                env={**os.environ, SETTINGS_VARIABLE: str(self.settings)},
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                # Each has a group of its own: if a group loses its parent while
                # one of its processes is stopped, the kernel sends SIGHUP to
                # all of them.
                process_group=0,
            )
        self.sigterm_at = None
        self.paused_at = None
        self.should_run = True
        self.started_at = time.monotonic()

    def kill(self) -> None:
        """Ends the process with SIGKILL."""
        self.should_run = False
        self._signal(signal.SIGKILL)

    def stop(self) -> None:
        """Sends SIGTERM to the process."""
        self.should_run = False
        if self.sigterm_at is None:
            self.sigterm_at = time.monotonic()
            self.paused_s = 0.0
        self._signal(signal.SIGTERM)

    def pause(self) -> None:
        """Pauses the process; overlapping pauses are counted."""
        self.pause_count += 1
        if self.is_running and self.paused_at is None:
            self.paused_at = time.monotonic()
        self._signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Ends one pause; the process continues once all have ended."""
        self.pause_count -= 1
        if not self.pause_count:
            self.paused_s += self._get_current_pause_s(time.monotonic())
            self.paused_at = None
            self._signal(signal.SIGCONT)

    def _signal(self, number: signal.Signals) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def get_shutdown_s(self, now: float) -> float:
        """Returns the time for which a process has been able to shut down.

        This is the time since it was first sent SIGTERM, without the time for
        which it was paused and so could not handle the signal.

        Args:
            now: Monotonic time, in seconds.

        Returns:
            The time in seconds; 0 if the process was not sent SIGTERM.
        """
        if self.sigterm_at is None:
            return 0.0
        paused_s = self.paused_s + self._get_current_pause_s(now)
        return now - self.sigterm_at - paused_s

    def _get_current_pause_s(self, now: float) -> float:
        """Returns for how long a pause has lasted since SIGTERM, in seconds."""
        if self.sigterm_at is None or self.paused_at is None:
            return 0.0
        return now - max(self.paused_at, self.sigterm_at)

    async def wait_exit(self, limit_s: float) -> bool:
        """Waits for a process that was sent SIGTERM to end.

        Args:
            limit_s: Time for which the process may be able to run until then,
                in seconds.

        Returns:
            Whether it ended within the limit.
        """
        process = self.process
        while process is not None and process.poll() is None:
            if self.get_shutdown_s(time.monotonic()) > limit_s:
                return False
            await asyncio.sleep(POLL_INTERVAL_S)
        return True

    def has_failed(self) -> bool:
        """Returns whether the process has ended though it should run."""
        return self.should_run and not self.is_running
