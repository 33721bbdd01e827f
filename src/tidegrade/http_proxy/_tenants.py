"""The tenants of each site, and the count of their requests in flight."""

from collections.abc import Iterator
import contextlib

from tidegrade import config
from tidegrade import tenants

#: Largest burst of a tenant: what it may send at its rate in this time,
#: in seconds.
BURST_S = 1.0


def full_name(site: str, name: str) -> str:
    """Return a tenant's name that is unique across all sites."""
    return f'{site}/{name}'


def tenant_of(site: str, name: str, cfg: config.Tenant) -> tenants.Tenant:
    """Return a tenant as the configuration document describes it."""
    return tenants.Tenant(
        name=full_name(site, name),
        key_hashes=frozenset({cfg.key_sha256}),
        rate=cfg.requests_per_s,
        burst=max(1.0, cfg.requests_per_s * BURST_S),
    )


class SiteTenants:
    """The tenants of one version of the configuration, by site."""

    def __init__(self, doc: config.Document) -> None:
        self._keyrings = {
            site: tenants.Keyring(
                tenant_of(site, name, cfg)
                for name, cfg in found.tenants.items()
            )
            for site, found in doc.sites.items()
        }
        self._by_name = {
            tenant.name: tenant
            for keyring in self._keyrings.values()
            for tenant in keyring
        }
        self._names = {
            full_name(site, name): name
            for site, found in doc.sites.items()
            for name in found.tenants
        }

    def holder_of(self, site: str, key_hash: str) -> tenants.Tenant | None:
        """Return the tenant of a site with this key's hash, or None."""
        keyring = self._keyrings.get(site)
        return None if keyring is None else keyring.holder_of(key_hash)

    def by_full_name(self, name: str) -> tenants.Tenant | None:
        """Return the tenant with this full name, or None."""
        return self._by_name.get(name)

    def short_name(self, tenant: tenants.Tenant) -> str:
        """Return a tenant's name within its site."""
        return self._names[tenant.name]


class InFlight:
    """Counts the requests that this proxy is serving for each tenant."""

    def __init__(self) -> None:
        self._counts: dict[str, int] = {}

    def allows(self, name: str, limit: int) -> bool:
        """Return whether a tenant is below its limit of ``most`` requests."""
        return self._counts.get(name, 0) < limit

    @contextlib.contextmanager
    def serving(self, name: str) -> Iterator[None]:
        """Count a tenant's request while this proxy serves it."""
        self._counts[name] = self._counts.get(name, 0) + 1
        try:
            yield
        finally:
            self._counts[name] -= 1
            if not self._counts[name]:
                del self._counts[name]
