"""Read HTTP/1.1 requests or responses of bounded size from a stream of bytes.

httptools parses the bytes.  This module adds size limits and collects the parts of each message until the
message is complete.  ``load_balancer.proxy.http.rendering`` renders messages.
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
# The limit for the headers and trailers of a message and the interim responses before it, together.  Each of
# them costs far more time and memory than its bytes.
MAX_HEADERS = 100
# The parser gets at most this much input at once, so that the limits are checked before it has processed or
# collected much more than they allow.
MAX_PARSED_BYTES = 16 * 1024
# The memory in bytes that a header takes beside its characters: two objects and an entry in a dictionary.
HEADER_OVERHEAD_BYTES = 200
# A chunked message is parsed in pieces of at most this size where its end matters.
CHUNKED_SPLIT_BYTES = 512
# Parts of a body that are smaller than half of this size are joined up to this size.
BODY_PART_BYTES = 4 * 1024
# Matches a valid request id or idempotency key.  The node forwards both unchanged, so it accepts only visible
# ASCII characters in them.
TOKEN_PATTERN = re.compile(rb"[!-~]{1,256}")

_BLANK_LINE = b"\r\n\r\n"  # with the line break before it
_LINE_BREAKS = re.compile(rb"[\r\n]*")

_HEAD_TOO_LARGE = "the head is too large"
_TOO_MANY_HEADERS = "the message has too many headers or trailers"
_BODY_TOO_LARGE = "the body is too large"
_FRAMING_TOO_LARGE = "the chunk extensions or trailers are too large"


class HttpMessageError(Exception):
    """The message is malformed, exceeds a limit or uses an unsupported feature.

    Attributes:
        status: the status code to answer with, if the message is a request.
        problem: a description of the error for log lines.
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
        headers: the values of the headers by lower-case name.  For a duplicate header this is the last value.
        duplicate_headers: the lower-case names of the headers that occur more than once.
        body: the body, without the chunk sizes and chunk delimiters of a chunked message.
        keep_alive: whether the connection may carry another message.
        head_cost_bytes: the memory that the target and the headers take, with the overhead of each header.
        is_dropped: whether the headers and the body were dropped before the message was complete.
    """

    target: bytes = b""
    method: bytes = b""
    status: int = 0
    headers: dict[bytes, bytes] = field(default_factory=dict)
    duplicate_headers: set[bytes] = field(default_factory=set)
    body: bytes = b""
    keep_alive: bool = False
    head_cost_bytes: int = 0
    is_dropped: bool = False


class MessageHandler(Protocol):
    """A callback that receives each complete message.

    The reader calls it while it is still parsing the piece of input in which the message ended.
    """

    def __call__(self, message: HttpMessage, /) -> None:
        """Handle a complete message."""
        ...


class ReaderState(Enum):
    """The part of a message that the reader expects next.

    ======================  ======================  ===================================================
    from                    to                      when
    ======================  ======================  ===================================================
    HEAD                    BODY                    the head is complete
    HEAD                    BODY_UNTIL_CLOSE        the head of a response without a length is complete
    BODY                    HEAD                    the message is complete
    BODY_UNTIL_CLOSE        HEAD                    the sender has closed without a reset
    ======================  ======================  ===================================================

    Two conditions are not part of the state: an error, after which the reader cannot be used any more, and a
    stop by the owner of the reader, which takes effect between messages.
    """

    HEAD = auto()
    """The reader expects the head of a message, or the rest of a head that has begun."""
    BODY = auto()
    """The reader expects the body and the trailers of a message.  Both may be empty."""
    BODY_UNTIL_CLOSE = auto()
    """The reader expects the body of a response that ends when the sender closes the connection."""


# Aliases of the enum members.  Looking up a member on its enum is slow in Python 3.11, and the reader needs a
# member for each header.
_HEAD = ReaderState.HEAD
_BODY = ReaderState.BODY
_BODY_UNTIL_CLOSE = ReaderState.BODY_UNTIL_CLOSE


@dataclass(frozen=True, slots=True)
class _Failure:
    """The error after which a reader reads nothing more.

    This is not the exception that the reader raises: a raised exception refers to the frames that it has
    passed, and through them to the input that was being parsed and to the reader.  A reader that kept it
    would keep that input, which may be far larger than any limit on a message.

    Attributes:
        status: the status code to answer with, if the message is a request.
        problem: a description of the error for log lines.
    """

    status: int
    problem: str


class _StopParsing(Exception):  # noqa: N818 - a signal, not an error
    """Stops the parser within a piece of input.  The callbacks of the parser raise this exception."""


class HttpReader:
    """Parses input with httptools and passes each complete message to a callback.

    The reader enforces the size limits because httptools has none.  ``ReaderState`` describes the states.
    """

    __slots__ = (
        "_body",
        "_body_bytes",
        "_body_length",
        "_body_read",
        "_failure",
        "_has_input_after_stop",
        "_head_size",
        "_header_count",
        "_input_left",
        "_is_complete",
        "_message",
        "_on_message",
        "_parser",
        "_state",
        "_stopped",
    )

    def __init__(self, on_message: MessageHandler, *, requests: bool) -> None:
        self._on_message = on_message
        self._parser: httptools.HttpRequestParser | httptools.HttpResponseParser
        self._parser = httptools.HttpRequestParser(self) if requests else httptools.HttpResponseParser(self)
        self._state = _HEAD
        self._failure: _Failure | None = None
        # Two limits apply to what is not part of a body.  The first limits the input without any progress,
        # which is a complete final head, a part of a body or a complete message.  The parser collects each
        # header and trailer until it is complete, so that otherwise one without end could grow without bound.
        # The second limits the size of the head and the trailers themselves, because one piece of input may
        # contain a complete head that is too large.
        self._input_left = MAX_HEAD_BYTES
        self._head_size = 0
        self._header_count = 0
        self._message: HttpMessage | None = None  # the message being read; None between messages
        # The parts of the body that have been read; empty between messages.  Small parts are joined, because
        # a body in small chunks would take many times its size.  Large ones are not: the bodies of many
        # clients that grew side by side would leave gaps in the process's memory.
        self._body: list[bytes | bytearray] = []
        self._body_bytes = 0
        self._body_read = 0  # the size of the part of the body that has been read, even if it was dropped
        self._body_length: int | None = None  # by Content-Length; None if the end is found in another way
        self._is_complete = False  # whether a message is complete since feed_message() was called
        self._stopped = False
        self._has_input_after_stop = False

    @property
    def in_message(self) -> bool:
        """Whether the first byte of a message has been read and the message is not complete yet."""
        return self._message is not None

    @property
    def has_input_after_stop(self) -> bool:
        """Whether more input followed the message after which the reader was stopped."""
        return self._has_input_after_stop

    @property
    def held_bytes(self) -> int:
        """The memory that the incomplete message takes; 0 between messages."""
        if self._message is None or self._message.is_dropped:
            return 0
        unfinished_bytes = MAX_HEAD_BYTES - self._input_left
        return self._head_cost_bytes() + max(unfinished_bytes - self._head_size, 0) + self._body_bytes

    def _head_cost_bytes(self) -> int:
        return self._head_size + HEADER_OVERHEAD_BYTES * self._header_count

    def feed(self, data: bytes | memoryview) -> None:
        """Parse a piece of input, and pass each message that it completes to the callback.

        Raises:
            HttpMessageError: the input is malformed or exceeds a limit.  The reader cannot be used any more.
        """
        if len(data) <= MAX_PARSED_BYTES:
            self._parse(data)
            return
        view = memoryview(data)
        for begin in range(0, len(data), MAX_PARSED_BYTES):
            self._parse(view[begin : begin + MAX_PARSED_BYTES])
            if self._has_input_after_stop:
                return

    def feed_message(self, data: bytes) -> bytes:
        """Parse a piece of input like ``feed``, but only up to the end of one message.

        The parser does not tell where in the input a message ends, so the input is split there before it is
        parsed.  The end of a chunked message is not known before: up to CHUNKED_SPLIT_BYTES behind it are
        parsed too, unless the callback stops the reader.  A stopped reader parses nothing.

        Returns:
            The input after the message, or nothing if no message is complete.

        Raises:
            HttpMessageError: the input is malformed or exceeds a limit.  The reader cannot be used any more.
        """
        view = memoryview(data)
        begin = 0
        self._is_complete = False
        while begin < len(data) and not (self._is_complete or self._stopped):
            end = self._next_split(data, begin)
            self.feed(view[begin:end])
            begin = end
        return data[begin:]

    def _next_split(self, data: bytes, begin: int) -> int:
        """Return a position after ``begin`` that is not behind the end of the message, if that is known."""
        if self._state is _HEAD:
            return self._split_in_head(data, begin)
        if self._body_length is not None:
            return min(len(data), begin + self._body_length - self._body_read)
        return min(len(data), begin + CHUNKED_SPLIT_BYTES)

    def _split_in_head(self, data: bytes, begin: int) -> int:
        if self._message is not None and data[begin] in _BLANK_LINE:
            # The line break may be the rest of the blank line that ends the head.
            return data.find(b"\n", begin) + 1 or len(data)
        line_breaks = _LINE_BREAKS.match(data, begin)
        assert line_breaks is not None  # the pattern matches the empty string
        blank_line = data.find(_BLANK_LINE, line_breaks.end())
        return len(data) if blank_line < 0 else blank_line + len(_BLANK_LINE)

    def _parse(self, data: bytes | memoryview) -> None:
        self._input_left -= len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if self._stopped:
                self._has_input_after_stop = True
                return
            if self._failure is None:
                raise HttpMessageError(400, f"malformed message: {error}") from None
        if self._failure is not None:
            raise HttpMessageError(self._failure.status, self._failure.problem)
        if self._input_left < 0:
            raise HttpMessageError(400, _HEAD_TOO_LARGE if self._state is _HEAD else _FRAMING_TOO_LARGE)

    def stop(self) -> None:
        """Read no further message, not even one that follows in the piece of input that is being parsed."""
        self._stopped = True

    @property
    def in_body(self) -> bool:
        """Whether a head has been read and its message is not complete."""
        return self._state is not _HEAD

    def drop_content(self) -> None:
        """Drop the headers and the body of the message whose body is being read, and what follows of it.

        The message is still passed on when it is complete, so that messages after it can be read.
        """
        assert self._message is not None
        self._message.is_dropped = True
        self._message.headers.clear()
        self._message.duplicate_headers.clear()
        self._clear_body()

    def discard(self) -> None:
        """Drop the incomplete message.  The reader must not be fed any more, and must not be parsing."""
        self._message = None
        self._clear_body()

    def resume(self) -> None:
        """Read messages again after a stop.  Allowed only if ``has_input_after_stop`` is false."""
        self._stopped = False

    def close(self) -> None:
        """Drop the incomplete message and the parser, because the connection has ended.

        The parser, the reader and the owner of the reader refer to each other.  Without this call, they and
        the incomplete message would be freed only by the cyclic garbage collector, which counts objects and
        not their size.  No other method may be called afterwards.
        """
        self._message = None
        self._clear_body()
        del self._parser, self._on_message

    # Callbacks that httptools calls.

    def on_message_begin(self) -> None:
        """Handle the first byte of a message."""
        if self._stopped:
            raise _StopParsing
        self._message = HttpMessage()

    def on_url(self, part: bytes) -> None:
        """Handle a part of the request target."""
        if self._message is not None:
            self._message.target += part
            self._count_head_bytes(len(part))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Handle a complete header or trailer."""
        message = self._message
        if message is None:
            return
        self._count_header()
        self._count_head_bytes(len(name) + len(value))
        if self._state is not _HEAD:
            return  # Ignore a trailer: only the head decides how a message is handled.
        name = name.lower()
        if name in message.headers:
            message.duplicate_headers.add(name)
        message.headers[name] = value

    def on_headers_complete(self) -> None:
        """Handle the end of the head."""
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
        if _is_interim(message.status):
            self._count_header()
        else:
            self._input_left = MAX_HEAD_BYTES

    def on_body(self, part: bytes) -> None:
        """Handle a part of the body."""
        self._body_read += len(part)
        if self._body_read > MAX_BODY_BYTES:
            self._fail(413, _BODY_TOO_LARGE)
        if self._message is not None and not self._message.is_dropped:
            self._append_to_body(part)
        self._input_left = MAX_HEAD_BYTES

    def _append_to_body(self, part: bytes) -> None:
        self._body_bytes += len(part)
        last = self._body[-1] if self._body else b""
        if isinstance(last, bytearray) and len(last) + len(part) <= BODY_PART_BYTES:
            last += part
        else:
            self._body.append(part if len(part) >= BODY_PART_BYTES // 2 else bytearray(part))

    def _clear_body(self) -> None:
        self._body.clear()
        self._body_bytes = 0

    def on_message_complete(self) -> None:
        """Handle the end of a message."""
        if self._failure is None:
            self._complete(keep_alive=self._parser.should_keep_alive())

    def _complete(self, *, keep_alive: bool) -> None:
        message = self._message
        if message is None:
            return
        self._message, self._state = None, _HEAD
        message.body = b"".join(self._body)
        message.head_cost_bytes = self._head_cost_bytes()
        self._clear_body()
        self._body_read = 0
        message.keep_alive = keep_alive
        if _is_interim(message.status):
            return  # An interim response counts towards the limits on the head of the final response.
        self._input_left = MAX_HEAD_BYTES
        self._head_size = self._header_count = 0
        self._is_complete = True
        self._on_message(message)

    def end_of_input(self) -> None:
        """Handle a close by the peer without a reset, which completes a response without a length."""
        if self._state is _BODY_UNTIL_CLOSE and self._failure is None:
            self._complete(keep_alive=False)

    def _check_framing(self, message: HttpMessage) -> None:
        """Determine how the body of a message ends, and reject unsupported framing and bodies over the limit.

        The end of a body is given by Content-Length, by chunked encoding, or, for a response only, by the
        close of the connection.  httptools itself rejects a message that has both Content-Length and
        Transfer-Encoding, and a message whose Content-Length is not a number.  A response without either
        header ends when the sender closes the connection (RFC 9112, section 6.3), unless its status code
        implies that it has no body.  A connection reset does not end such a response.
        """
        length = message.headers.get(CONTENT_LENGTH)
        coding = message.headers.get(TRANSFER_ENCODING)
        self._body_length = None
        if coding is not None:
            if length is not None or coding.lower() != b"chunked":
                self._fail(400, "the transfer encoding is not supported")
        elif length is not None:
            self._body_length = int(length)
            if self._body_length > MAX_BODY_BYTES:
                self._fail(413, _BODY_TOO_LARGE)
        elif isinstance(self._parser, httptools.HttpResponseParser) and not _has_no_body(
            self._parser.get_status_code()
        ):
            self._state = _BODY_UNTIL_CLOSE

    def _count_header(self) -> None:
        """Count a header, a trailer or an interim response, and fail if there are too many of them."""
        self._header_count += 1
        if self._header_count > MAX_HEADERS:
            self._fail(400, _TOO_MANY_HEADERS)

    def _count_head_bytes(self, size: int) -> None:
        """Add to the size of the current head and trailers, and fail if the size exceeds the limit.

        A head that exceeds the limit is rejected before its message is passed on, even if the head is
        complete within one piece of input.
        """
        self._head_size += size
        if self._head_size > MAX_HEAD_BYTES:
            self._fail(400, _HEAD_TOO_LARGE)

    def _fail(self, status: int, problem: str) -> NoReturn:
        """Stop parsing because of an error.  ``feed`` raises the error to its caller."""
        self._failure = _Failure(status, problem)
        self._clear_body()
        raise _StopParsing


def _has_no_body(status: int) -> bool:
    """Return whether a response with this status code ends after its head."""
    return _is_interim(status) or status in (204, 304)


def _is_interim(status: int) -> bool:
    """Return whether a response with this status code is an interim response, before the final one."""
    return 100 <= status < 200
