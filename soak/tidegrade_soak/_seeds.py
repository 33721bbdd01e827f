"""Seeds that once broke a promise, kept as regression cases."""

import attrs


@attrs.frozen
class Regression:
    """A seed that failed, how long its run was, and why it failed."""

    seed: int
    seconds: float
    cause: str


REGRESSIONS = (
    Regression(
        2,
        12.0,
        'SIGHUP ended a proxy that was importing its libraries',
    ),
    Regression(
        203,
        15.0,
        'of the stand-in: a slowed replica forgot what it had applied, and '
        'a connection stayed read-only after its transaction',
    ),
)
