"""Run independent policy instances for the simulator: read batches from stdin, write replies to stdout.

    python -m load_balancer.simulator.adapter

The command exits with code 0 at the end of its input, with code 2 and one line on standard error if the input
is malformed, and with code 1 if its output has been closed by the reader.
"""

from __future__ import annotations

import sys
from collections.abc import Sequence
from typing import BinaryIO

from load_balancer.actions import Action
from load_balancer.policy.balancer import Balancer
from load_balancer.simulator.codec import Batch, WireError, encode_reply, read_batch, split_records
from load_balancer.simulator.decoding import Decoder, InstanceEvent, InstanceKilled, InstanceStarted
from load_balancer.simulator.encoding import encode_action, encode_fault

EXIT_OK = 0
EXIT_OUTPUT_CLOSED = 1
EXIT_BAD_INPUT = 2


class InstanceHost:
    """The policy instances of one process; they share the record decoder but no policy state."""

    def __init__(self) -> None:
        self._decoder = Decoder()
        self._instances: dict[int, Balancer] = {}

    def handle_batch(self, batch: Batch) -> bytes:
        """Apply the events of one batch and return the encoded reply frame with the resulting actions.

        Raises:
            WireError: a record cannot be decoded or names an instance that has not been started, or the body
                of the batch is shorter or longer than its records.
        """
        replies: list[bytes] = []
        for code, fields in split_records(batch):
            record = self._decoder.decode(code, fields)
            if record is not None:
                instance_id, event = record
                replies.extend(self._apply_and_encode(instance_id, event, batch.now_ms))
        return encode_reply(replies)

    def _apply_and_encode(self, instance_id: int, event: InstanceEvent, now_ms: float) -> list[bytes]:
        try:
            actions = self._apply(instance_id, event, now_ms)
        except WireError:
            raise
        except Exception as error:  # report the error in the reply, so that the other instances continue
            return [encode_fault(instance_id, f"{type(error).__name__}: {error}")]
        return [encode_action(instance_id, action) for action in actions]

    def _apply(self, instance_id: int, event: InstanceEvent, now_ms: float) -> Sequence[Action]:
        if isinstance(event, InstanceStarted):
            self._instances[instance_id] = Balancer(event.settings, event.seed)
            return ()
        if isinstance(event, InstanceKilled):
            self._instances.pop(instance_id, None)
            return ()
        instance = self._instances.get(instance_id)
        if instance is None:
            raise WireError(f"instance {instance_id}", "an event came before the instance's start record")
        return instance.handle(event, now_ms)


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Handle batches from the source until it ends, and write one reply frame for each to the sink.

    Each reply is flushed at once, because the simulator sends the next batch only after it has read
    the reply.

    Raises:
        WireError: the input is malformed.
    """
    host = InstanceHost()
    while (batch := read_batch(source)) is not None:
        sink.write(host.handle_batch(batch))
        sink.flush()


def main() -> int:
    """Serve batches on standard input and output, and return the exit code."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except WireError as error:
        print(f"load_balancer.simulator.adapter: {error}", file=sys.stderr)
        return EXIT_BAD_INPUT
    except BrokenPipeError:
        return EXIT_OUTPUT_CLOSED
    return EXIT_OK


if __name__ == "__main__":
    sys.exit(main())
