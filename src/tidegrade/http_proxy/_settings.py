"""Settings of a proxy, read from a JSON file."""

import attrs
import result

from tidegrade.adapters import _platform
from tidegrade.adapters import _postgres
from tidegrade.codec import _structure
from tidegrade.daemon import _deps


@attrs.frozen
class HttpSettings:
    """Address of the HTTP server and limits for its clients.

    Sizes are in bytes, times in seconds. The proxy closes a connection
    that takes longer than ``header_timeout_s`` to send a request's head.
    With ``cert_file`` and ``key_file`` the proxy serves TLS only.
    """

    host: str
    port: int
    max_connections: int = 6000
    max_in_flight: int = 2000
    max_body_bytes: int = 262_144
    header_timeout_s: float = 10.0
    body_timeout_s: float = 5.0
    keep_alive_s: float = 30.0
    default_deadline_s: float = 5.0
    max_deadline_s: float = 30.0
    cert_file: str = ''
    key_file: str = ''


@attrs.frozen
class ProxySettings:
    """What a proxy needs before it can contact the platform.

    Times are in seconds. ``operators`` maps the names of operators to the
    SHA-256 of their keys; these operators are accepted before the first
    configuration, and after it besides those that it names. A graceful
    shutdown waits ``unready_s`` for the load balancer to notice that this
    proxy isn't ready any more, and at most ``drain_limit_s`` for its work
    to finish.
    """

    name: str
    domain: str
    http: HttpSettings
    peers: _deps.PeerSettings
    platform: _platform.PlatformSettings
    postgres: _postgres.PostgresSettings = attrs.field(
        factory=_postgres.PostgresSettings
    )
    operators: dict[str, str] = attrs.field(factory=dict)
    config_poll_s: float = 1.0
    vm_poll_s: float = 1.0
    unready_s: float = 1.0
    drain_limit_s: float = 30.0


def read_settings(
    raw: bytes,
) -> result.Result[ProxySettings, list[str]]:
    """Read and check settings; each error names the path at fault."""
    read = _structure.structure(raw, ProxySettings)
    if read.is_err():
        return read
    found = _problems(read.unwrap())
    return result.Err(found) if found else read


def _problems(cfg: ProxySettings) -> list[str]:
    found = []
    try:
        key = bytes.fromhex(cfg.peers.key)
    except ValueError:
        key = b''
    if len(key) != 32:
        found.append('expected 64 hex digits at $.peers.key')
    if not cfg.name:
        found.append('expected a name at $.name')
    if not cfg.domain:
        found.append('expected a failure domain at $.domain')
    if bool(cfg.http.cert_file) != bool(cfg.http.key_file):
        found.append(
            'expected both or none of cert_file and key_file at $.http'
        )
    return found
