"""Authentication of callers and operators by bearer keys.

Only the hashes of the keys are stored.
"""

from collections.abc import Mapping
import hmac

from tidegrade import tenants

BEARER = 'Bearer '


def bearer_key(authorization: str | None) -> str | None:
    """Return the key in the value of an Authorization header, or None."""
    if not authorization or not authorization.startswith(BEARER):
        return None
    return authorization[len(BEARER) :].strip()


def holder_of(
    authorization: str | None, hashes: Mapping[str, str]
) -> str | None:
    """Return the name of the holder of the key in a request, or None.

    ``hashes`` maps the names of holders to the hashes of their keys. Every
    hash is compared, each in constant time, so that the time taken reveals
    nothing about the keys.
    """
    key = bearer_key(authorization)
    if key is None:
        return None
    presented_hash = tenants.key_hash(key)
    found = None
    for name, expected in hashes.items():
        if hmac.compare_digest(presented_hash, expected):
            found = name
    return found
