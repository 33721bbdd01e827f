"""What callers asked and were told, for the checks at the end."""

import attrs

#: Codes that promise that nothing of the operation is kept.
PROMISES = frozenset(
    {'BUSY', 'ABORTED', 'BEHIND', 'READONLY', 'MISROUTED', 'CONNLIMIT'}
)


@attrs.define(eq=False)
class Asked:
    """One statement of a caller.

    ``began_at`` is when its transaction began, or itself. ``code`` is the
    error's; ``answered_at`` stays None if no whole answer came, and
    ``lost_at`` tells when the connection ended instead. ``values`` are the
    session's as they were acknowledged. ``key`` is what the session was
    opened with, that of ``tenant``; empty where there are none.
    """

    id: str
    caller: str
    database: str
    text: str
    values: dict[str, str]
    began_at: float
    proxy: int
    txn: str = ''
    sent_at: float = 0.0
    answered_at: float | None = None
    lost_at: float | None = None
    code: str = ''
    receipt: str = ''
    rows: tuple[str, ...] = ()
    key: str = ''
    tenant: str = ''

    @property
    def done(self) -> bool:
        """Tell whether a success came."""
        return self.answered_at is not None and not self.code

    @property
    def commits(self) -> bool:
        """Tell whether a success acknowledges a commit."""
        return self.text == 'COMMIT' or (
            not self.txn and self.text.startswith('WRITE ')
        )


@attrs.define(eq=False)
class Fault:
    """Something done to the site; ``proxy`` is its number, or None."""

    kind: str
    since: float
    proxy: int | None = None
    detail: str = ''
    until: float = float('inf')

    def touches(self, start: float, end: float) -> bool:
        """Tell whether it was there at any time of a span."""
        return self.since <= end and self.until >= start


@attrs.define
class Journal:
    """Everything that was asked, by the statement's id."""

    asked: dict[str, Asked] = attrs.field(factory=dict)
    #: Violations that were noticed while the run went on.
    problems: list[str] = attrs.field(factory=list)
    #: What was done to the site, in order.
    faults: list[Fault] = attrs.field(factory=list)

    def note(self, asked: Asked) -> None:
        """Take in a statement before it is sent."""
        self.asked[asked.id] = asked

    def disturbed(
        self, start: float, end: float, proxy: int | None = None
    ) -> bool:
        """Tell whether anything was wrong in a span of time.

        With ``proxy``, what only concerns another proxy doesn't count.
        """
        return any(
            fault.touches(start, end)
            for fault in self.faults
            if None in (proxy, fault.proxy) or fault.proxy == proxy
        )
