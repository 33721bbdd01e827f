"""The proxy daemon: tasks that own their state and exchange messages."""

import logging

import anyio

from tidegrade.adapters import _logs
from tidegrade import core
from tidegrade.daemon import _proxy
from tidegrade.daemon._settings import ProxySettings
from tidegrade.daemon._settings import read_settings

#: Exit status of a process that stopped over a broken invariant.
INVARIANT_EXIT = 70

__all__ = ['INVARIANT_EXIT', 'ProxySettings', 'read_settings', 'run']


def run(cfg: ProxySettings) -> int:
    """Run a proxy to its end and give the exit status."""
    try:
        anyio.run(_run, cfg, backend_options={'use_uvloop': True})
    except BaseExceptionGroup as group:
        broken = group.subgroup(core.InvariantBroken)
        if broken is None:
            raise
        logging.getLogger('tidegrade').setLevel(logging.INFO)
        _logs.write(
            _logs.LogEvent.INVARIANT_BROKEN, what=str(broken.exceptions[0])
        )
        return INVARIANT_EXIT
    return 0


async def _run(cfg: ProxySettings) -> None:
    await _proxy.Proxy(cfg).run()
