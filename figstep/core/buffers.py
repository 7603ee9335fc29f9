"""Budget of the bytes that an entry buffers for callers and targets that read slowly.

The budget is divided among request bodies, answers and events that callers have not
read yet. Each open request has a fixed part of it, so that every answer can go on as
fast as its caller reads. What is left is used to read answers ahead of their callers.
"""

from dataclasses import dataclass

from figstep.core.clock import Millis

BASE_BYTES = 71_303_168
"""Memory of an entry that buffers nothing, in bytes. A lone idle entry that runs from
source peaks at 64.3 MiB; the rest is for routing state and log lines."""

ALLOCATOR_FACTOR = 1.4
"""Memory that the process takes per buffered byte. Bytes that have arrived and are not
yet part of a body, and fragmentation of the allocator, cost up to two fifths on top."""

MIN_BUDGET_BYTES = 8_388_608
"""Smallest budget, in bytes: one largest body still fits in."""

WINDOW_BYTES = 32_768
"""Unread bytes of an answer up to which it is always read on from its target. A caller
that reads 80 kB/s takes them in 0.4 s, so the target sees steady progress."""

CONNECTION_BYTES = 65_536
"""Bytes that the two connections of a request may buffer outside its answer: the write
buffer to the caller, and the read buffer and parser of the connection to the target."""

READ_AHEAD_FRACTION = 0.25
"""Largest fraction of the budget that answers may fill by being read ahead of their
callers. The rest remains for new requests, which are otherwise rejected: at 136 MiB,
for 300 callers that do not read beside the answers that were read ahead."""

UNPACED_FRACTION = 0.9
"""Largest fraction of the budget that answers may fill at an interface that can send a
complete answer only once it was read in full. An answer that does not fit there fails.
"""

STALL_TIMEOUT = Millis(10_000)
"""Time in milliseconds without a byte taken after which a caller counts as not reading.
A receiver with a 6 MB buffer reports free space in steps of a sixteenth of it, which
takes 5 s at 80 kB/s; half that speed is still recognized as reading."""

MIN_RETRY_AFTER = Millis(500)
"""Shortest Retry-After of a rejected request, in milliseconds. Most answers are read
within this time."""

MAX_RETRY_AFTER = Millis(3_000)
"""Longest Retry-After of a rejected request, in milliseconds. Callers have deadlines of
a few seconds, and other requests may end earlier than expected."""


@dataclass(slots=True, eq=False)
class BufferAccount:
    """Bytes that are buffered for one request.

    Attributes:
        body: Bytes of the request's body, read or announced.
        answer: Bytes of the answer that the caller has not taken.
        reserved: Bytes that are set aside for the whole answer; 0 for none.
        progressed_at: When the caller last took bytes, or when the first bytes began
            to wait for it.
        open: Whether the account counts in the budget.
    """

    body: int
    progressed_at: Millis
    answer: int = 0
    reserved: int = 0
    open: bool = True

    @property
    def charge(self) -> int:
        """Bytes of the budget that the request takes."""
        unread = max(WINDOW_BYTES, self.answer, self.reserved)
        return self.body + CONNECTION_BYTES + unread

    def is_stalled(self, now: Millis) -> bool:
        """Return whether the caller leaves bytes unread and has stopped reading."""
        return self.answer > 0 and now - self.progressed_at >= STALL_TIMEOUT


class BufferBudget:
    """Decides what an entry may still buffer. A restart begins with nothing buffered.

    Attributes:
        limit: Size of the budget in bytes.
        used: Bytes of it that open requests take.
    """

    def __init__(
        self, limit: int, read_ahead_fraction: float = READ_AHEAD_FRACTION
    ) -> None:
        self.limit = limit
        self._read_ahead_fraction = read_ahead_fraction
        self.used = 0
        self._accounts: set[BufferAccount] = set()

    def __len__(self) -> int:
        return len(self._accounts)

    def open_account(self, body_bytes: int, now: Millis) -> BufferAccount | None:
        """Return an account for a request whose body is about to be read.

        Returns:
            The account; None if the budget has no room for the request.
        """
        account = BufferAccount(body_bytes, now)
        if self.used + account.charge > self.limit:
            return None
        self._accounts.add(account)
        self.used += account.charge
        return account

    def grow_body(self, account: BufferAccount, size: int) -> bool:
        """Count further bytes of a body of unknown length; return whether they fit."""
        if self.used + size > self.limit:
            return False
        before = account.charge
        account.body += size
        self._update(account, before)
        return True

    def reserve_answer(self, account: BufferAccount, size: int) -> bool:
        """Set bytes aside for a whole answer; return whether it fits the budget."""
        before = account.charge
        previous = account.reserved
        account.reserved = size
        if self.used + account.charge - before > self._read_ahead_limit:
            if account.charge > before:
                account.reserved = previous
                return False
        self._update(account, before)
        return True

    def add_answer(self, account: BufferAccount, size: int, now: Millis) -> None:
        """Count bytes of an answer that were read from its target."""
        if not account.answer:
            account.progressed_at = now
        self.set_unread(account, account.answer + size)

    def take_answer(self, account: BufferAccount, size: int, now: Millis) -> None:
        """Count bytes of an answer that the caller has taken."""
        account.progressed_at = now
        self.set_unread(account, account.answer - size)

    def set_unread(self, account: BufferAccount, size: int) -> None:
        """Set the bytes of an answer that the caller has not taken."""
        before = account.charge
        account.answer = max(0, size)
        self._update(account, before)

    def drop_answer(self, account: BufferAccount) -> None:
        """Stop counting an answer that is not sent to the caller."""
        before = account.charge
        account.answer = account.reserved = 0
        self._update(account, before)

    def may_read(self, account: BufferAccount) -> bool:
        """Return whether more of an answer may be read from its target now.

        A small part is always read. Beyond it, only room that new requests do not need
        is used.
        """
        if account.answer < max(WINDOW_BYTES, account.reserved):
            return True
        return self.used < self._read_ahead_limit

    def close_account(self, account: BufferAccount) -> None:
        """Release all bytes of a request; does nothing for a closed account."""
        if account.open:
            account.open = False
            self._accounts.discard(account)
            self.used -= account.charge

    def list_stalled(self, now: Millis) -> list[BufferAccount]:
        """Return the accounts whose callers have stopped reading, longest stall first.

        Their answers are terminated to make room. Those of callers that read are never
        among them, however much they have left to read.
        """
        stalled = [account for account in self._accounts if account.is_stalled(now)]
        return sorted(stalled, key=lambda account: account.progressed_at)

    def choose_retry_after(self, now: Millis) -> Millis:
        """Return the delay after which a rejected request may find room.

        It is the time until the next caller that takes nothing counts as stalled.
        """
        waits = [
            account.progressed_at + STALL_TIMEOUT - now
            for account in self._accounts
            if account.answer
        ]
        wait = min(waits, default=MIN_RETRY_AFTER)
        return Millis(max(MIN_RETRY_AFTER, min(MAX_RETRY_AFTER, wait)))

    @property
    def _read_ahead_limit(self) -> float:
        return self.limit * self._read_ahead_fraction

    def _update(self, account: BufferAccount, before: int) -> None:
        if account.open:
            self.used += account.charge - before


def derive_limit(memory_bytes: int) -> int:
    """Return the size of the budget of an entry that is killed above ``memory_bytes``.

    An entry with less memory than ``BASE_BYTES`` gets the smallest budget.
    """
    room = round((memory_bytes - BASE_BYTES) / ALLOCATOR_FACTOR)
    return max(MIN_BUDGET_BYTES, room)
