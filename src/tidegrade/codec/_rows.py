"""Rows of the platform's table as JSON."""

from collections.abc import Callable
import typing

import attrs
import cattrs
import orjson
import result

from tidegrade.codec import _structure
from tidegrade import core

T = typing.TypeVar('T')

#: Largest TCP port.
MAX_PORT = 65535
#: Largest term of a row. Messages hold 64 bits, of which half the range is
#: left for the terms that follow.
MAX_TERM = 2**63 - 1

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
    return _checked(read, _find_address_problem).map_err(
        lambda reason: f'a registration is malformed: {reason}'
    )


def encode_row(row: core.GroupRow) -> bytes:
    """Return a group's row as JSON."""
    plain = _converter.unstructure(row)
    plain['members'] = sorted(plain['members'])
    return orjson.dumps(plain)


def decode_row(value: bytes) -> result.Result[core.GroupRow, str]:
    """Return a group's row, or why it is malformed."""
    read = _structure.structure_lenient(value, core.GroupRow)
    return _checked(read, _find_term_problem).map_err(
        lambda reason: f'a group row is malformed: {reason}'
    )


def _checked(
    read: result.Result[T, list[str]], find_problem: Callable[[T], str]
) -> result.Result[T, str]:
    """Return what was read unless it has an invalid value."""
    if read.is_err():
        return result.Err('; '.join(read.unwrap_err()))
    problem = find_problem(read.unwrap())
    return result.Err(problem) if problem else result.Ok(read.unwrap())


def _find_address_problem(entry: Registered) -> str:
    """Return why nothing can connect to an address, or an empty string.

    An attempt to connect to a name that is not ASCII can raise UnicodeError,
    and one to a port out of range OverflowError, in place of an OSError.
    """
    if not (entry.host and entry.host.isascii()):
        return 'expected an address in ASCII at $.host'
    if not 0 < entry.port <= MAX_PORT:
        return f'port out of range at $.port: {entry.port}'
    return ''


def _find_term_problem(row: core.GroupRow) -> str:
    """Return which term messages cannot hold, or an empty string."""
    terms = {'$.term': row.term, '$.log_term': row.marker}
    if row.attempt is not None:
        terms['$.attempt.next_term'] = row.attempt.next_term
    for path, term in terms.items():
        if not 0 < term <= MAX_TERM:
            return f'term out of range at {path}: {term}'
    return ''
