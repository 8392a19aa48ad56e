"""Reads the heads of HTTP messages for stubs and tests."""

from __future__ import annotations

import asyncio


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Read the head of a message; return the start line, and the headers by their names in lower case."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    start_line, *lines = head.rstrip("\r\n").split("\r\n")
    pairs = (line.split(":", 1) for line in lines)
    return start_line, {name.lower(): value.strip() for name, value in pairs}
