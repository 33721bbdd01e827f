"""Seeds that once broke a promise, kept as regression cases."""

import attrs


@attrs.frozen
class Regression:
    """A seed that failed, how long its run was, and why it failed.

    Those whose cause lay in the product run ``in_ci``; the others, whose
    cause lay in the stand-in or in a check, are run by hand.
    """

    seed: int
    seconds: float
    cause: str
    in_ci: bool = False
    tenants: bool = False


REGRESSIONS = (
    Regression(
        2,
        12.0,
        'SIGHUP ended a proxy that was importing its libraries',
        in_ci=True,
    ),
    Regression(
        203,
        15.0,
        'of the stand-in: a slowed replica forgot what it had applied, and '
        'a connection stayed read-only after its transaction',
    ),
    Regression(
        210,
        15.0,
        'a proxy that had stood still replaced a healthy primary; its run '
        "ended with the stand-in's fault of 203",
        in_ci=True,
    ),
    Regression(214, 15.0, 'not traced by itself; gone with 203 and 215'),
    Regression(
        215,
        15.0,
        'a row that a paused proxy needed was asked for once only; later, '
        'beside load: a superseded supervisor deposed the next primary, and '
        'SIGHUP ended a proxy at its start',
        in_ci=True,
    ),
    Regression(221, 15.0, 'a close at rest that crossed was counted as a cut'),
    Regression(222, 15.0, 'not traced by itself; gone with 221'),
    Regression(224, 15.0, 'not traced by itself; gone with 203 and 215'),
    Regression(
        7001,
        15.0,
        "a proxy that was stopping went on granting its sessions' operations "
        'beside the next keeper of their quota',
        in_ci=True,
        tenants=True,
    ),
)
