"""The choice of the proxy to pull a document from."""

import random

import pytest

from tidegrade import core

NEAR = [core.Source(f'n{number}', True) for number in range(4)]
FAR = [core.Source(f'f{number}', False) for number in range(4)]


@pytest.fixture
def make():
    return lambda seed=1: core.SourceSelector(random.Random(seed))


def test_each_is_asked_once_and_near_ones_first(make):
    sources = make()
    order = []
    while (source := sources.choose(NEAR + FAR)) is not None:
        sources.mark_asked(source)
        order.append(source)
    assert sorted(s.proxy for s in order) == sorted(
        s.proxy for s in NEAR + FAR
    )
    assert all(s.near for s in order[: len(NEAR)])


def test_random_choice_spreads_over_the_near_sources(make):
    first = {make(seed).choose(NEAR).proxy for seed in range(40)}
    assert len(first) == len(NEAR)


def test_all_may_be_asked_once_more(make):
    sources = make()
    sources.mark_asked(NEAR[0])
    assert sources.choose(NEAR[:1]) is None
    sources.reset()
    assert sources.choose(NEAR[:1]) == NEAR[0]
