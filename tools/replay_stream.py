"""Send the recorded batches of tests/data/stream.bin to the adapter, and check its replies.

The adapter is started with the command in deploy/balancer.toml.

    python -m tools.replay_stream             replay the recording; run from the root of the repository
    python -m tools.replay_stream --record    regenerate the recording

``stream_recording`` describes the content of the batches.  The frames are written and read without
``load_balancer.simulator.codec``.
"""

from __future__ import annotations

import argparse
import os
import struct
import subprocess
import sys
from collections.abc import Iterable

from tools.adapter_protocol import (
    BATCH_HEADER,
    ROOT,
    ActionCode,
    ActionRecord,
    Reply,
    adapter_command,
    read_replies,
)
from tools.stream_recording import STEADY_REQUESTS, recorded_batches

STREAM = ROOT / "tests" / "data" / "stream.bin"
MIN_FORWARDED_BY_CHANGING_INSTANCE = 21
REQUEST_ID = struct.Struct("<4xI")  # skips the 4 bytes of the instance id
FAULT_TEXT_OFFSET = 6  # the text follows the instance id and the length of the text


def count_batches(stream: bytes) -> int:
    """Return the number of batch frames in a stream."""
    count = 0
    position = 0
    while position < len(stream):
        size, *_ = BATCH_HEADER.unpack_from(stream, position)
        position += BATCH_HEADER.size + size
        count += 1
    return count


def adapter_output(command: str, stream: bytes, hash_seed: str) -> bytes:
    """Run the adapter on a stream with this hash seed, and return its complete output.

    Raises:
        AssertionError: the adapter did not exit with code 0.
    """
    environment = {**os.environ, "PYTHONHASHSEED": hash_seed}
    run = subprocess.run(
        ["/bin/sh", "-c", command], input=stream, capture_output=True, cwd=ROOT, env=environment, check=False
    )
    assert run.returncode == 0, f"exit code {run.returncode}: {run.stderr.decode()}"
    return run.stdout


def request_ids(actions: Iterable[ActionRecord], code: ActionCode) -> set[int]:
    """Return the ids of the requests to which the actions with this code apply."""
    return {REQUEST_ID.unpack_from(action.fields)[0] for action in actions if action.code == code}


def check_replies(replies: list[Reply]) -> None:
    """Check the replies to the recorded events.

    No instance may report a fault.  Each request of instance 1 must be forwarded and neither rejected nor
    failed.  Instance 2 must forward at least MIN_FORWARDED_BY_CHANGING_INSTANCE requests.

    Raises:
        AssertionError: a reply is wrong; the message describes how.
    """
    actions = [action for reply in replies for action in reply.actions]
    for action in actions:
        is_fault = action.code == ActionCode.INSTANCE_FAULT
        assert not is_fault, f"an instance failed: {action.fields[FAULT_TEXT_OFFSET:].decode()}"
    forwarded = request_ids(actions, ActionCode.SEND_ATTEMPT)
    missing = STEADY_REQUESTS - forwarded
    assert not missing, f"requests of instance 1 were not forwarded: {sorted(missing)}"
    unserved = request_ids(actions, ActionCode.REJECT_REQUEST) | request_ids(actions, ActionCode.FAIL_REQUEST)
    rejected_or_failed = STEADY_REQUESTS & unserved
    assert not rejected_or_failed, f"forwarded requests were rejected or failed: {sorted(rejected_or_failed)}"
    forwarded_by_changing_instance = forwarded - STEADY_REQUESTS
    assert (
        len(forwarded_by_changing_instance) >= MIN_FORWARDED_BY_CHANGING_INSTANCE
    ), "instance 2 forwarded too few requests"


def record() -> None:
    """Regenerate the recording."""
    STREAM.parent.mkdir(exist_ok=True)
    STREAM.write_bytes(b"".join(batch.pack() for batch in recorded_batches()))


def replay() -> None:
    """Replay the recording twice, with different hash seeds, and check the replies.

    Raises:
        AssertionError: the adapter failed or its replies are wrong; the message describes how.
    """
    command = adapter_command()
    stream = STREAM.read_bytes()
    output = adapter_output(command, stream, "1")
    assert output == adapter_output(command, stream, "2"), "replies depend on the order of a hash table"
    replies = list(read_replies(output))
    assert len(replies) == count_batches(stream), "the number of replies differs from the number of batches"
    check_replies(replies)
    action_count = sum(len(reply.actions) for reply in replies)
    print(f"recorded stream: {len(replies)} replies, {action_count} actions, all as expected")


def main() -> int:
    """Replay or regenerate the recording, and return exit code 0 on success."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else None)
    parser.add_argument("--record", action="store_true", help="regenerate the recording")
    if parser.parse_args().record:
        record()
    else:
        replay()
    return 0


if __name__ == "__main__":
    sys.exit(main())
