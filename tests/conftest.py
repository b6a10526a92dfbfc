"""Profiles of Hypothesis: `ci` repeats the same examples in every run."""

import os

from hypothesis import settings

settings.register_profile('ci', derandomize=True, deadline=None, database=None)
settings.register_profile('dev', deadline=None)
settings.load_profile(os.environ.get('HYPOTHESIS_PROFILE', 'ci'))
