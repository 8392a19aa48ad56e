"""The frame of a case: its record, its disruption and its exit code."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from review.common.record import Record


def run_case(script: str, play: Callable[[Record, bool], Awaitable[bool]], *, trouble: bool) -> None:
    """Run a case and end this process with its exit code.

    The exit code is 0 if the rule held, 1 if it was broken, and 2 if the case couldn't run.

    Args:
        script: the path of the script of the case.
        play: plays the case, with or without its disruption, and returns whether the rule held.
        trouble: whether the disruption is played.
    """

    async def main() -> bool:
        record = Record(Path(script).with_name("record.txt"))
        record.add("case_started", trouble=trouble)
        this_task = asyncio.current_task()
        assert this_task is not None
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, this_task.cancel)  # ends the node too
        return await play(record, trouble)

    try:
        code = 0 if asyncio.run(main()) else 1
    except (Exception, asyncio.CancelledError):
        traceback.print_exc()
        code = 2
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(code)  # without waiting for threads of stand-ins, which may still be sending
