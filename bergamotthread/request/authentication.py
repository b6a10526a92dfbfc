"""Authentication of requests by their bearer credentials."""

from __future__ import annotations

import hashlib
import hmac

from bergamotthread.errors import Step
from bergamotthread.request.refusal import (
    ReasonCode,
    RefusedError,
    not_run,
)
from bergamotthread.version.objects import Operator, Team
from bergamotthread.version.published import PublishedVersion

MAX_CREDENTIAL_CHARACTERS = 512

_SCHEME = 'bearer'


def authenticate_team(authorization: str, published: PublishedVersion) -> Team:
    """Return the team that a credential belongs to.

    Parameters
    ----------
    authorization
        Value of the ``Authorization`` header; empty if there is none.

    Raises
    ------
    RefusedError
        If no team of the version has the credential.
    """
    digest = _digest(authorization, published)
    team = published.teams_by_credential_hash.get(digest)
    if team is None:
        detail = 'the credential belongs to no team'
        raise _refused(ReasonCode.UNAUTHENTICATED, detail, published)
    return team


def authenticate_operator(
    authorization: str,
    published: PublishedVersion,
) -> Operator:
    """Return the operator that a credential belongs to.

    Raises
    ------
    RefusedError
        If no operator of the version has the credential; the reason is
        `forbidden` if it is a team's credential.
    """
    digest = _digest(authorization, published)
    for operator in published.object_set.operators:
        if _has_credential(operator, digest):
            return operator
    if digest in published.teams_by_credential_hash:
        detail = 'the credential is that of a team, expected an operator'
        raise _refused(ReasonCode.FORBIDDEN, detail, published)
    detail = 'the credential belongs to no operator'
    raise _refused(ReasonCode.UNAUTHENTICATED, detail, published)


def _has_credential(operator: Operator, digest: str) -> bool:
    matches = [
        hmac.compare_digest(digest, credential_hash)
        for credential_hash in operator.credential_hashes
    ]
    return any(matches)


def _digest(authorization: str, published: PublishedVersion) -> str:
    """Return the SHA-256 digest of the credential in hex.

    Credentials are looked up only by their digest, so that the duration of a
    lookup reveals nothing about a credential.
    """
    scheme, _, secret = authorization.partition(' ')
    if scheme.lower() != _SCHEME or not secret:
        detail = 'expected the header "Authorization: Bearer CREDENTIAL"'
        raise _refused(ReasonCode.UNAUTHENTICATED, detail, published)
    if len(secret) > MAX_CREDENTIAL_CHARACTERS:
        detail = (
            f'credential of {len(secret)} characters, '
            f'expected at most {MAX_CREDENTIAL_CHARACTERS}'
        )
        raise _refused(ReasonCode.UNAUTHENTICATED, detail, published)
    encoded = secret.strip().encode('utf-8', 'surrogatepass')
    return hashlib.sha256(encoded).hexdigest()


def _refused(
    reason: ReasonCode,
    detail: str,
    published: PublishedVersion,
) -> RefusedError:
    return not_run(
        reason,
        detail,
        Step.AUTHENTICATE,
        config_version=published.version,
        decided_by='teams, operators',
    )
