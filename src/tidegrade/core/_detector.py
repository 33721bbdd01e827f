"""Telling a failed primary from a slow one."""

from collections.abc import Sequence

import attrs

from tidegrade import config
from tidegrade.core import _view

#: Silence after which a primary whose machine refuses connections is down.
REFUSED_SILENCE = 0.12
#: Failed attempts that such a judgement needs.
REFUSED_FAILURES = 2


def is_down(view: _view.EndpointView, cfg: config.Group, now: float) -> bool:
    """Tell whether this proxy takes an endpoint for failed.

    A refused connection is an answer of the machine and counts fast; mere
    silence may be a slow endpoint, and needs the configured time.
    """
    if not view.failures:
        return False
    silent_since = max(view.last_answer_at, float('-inf'))
    if silent_since == float('-inf'):
        silent_since = view.first_failure
    silent = now - silent_since
    if view.refused and view.failures >= REFUSED_FAILURES:
        return silent > REFUSED_SILENCE
    return silent > cfg.suspect_after_s


def has_stepped_down(view: _view.EndpointView, term_since: float) -> bool:
    """Tell whether a term's primary has since said that it follows.

    ``term_since`` is when this proxy learned of the term. An order of a
    superseded supervisor that comes late has this effect, and so may the
    primary's restart. It answers all the same: without this rule no write
    was taken until the end of the run, 28 s later (three proxies, one run).
    """
    return view.followed_at > term_since


@attrs.frozen
class Opinion:
    """What a proxy thinks of a group's primary in a term."""

    proxy: str
    term: int
    primary_down: bool


def agreed_down(own: Opinion, others: Sequence[Opinion]) -> bool:
    """Tell whether most proxies that can be heard find the primary down.

    Opinions on another term say nothing about this primary.
    """
    if not own.primary_down:
        return False
    same_term = [o for o in others if o.term == own.term]
    down = 1 + sum(o.primary_down for o in same_term)
    return 2 * down > 1 + len(same_term)
