"""Registrations of other proxies that a scan of the table finds."""

import json

import pytest
import result

from tidegrade.codec import _rows
from tidegrade.session_proxy import _members

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> str:
    return 'asyncio'


class Table:
    """A table with a row of this version and one of an older proxy."""

    async def scan(self, prefix):
        row = _rows.Registered('a', 'h', 1, 'vm-1.r', 361)
        older = {'domain': 'b', 'host': 'h', 'port': 2, 'proxy': 'vm-2.r'}
        return result.Ok(
            {
                f'{prefix}vm-1': _rows.encode_registered(row),
                f'{prefix}vm-2': json.dumps(older).encode(),
            }
        )


class Peers:
    """Keeps the VMs that it learns."""

    def learn_vms(self, vms):
        self.vms = vms


async def test_scan_finds_capacities_and_rows_of_older_proxies():
    """A proxy whose row is rejected would not be known until it is heard."""
    peers = Peers()
    task = _members.MembersTask(Table(), peers, 60.0, lambda: None)
    await task._scan()
    found = {(vm.id, vm.domain, vm.port, vm.capacity) for vm in peers.vms}
    assert found == {('vm-1.r', 'a', 1, 361), ('vm-2.r', 'b', 2, 0)}
