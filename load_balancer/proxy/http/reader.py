"""Reads bytes into complete HTTP/1.1 messages of bounded size, requests or responses.

httptools parses; this module adds the size limits and collects the parts of a message until it is complete.
``load_balancer.proxy.http.rendering`` writes messages.
"""

from __future__ import annotations

import re
from dataclasses import dataclass, field
from enum import Enum, auto
from typing import NoReturn, Protocol

import httptools

from load_balancer.proxy.http.headers import CONTENT_LENGTH, TRANSFER_ENCODING

MAX_BODY_BYTES = 64 * 1024
MAX_HEAD_BYTES = 16 * 1024
# Request ids and idempotency keys are forwarded unchanged, so only visible ASCII characters are accepted.
TOKEN = re.compile(rb"[!-~]{1,256}")

_HEAD_TOO_LARGE = "the head is too large"
_BODY_TOO_LARGE = "the body is too large"


class HttpMessageError(Exception):
    """The message is malformed, exceeds a limit or uses an unsupported feature.

    Attributes:
        status: the status code of the response, where the message is a request.
        problem: the error, for log lines.
    """

    def __init__(self, status: int, problem: str) -> None:
        super().__init__(problem)
        self.status = status
        self.problem = problem


@dataclass(slots=True)
class HttpMessage:
    """A complete request or response.

    Attributes:
        target: the request target, unchanged; empty for a response.
        method: the method of a request; empty for a response.
        status: the status code of a response; 0 for a request.
        headers: values by lower-case name; of a duplicate header the last value.
        duplicate_headers: names of the headers that occur more than once.
        body: the content, without the framing of chunks.
        keep_alive: whether the connection may carry another message.
    """

    target: bytes = b""
    method: bytes = b""
    status: int = 0
    headers: dict[bytes, bytes] = field(default_factory=dict)
    duplicate_headers: set[bytes] = field(default_factory=set)
    body: bytes = b""
    keep_alive: bool = False


class MessageHandler(Protocol):
    """Called with each complete message, while the piece of input that completed it is being parsed."""

    def __call__(self, message: HttpMessage, /) -> None:
        """Handle the message."""
        ...


class ReaderState(Enum):
    """Which part of a message the reader expects.

    ======================  ======================  ===================================================
    from                    to                      when
    ======================  ======================  ===================================================
    HEAD                    BODY                    the head is complete
    HEAD                    BODY_UNTIL_CLOSE        the head of a response without a length is complete
    BODY                    HEAD                    the message is complete
    BODY_UNTIL_CLOSE        HEAD                    its sender has closed in order
    ======================  ======================  ===================================================

    Apart from the state, an error ends the reading, and the owner may stop the reader between messages.
    """

    HEAD = auto()
    """The head of a message, which may not have begun."""
    BODY = auto()
    """The body and trailers of a message, which may be empty."""
    BODY_UNTIL_CLOSE = auto()
    """The body of a response that lasts until its sender closes the connection."""


# Python 3.11 looks up a member of an enum slowly, and these are used for each header.
_HEAD = ReaderState.HEAD
_BODY = ReaderState.BODY
_BODY_UNTIL_CLOSE = ReaderState.BODY_UNTIL_CLOSE


class _StopParsing(Exception):  # noqa: N818 - a signal, not an error
    """Makes the parser stop within a piece of input; raised in its callbacks."""


class HttpReader:
    """Feeds bytes to httptools and hands on complete messages, within the size limits.  See ReaderState.

    The reader enforces the limits because the parser itself has none.
    """

    __slots__ = (
        "_body_parts",
        "_body_size",
        "_failure",
        "_head_input_left",
        "_head_size",
        "_message",
        "_on_message",
        "_parser",
        "_state",
        "_stopped",
        "_surplus",
    )

    def __init__(self, on_message: MessageHandler, *, requests: bool) -> None:
        self._on_message = on_message
        self._parser: httptools.HttpRequestParser | httptools.HttpResponseParser
        self._parser = httptools.HttpRequestParser(self) if requests else httptools.HttpResponseParser(self)
        self._state = _HEAD
        self._failure: HttpMessageError | None = None  # the error that ended the reading
        # A head is bounded twice: by the input until it is complete, so that an incomplete one cannot grow
        # without end, and by its own size, as it may be complete within one large piece of input.
        self._head_input_left = MAX_HEAD_BYTES
        self._head_size = 0
        self._message: HttpMessage | None = None  # the message being read, from its first byte on
        self._body_parts: list[bytes] = []  # empty between messages
        self._body_size = 0
        self._stopped = False
        self._surplus = False

    @property
    def in_message(self) -> bool:
        """Whether a message has begun and is not complete yet."""
        return self._message is not None

    @property
    def surplus(self) -> bool:
        """Whether input followed the message after which the reader was stopped."""
        return self._surplus

    def feed(self, data: bytes) -> None:
        """Read a piece of input.

        Raises:
            HttpMessageError: the input is malformed or exceeds a limit; the reader is of no further use.
        """
        if self._state is _HEAD:
            self._head_input_left -= len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if self._stopped:
                self._surplus = True
                return
            if self._failure is None:
                raise HttpMessageError(400, f"malformed message: {error}") from None
        if self._failure is not None:
            raise self._failure
        if self._state is _HEAD and self._head_input_left < 0:
            raise HttpMessageError(400, _HEAD_TOO_LARGE)

    def stop(self) -> None:
        """Read no further message, not even one in the piece of input that is being parsed."""
        self._stopped = True

    def resume(self) -> None:
        """Read messages again; only after a stop without surplus."""
        self._stopped = False

    # Callbacks of httptools.

    def on_message_begin(self) -> None:
        """The first byte of a message was read."""
        if self._stopped:
            raise _StopParsing
        self._message = HttpMessage()
        self._body_size = 0

    def on_url(self, part: bytes) -> None:
        """A part of the request target was read."""
        if self._message is not None:
            self._message.target += part
            self._count_head_bytes(len(part))

    def on_header(self, name: bytes, value: bytes) -> None:
        """A complete header or trailer was read."""
        message = self._message
        if message is None:
            return
        self._count_head_bytes(len(name) + len(value))
        if self._state is not _HEAD:
            return  # a trailer; only the head decides how a message is handled
        name = name.lower()
        if name in message.headers:
            message.duplicate_headers.add(name)
        message.headers[name] = value

    def on_headers_complete(self) -> None:
        """The head is complete."""
        message = self._message
        if message is None:
            return
        self._state = _BODY
        self._check_framing(message)
        parser = self._parser
        if parser.should_upgrade():
            self._fail(400, "protocol upgrades are not supported")
        if isinstance(parser, httptools.HttpRequestParser):
            message.method = parser.get_method()
        else:
            message.status = parser.get_status_code()

    def on_body(self, part: bytes) -> None:
        """A part of the body was read."""
        self._body_size += len(part)
        if self._body_size > MAX_BODY_BYTES:
            self._fail(413, _BODY_TOO_LARGE)
        self._body_parts.append(part)

    def on_message_complete(self) -> None:
        """The last byte of a message was read."""
        if self._failure is None:
            self._complete(keep_alive=self._parser.should_keep_alive())

    def _complete(self, *, keep_alive: bool) -> None:
        message = self._message
        if message is None:
            return
        self._message, self._state = None, _HEAD
        message.body = b"".join(self._body_parts)
        self._body_parts.clear()
        message.keep_alive = keep_alive
        if _is_interim(message.status):
            return  # its size counts towards the head of the final response
        self._head_input_left, self._head_size = MAX_HEAD_BYTES, 0
        self._on_message(message)

    def end_of_input(self) -> None:
        """The peer has closed its side in order, which completes a response without a length."""
        if self._state is _BODY_UNTIL_CLOSE and self._failure is None:
            self._complete(keep_alive=False)

    def _check_framing(self, message: HttpMessage) -> None:
        """Check that the length is given by Content-Length, by chunks, or for a response by the close.

        The parser itself rejects a message with both headers, and lengths that are not numbers.  A response
        without a length lasts until its sender closes the connection (RFC 9112, section 6.3); a reset is no
        such close.
        """
        length = message.headers.get(CONTENT_LENGTH)
        coding = message.headers.get(TRANSFER_ENCODING)
        if coding is not None:
            if length is not None or coding.lower() != b"chunked":
                self._fail(400, "the transfer encoding is not supported")
        elif length is not None:
            if int(length) > MAX_BODY_BYTES:
                self._fail(413, _BODY_TOO_LARGE)
        elif isinstance(self._parser, httptools.HttpResponseParser) and not _has_no_body(
            self._parser.get_status_code()
        ):
            self._state = _BODY_UNTIL_CLOSE

    def _count_head_bytes(self, size: int) -> None:
        """Bound a head that is complete within one piece of input, before its message is handed on."""
        self._head_size += size
        if self._head_size > MAX_HEAD_BYTES:
            self._fail(400, _HEAD_TOO_LARGE)

    def _fail(self, status: int, problem: str) -> NoReturn:
        """End the reading with an error, which feed raises."""
        self._failure = HttpMessageError(status, problem)
        self._body_parts.clear()
        raise _StopParsing


def _has_no_body(status: int) -> bool:
    """Whether a response with this status ends with its head."""
    return _is_interim(status) or status in (204, 304)


def _is_interim(status: int) -> bool:
    """Whether a response with this status announces the final one."""
    return 100 <= status < 200
