"""Send the messages of one turn of the event loop to a VM in one datagram."""

import asyncio
from collections import defaultdict
from collections.abc import Callable

from arbutusbay.node.quota._messages import (
    MAX_MESSAGES,
    QuotaMessage,
    messages_to_bytes,
)

Address = tuple[str, int]


class Outbox:
    """Collect messages, and send them at the end of the turn."""

    def __init__(self, *, send: Callable[[Address, bytes], None]) -> None:
        """Send datagrams with ``send``."""
        self.send = send
        self.messages: dict[Address, list[QuotaMessage]] = defaultdict(list)

    def add(self, address: Address, message: QuotaMessage) -> None:
        """Send ``message`` to ``address`` in this turn."""
        if not self.messages:
            asyncio.get_running_loop().call_soon(self.flush)
        self.messages[address].append(message)

    def flush(self) -> None:
        """Send all messages that were added."""
        collected = self.messages
        self.messages = defaultdict(list)
        for address, messages in collected.items():
            for start in range(0, len(messages), MAX_MESSAGES):
                part = messages[start : start + MAX_MESSAGES]
                self.send(address, messages_to_bytes(part))
