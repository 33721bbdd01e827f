"""Configuration by operators, through the command line."""

import json
import sys

import anyio
import pytest
from tidegrade_bench import _deployment

pytestmark = pytest.mark.anyio


async def run_command(site, *args: str, index: int = 0):
    return await anyio.run_process(
        [sys.executable, '-m', 'tidegrade', *args],
        env={
            'PYTHONPATH': ':'.join(sys.path),
            'TIDEGRADE_URL': site.urls[index],
            'TIDEGRADE_KEY': _deployment.OPERATOR_KEY,
        },
        check=False,
    )


def write_config(site, name: str) -> str:
    """Write a configuration with one more read class and return its path."""
    plain = site.deployment.document()
    group = plain['sites']['kanwa']['groups']['mains-1']
    group['read_classes'][name] = {'max_age_s': 9.0}
    file = site.deployment.folder / f'{name}.json'
    file.write_text(json.dumps(plain))
    return str(file)


async def test_a_file_is_applied_everywhere_or_nowhere(site):
    file = write_config(site, 'fresh')
    done = await run_command(site, 'config', 'diff', file)
    assert done.returncode == 1
    assert b'+' in done.stdout
    done = await run_command(site, 'config', 'apply', file, '--json')
    assert done.returncode == 0, done.stderr
    assert json.loads(done.stdout) == {'version': 2, 'behind': []}
    done = await run_command(site, 'config', 'diff', file)
    assert (done.returncode, done.stdout) == (0, b'')
    for index in range(3):
        done = await run_command(site, 'config', 'show', '--json', index=index)
        assert json.loads(done.stdout)['version'] == 2
    done = await run_command(site, 'config', 'history', '--json')
    assert [e['version'] for e in json.loads(done.stdout)] == [2, 1]


async def test_the_second_of_two_concurrent_applies_is_refused(site):
    files = [write_config(site, 'one'), write_config(site, 'two')]
    done = []

    async def apply(index: int) -> None:
        done.append(
            await run_command(
                site,
                'config',
                'apply',
                files[index],
                '--base',
                '1',
                index=index,
            )
        )

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(apply, 0)
        tasks.start_soon(apply, 1)
    assert sorted(d.returncode for d in done) == [0, 3]
    refused = next(d for d in done if d.returncode == 3)
    assert b'version 2 was applied first, by trial' in refused.stderr
    shown = await run_command(site, 'config', 'show', index=2)
    assert (b'"one"' in shown.stdout) != (b'"two"' in shown.stdout)


async def test_a_lost_answer_neither_repeats_nor_fails(site):
    await site.deployment.set_platform_faults(lose_answers=3)
    done = await run_command(
        site, 'config', 'apply', write_config(site, 'lost'), '--json'
    )
    assert done.returncode == 0, done.stderr
    assert json.loads(done.stdout)['version'] == 2


async def test_repeating_an_apply_by_its_id_changes_nothing(site):
    args = ('config', 'apply', write_config(site, 'again'), '--apply-id', 'x')
    for _ in range(2):
        done = await run_command(site, *args, '--json')
        assert json.loads(done.stdout)['version'] == 2


async def test_errors_name_the_path(site):
    plain = site.deployment.document()
    group = plain['sites']['kanwa']['groups']['mains-1']
    group['endpoints']['mains-1-a']['host'] = 'db.example'
    group['poll_interval_s'] = 'often'
    file = site.deployment.folder / 'wrong.json'
    file.write_text(json.dumps(plain))
    done = await run_command(site, 'config', 'check', str(file))
    assert done.returncode == 5
    assert b'$.sites' in done.stderr
    assert b'poll_interval_s' in done.stderr
    done = await run_command(site, 'config', 'apply', str(file))
    assert done.returncode == 5


async def test_an_unreachable_platform_is_reported(site):
    await site.deployment.set_platform_faults(down=True)
    done = await run_command(
        site, 'config', 'apply', write_config(site, 'down')
    )
    assert done.returncode in (4, 8)
    shown = await run_command(site, 'config', 'show', '--json', index=1)
    assert json.loads(shown.stdout)['version'] == 1


async def test_an_older_pointer_in_the_store_changes_nothing(site):
    await run_command(site, 'config', 'apply', write_config(site, 'newer'))
    state = (
        await site.http.get(f'{site.deployment.platform_url}/state')
    ).json()
    pointer = json.loads(state['rows']['config'][1])
    pointer['history'] = pointer['history'][1:]
    await site.http.put(
        f'{site.deployment.platform_url}/table/config', json=pointer
    )
    await anyio.sleep(2.5)
    for index in range(3):
        shown = await run_command(
            site, 'config', 'show', '--json', index=index
        )
        assert json.loads(shown.stdout)['version'] == 2


async def test_a_proxy_cut_off_from_the_platform_learns_from_peers(site):
    isolated = site.deployment.proxies[2].name
    await site.deployment.set_platform_faults(cut=[isolated])
    done = await run_command(
        site, 'config', 'apply', write_config(site, 'peer'), '--json'
    )
    assert json.loads(done.stdout) == {'version': 2, 'behind': []}


async def test_the_drain_command_stops_a_proxy(site):
    done = await run_command(site, 'drain')
    assert done.returncode == 0
    process = site.deployment.proxies[0].process

    async def ended() -> bool:
        return not process.alive

    await site.until(ended)
    assert process.popen.returncode == 0
