"""Check that no team reads cached parts of another one if one is isolated.

Engines keep what was written under a scope for as long as they like.
"""

import itertools
from collections.abc import Iterable

import pytest

from arbutusbay.fleet import ClientLimits, Configuration, TeamSpec, cache_scope

_TEAMS = ('till-rolls', 'pharmacy', 'fuel')
_PUBLIC = ''


def build_configuration(isolated: Iterable[str]) -> Configuration:
    """Return a configuration in which the teams ``isolated`` are so."""
    return Configuration(
        version=1,
        routes_by_host={},
        services={},
        kv_cache_stores=(),
        teams_by_api_key={},
        requires_api_key=True,
        limits=ClientLimits(),
        isolated_teams=frozenset(isolated),
    )


def build_team(name: str, *, is_isolated: bool) -> TeamSpec:
    """Return a team without keys."""
    return TeamSpec(
        name=name,
        api_keys=frozenset(),
        priority=None,
        has_isolated_cache=is_isolated,
    )


def scopes_of(isolated: frozenset[str]) -> dict[str, str]:
    """Return the scope of each team, and of requests without one."""
    configuration = build_configuration(isolated)
    scopes = {
        name: cache_scope(
            configuration, build_team(name, is_isolated=name in isolated)
        )
        for name in _TEAMS
    }
    return {**scopes, _PUBLIC: cache_scope(configuration, None)}


def subsets() -> list[frozenset[str]]:
    """Return all sets of teams that may be isolated."""
    return [
        frozenset(names)
        for count in range(len(_TEAMS) + 1)
        for names in itertools.combinations(_TEAMS, count)
    ]


# Guards against parts that a team wrote before it was isolated and that others
# go on to read, in whatever order teams are isolated and are not any more.
@pytest.mark.parametrize('order', list(itertools.permutations(subsets(), 3)))
def test_isolated_team_shares_nothing_that_was_written(order):
    writers: dict[str, set[str]] = {}
    for isolated in order:
        scopes = scopes_of(isolated)
        for reader, scope in scopes.items():
            others = writers.get(scope, set()) - {reader}
            assert not others or reader not in isolated
            assert not others & isolated
        for writer, scope in scopes.items():
            writers.setdefault(scope, set()).add(writer)


# Guards against a shared cache that is read anew where no team's isolation has
# changed, at another VM or after a restart.
def test_teams_that_are_not_isolated_share_a_scope():
    for isolated in subsets():
        shared = {
            scope
            for name, scope in scopes_of(isolated).items()
            if name not in isolated
        }
        assert len(shared) == 1
        assert scopes_of(isolated) == scopes_of(isolated)


# Guards against a request that was accepted before its team was isolated, waits
# and then reads what others wrote.
def test_request_that_waits_gets_the_scope_in_force():
    accepted = build_team('pharmacy', is_isolated=False)
    scope = cache_scope(build_configuration(('pharmacy',)), accepted)
    assert scope == scopes_of(frozenset(('pharmacy',)))['pharmacy']


# Guards against the scope of another team by a name that is chosen for it.
def test_scopes_of_odd_names_differ():
    one = build_configuration(('a', 'b'))
    other = build_configuration(('a,b',))
    assert cache_scope(one, None) != cache_scope(other, None)
    shared = cache_scope(one, None)
    odd = build_team(shared, is_isolated=True)
    assert cache_scope(one, odd) != shared
