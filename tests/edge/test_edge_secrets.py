"""Callers' keys never appear in a proxy's logs.

A proxy used the key that opens a session as the caller's name: the key was
in each log line of the session's requests and named the caller's queue, also
at the proxies that the requests were forwarded to.
"""

import anyio
import pytest

pytestmark = pytest.mark.anyio

KEY = 'uddedev3nax7u27gxpry'


async def test_logs_contain_no_key(site):
    client = await site.client(0, key=KEY)
    assert (await client.ask('WRITE x 1')).error == ''
    assert (await client.ask('READ x')).rows == ('1',)
    assert (await client.ask('EXEC nothing x')).error
    await client.close()
    with pytest.raises(AssertionError):
        await site.client(0, database='nowhere', key=KEY)
    await anyio.sleep(0.1)
    for number in range(len(site.proxies)):
        assert KEY not in site.log_of(number)
