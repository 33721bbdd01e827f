"""Settings that all tests share."""

import hypothesis

# The same examples every time: a verdict must not depend on the day.
hypothesis.settings.register_profile(
    'repeatable', derandomize=True, deadline=None, database=None
)
hypothesis.settings.load_profile('repeatable')
