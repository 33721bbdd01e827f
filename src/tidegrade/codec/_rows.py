"""Rows of the platform's table as JSON."""

import attrs
import cattrs
import orjson
import result

from tidegrade.codec import _structure
from tidegrade import core

_converter = cattrs.Converter()


def row_key(site: str, group: str) -> str:
    """Return the key of a group's row."""
    return f'groups/{site}/{group}'


#: Prefix of the keys under which proxies register; the VM's id follows.
PROXIES_PREFIX = 'proxies/'
#: Key of the row that points to the accepted configuration.
CONFIG = 'config'


@attrs.frozen
class Registered:
    """A VM's row: its failure domain, and the address of its proxy.

    ``proxy`` is the id of the proxy process that registered last. A VM runs
    one at a time, so a process that registers replaces the one before.
    ``capacity`` is that of the VM in thousandths of a core; rows of older
    proxies lack it, and 0 means that it is not known.
    """

    domain: str
    host: str
    port: int
    proxy: str
    capacity: int = 0


def encode_registered(entry: Registered) -> bytes:
    """Return a VM's row as JSON."""
    return orjson.dumps(_converter.unstructure(entry))


def decode_registered(value: bytes) -> result.Result[Registered, str]:
    """Return a VM's row, or why it is malformed."""
    read = _structure.structure_lenient(value, Registered)
    return read.map_err(
        lambda errors: f'a registration is malformed: {"; ".join(errors)}'
    )


def encode_row(row: core.GroupRow) -> bytes:
    """Return a group's row as JSON."""
    plain = _converter.unstructure(row)
    plain['members'] = sorted(plain['members'])
    return orjson.dumps(plain)


def decode_row(value: bytes) -> result.Result[core.GroupRow, str]:
    """Return a group's row, or why it is malformed."""
    read = _structure.structure_lenient(value, core.GroupRow)
    return read.map_err(
        lambda errors: f'a group row is malformed: {"; ".join(errors)}'
    )
