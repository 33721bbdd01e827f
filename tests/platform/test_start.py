"""The start of the program, before its libraries are there."""

import pathlib
import subprocess
import sys

START = pathlib.Path(__file__).parents[2] / 'deploy' / 'tidegrade.py'
#: Runs the program up to its first import of the product.
UP_TO_THE_IMPORTS = """
import runpy, signal, sys

class Finder:
    def find_spec(self, name, path, target=None):
        if name == 'tidegrade_platform':
            ignored = signal.getsignal(signal.SIGHUP) is signal.SIG_IGN
            raise SystemExit(0 if ignored else 1)

sys.meta_path.insert(0, Finder())
runpy.run_path(sys.argv[1])
"""


def test_a_reload_does_not_end_a_process_that_is_starting():
    """Found by the soak, seed 2: SIGHUP came during the imports."""
    command = [sys.executable, '-c', UP_TO_THE_IMPORTS, str(START)]
    assert subprocess.run(command, timeout=60).returncode == 0
