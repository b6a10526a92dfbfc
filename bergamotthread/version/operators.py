"""Lookup of operators by their credentials."""

from __future__ import annotations

import hashlib

from bergamotthread.errors import BergamotError, Step
from bergamotthread.version.objects import ObjectSet, Operator


def find_operator(object_set: ObjectSet, credential: str) -> Operator:
    """Return the operator that a credential belongs to.

    Raises
    ------
    BergamotError
        If no operator of the set has the credential, which the message does
        not show.
    """
    digest = hashlib.sha256(credential.encode()).hexdigest()
    for operator in object_set.operators:
        if digest in operator.credential_hashes:
            return operator
    raise BergamotError(
        'the credential is of no operator; valid are those of '
        f'{len(object_set.operators)} operators in the set',
        step=Step.AUTHENTICATE,
    )
