"""A tenant as configured."""

import attrs


@attrs.frozen
class Tenant:
    """A customer: the hashes of its keys, and its limits.

    ``rate`` is its limit in operations a second over all proxies together,
    ``burst`` the number of operations that it may save up. Requests of
    ``priority`` 0 are served first.
    """

    name: str
    key_hashes: frozenset[str] = attrs.field(repr=False)
    rate: float
    burst: float
    priority: int = 1
