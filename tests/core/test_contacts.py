"""Contact with other failure domains."""

from tidegrade import core


def test_a_domain_is_silent_once_all_its_contacts_are_old():
    contacts = core.Contacts()
    contacts.record_direct('b', 1.0)
    contacts.record_report('b', 3.0)
    contacts.record_report('c', 2.0)
    assert contacts.silent(1.5) == frozenset()
    assert contacts.silent(2.5) == {'c'}
    assert contacts.silent(3.5) == {'b', 'c'}
    assert contacts.last('b') == contacts.last_of_any() == 3.0


def test_older_reports_do_not_set_a_contact_back():
    """A relay that has lost contact reports an older one than the other."""
    contacts = core.Contacts()
    contacts.record_report('b', 3.0)
    contacts.record_report('b', 1.0)
    assert contacts.last('b') == 3.0


def test_reported_contacts_are_not_reported_again():
    """Guards against relays that keep each other's contacts alive."""
    contacts = core.Contacts()
    contacts.record_direct('b', 1.0)
    contacts.record_report('b', 3.0)
    contacts.record_report('c', 3.0)
    assert contacts.direct_ages(4.0) == {'b': 3.0}


def test_a_domain_without_contact_so_far_is_not_silent():
    """Guards against a restart of all proxies that looks like a partition."""
    contacts = core.Contacts()
    assert contacts.last_of_any() is None
    assert contacts.last('b') is None
    assert contacts.silent(99.0) == frozenset()
