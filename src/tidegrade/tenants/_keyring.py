"""Lookup of tenants by their keys."""

from collections.abc import Iterable
from collections.abc import Iterator
import hashlib
import secrets

from tidegrade.tenants import _tenant

#: Random key of the lookup hash. Since it is unknown outside the process, the
#: time that a lookup takes reveals nothing about the configured keys.
_LOOKUP_KEY = secrets.token_bytes(32)


class Keyring:
    """The tenants of one configuration version, by key hash and by name."""

    def __init__(self, tenants: Iterable[_tenant.Tenant]) -> None:
        self._by_name = {tenant.name: tenant for tenant in tenants}
        self._by_key = {
            _lookup_hash(digest): tenant
            for tenant in self._by_name.values()
            for digest in tenant.key_hashes
        }

    def __iter__(self) -> Iterator[_tenant.Tenant]:
        return iter(self._by_name.values())

    def __repr__(self) -> str:
        return f'Keyring({sorted(self._by_name)})'

    def holder_of(self, key_hash: str) -> _tenant.Tenant | None:
        """Return the tenant that has the key with this hash, or None."""
        return self._by_key.get(_lookup_hash(key_hash))

    def named(self, name: str) -> _tenant.Tenant | None:
        """Return the tenant of this name, or None."""
        return self._by_name.get(name)


def _lookup_hash(key_hash: str) -> bytes:
    return hashlib.blake2b(key_hash.encode(), key=_LOOKUP_KEY).digest()
