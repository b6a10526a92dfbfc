import pytest
from hypothesis import given
from hypothesis import strategies as st

from bergamotthread.process.keys import hash_credential
from bergamotthread.request.authentication import (
    authenticate_operator,
    authenticate_team,
)
from bergamotthread.request.refusal import ReasonCode, RefusedError
from bergamotthread.version.objects import ObjectSet, Operator, Team
from bergamotthread.version.published import PublishedVersion

_PUBLISHED = PublishedVersion.from_object_set(
    7,
    ObjectSet(
        teams=(
            Team('foundry', credential_hashes=(hash_credential('one'),)),
            Team(
                'trench',
                credential_hashes=(
                    hash_credential('two'),
                    hash_credential('new'),
                ),
            ),
        ),
        operators=(Operator('ana', (hash_credential('op'),)),),
    ),
)


@pytest.mark.parametrize(
    ('authorization', 'name'),
    [
        ('Bearer one', 'foundry'),
        ('bearer two', 'trench'),
        ('BEARER new', 'trench'),
    ],
)
def test_credential_identifies_its_team(authorization: str, name: str) -> None:
    assert authenticate_team(authorization, _PUBLISHED).name == name


def test_credential_identifies_its_operator() -> None:
    assert authenticate_operator('Bearer op', _PUBLISHED).name == 'ana'


@pytest.mark.parametrize(
    ('authenticate', 'authorization', 'reason'),
    [
        (authenticate_team, '', ReasonCode.UNAUTHENTICATED),
        (authenticate_team, 'Basic one', ReasonCode.UNAUTHENTICATED),
        (authenticate_team, 'Bearer', ReasonCode.UNAUTHENTICATED),
        (authenticate_team, 'Bearer three', ReasonCode.UNAUTHENTICATED),
        (authenticate_team, 'Bearer op', ReasonCode.UNAUTHENTICATED),
        (
            authenticate_team,
            f'Bearer {hash_credential("one")}',
            ReasonCode.UNAUTHENTICATED,
        ),
        (authenticate_team, f'Bearer {"x" * 600}', ReasonCode.UNAUTHENTICATED),
        (authenticate_operator, 'Bearer one', ReasonCode.FORBIDDEN),
        (authenticate_operator, 'Bearer x', ReasonCode.UNAUTHENTICATED),
    ],
)
def test_invalid_credentials_are_refused(
    authenticate, authorization: str, reason: ReasonCode
) -> None:
    with pytest.raises(RefusedError) as caught:
        authenticate(authorization, _PUBLISHED)
    refusal = caught.value.refusal
    assert (refusal.reason, refusal.ran) == (reason, 'no')
    assert refusal.config_version == 7
    assert 'one' not in refusal.detail


@given(authorization=st.text(max_size=40))
def test_any_header_is_refused_clearly(authorization: str) -> None:
    with pytest.raises(RefusedError):
        authenticate_team(f'Bearer x{authorization}', _PUBLISHED)
