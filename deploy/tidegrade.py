"""Starts tidegrade on the platform from a checkout of the repository.

Both packages are found beside this file; the libraries they use have been
put on Python's path by the build.
"""

import pathlib
import signal
import sys

# A request to reload that comes before the program can handle it would end
# the process, and asks for nothing: the settings are yet to be read. The
# imports below take most of the time to start.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

ROOT = pathlib.Path(__file__).resolve().parents[1]
sys.path[:0] = [str(ROOT / 'src'), str(ROOT / 'platform')]

from tidegrade_platform import __main__  # noqa: E402

if __name__ == '__main__':
    sys.exit(__main__.main())
