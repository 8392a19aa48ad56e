"""The input of a client connection, which is parsed one request at a time."""

from __future__ import annotations

import logging
from dataclasses import dataclass

from load_balancer.proxy.http.reader import HttpMessage, HttpMessageError, HttpReader

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class ParsedInput:
    """What a piece of input contained.

    Attributes:
        requests: the complete requests, in order; usually one at most.
        error_status: the status code to answer the input after these requests with, or 0 if it is valid.
    """

    requests: list[HttpMessage]
    error_status: int


class RequestInput:
    """Parses input up to the end of one request, and keeps the rest until it is asked to go on.

    A client may send many small requests at once, whose cost is in their number and not in their bytes.
    """

    __slots__ = ("_reader", "_requests", "_unparsed")

    def __init__(self) -> None:
        self._requests: list[HttpMessage] = []  # those of the piece of input that is being parsed
        self._unparsed = b""
        self._reader = HttpReader(self._on_request, requests=True)

    @property
    def has_unparsed(self) -> bool:
        """Whether input that has been read waits to be parsed."""
        return bool(self._unparsed)

    @property
    def in_request(self) -> bool:
        """Whether a part of a request has been parsed, and the request is not complete."""
        return self._reader.in_message

    @property
    def in_body(self) -> bool:
        """Whether the head of a request has been parsed, and the request is not complete."""
        return self._reader.in_body

    @property
    def held_bytes(self) -> int:
        """The memory that the incomplete request takes."""
        return self._reader.held_bytes

    def keep(self, data: bytes) -> None:
        """Keep input that has been read, to be parsed later; all earlier input must have been parsed."""
        self._unparsed = data

    def parse_request(self) -> ParsedInput:
        """Parse the kept input up to the end of one request."""
        data, self._unparsed = self._unparsed, b""
        error_status = 0
        try:
            self._unparsed = self._reader.feed_message(data)
        except HttpMessageError as error:
            error_status = error.status
        except Exception:
            log.exception("request_read_failed")
            error_status = 500
        requests, self._requests = self._requests, []
        return ParsedInput(requests, error_status)

    def stop(self) -> None:
        """Parse no further request, and drop the input that waits to be parsed."""
        self._unparsed = b""
        self._reader.stop()

    def discard_request(self) -> None:
        """Drop the incomplete request; nothing can be parsed any more."""
        self._reader.discard()

    def drop_content(self) -> None:
        """Drop the content of the request whose body is being read; its rest is still parsed."""
        self._reader.drop_content()

    def close(self) -> None:
        """Free the parser and the incomplete request, because the connection has ended."""
        self._unparsed = b""
        self._reader.close()

    def _on_request(self, message: HttpMessage) -> None:
        """Keep a complete request until the parser has returned; called by the reader."""
        self._requests.append(message)
