"""The requests that stub clients send."""

from __future__ import annotations

import random
import uuid
from collections.abc import Iterable
from dataclasses import dataclass

from fault_soak.settings import RequestClass

METHODS = {"look": "GET", "move": "POST", "book": "POST"}
CLASS_MIX = ("look", "look", "move", "book")
BODY_BYTES = (0, 40, 3000)
PATH_COUNT = 50


@dataclass(frozen=True, slots=True)
class ClientRequest:
    """A request of a client.

    Attributes:
        request_id: the id of the request.
        class_name: the name of the request class.
        deadline_s: the time in seconds that the client allows for the response.
        text: the bytes of the request.
    """

    request_id: str
    class_name: str
    deadline_s: float
    text: bytes


class RequestFactory:
    """A factory of random valid requests, each with its own id."""

    def __init__(self, classes: Iterable[RequestClass], rng: random.Random) -> None:
        self._deadlines_s = {c.name: c.deadline_ms / 1000.0 for c in classes}
        self._rng = rng

    def draw(self) -> ClientRequest:
        """Build a request of a random class."""
        return self.build(self._rng.choice(CLASS_MIX))

    def build(self, class_name: str, deadline_s: float | None = None) -> ClientRequest:
        """Build a request of a class, with the deadline of the class unless another deadline is given."""
        if deadline_s is None:
            deadline_s = self._deadlines_s[class_name]
        request_id = uuid.UUID(int=self._rng.getrandbits(128)).hex
        body = b"" if class_name == "look" else b"x" * self._rng.choice(BODY_BYTES)
        lines = [
            f"{METHODS[class_name]} /api/item{self._rng.randrange(PATH_COUNT)} HTTP/1.1",
            "Host: api.internal",
            f"X-Request-Id: {request_id}",
            f"X-Class: {class_name}",
            "X-Tenant: acme",
            f"X-Deadline: {deadline_s:.3f}",
        ]
        if class_name == "move":
            lines.append(f"Idempotency-Key: {request_id}")
        if class_name != "look":
            lines.append(f"Content-Length: {len(body)}")
        text = "\r\n".join(lines).encode() + b"\r\n\r\n" + body
        return ClientRequest(request_id, class_name, deadline_s, text)
