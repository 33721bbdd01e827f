"""The platform's rows as JSON."""

import attrs
import cattrs
import orjson
import result

from tidegrade.codec import _structure
from tidegrade import core

_converter = cattrs.Converter()


def row_key(site: str, group: str) -> str:
    """Give the key of a group's row."""
    return f'groups/{site}/{group}'


#: Prefix of the keys under which proxies register, each by its VM.
HOLDERS = 'proxies/'
#: Key of the row that points to the accepted configuration.
CONFIG = 'config'


@attrs.frozen
class Registered:
    """A VM's entry: its failure domain, and where peers reach its proxy.

    ``proxy`` is the run that registered last. A VM runs one at a time, so
    one that registers takes the place of the run before.
    """

    domain: str
    host: str
    port: int
    proxy: str


def encode_registered(entry: Registered) -> bytes:
    """Give a proxy's entry as JSON."""
    return orjson.dumps(_converter.unstructure(entry))


def decode_registered(value: bytes) -> result.Result[Registered, str]:
    """Read a proxy's entry."""
    read = _structure.structure_lenient(value, Registered)
    return read.map_err(
        lambda errors: f'a registration is malformed: {"; ".join(errors)}'
    )


def encode_row(row: core.GroupRow) -> bytes:
    """Give a group's row as JSON."""
    plain = _converter.unstructure(row)
    plain['members'] = sorted(plain['members'])
    return orjson.dumps(plain)


def decode_row(value: bytes) -> result.Result[core.GroupRow, str]:
    """Read a group's row."""
    read = _structure.structure_lenient(value, core.GroupRow)
    return read.map_err(
        lambda errors: f'a group row is malformed: {"; ".join(errors)}'
    )
