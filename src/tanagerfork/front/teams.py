"""Callers' teams by bearer token."""

import hashlib
import hmac

import result

from tanagerfork import errors
from tanagerfork.generated import bundle

SCHEME = "Bearer "


def find_team(
    in_force: bundle.Bundle, authorization: str
) -> result.Result[bundle.Team, errors.CallerError]:
    """Find the team that a token belongs to.

    :param in_force: bundle in force.
    :param authorization: value of the Authorization header.
    :return: the team, or why there is none.
    """
    token = authorization.removeprefix(SCHEME)
    if not authorization.startswith(SCHEME) or not token:
        message = "no bearer token; send `Authorization: Bearer TOKEN` with your team's token"
        return result.Err(errors.Unauthorized(message))
    hashed = hashlib.sha256(token.encode()).hexdigest()
    found = None
    for team in in_force.teams:
        for known in team.token_sha256:
            if hmac.compare_digest(known, hashed):
                found = team
    if found is None:
        return result.Err(errors.Unauthorized("the token belongs to no team; ask your operator"))
    return result.Ok(found)
