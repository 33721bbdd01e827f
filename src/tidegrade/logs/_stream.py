"""Non-blocking writes of log lines, and their rate limit."""

import os
import time

#: Rate limit of one process for log lines about requests, in lines per
#: second, and its largest burst, in lines. A busy proxy serves some dozens
#: of requests a second.
LINES_PER_S = 200.0
MAX_BURST_LINES = 400.0


class UnblockedStream:
    """A text stream over a descriptor that never blocks.

    A line that does not fit into the pipe is dropped and counted. The rest
    of a partly written line is written before the next one, so that no
    line is incomplete in the output.
    """

    def __init__(self, fd: int) -> None:
        self._fd = fd
        self._unwritten = b''
        self.dropped = 0
        os.set_blocking(fd, False)

    def write(self, text: str) -> int:
        """Write a line, or drop it whole; return the length of the text."""
        if self._unwritten and not self._write_rest():
            self.dropped += 1
            return len(text)
        self._unwritten = text.encode('utf-8', 'replace')
        before = len(self._unwritten)
        self._write_rest()
        if len(self._unwritten) == before:
            self._unwritten = b''
            self.dropped += 1
        return len(text)

    def flush(self) -> None:
        """Do nothing: `write` has passed on all that the pipe takes."""

    def _write_rest(self) -> bool:
        """Write the rest of a line; return whether all of it was written."""
        try:
            while self._unwritten:
                self._unwritten = self._unwritten[
                    os.write(self._fd, self._unwritten) :
                ]
        except BlockingIOError:
            return False
        return True


class LineRateLimit:
    """A token bucket for log lines about requests."""

    def __init__(self, per_s: float = LINES_PER_S) -> None:
        self._per_s = per_s
        self._tokens = MAX_BURST_LINES
        self._refilled_at = time.monotonic()
        self.dropped = 0

    def take(self) -> bool:
        """Take a token; return whether the line may be written."""
        now = time.monotonic()
        earned = (now - self._refilled_at) * self._per_s
        self._tokens = min(self._tokens + earned, MAX_BURST_LINES)
        self._refilled_at = now
        if self._tokens < 1:
            self.dropped += 1
            return False
        self._tokens -= 1
        return True

    def take_dropped(self) -> int:
        """Return the number of lines dropped since the last call."""
        count, self.dropped = self.dropped, 0
        return count
