"""The proxy program that serves sessions over connections."""

import anyio

from tidegrade import core
from tidegrade import logs
from tidegrade.session_proxy import _proxy
from tidegrade.session_proxy._settings import Adapters
from tidegrade.session_proxy._settings import ProxySettings

#: Exit status of a process that stopped because of a broken invariant.
INVARIANT_EXIT = 70

__all__ = ['INVARIANT_EXIT', 'Adapters', 'ProxySettings', 'run']


def run(cfg: ProxySettings, adapters: Adapters) -> int:
    """Run a proxy until it stops and return its exit status."""
    try:
        anyio.run(_run, cfg, adapters, backend_options={'use_uvloop': True})
    except BaseExceptionGroup as group:
        broken = group.subgroup(core.InvariantBroken)
        if broken is None:
            raise
        logs.write(
            logs.LogEvent.INVARIANT_BROKEN, what=str(broken.exceptions[0])
        )
        return INVARIANT_EXIT
    return 0


async def _run(cfg: ProxySettings, adapters: Adapters) -> None:
    await _proxy.SessionProxy(cfg, adapters).run()
