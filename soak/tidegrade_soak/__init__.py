"""A randomised soak: real proxies as processes, faults from outside.

Callers, the store and the database instances are those of
``tidegrade_edge``; connections to the store and to instances run through
relays. One seed gives the shape of the site, the callers' load and the
schedule of faults. What callers were told is compared with what instances
ran, while the run goes on and at its end.
"""

from tidegrade_soak._run import Report
from tidegrade_soak._run import run
from tidegrade_soak._run import SoakSettings
from tidegrade_soak._seeds import Regression
from tidegrade_soak._seeds import REGRESSIONS

__all__ = ['REGRESSIONS', 'Regression', 'Report', 'SoakSettings', 'run']
