"""Keys that callers and operators present; only hashes are kept."""

from collections.abc import Mapping
import hashlib
import hmac

BEARER = 'Bearer '


def key_hash(key: str) -> str:
    """Give the hash under which a key is configured."""
    return hashlib.sha256(key.encode('utf-8')).hexdigest()


def holder_of(
    authorization: str | None, hashes: Mapping[str, str]
) -> str | None:
    """Give whose key a request presents, or None.

    Every hash is compared, each in constant time, so that the time taken
    tells nothing about the keys.
    """
    if not authorization or not authorization.startswith(BEARER):
        return None
    presented = key_hash(authorization[len(BEARER) :].strip())
    found = None
    for name, expected in hashes.items():
        if hmac.compare_digest(presented, expected):
            found = name
    return found
