"""Validation of a configuration beyond its structure."""

import ipaddress
import re

from tidegrade.config import _document

NAME = re.compile(r'^[a-z0-9][a-z0-9-]{0,62}$')
SHA256 = re.compile(r'^[0-9a-f]{64}$')


def problems_of(doc: _document.Document) -> list[str]:
    """Return the problems found, each with its path; empty if valid."""
    found: list[str] = []
    if doc.max_proxies < 1:
        found.append('expected at least 1 at $.max_proxies')
    for name, digest in doc.operators.items():
        _check_hash(digest, f'$.operators.{name}', found)
    for name, site in doc.sites.items():
        _check_name(name, f'$.sites.{name}', found)
        _check_site(site, doc, f'$.sites.{name}', found)
    return found


def _check_site(
    site: _document.Site,
    doc: _document.Document,
    path: str,
    found: list[str],
) -> None:
    for name, tenant in site.tenants.items():
        at = f'{path}.tenants.{name}'
        _check_hash(tenant.key_sha256, f'{at}.key_sha256', found)
        _check_positive(tenant, ('max_in_flight', 'requests_per_s'), at, found)
    hashes = [tenant.key_sha256 for tenant in site.tenants.values()]
    if len(set(hashes)) != len(hashes):
        found.append(f'two tenants have the same key at {path}.tenants')
    for name, group in site.groups.items():
        _check_name(name, f'{path}.groups.{name}', found)
        _check_group(group, doc, f'{path}.groups.{name}', found)


def _check_group(
    group: _document.Group,
    doc: _document.Document,
    path: str,
    found: list[str],
) -> None:
    if not group.endpoints:
        found.append(f'expected at least one endpoint at {path}.endpoints')
    if group.initial_primary not in group.endpoints:
        found.append(
            f'expected the name of an endpoint at {path}.initial_primary'
        )
    _check_positive(
        group,
        (
            'suspect_after_s',
            'poll_interval_s',
            'txn_limit_s',
            'txn_idle_s',
            'queue_limit',
            'max_result_bytes',
            'max_statements',
        ),
        path,
        found,
    )
    if group.poll_interval_s > MAX_POLL_INTERVAL_S:
        found.append(
            f'expected at most {MAX_POLL_INTERVAL_S} at'
            f' {path}.poll_interval_s: write permissions last a second'
        )
    for name, read_class in group.read_classes.items():
        if read_class.max_age_s is not None and read_class.max_age_s < 0:
            at = f'{path}.read_classes.{name}.max_age_s'
            found.append(f'expected zero or more at {at}')
    for name, endpoint in group.endpoints.items():
        at = f'{path}.endpoints.{name}'
        _check_name(name, at, found)
        _check_endpoint(endpoint, doc, at, found)


#: Longest interval between polls, in seconds. Polls renew write permissions,
#: which last a second, so they must be several times as frequent.
MAX_POLL_INTERVAL_S = 0.3


def _check_endpoint(
    endpoint: _document.Endpoint,
    doc: _document.Document,
    path: str,
    found: list[str],
) -> None:
    try:
        ipaddress.ip_address(endpoint.host)
    except ValueError:
        found.append(f'expected an IP number at {path}.host')
    if not 0 < endpoint.port < 65536:
        found.append(f'expected a port number at {path}.port')
    if not endpoint.domain:
        found.append(f'expected a failure domain at {path}.domain')
    if endpoint.slots < 1:
        found.append(f'expected at least 1 at {path}.slots')
    if endpoint.max_connections < doc.max_proxies:
        found.append(
            f'expected at least max_proxies ({doc.max_proxies}) at'
            f' {path}.max_connections: each proxy needs one'
        )


def _check_name(name: str, path: str, found: list[str]) -> None:
    if not NAME.match(name):
        found.append(
            'expected lower-case letters, digits and hyphens in the name'
            f' at {path}'
        )


def _check_hash(digest: str, path: str, found: list[str]) -> None:
    if not SHA256.match(digest):
        found.append(f'expected a SHA-256 in 64 hex digits at {path}')


def _check_positive(
    holder: object, names: tuple[str, ...], path: str, found: list[str]
) -> None:
    for name in names:
        if getattr(holder, name) <= 0:
            found.append(f'expected more than zero at {path}.{name}')
