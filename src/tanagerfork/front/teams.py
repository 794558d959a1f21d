"""Authenticates callers: finds the team that a bearer token belongs to."""

import hashlib
import hmac

import result

from tanagerfork import errors
from tanagerfork.generated import bundle

BEARER_PREFIX = "Bearer "


def matches_token_hash(token: str, token_sha256: str) -> bool:
    """Return whether a token has the given hash; compares in constant time.

    :param token: token from a header; may contain arbitrary bytes.
    :param token_sha256: SHA-256 of the expected token, in hexadecimal.
    """
    hashed = hashlib.sha256(token.encode("utf-8", "surrogateescape")).hexdigest()
    return hmac.compare_digest(hashed.encode(), token_sha256.encode())


def find_team(
    in_force: bundle.Bundle, authorization: str
) -> result.Result[bundle.Team, errors.CallerError]:
    """Find the team that a token belongs to.

    :param in_force: bundle in force.
    :param authorization: value of the Authorization header.
    :return: the team, or the error if the token is missing or unknown.
    """
    token = authorization.removeprefix(BEARER_PREFIX)
    if not authorization.startswith(BEARER_PREFIX) or not token:
        message = "no bearer token; send `Authorization: Bearer TOKEN` with your team's token"
        return result.Err(errors.Unauthorized(message))
    found = None
    for team in in_force.teams:  # Compares every token, so that timing reveals no match.
        for known_sha256 in team.token_sha256:
            if matches_token_hash(token, known_sha256):
                found = team
    if found is None:
        return result.Err(errors.Unauthorized("the token belongs to no team; ask your operator"))
    return result.Ok(found)
