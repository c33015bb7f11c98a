"""Limits per account: call rate, concurrent calls and output token rate."""

from hickoryweir.outcomes import refusals
from hickoryweir.policy import state

# Capacity of the token bucket, in seconds of its rate.
TOKEN_BURST_S = 10.0


def refill(use: state.AccountUse, now_s: float) -> None:
    """Refill the token buckets of an account."""
    account = use.account
    elapsed_s = now_s - use.refilled_s
    use.refilled_s = now_s
    use.call_bucket = min(
        account.burst_calls, use.call_bucket + elapsed_s * account.rate_per_s
    )
    use.token_bucket = min(
        account.tokens_per_s * TOKEN_BURST_S,
        use.token_bucket + elapsed_s * account.tokens_per_s,
    )


def check(use: state.AccountUse, now_s: float) -> refusals.Refusal | None:
    """Return the refusal of an account over a limit, or else count one call.

    Parameters
    ----------
    use : state.AccountUse
        The account; its buckets are modified in place.
    now_s : float
        Monotonic time.

    Returns
    -------
    refusals.Refusal or None
        None if the call is within all limits.
    """
    refill(use, now_s)
    account = use.account
    if use.calls >= account.max_concurrency:
        return refusals.make_refusal(
            refusals.Reason.CONCURRENCY_LIMITED,
            f"account {account.name} has {use.calls} calls in progress",
            1.0,
        )
    if use.call_bucket < 1.0:
        return refusals.make_refusal(
            refusals.Reason.RATE_LIMITED,
            f"account {account.name} is over its call rate",
            (1.0 - use.call_bucket) / account.rate_per_s,
        )
    if use.token_bucket < 0.0:
        return refusals.make_refusal(
            refusals.Reason.TOKENS_LIMITED,
            f"account {account.name} is over its token rate",
            -use.token_bucket / account.tokens_per_s,
        )
    use.call_bucket -= 1.0
    return None
