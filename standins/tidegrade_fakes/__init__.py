"""Small fakes at the decision core's edge, in virtual time, seeded.

They stand for endpoints, the platform's table and the links between
proxies, so that many histories with many failures can be run in one
process. Everything follows from the seed.
"""

from tidegrade_fakes._callers import Account
from tidegrade_fakes._run import run
from tidegrade_fakes._run import Run
from tidegrade_fakes._run import RunReport
from tidegrade_fakes._run import RunSettings
from tidegrade_fakes._run import Violation
from tidegrade_fakes._world import World

__all__ = [
    'Account',
    'Run',
    'RunReport',
    'RunSettings',
    'Violation',
    'World',
    'run',
]
