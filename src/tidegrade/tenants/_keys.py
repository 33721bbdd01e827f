"""Hashing of keys, which are secrets and not kept themselves."""

import hashlib


def key_hash(key: str) -> str:
    """Return the SHA-256 hash that is kept of a key, as hex digits.

    Keys are long and random, so a plain hash reveals nothing about them.
    """
    raw = key.encode('utf-8', 'surrogateescape')
    return hashlib.sha256(raw).hexdigest()
