"""Randomised histories of the core, for as long as one likes."""

import itertools
import json
import time

import attrs
import tidegrade_fakes as fakes

from tidegrade import config
from tidegrade import core

#: Lengths tried, in virtual seconds, to show a violation early.
SHORTER = (2.0, 4.0, 6.0, 8.0, 10.0, 15.0)


def settings(seed: int) -> fakes.RunSettings:
    """Give the run behind a seed: its mixture of failures and writes."""
    acknowledge = config.Acknowledge.MAJORITY
    if seed % 4 == 3:
        acknowledge = config.Acknowledge.PRIMARY
    return fakes.RunSettings(
        seed=seed,
        seconds=20.0,
        proxies=3 + seed % 3,
        fault_pause=(0.5, 1.0, 2.0)[seed % 3],
        acknowledge=acknowledge,
    )


def run(seconds: float, first: int) -> bool:
    """Run seeds until the time is over; tell whether all promises held."""
    until = time.monotonic() + seconds
    seeds = events = violations = 0
    for seed in itertools.count(first):
        if seeds and time.monotonic() >= until:
            break
        seeds += 1
        try:
            events += fakes.run(settings(seed)).events
        except (fakes.Violation, core.InvariantBroken) as exc:
            violations += 1
            print(f'seed {seed}: {exc}')
            print(_shortest(seed))
    print(
        json.dumps(
            {'seeds': seeds, 'events': events, 'violations': violations}
        )
    )
    return not violations


def _shortest(seed: int) -> str:
    """Find the shortest length that shows it, and give its failures."""
    for seconds in SHORTER:
        cfg = attrs.evolve(settings(seed), seconds=seconds)
        made = fakes.Run(cfg)
        try:
            made.report()
        except (fakes.Violation, core.InvariantBroken) as exc:
            lines = [f'  within {seconds} s: {exc}']
            lines.extend(f'    {fault}' for fault in made.faults)
            return '\n'.join(lines)
    return '  not within a shorter run'
