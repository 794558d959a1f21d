"""Callers' teams by bearer token."""

import hashlib
import hmac

import result

from tanagerfork import errors
from tanagerfork.generated import bundle

SCHEME = "Bearer "


def is_token(token: str, token_sha256: str) -> bool:
    """Return whether a token is the one whose hash is known, in constant time.

    :param token: token as a header gave it, of whatever bytes.
    :param token_sha256: hash of the right token, hexadecimal.
    """
    hashed = hashlib.sha256(token.encode("utf-8", "surrogateescape")).hexdigest()
    return hmac.compare_digest(hashed.encode(), token_sha256.encode())


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
    found = None
    for team in in_force.teams:  # All are compared, so that the time tells nothing of the match.
        for known in team.token_sha256:
            if is_token(token, known):
                found = team
    if found is None:
        return result.Err(errors.Unauthorized("the token belongs to no team; ask your operator"))
    return result.Ok(found)
