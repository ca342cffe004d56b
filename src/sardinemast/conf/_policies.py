"""Sections of the process settings that configure the leader's dispatcher."""

from collections.abc import Callable
from types import MappingProxyType
from typing import Any

from sardinemast.conf._fields import (
    Field,
    choice,
    get_defaults,
    number,
    record,
)
from sardinemast.dispatch import (
    AdmissionPolicy,
    FailureDomainPolicy,
    LearningPolicy,
    LeasePolicy,
    PoolPolicy,
    PreemptionPolicy,
    TeamShares,
)

# More for late work would make jobs late that could still be on time.
_MAX_LATE_SHARE = 0.5
_POLICIES: MappingProxyType[str, Callable[..., Any]] = MappingProxyType(
    {
        'pool_sizes': PoolPolicy,
        'team_shares': TeamShares,
        'learning': LearningPolicy,
        'failure_domains': FailureDomainPolicy,
        'preemption': PreemptionPolicy,
        'admission': AdmissionPolicy,
        'worker_leases': LeasePolicy,
    },
)
# Fields whose values are limited further than to numbers from 0 on.
_LIMITED_FIELDS = MappingProxyType(
    {
        ('team_shares', 'late_share'): number(0, _MAX_LATE_SHARE),
        ('learning', 'prior_ends'): number(1),
        ('worker_leases', 'longest_ms'): number(1, is_whole=True),
    },
)


def make_policy_fields() -> dict[str, Field]:
    """Return the field of each section, with the policies' own defaults."""
    return {section: _make_section(section) for section in _POLICIES}


def build_policies(parsed: Any) -> dict[str, Any]:
    """Return the policy of each section."""
    return {
        section: policy(
            **{
                name: parsed[section][name] == 'true'
                if isinstance(default, bool)
                else parsed[section][name]
                for name, default in policy()._asdict().items()
            },
        )
        for section, policy in _POLICIES.items()
    }


def _make_section(section: str) -> Field:
    defaults = _POLICIES[section]()._asdict()
    fields = {
        name: _make_field(section, name, default)
        for name, default in defaults.items()
    }
    return Field(record(fields), MappingProxyType(get_defaults(fields)))


def _make_field(section: str, name: str, default: Any) -> Field:
    if isinstance(default, bool):
        return Field(choice('true', 'false'), str(default).lower())
    limited = _LIMITED_FIELDS.get((section, name))
    is_whole = isinstance(default, int)
    return Field(limited or number(0, is_whole=is_whole), default)
