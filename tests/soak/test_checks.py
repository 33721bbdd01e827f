"""The soak's checks detect each violation that they look for."""

import pytest
import tidegrade_edge as edge
from tidegrade_soak import _checks
from tidegrade_soak import _journal


@pytest.fixture
def site(tmp_path) -> edge.Site:
    """Return a site that does not run; the tests fill its records."""
    return edge.Site(tmp_path)


@pytest.fixture
def journal() -> _journal.Journal:
    return _journal.Journal()


def record_request(journal, name, text, database='db-primary', **fields):
    """Record a statement that was sent at 1 s and answered at 2 s."""
    made = _journal.Asked(
        id=name,
        caller='c',
        database=database,
        text=text,
        values={},
        began_at=fields.pop('began_at', 1.0),
        proxy=0,
        sent_at=1.0,
        answered_at=2.0,
        **fields,
    )
    journal.note(made)
    return made


def record_run(site, name, text, conn=1, in_txn=False, shown=(1, 0), rows=()):
    """Record a run at the primary."""
    run = edge.Run(name, text, {}, conn, in_txn, shown, rows)
    site.primary.runs.append(run)


def record_commit(site, name, number, at=1.5, term=1):
    """Record a commit at the primary."""
    entry = edge.Entry(term, number, name, (('x', '1'),))
    site.primary.log.append(entry)
    site.primary.commits.append(edge.Commit(entry, site.primary.id, at))


def violated_rules(site, journal) -> set[str]:
    """Return the names of the rules that the checks report as violated."""
    found = _checks.violations(site, journal)
    return {problem.partition(':')[0] for problem in found}


def test_a_correct_write_violates_nothing(site, journal):
    record_request(journal, 'a', 'WRITE x 1', receipt=f'{site.primary.id}:a')
    record_run(site, 'a', 'WRITE x 1')
    record_commit(site, 'a', 1)
    assert violated_rules(site, journal) == set()


def test_a_success_without_its_own_receipt(site, journal):
    record_request(journal, 'a', 'WRITE x 1', receipt=f'{site.primary.id}:b')
    assert violated_rules(site, journal) == {'MIXED'}


def test_a_read_with_other_rows(site, journal):
    receipt = f'{site.primary.id}:a'
    record_request(journal, 'a', 'READ x', receipt=receipt, rows=('2',))
    record_run(site, 'a', 'READ x', rows=('1',))
    assert violated_rules(site, journal) == {'MIXED'}


def test_a_run_that_no_caller_requested(site, journal):
    record_run(site, 'z', 'WRITE x 1')
    assert violated_rules(site, journal) == {'UNASKED'}


def test_transactions_on_one_connection_at_once(site, journal):
    for name, txn in (('a', 't1'), ('b', 't2'), ('c', 't1')):
        record_request(journal, name, 'READ x', txn=txn, code='FAILED')
        record_run(site, name, 'READ x', in_txn=True)
    assert violated_rules(site, journal) == {'PINNED'}


def test_a_write_that_took_effect_twice(site, journal):
    record_request(journal, 'a', 'WRITE x 1', code='INDOUBT')
    record_commit(site, 'a', 1)
    record_commit(site, 'a', 2)
    assert violated_rules(site, journal) == {'TWICE'}


def test_a_commit_of_a_refused_write(site, journal):
    record_request(journal, 'a', 'WRITE x 1', code='BUSY')
    record_commit(site, 'a', 1)
    assert violated_rules(site, journal) == {'REFUSED'}


def test_an_acknowledgement_by_an_old_primary(site, journal):
    record_request(journal, 'a', 'WRITE x 1', receipt=f'{site.primary.id}:a')
    record_commit(site, 'a', 1, at=1.5)
    site.led_since[2] = 1.4
    assert violated_rules(site, journal) == {'ONE'}
    journal.faults.append(_journal.Fault('pause', 1.0, 0, '', 1.45))
    assert violated_rules(site, journal) == set()


def test_promotions_whose_numbers_fall(site, journal):
    site.promotions += [('i', 'p', 3), ('i', 'q', 2)]
    assert violated_rules(site, journal) == {'ONE'}


def test_a_read_that_lacks_an_acknowledged_commit(site, journal):
    record_request(journal, 'a', 'WRITE x 1', receipt=f'{site.primary.id}:a')
    record_commit(site, 'a', 1)
    record_request(journal, 'b', 'READ x', began_at=2.5, code='FAILED')
    record_run(site, 'b', 'READ x', shown=(1, 0))
    assert violated_rules(site, journal) == {'STALE'}


def test_reads_that_may_be_old_see_the_sessions_own_commits(site, journal):
    record_request(journal, 'a', 'WRITE x 1', receipt=f'{site.primary.id}:a')
    record_commit(site, 'a', 1)
    for name, database in (('b', 'db-own'), ('c', 'db-bounded')):
        record_request(
            journal, name, 'READ x', database, began_at=2.5, code='FAILED'
        )
        record_run(site, name, 'READ x', shown=(1, 0))
    (problem,) = _checks.violations(site, journal)
    assert problem.startswith('STALE: b ')


def test_a_request_that_was_cut_off_by_a_planned_stop(site, journal):
    cut_off = record_request(journal, 'a', 'READ x')
    cut_off.answered_at, cut_off.lost_at = None, 1.6
    journal.faults.append(_journal.Fault('stop', 0.9, 0, '', 3.0))
    assert violated_rules(site, journal) == {'LOST'}
    # A request may cross with the closing of an idle session.
    cut_off.lost_at = 1.1
    assert violated_rules(site, journal) == set()
    record_run(site, 'a', 'READ x')
    assert violated_rules(site, journal) == {'LOST'}
