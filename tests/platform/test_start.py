"""The start of the program, before its libraries are imported."""

import json
import os
import pathlib
import subprocess
import sys
import tomllib

START = pathlib.Path(__file__).parents[2] / 'deploy' / 'tidegrade.py'
#: Script that runs the program up to its first import of the product.
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
    """SIGHUP during the imports must not end the process (soak seed 2)."""
    command = [sys.executable, '-c', UP_TO_THE_IMPORTS, str(START)]
    assert subprocess.run(command, timeout=60).returncode == 0


#: Script that prints the modules that the program imports before it ignores
#: SIGHUP.
LOADED_BEFORE = """
import _signal, json, sys

class Stop(Exception):
    pass

early = []

def note(event, args):
    if event != 'import':
        return
    if _signal.getsignal(_signal.SIGHUP) is not _signal.SIG_DFL:
        raise Stop
    early.append(args[0])

for name in ('enum', 'pathlib', 'signal'):
    sys.modules.pop(name, None)
code = compile(open(sys.argv[1]).read(), sys.argv[1], 'exec')
sys.addaudithook(note)
try:
    exec(code, {'__name__': 'start', '__file__': sys.argv[1]})
except Stop:
    pass
print(json.dumps(early))
"""


#: Script that prints whether the garbage collector is enabled as the program
#: is imported and afterwards, and whether its modules are exempt from it.
LOADED = """
import gc, json, runpy, sys

during = []

class Finder:
    def find_spec(self, name, path, target=None):
        if name == 'tidegrade_platform':
            during.append(gc.isenabled())

sys.meta_path.insert(0, Finder())
runpy.run_path(sys.argv[1])
print(json.dumps([*during, gc.isenabled(), gc.get_freeze_count() > 10000]))
"""


def test_nothing_is_loaded_before_a_reload_is_ignored():
    """SIGHUP, which requests a reload, ends a process that does not ignore it.

    Two modules were imported before the program ignored the signal, which
    took longer than the start of the interpreter. Under the load of 16 busy
    processes, a SIGHUP in the first 100 ms ended 136 of 200 processes. Half of
    these received it later than 35 ms after their start, although the
    interpreter had reached the first line after 17 ms.
    """
    command = [sys.executable, '-S', '-c', LOADED_BEFORE, str(START)]
    done = subprocess.run(command, timeout=60, capture_output=True)
    assert json.loads(done.stdout) == []


def _build_in(folder: pathlib.Path) -> None:
    """Run the build command of deploy/system.toml on a copy of a checkout."""
    system = tomllib.loads((START.parent / 'system.toml').read_text())
    (folder / 'bin').mkdir()
    (folder / 'bin' / 'python3').symlink_to(sys.executable)
    # The libraries are newer than the list, so that none is installed.
    (folder / 'deploy').mkdir()
    (folder / 'deploy' / 'requirements.txt').touch()
    os.utime(folder / 'deploy' / 'requirements.txt', (1, 1))
    (folder / 'target' / 'deps').mkdir(parents=True)
    path = f'{folder / "bin"}:{os.environ["PATH"]}'
    subprocess.run(
        ['sh', '-c', system['build']],
        cwd=folder,
        env={**os.environ, 'PATH': path},
        timeout=60,
        check=True,
    )


def _printed_by(folder: pathlib.Path, module: str) -> str:
    done = subprocess.run(
        [sys.executable, '-S', '-c', f'import {module}'],
        cwd=folder,
        env={'PYTHONPATH': str(folder / 'src')},
        timeout=60,
        check=True,
        capture_output=True,
        text=True,
    )
    return done.stdout.strip()


def test_the_build_compiles_modules_and_no_start_runs_old_bytecode(tmp_path):
    """Bytecode of an older source, or none at all, must not be used.

    Without bytecode each start compiles every module. With bytecode that is
    checked by time and size, a source that was replaced by one of the same
    length with the same file time would not take effect.
    """
    source = tmp_path / 'src' / 'module.py'
    (tmp_path / 'platform').mkdir()
    source.parent.mkdir()
    source.write_text('print(1)\n')
    os.utime(source, (1000, 1000))
    _build_in(tmp_path)
    assert len(list(source.parent.glob('__pycache__/module.*.pyc'))) == 1
    assert _printed_by(tmp_path, 'module') == '1'
    source.write_text('print(2)\n')
    os.utime(source, (1000, 1000))
    assert _printed_by(tmp_path, 'module') == '2'


def test_the_garbage_collector_runs_once_the_program_is_loaded():
    """The start disables it; left so, cycles would fill the memory."""
    done = subprocess.run(
        [sys.executable, '-c', LOADED, str(START)],
        timeout=60,
        check=True,
        capture_output=True,
        text=True,
    )
    assert json.loads(done.stdout) == [False, True, True]
