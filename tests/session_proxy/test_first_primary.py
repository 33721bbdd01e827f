"""The first primary of a group that has no row yet.

A first primary is named once the endpoint list has not grown for a while. An
unchanged list is applied only once, so each proxy must check again when that
time is over. If only the three watchers check again and none of them serves
the group, no proxy writes its row until the next configuration. On 71 VMs that
start together one of four groups then gets its first row after 20 s and
another after 12 s, and a quarter of all requests are refused until 4 s into
the traffic.
"""

import random
import types

import anyio
import pytest
import result

from tidegrade.adapters import _clock
from tidegrade import core
from tidegrade.daemon import _evidence_task
from tidegrade.daemon import _peers_task
from tidegrade.daemon import _roster
from tidegrade import ports
from tidegrade.session_proxy import _homes
from tidegrade.session_proxy import _proxy
from tidegrade.session_proxy import _settings
from tidegrade import sessions

pytestmark = pytest.mark.anyio

#: Time without growth after which the list has settled, in seconds.
SETTLE = 0.3
CATALOGUE = sessions.Catalogue(1, {}, {'g': sessions.GroupEntry('g', 20)}, 3.0)
LEADER = ports.EndpointEntry('i1', 'g', '10.0.0.1', 80, 'a', 3, False, True)


@pytest.fixture
def anyio_backend() -> str:
    return 'asyncio'


class Table:
    """An empty table."""

    async def read(self, key):
        return result.Ok(None)

    async def read_all(self, keys):
        return result.Ok({})


class Endpoints:
    """Endpoints that refuse all connections."""

    async def connect(self, endpoint, group, tenant):
        return result.Err(ports.ConnectProblem('away', True))


@pytest.fixture
async def proxy():
    """Return a proxy that has a configuration and runs no task yet."""
    cfg = _settings.ProxySettings(
        'vm-1', 'a', '127.0.0.1', 1, 6.0, settle_s=SETTLE
    )
    adapters = _settings.Adapters(
        endpoints=Endpoints(),
        table=Table(),
        directory=None,
        listener=None,
        pages=None,
        clock=_clock.MonotonicClock(),
        traits=core.Traits(),
        read_settings=lambda: result.Err([]),
    )
    created = _proxy.SessionProxy(cfg, adapters)
    created._deps = created._make_deps('00' * 32)
    created._rng = random.Random(1)
    created._peers = _peers_task.PeersTask(
        created._deps, created._handle_peer_message
    )
    created._peers.has_vm_list = True
    created._evidence = _evidence_task.EvidenceTask(
        created._deps, created._peers, lambda: {}
    )
    identity = _roster.ProxyIdentity('vm-1.0', 'a')
    created._homes = _homes.HomeMap(
        identity, created._peers, created._deps.clock
    )
    created._watch = types.SimpleNamespace(announce_config=lambda: None)
    created._catalogue = CATALOGUE
    async with anyio.create_task_group() as tasks:
        created._tasks = tasks
        yield created
        tasks.cancel_scope.cancel()


async def test_first_primary_is_named_once_the_list_has_settled(proxy):
    """The list arrives once; no read and no other event follows."""
    proxy._apply_endpoint_list((LEADER,))
    group = proxy._group_of('g')
    assert group.machine.cfg.initial_primary == ''
    proxy._tasks.start_soon(proxy._watch_homes)
    with anyio.fail_after(SETTLE + 3 * _proxy.HOMES_CHECK_INTERVAL_S):
        while not group.machine.cfg.initial_primary:
            await anyio.sleep(0.05)
    assert group.machine.cfg.initial_primary == '10.0.0.1:80'
