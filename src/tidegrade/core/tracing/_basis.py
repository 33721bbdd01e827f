"""The inputs of a decision as the request log shows them."""

import enum

import attrs


class ReadBasis(enum.Enum):
    """The origin of the position that a read required."""

    #: The read required no position and no permission.
    NONE = 'none'
    #: The primary's answer to a poll of this proxy.
    OWN_SAMPLE = 'own_sample'
    #: The primary's answer to a poll of another proxy.
    PEER_SAMPLE = 'peer_sample'
    #: The last dated position of a term that had ended.
    FORMER_TERM = 'former_term'
    #: The position that the session itself had observed.
    SESSION = 'session'
    #: No position: only the permission of the term, at its primary.
    PERMISSION = 'permission'


@attrs.frozen
class GrantRecord:
    """A member's newest answer that is counted for the permission.

    The member was polled ``age`` seconds ago, by this proxy if ``own`` and
    else by a peer. ``promised`` is the term that it had promised by then.
    """

    member: str
    age: float
    own: bool
    promised: int = 0
