"""Settings and faults of the stand-ins."""

import attrs


@attrs.frozen
class InstanceSettings:
    """One database instance.

    ``upstream`` is the ``host:port`` it replicates from, empty for a
    primary. ``data`` is a folder for the database file. With ``cert_file``
    and ``key_file`` clients may ask for TLS.
    """

    name: str
    host: str
    port: int
    control_port: int
    data: str
    upstream: str = ''
    max_connections: int = 25
    slots: int = 3
    cert_file: str = ''
    key_file: str = ''


@attrs.define
class InstanceFaults:
    """What goes wrong at an instance, changeable while it runs.

    Times are in seconds. ``hang_from`` names clients, by application
    name, that get no answers; ``*`` is everybody.
    """

    connect_cost_s: float = 0.0
    statement_cost_s: float = 0.0
    ship_delay_s: float = 0.0
    apply_delay_s: float = 0.0
    hang_from: list[str] = attrs.field(factory=list)

    def hangs(self, client: str) -> bool:
        """Tell whether a client is cut off."""
        return '*' in self.hang_from or client in self.hang_from


@attrs.frozen
class PlatformSettings:
    """The platform: where it listens, with TLS if it has a certificate."""

    host: str
    port: int
    cert_file: str = ''
    key_file: str = ''


@attrs.define
class PlatformFaults:
    """What goes wrong at the platform, changeable while it runs.

    ``lose_answers`` counts changes that take effect without an answer.
    ``cut`` names proxies that can't reach it.
    """

    down: bool = False
    delay_s: float = 0.0
    lose_answers: int = 0
    cut: list[str] = attrs.field(factory=list)
