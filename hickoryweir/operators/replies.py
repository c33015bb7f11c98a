"""Refusal documents for replies of the log."""

from hickoryweir.configuration import commands, deltas
from hickoryweir.operators import documents
from hickoryweir.replicas import client

Reason = documents.Reason


def refuse_unavailable(failure: client.Unavailable) -> documents.RefusalDocument:
    """Return the refusal for a log that is unavailable."""
    if failure.may_commit:
        message = (
            "the log did not answer in time, so the change may still be accepted: "
            "resend it with the same change id"
        )
        reason = Reason.OUTCOME_UNKNOWN
    else:
        message = f"not accepted: the replicas have no quorum ({failure.reason})"
        reason = Reason.NO_QUORUM
    return documents.RefusalDocument(
        reason, message, retry_after_s=failure.retry_after_s
    )


def refuse_conflict(
    reply: commands.Conflict, answers: str
) -> documents.RefusalDocument:
    """Return the refusal of a conflicting change, with the differences."""
    message = (
        f"{reply.operator} was first: version {reply.winning_version}, "
        f"change {reply.change_id}"
    )
    differences = ()
    if reply.answers:
        winner = commands.decompress(reply.answers)
        differences = deltas.describe(winner, answers)
    return documents.RefusalDocument(Reason.CONFLICT, message, differences=differences)


def refuse(reply: commands.Reply, answers: str = "") -> documents.RefusalDocument:
    """Return the refusal for a reply of the log other than an acceptance.

    Parameters
    ----------
    reply : Reply
        Reply of the log.
    answers : str
        Submitted answers, if any.

    Returns
    -------
    RefusalDocument
        Reason, message and details.
    """
    if isinstance(reply, commands.Conflict):
        return refuse_conflict(reply, answers)
    reason, message, details = _describe_refusal(reply)
    return documents.RefusalDocument(reason, message, details)


def _describe_refusal(reply: commands.Reply) -> tuple[Reason, str, tuple[str, ...]]:
    match reply:
        case commands.ChangeIdReused():
            message = "the change id belongs to another change"
            return Reason.CHANGE_ID_REUSED, message, ()
        case commands.Expired():
            message = "the change id is too old to tell whether it was accepted"
            return Reason.EXPIRED, message, ()
        case commands.IssuedInFuture():
            message = "the change id's time is ahead of the replicas' clock"
            return Reason.ISSUED_IN_FUTURE, message, ()
        case commands.ContentInvalid():
            return Reason.CONTENT_INVALID, "the content can't be read", ()
        case commands.SubjectUnknown():
            message = f"there is no {reply.kind} {reply.name}"
            return Reason.SUBJECT_UNKNOWN, message, ()
        case commands.AlreadyStopping():
            message = f"already stopped by {reply.operator}, change {reply.change_id}"
            return Reason.ALREADY_STOPPING, message, ()
        case commands.NotStopping():
            return Reason.NOT_STOPPING, "no such planned stop is running", ()
        case commands.LastServer():
            message = "no backend server would be left; --even-so stops it anyway"
            return Reason.LAST_SERVER, message, reply.names
        case commands.QuorumLost():
            message = (
                f"{reply.remaining_count} replicas would be left and "
                f"{reply.needed_count} are needed; --even-so stops it anyway"
            )
            return Reason.QUORUM_LOST, message, ()
    raise AssertionError(f"unexpected reply {reply!r}")
