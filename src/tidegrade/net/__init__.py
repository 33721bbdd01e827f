"""Socket operations that the streams of the event loop do not offer."""

from tidegrade.net._keepalive import CALLER_SILENCE_TIMEOUT_S
from tidegrade.net._keepalive import enable_keepalive
from tidegrade.net._keepalive import SILENCE_TIMEOUT_S
from tidegrade.net._shutdown import drop_unsent
from tidegrade.net._shutdown import shut_down
from tidegrade.net._shutdown import shut_input

__all__ = [
    'CALLER_SILENCE_TIMEOUT_S',
    'SILENCE_TIMEOUT_S',
    'drop_unsent',
    'enable_keepalive',
    'shut_down',
    'shut_input',
]
