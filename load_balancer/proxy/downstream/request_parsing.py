"""Turns a client's HTTP message into a request in the terms of the settings."""

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
from load_balancer.proxy.http.reader import TOKEN, HttpMessage, HttpMessageError
from load_balancer.settings import Idempotency, Settings

MAX_DEADLINE_S = 3600.0
MAX_COST_HINT_US = 1e9

# float() accepts far more than the protocol does.  Clients print calculated values with up to 50 decimals.
_DECIMAL = re.compile(rb"[0-9]{1,12}(\.[0-9]{1,64})?")


@dataclass(frozen=True, slots=True)
class ParsedRequest:
    """A valid request in the terms of the settings.

    Attributes:
        message: the HTTP message.
        class_index: its class, by position in the settings.
        tenant: its tenant, by position in the settings.
        key: a hash of the item that the path names, 0 for none.
        budget_ms: the time that the client grants for the response.
        cost_hint_ms: the client's estimate of its work, None without one.
        is_retry: the client says that it sent the request before.
    """

    message: HttpMessage
    class_index: int
    tenant: int
    key: int
    budget_ms: float
    cost_hint_ms: float | None
    is_retry: bool


class RequestParser:
    """Checks the headers of requests against the settings."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._classes = {c.name.encode(): i for i, c in enumerate(settings.classes)}
        self._tenants = {t.name.encode(): i for i, t in enumerate(settings.tenants)}
        self._required = (REQUEST_ID, CLASS, DEADLINE, *((TENANT,) if self._tenants else ()))

    def parse(self, message: HttpMessage, path: bytes) -> ParsedRequest:
        """Parse a request for a path below /api.

        Raises:
            HttpMessageError: a header is missing, repeated or invalid.
        """
        headers = message.headers
        for name in self._required:
            if not headers.get(name) or name in message.duplicate_headers:
                raise HttpMessageError(400, f"{name.decode()} is missing or repeated")
        if not TOKEN.fullmatch(headers[REQUEST_ID]):
            raise HttpMessageError(400, "bad id")
        class_index = self._classes.get(headers[CLASS])
        tenant = self._tenants.get(headers[TENANT]) if self._tenants else 0
        if class_index is None or tenant is None:
            raise HttpMessageError(400, "unknown class or tenant")
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
    """Check that method and idempotency key fit the class, as the class decides whether to retry."""
    has_key = IDEMPOTENCY_KEY in message.headers
    is_idempotent = idempotency is Idempotency.IDEMPOTENT
    if (
        message.method != (b"GET" if is_idempotent else b"POST")
        or has_key != (idempotency is Idempotency.KEYED)
        or (is_idempotent and message.body)
        or IDEMPOTENCY_KEY in message.duplicate_headers
        or (has_key and not TOKEN.fullmatch(message.headers[IDEMPOTENCY_KEY]))
    ):
        raise HttpMessageError(400, "method or key does not fit the class")


def _item_key(path: bytes) -> int:
    item = path.removeprefix(b"/api").removeprefix(b"/")
    return int.from_bytes(blake2b(item, digest_size=8).digest(), "big") if item else 0


def _parse_cost_hint_ms(text: bytes | None) -> float | None:
    """Parse the hint; None if it is missing or invalid, as it is only an estimate."""
    try:
        return None if text is None else _parse_decimal(text, "cost hint", MAX_COST_HINT_US) / 1000.0
    except HttpMessageError:
        return None


def _parse_decimal(text: bytes, field: str, maximum: float) -> float:
    value = float(text) if _DECIMAL.fullmatch(text) else 0.0
    if not 0.0 < value <= maximum:
        raise HttpMessageError(400, f"bad {field}")
    return value
