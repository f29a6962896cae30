"""One partition's ledger: decisions on requests, jobs and items.

Performs no I/O. The decision on a command consists of records and a reply. The
records change the state at once; the reply may be sent only when they are
durable.
"""

import functools

import msgspec

from samphirepost import errors
from samphirepost import jobs
from samphirepost import ledgerstate
from samphirepost import messages
from samphirepost import records

# The outcome of a request that is still running this long (s) after its
# deadline counts as unknown.
RUNNING_GRACE_S = 5.0


class Instant(msgspec.Struct, frozen=True):
    """One instant on two clocks (s).

    Leases use the monotonic clock, deadlines Unix time.
    """

    monotonic_s: float
    unix_s: float


class Decision(msgspec.Struct, frozen=True):
    """The reply, and the records that must be durable before it is sent."""

    reply: messages.Reply
    appended: tuple[records.Record, ...] = ()


def _decision(reply, *appended):
    return Decision(reply, appended)


def _rejection(kind, reason, outcome=errors.Outcome.NOT_RUN):
    return Decision(errors.Failure(kind, reason, outcome))


_NOT_FOUND = errors.Failure(errors.Kind.NOT_FOUND, "no such work")


@functools.singledispatch
def decide(command, state, now, live):
    """Returns the Decision on a command.

    `live(name)` returns whether the daemon of that name is a live member.
    """
    raise TypeError(type(command))


@decide.register
def _(command: messages.BeginAttempt, state, now, live):
    entry = state.entries.get(command.work)
    if entry is None:
        return _begin_new(command)
    if entry.digest != command.digest:
        reason = "this Idempotency-Key was used with another body"
        return _rejection(errors.Kind.KEY_REUSED, reason)
    if entry.status is messages.RequestStatus.FINISHED:
        status = messages.RequestStatus.FINISHED
        return _decision(messages.BeginReply(status, entry.reference))
    if entry.status is messages.RequestStatus.UNKNOWN:
        return _decision(messages.BeginReply(messages.RequestStatus.UNKNOWN))
    if command.attempt in entry.closed_attempts:
        return _rejection(errors.Kind.CANCELLED, "this attempt was ended")
    if entry.status is messages.RequestStatus.NEW:
        return _begin_new(command)
    if entry.attempt == command.attempt:
        return _decision(messages.BeginReply(messages.RequestStatus.GO))
    return _decision(messages.BeginReply(_running_status(entry, now, live)))


def _begin_new(command):
    if command.idempotent:
        return _decision(messages.BeginReply(messages.RequestStatus.NEW))
    started = records.AttemptStarted(
        command.work,
        command.caller,
        command.digest,
        command.attempt,
        command.daemon,
        command.deadline_unix_s,
    )
    return _decision(messages.BeginReply(messages.RequestStatus.GO), started)


def _running_status(entry, now, live):
    """Returns UNKNOWN if the attempt is overdue or its daemon has failed."""
    is_overdue = now.unix_s > entry.deadline_unix_s + RUNNING_GRACE_S
    if is_overdue or not live(entry.daemon):
        return messages.RequestStatus.UNKNOWN
    return messages.RequestStatus.RUNNING


@decide.register
def _(command: messages.FinishAttempt, state, now, live):
    entry = state.entries.get(command.work)
    if entry is not None:
        if entry.reference is not None:
            is_retained = entry.attempt == command.attempt
            reply = messages.FinishReply(is_retained, entry.reference)
            return _decision(reply)
        if entry.digest != command.digest:
            reason = "this Idempotency-Key was used with another body"
            return _rejection(errors.Kind.KEY_REUSED, reason)
    if not command.idempotent and not _is_current_attempt(
        entry, command.attempt
    ):
        return _rejection(errors.Kind.CANCELLED, "this attempt was ended")
    finished = records.RequestFinished(
        command.work,
        command.caller,
        command.digest,
        command.attempt,
        command.result,
    )
    return _decision(messages.FinishReply(True), finished)


def _is_current_attempt(entry, attempt):
    return entry is not None and entry.attempt == attempt


@decide.register
def _(command: messages.AttemptNotSent, state, now, live):
    entry = state.entries.get(command.work)
    if entry is None or entry.attempt != command.attempt:
        return _decision(messages.Acknowledgement())
    if entry.status is not messages.RequestStatus.RUNNING:
        return _decision(messages.Acknowledgement())
    record = records.AttemptNotSent(command.work, command.attempt)
    return _decision(messages.Acknowledgement(), record)


@decide.register
def _(command: messages.OutcomeUnknown, state, now, live):
    entry = state.entries.get(command.work)
    if entry is None or entry.attempt != command.attempt:
        return _decision(messages.Acknowledgement())
    if entry.status is not messages.RequestStatus.RUNNING:
        return _decision(messages.Acknowledgement())
    record = records.OutcomeUnknown(command.work, command.attempt)
    return _decision(messages.Acknowledgement(), record)


@decide.register
def _(command: messages.FetchResult, state, now, live):
    entry = state.entries.get(command.work)
    if entry is None or entry.caller != command.caller:
        return Decision(_NOT_FOUND)
    status = entry.status
    if status is messages.RequestStatus.RUNNING:
        status = _running_status(entry, now, live)
    return _decision(messages.BeginReply(status, entry.reference))


@decide.register
def _(command: messages.FindJob, state, now, live):
    job = state.jobs.get(command.work)
    if job is None:
        return Decision(_NOT_FOUND)
    return _decide_resubmission(job, command.digest)


def _decide_resubmission(job, digest):
    if job.accepted.digest != digest:
        reason = "this Idempotency-Key was used with another job"
        return _rejection(errors.Kind.KEY_REUSED, reason)
    return _decision(messages.SubmitReply(job.accepted.work, False))


@decide.register
def _(command: messages.SubmitJob, state, now, live):
    accepted = command.accepted
    job = state.jobs.get(accepted.work)
    if job is not None:
        return _decide_resubmission(job, accepted.digest)
    reply = messages.SubmitReply(accepted.work, True)
    return _decision(reply, accepted)


@decide.register
def _(command: messages.PullItems, state, now, live):
    queued = _queued_jobs(state, command.routes)
    grants = []
    appended = []
    free = command.room
    while queued and free > 0:
        job = _next_job(state, queued, grants)
        items, isolated = job.next_items(free)
        if isolated and (not command.alone or grants):
            queued.remove(job)
            continue
        claim = f"{command.claim}.{len(grants)}"
        grant = _grant(claim, job, items, isolated)
        grants.append(grant)
        appended.append(_claimed_record(grant, command.runner))
        free = 0 if isolated else free - len(items)
        queued.remove(job)
    reply = messages.PullReply(tuple(grants), bool(queued))
    return Decision(reply, tuple(appended))


def _queued_jobs(state, routes):
    return [
        job
        for job in state.jobs.values()
        if job.has_queued_items and job.accepted.route in routes
    ]


def _next_job(state, queued, grants):
    """Returns the job to grant from: callers within their fair share first.

    The share is the running items over the number of callers with queued
    jobs. Within each group the earliest deadline goes first.
    """
    running = {}
    for claim in state.claims.values():
        caller = state.jobs[claim.work].accepted.caller
        running[caller] = running.get(caller, 0) + len(claim.items)
    for grant in grants:
        caller = grant.accepted.caller
        running[caller] = running.get(caller, 0) + len(grant.items)
    fair_share = sum(running.values()) / len(
        {j.accepted.caller for j in queued}
    )

    def rank(job):
        above_share = running.get(job.accepted.caller, 0) > fair_share
        return above_share, job.accepted.deadline_unix_s, job.accepted.work

    return min(queued, key=rank)


def _grant(claim, job, items, isolated):
    return messages.Grant(claim, job.accepted, tuple(items), isolated)


def _claimed_record(grant, runner):
    return records.ItemsClaimed(
        grant.claim, runner, grant.accepted.work, grant.items, grant.solo
    )


@decide.register
def _(command: messages.RenewClaims, state, now, live):
    not_renewed = []
    for name in command.claims:
        claim = state.claims.get(name)
        if claim is None or claim.runner != command.runner:
            not_renewed.append(name)
        elif state.jobs[claim.work].phase is not jobs.Phase.RUNNING:
            not_renewed.append(name)
        else:
            claim.expires_at_s = now.monotonic_s + state.claim_s
    return _decision(messages.RenewReply(tuple(not_renewed)))


@decide.register
def _(command: messages.StartItem, state, now, live):
    claim = state.claims.get(command.claim)
    job = state.jobs.get(command.work)
    if claim is None or job is None or command.item not in claim.items:
        return _rejection(errors.Kind.STALE_EPOCH, "the claim has lapsed")
    if job.phase is not jobs.Phase.RUNNING:
        return _rejection(errors.Kind.CANCELLED, "the job was cancelled")
    if job.states[command.item] != jobs.ItemState.CLAIMED:
        reason = "the item was started before"
        return _rejection(
            errors.Kind.UNKNOWN_RESULT, reason, errors.Outcome.UNKNOWN
        )
    record = records.ItemStarted(command.work, command.item, command.claim)
    return _decision(messages.Acknowledgement(), record)


@decide.register
def _(command: messages.FinishItems, state, now, live):
    job = state.jobs.get(command.work)
    if job is None:
        return Decision(_NOT_FOUND)
    if job.phase is not jobs.Phase.RUNNING:
        return _rejection(errors.Kind.CANCELLED, "the job takes no results")
    appended = []
    for result in command.results:
        if _may_finish(state, job, command.claim, result):
            appended.append(_result_record(command.work, result))
    return Decision(messages.Acknowledgement(), tuple(appended))


def _may_finish(state, job, claim, result):
    """Returns whether the result is the item's first.

    A non-idempotent item also needs a current claim.
    """
    if job.states[result.item] not in jobs.OPEN_STATES:
        return False
    if job.accepted.idempotent:
        return True
    current = state.claims.get(claim)
    return current is not None and result.item in current.items


def _result_record(work, result):
    return records.ItemDone(work, result.item, result.state, result.line)


@decide.register
def _(command: messages.ReleaseItems, state, now, live):
    claim = state.claims.get(command.claim)
    job = state.jobs.get(command.work)
    if claim is None or job is None:
        return _decision(messages.Acknowledgement())
    items = tuple(
        item
        for item in command.items
        if item in claim.items and job.states[item] == jobs.ItemState.CLAIMED
    )
    if not items:
        return _decision(messages.Acknowledgement())
    record = records.ItemsReturned(command.work, items, False)
    return _decision(messages.Acknowledgement(), record)


@decide.register
def _(command: messages.CancelJob, state, now, live):
    job = state.jobs.get(command.work)
    if job is None or job.accepted.caller != command.caller:
        return Decision(_NOT_FOUND)
    if job.phase is not jobs.Phase.RUNNING:
        return _decision(_status(job))
    record = records.JobCancelled(command.work)
    cancelled = msgspec.structs.replace(
        _status(job), phase=jobs.Phase.CANCELLED.value
    )
    return _decision(cancelled, record)


@decide.register
def _(command: messages.GetJobStatus, state, now, live):
    job = state.jobs.get(command.work)
    if job is None or job.accepted.caller != command.caller:
        return Decision(_NOT_FOUND)
    return _decision(_status(job))


def _status(job):
    counts = job.counts
    return messages.JobStatus(
        work=job.accepted.work,
        phase=job.phase.value,
        total=job.accepted.total,
        done=counts[jobs.ItemState.DONE],
        failed=counts[jobs.ItemState.FAILED],
        unknown=counts[jobs.ItemState.UNKNOWN],
        pending=counts[jobs.ItemState.PENDING],
        running=counts[jobs.ItemState.CLAIMED]
        + counts[jobs.ItemState.STARTED],
        deadline_unix_s=job.accepted.deadline_unix_s,
        results=job.results,
    )


def expire_claims(state, now, make_line):
    """Returns the records for expired claims, whose runners have failed.

    Items that may be sent again return to the queue. The outcome of a started
    item stays unknown. An isolated item fails once as many of its runners
    have failed as attempts are allowed. `make_line(accepted, item, kind)`
    returns the result line of an item that is completed here.
    """
    appended = []
    for claim in state.claims.values():
        if claim.expires_at_s <= now.monotonic_s:
            appended.extend(_expire_claim(state, claim, make_line))
    return tuple(appended)


def _expire_claim(state, claim, make_line):
    job = state.jobs[claim.work]
    returned = []
    for item in sorted(claim.items):
        if job.states[item] == jobs.ItemState.STARTED:
            kind = errors.Kind.UNKNOWN_RESULT
            line = make_line(job.accepted, item, kind)
            yield _done_record(job, item, jobs.ItemState.UNKNOWN, line)
        elif (
            claim.isolated
            and job.runner_failures[item] + 1 >= state.runner_failures_max
        ):
            kind = errors.Kind.ATTEMPTS_EXHAUSTED
            line = make_line(job.accepted, item, kind)
            yield _done_record(job, item, jobs.ItemState.FAILED, line)
        else:
            returned.append(item)
    if returned:
        yield records.ItemsReturned(claim.work, tuple(returned), True)


def _done_record(job, item, state, line):
    return records.ItemDone(job.accepted.work, item, state, line)


def completed_jobs(state):
    """Returns the running jobs whose items are all in a final state."""
    return [
        job
        for job in state.jobs.values()
        if job.phase is jobs.Phase.RUNNING and job.open_items == 0
    ]


@functools.singledispatch
def apply(record, state, reference, now):
    """Applies a record, stored at `reference`, to the state."""
    raise TypeError(type(record))


@apply.register
def _(record: records.AttemptStarted, state, reference, now):
    entry = state.entries.get(record.work)
    if entry is None:
        entry = ledgerstate.RequestEntry(record.caller, record.digest)
        state.entries[record.work] = entry
    entry.attempt = record.attempt
    entry.daemon = record.daemon
    entry.deadline_unix_s = record.deadline_unix_s
    entry.status = messages.RequestStatus.RUNNING


@apply.register
def _(record: records.AttemptNotSent, state, reference, now):
    entry = state.entries[record.work]
    entry.closed_attempts = (*entry.closed_attempts, record.attempt)
    entry.attempt = ""
    entry.status = messages.RequestStatus.NEW


@apply.register
def _(record: records.OutcomeUnknown, state, reference, now):
    state.entries[record.work].status = messages.RequestStatus.UNKNOWN


@apply.register
def _(record: records.RequestFinished, state, reference, now):
    entry = state.entries.get(record.work)
    if entry is None:
        entry = ledgerstate.RequestEntry(record.caller, record.digest)
        state.entries[record.work] = entry
    entry.attempt = record.attempt
    entry.status = messages.RequestStatus.FINISHED
    entry.reference = reference


@apply.register
def _(record: records.JobAccepted, state, reference, now):
    state.jobs[record.work] = jobs.Job(record)


@apply.register
def _(record: records.ItemsClaimed, state, reference, now):
    state.jobs[record.work].claim(record.items)
    expires_at_s = now.monotonic_s + state.claim_s
    state.claims[record.claim] = ledgerstate.Claim(
        record.runner, record.work, record.items, record.solo, expires_at_s
    )


@apply.register
def _(record: records.ItemStarted, state, reference, now):
    state.jobs[record.work].set_state(record.item, jobs.ItemState.STARTED)


@apply.register
def _(record: records.ItemDone, state, reference, now):
    job = state.jobs[record.work]
    job.finish_item(record.item, record.state, reference)
    _drop_from_claims(state, record.work, (record.item,))


@apply.register
def _(record: records.ItemsReturned, state, reference, now):
    job = state.jobs[record.work]
    _drop_from_claims(state, record.work, record.items)
    job.requeue(record.items, record.blamed)


@apply.register
def _(record: records.JobCancelled, state, reference, now):
    job = state.jobs[record.work]
    job.phase = jobs.Phase.CANCELLED
    _drop_from_claims(state, record.work, range(job.accepted.total))


@apply.register
def _(record: records.JobCompleted, state, reference, now):
    job = state.jobs[record.work]
    job.phase = jobs.Phase.COMPLETED
    job.results = record.results
    job.drop_references()


def _drop_from_claims(state, work, items):
    for name, claim in list(state.claims.items()):
        if claim.work != work:
            continue
        claim.items.difference_update(items)
        if not claim.items:
            del state.claims[name]
