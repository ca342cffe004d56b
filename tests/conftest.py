"""Profiles of hypothesis: fixed seeds in CI, new ones in a soak."""

import os
from collections.abc import Mapping
from types import MappingProxyType
from typing import Any

from hypothesis import HealthCheck, settings

_SHARED: Mapping[str, Any] = MappingProxyType(
    {
        'deadline': None,
        'database': None,
        'print_blob': True,
        'suppress_health_check': [HealthCheck.too_slow],
    }
)

settings.register_profile('ci', derandomize=True, **_SHARED)
settings.register_profile('soak', max_examples=20_000, **_SHARED)
settings.load_profile(os.environ.get('HYPOTHESIS_PROFILE', 'ci'))
