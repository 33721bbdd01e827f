"""Failure detection: distinguishes a failed primary from a slow one."""

from collections.abc import Sequence

import attrs

from tidegrade import config
from tidegrade.core import _view

#: Time without an answer, in seconds, after which a primary whose machine
#: refuses connections counts as down.
REFUSED_DOWN_AFTER_S = 0.12
#: Failed attempts that are also required to count it as down.
MIN_REFUSED_FAILURES = 2


def is_down(view: _view.EndpointView, cfg: config.Group, now: float) -> bool:
    """Return whether this proxy counts an endpoint as failed.

    A refused connection shows that the machine answers but the database does
    not, so a short time suffices. An endpoint that does not answer may only
    be slow, so the configured ``suspect_after_s`` must pass.
    """
    if not view.failures:
        return False
    last_answer_at = max(view.last_answer_at, float('-inf'))
    if last_answer_at == float('-inf'):
        last_answer_at = view.first_failure
    unanswered = now - last_answer_at
    if view.refused and view.failures >= MIN_REFUSED_FAILURES:
        return unanswered > REFUSED_DOWN_AFTER_S
    return unanswered > cfg.suspect_after_s


def has_stepped_down(view: _view.EndpointView, term_since: float) -> bool:
    """Return whether a term's primary has reported that it is a replica.

    ``term_since`` is the time at which this proxy learned of the term. A
    late order of a superseded supervisor can make the primary a replica, and
    so can its restart. The endpoint still answers polls and would not count
    as down otherwise: without this rule no write succeeded for 28 s in a
    group of three proxies.
    """
    return view.followed_at > term_since


@attrs.frozen
class Opinion:
    """A proxy's verdict on a group's primary in one term."""

    proxy: str
    term: int
    primary_down: bool


def is_agreed_down(own: Opinion, others: Sequence[Opinion]) -> bool:
    """Return whether most proxies consider the primary down.

    Only the own opinion and those of ``others`` on the same term count, since
    another term may have another primary. The result is False unless this
    proxy considers the primary down itself.
    """
    if not own.primary_down:
        return False
    same_term = [o for o in others if o.term == own.term]
    down = 1 + sum(o.primary_down for o in same_term)
    return 2 * down > 1 + len(same_term)
