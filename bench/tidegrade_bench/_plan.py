"""What a deployment on one machine consists of."""

import attrs


@attrs.frozen
class GroupPlan:
    """One database group; its instances are spread over the domains.

    Times are in seconds.
    """

    site: str
    name: str
    max_connections: int = 25
    connect_cost_s: float = 0.01
    statement_cost_s: float = 0.0
    apply_delay_s: float = 0.02
    acknowledge: str = 'majority'
    read_policy: str = 'session_replica'
    read_classes: dict[str, float | None] = attrs.field(factory=dict)


@attrs.frozen
class Plan:
    """A whole deployment.

    ``tenants`` are the tenants of every site. ``drain_limit_s`` is the
    longest drain of a proxy, in seconds.
    """

    domains: tuple[str, ...]
    groups: tuple[GroupPlan, ...]
    proxies: int = 3
    instances: int = 3
    tenants: tuple[str, ...] = ('tenant-a', 'tenant-b')
    requests_per_s: float = 2000.0
    max_in_flight: int = 500
    drain_limit_s: float = 30.0


KANWA = GroupPlan(
    site='kanwa',
    name='mains-1',
    max_connections=25,
    read_classes={'dashboard': 5.0, 'own': None},
)

RODOVIVA = GroupPlan(
    site='rodoviva',
    name='bilhetes-1',
    max_connections=40,
    read_classes={'timetable': 5.0, 'own': None},
)

DEMO = Plan(domains=('ikeja', 'lekki', 'apapa'), groups=(KANWA, RODOVIVA))
