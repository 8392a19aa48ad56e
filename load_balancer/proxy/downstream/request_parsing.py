"""Parse the headers of a client's HTTP request, and check them against the settings."""

from __future__ import annotations

import re
from dataclasses import dataclass
from hashlib import blake2b

from load_balancer.proxy.http.headers import (
    CLASS,
    COST_HINT,
    DEADLINE,
    IDEMPOTENCY_KEY,
    REQUEST_ID,
    RETRY,
    TENANT,
)
from load_balancer.proxy.http.reader import TOKEN_PATTERN, HttpMessage, HttpMessageError
from load_balancer.settings import Idempotency, Settings

MAX_DEADLINE_S = 3600.0
MAX_COST_HINT_US = 1e9

# The format of a decimal number in a header.  float() accepts more formats than the protocol does.  Clients
# send the results of calculations, which have up to 50 digits after the decimal point.
_DECIMAL = re.compile(rb"[0-9]{1,12}(\.[0-9]{1,64})?")


@dataclass(frozen=True, slots=True)
class ParsedRequest:
    """A valid request with the values of its headers.

    Attributes:
        message: the HTTP message.
        class_index: the index of the request class in the settings.
        tenant: the index of the tenant in the settings, or 0 if the settings have no tenants.
        key: a hash of the part of the path after /api, or 0 if this part is empty.
        budget_ms: the time until the client's deadline, in milliseconds.
        cost_hint_ms: the client's estimate of the work for the request in milliseconds, or None without a
            valid estimate.
        is_retry: whether the client marked the request as a retry.
    """

    message: HttpMessage
    class_index: int
    tenant: int
    key: int
    budget_ms: float
    cost_hint_ms: float | None
    is_retry: bool


class RequestParser:
    """Parses requests and checks their headers against the settings."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._classes = {c.name.encode(): i for i, c in enumerate(settings.classes)}
        self._tenants = {t.name.encode(): i for i, t in enumerate(settings.tenants)}
        self._required = (REQUEST_ID, CLASS, DEADLINE, *((TENANT,) if self._tenants else ()))

    def parse(self, message: HttpMessage, path: bytes) -> ParsedRequest:
        """Parse a request under /api, whose path is /api or begins with /api/.

        Raises:
            HttpMessageError: a header is missing, repeated or invalid, or the request does not fit its class.
        """
        headers = message.headers
        for name in self._required:
            if not headers.get(name) or name in message.duplicate_headers:
                raise HttpMessageError(400, f"{name.decode()} is missing or repeated")
        if not TOKEN_PATTERN.fullmatch(headers[REQUEST_ID]):
            raise HttpMessageError(400, "the request id is not valid")
        class_index = self._classes.get(headers[CLASS])
        tenant = self._tenants.get(headers[TENANT]) if self._tenants else 0
        if class_index is None or tenant is None:
            raise HttpMessageError(400, "unknown request class or tenant")
        _check_method(message, self._settings.classes[class_index].idempotency)
        return ParsedRequest(
            message=message,
            class_index=class_index,
            tenant=tenant,
            key=_item_key(path),
            budget_ms=1000.0 * _parse_decimal(headers[DEADLINE], "deadline", MAX_DEADLINE_S),
            cost_hint_ms=_parse_cost_hint_ms(headers.get(COST_HINT)),
            is_retry=headers.get(RETRY) == b"1",
        )


def _check_method(message: HttpMessage, idempotency: Idempotency) -> None:
    """Check that the method, the body and the idempotency key fit the request class.

    The check is needed because the class determines whether the node retries a request.

    Raises:
        HttpMessageError: the method, the body or the key does not fit the class.
    """
    has_key = IDEMPOTENCY_KEY in message.headers
    is_idempotent = idempotency is Idempotency.IDEMPOTENT
    if (
        message.method != (b"GET" if is_idempotent else b"POST")
        or has_key != (idempotency is Idempotency.KEYED)
        or (is_idempotent and message.body)
        or IDEMPOTENCY_KEY in message.duplicate_headers
        or (has_key and not TOKEN_PATTERN.fullmatch(message.headers[IDEMPOTENCY_KEY]))
    ):
        raise HttpMessageError(400, "the method, body or idempotency key does not fit the request class")


def _item_key(path: bytes) -> int:
    item = path.removeprefix(b"/api").removeprefix(b"/")
    return int.from_bytes(blake2b(item, digest_size=8).digest(), "big") if item else 0


def _parse_cost_hint_ms(text: bytes | None) -> float | None:
    """Parse a cost hint in microseconds; return milliseconds, or None if the hint is missing or invalid.

    An invalid hint is ignored because the hint is only an estimate.
    """
    try:
        return None if text is None else _parse_decimal(text, "cost hint", MAX_COST_HINT_US) / 1000.0
    except HttpMessageError:
        return None


def _parse_decimal(text: bytes, field: str, maximum: float) -> float:
    value = float(text) if _DECIMAL.fullmatch(text) else 0.0
    if not 0.0 < value <= maximum:
        raise HttpMessageError(400, f"the {field} is not a number in the valid range")
    return value
