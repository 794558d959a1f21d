"""Token limits: whether an upstream's memory has room for the tokens of one more request.

An upstream crashes if the requests that it holds exceed its memory. A daemon knows the prompt and
the longest answer of its own requests; of other daemons' requests it knows the number and the
prompt tokens that are unread, some hundred milliseconds late.
"""

from tanagerfork.relay import loads

ROOM_SHARE = 0.9  # Of the memory; the rest is for requests of other daemons that are not known yet.


def has_room(
    load: loads.UpstreamLoad,
    capacity_tokens: int,
    tokens: int,
    usual_tokens: float,
    now_ms: float,
) -> bool:
    """Return whether an upstream can hold one more request.

    :param load: load of the upstream.
    :param capacity_tokens: tokens that its memory holds; 0 if it is unknown, and not bounded.
    :param tokens: prompt and longest answer of the request.
    :param usual_tokens: mean of the same over requests for the model.
    :param now_ms: monotonic clock, in milliseconds.
    """
    if not capacity_tokens:
        return True
    others = load.estimate_other_requests(now_ms)
    if not load.open and not others:
        return tokens <= capacity_tokens  # An idle upstream holds what fits at all.
    others_tokens = max(others * usual_tokens, load.peer_unread_tokens)
    return load.held_tokens + others_tokens + tokens <= capacity_tokens * ROOM_SHARE
