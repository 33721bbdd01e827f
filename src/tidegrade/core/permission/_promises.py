"""Whether a member's grant can be trusted although promises can be lost.

A supervisor ends a term by having a majority of the members promise the next
one. A proxy that it can't reach gains no more grants of that majority, and
the supervisor waits until its permission has expired. This holds for as long
as no member loses its promise before the proxy has heard of the next term.
"""

import typing

import attrs

_NEVER = float('-inf')


@attrs.frozen
class Grant:
    """A poll answer of a member; times in seconds.

    ``promised`` is the term that the member had promised when it answered,
    which was after ``sent_at`` and before ``received_at``. The member has not
    been restarted since ``life_since``.
    """

    sent_at: float
    promised: int
    received_at: float
    life_since: float = _NEVER


class Promises(typing.Protocol):
    """Decides which grants show that no later term has begun."""

    def start_term(self) -> None:
        """Forget what was known of the former term."""

    def registered(self, at: float) -> None:
        """Record that supervisors can know of this proxy from ``at`` on."""

    def row_read(self, asked_at: float) -> None:
        """Record that the platform's row showed the term and no attempt.

        The platform was asked for the row at ``asked_at``.
        """

    def peer_held(self, until: float) -> None:
        """Record that another proxy holds the permission of the term."""

    def covers(self, grant: Grant, held_until: float, length: float) -> bool:
        """Return whether the grant can't be that of a member that forgot.

        ``held_until`` is the latest time until which this proxy has held the
        permission of the term, and ``length`` that of a permission.
        """


class DurablePromises:
    """Members keep their promises, so every grant counts."""

    def start_term(self) -> None:
        """Do nothing: nothing is kept."""

    def registered(self, at: float) -> None:
        """Do nothing: grants count from the start."""

    def row_read(self, asked_at: float) -> None:
        """Do nothing: the row adds nothing."""

    def peer_held(self, until: float) -> None:
        """Do nothing: the permission of others adds nothing."""

    def covers(self, grant: Grant, held_until: float, length: float) -> bool:
        """Return True."""
        return True


class ForgetfulPromises:
    """Members lose a promise by a promotion or a restart of their own.

    A grant counts if both can be excluded:

    - The promotion. It takes effect more than the length of a permission
      after a majority has promised the next term, unless this proxy has given
      its permission up. So an answer that is received while the permission
      is held was given before it, as was one that is received within that
      time after the row showed no attempt to end the term, or while another
      proxy is known to hold the permission.
    - The restart. The member must have run without one since the row showed
      no attempt: it had nothing to promise before.

    Only attempts that began after this proxy was registered wait for it, so
    the first row of a process must have been asked for after that.
    """

    def __init__(self) -> None:
        self._registered_at = float('inf')
        self._is_awaited = False
        self._row_asked_at = _NEVER
        self._peer_held_until = _NEVER

    def start_term(self) -> None:
        """Forget the row and the permission of other proxies."""
        self._row_asked_at = _NEVER
        self._peer_held_until = _NEVER

    def registered(self, at: float) -> None:
        """Count rows that are asked for from ``at`` on."""
        self._registered_at = at

    def row_read(self, asked_at: float) -> None:
        """Count polls from before and soon after ``asked_at``."""
        if asked_at < self._registered_at:
            return
        self._is_awaited = True
        self._row_asked_at = max(self._row_asked_at, asked_at)

    def peer_held(self, until: float) -> None:
        """Count polls until then, once supervisors wait for this proxy."""
        if self._is_awaited:
            self._peer_held_until = max(self._peer_held_until, until)

    def covers(self, grant: Grant, held_until: float, length: float) -> bool:
        """Return whether neither a promotion nor a restart came before."""
        if grant.life_since > self._row_asked_at:
            return False
        row_holds_until = self._row_asked_at + length
        until = max(held_until, row_holds_until, self._peer_held_until)
        return grant.received_at <= until
