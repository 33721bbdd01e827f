"""The identity that is kept of a caller that presents a key."""

from tidegrade import tenants

KEY = 'nirth5mgjy5rcpihhacr'


def test_the_repr_of_a_caller_has_neither_key_nor_hash():
    caller = tenants.Caller.presenting(KEY)
    assert KEY not in repr(caller)
    assert caller.key_hash not in repr(caller)
    assert caller.label not in (KEY, caller.key_hash[: len(caller.label)])


def test_a_label_is_stable_and_differs_between_keys():
    first, same = (tenants.Caller.presenting(KEY) for _ in range(2))
    other = tenants.Caller.presenting(KEY + 'x')
    assert first == same
    assert first.label != other.label


def test_a_key_that_is_not_utf8_is_accepted():
    key = b'k\xff\xfe'.decode('utf-8', 'surrogateescape')
    assert tenants.Caller.presenting(key).label
