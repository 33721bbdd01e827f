"""The proxy program that serves PostgreSQL to callers over HTTP."""

import logging

import anyio

from tidegrade import core
from tidegrade.http_proxy import _proxy
from tidegrade.http_proxy._settings import ProxySettings
from tidegrade.http_proxy._settings import read_settings
from tidegrade import logs

#: Exit status of a process that stopped because an invariant was broken.
INVARIANT_EXIT = 70

__all__ = ['INVARIANT_EXIT', 'ProxySettings', 'read_settings', 'run']


def run(cfg: ProxySettings) -> int:
    """Run a proxy until it stops; return the exit status."""
    try:
        anyio.run(_run, cfg, backend_options={'use_uvloop': True})
    except BaseExceptionGroup as group:
        broken = group.subgroup(core.InvariantBroken)
        if broken is None:
            raise
        logging.getLogger('tidegrade').setLevel(logging.INFO)
        logs.write(
            logs.LogEvent.INVARIANT_BROKEN, what=str(broken.exceptions[0])
        )
        return INVARIANT_EXIT
    return 0


async def _run(cfg: ProxySettings) -> None:
    await _proxy.Proxy(cfg).run()
