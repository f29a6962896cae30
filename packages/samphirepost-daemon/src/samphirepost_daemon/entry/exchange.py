"""Sends one online request to engines until a response can be passed on."""

import math
import time

import msgspec

from samphirepost import answerbounds
from samphirepost import attempts
from samphirepost import events
from samphirepost import promptcache
from samphirepost import quarantine
from samphirepost import refusals
from samphirepost import routing
from samphirepost import slotmessages
from samphirepost_daemon.entry import engineattempt
from samphirepost_daemon.entry import engineclient
from samphirepost_daemon.entry import pathmonitor
from samphirepost_daemon.entry import quotacharge
from samphirepost_daemon.entry import streamend
from samphirepost_daemon.entry import streamversion
from samphirepost_daemon.entry import tunnel
from samphirepost_daemon.platform import wire

# Interval at which a request in progress checks whether its caller has
# disconnected (s); the engine must be released within 0.5 s after that.
READ_POLL_S = 0.1
# An attempt is abandoned if it has no event for this long and the request may
# be attempted again. Callers abandon a stream after 2 s without an event.
STALL_TIMEOUT_S = 1.0
# The same while this daemon reaches no engine itself, for attempts that do not
# go through a peer.
STRANDED_STALL_TIMEOUT_S = 0.5
# Expected wait (s) while no hub answers and all engines named a limit.
LIMITED_WAIT_S = 1.0
# An answer has begun with this many events: an engine that crashes on a prompt
# may put out one.
BEGUN_EVENTS = 2
# A body's copies: the pieces that were read, and all of it.
BODY_COPIES = 2

CUT_HEAD = engineclient.CallFailure("the head has no seal")
ANOTHER_ANSWER = engineclient.CallFailure("another answer is in the body")


class CallerDisconnected(Exception):
    """The caller has disconnected."""


class Exchange:
    """One online request and its attempts; used by one thread."""

    def __init__(self, parts, req, route, pool, deadline_s, is_disconnected):
        self._load_tracker = parts.load_tracker
        self._paths = parts.paths
        self._slots = parts.slots
        self._state = parts.state
        self._answers = parts.answers
        self._bound = answerbounds.bound_of(req.output_tokens)
        self._quarantine = parts.quarantine
        self._observations = parts.observations
        self._limits = parts.limits
        self._metrics = parts.metrics
        self._log = parts.log
        self._req = req
        self._route = route
        self._pool = pool
        self.deadline_s = deadline_s
        self._is_disconnected = is_disconnected
        self.history = attempts.History(route.repeatable, route.attempts_max)
        self.last_failure = None
        self.engines_tried = []
        self.versions_tried = []
        self.peers_used = []
        self._peers_failed = set()
        self.slot_wait_s = 0.0
        self._is_answered = False
        self._request_key = quarantine.request_key(req.digest)
        self._has_begun = False
        self.stream_version = streamversion.StreamVersion(
            parts, req, route, pool
        )
        self.ends = streamend.EndFinder(parts, req, route, self)
        self._probed_cause = ""
        self._charge = quotacharge.QuotaCharge(parts, req.organisation)
        self._progress_s = time.monotonic()

    @property
    def run_count(self):
        """The number of engines that may have run the request."""
        return self.history.executions + self._is_answered

    def left_s(self):
        """Returns the time left until the deadline or the exit (s)."""
        deadline_s = self.deadline_s
        exit_s = self._state.exit_s
        if exit_s is not None:
            deadline_s = min(deadline_s, exit_s)
        return deadline_s - time.monotonic()

    def open_response(self, resume_after):
        """Attempts the request until an engine responds.

        Returns OpenResponse, or an ErrorResponse when no further attempt is
        allowed. Raises CallerDisconnected.
        """
        unknown = self._find_version()
        if unknown is not None:
            return unknown
        while True:
            if self.left_s() < attempts.REMAINING_MIN_S:
                return self._final_error()
            blocked = self._check_quarantine()
            if blocked is not None:
                return blocked
            slot = self._obtain_slot()
            if isinstance(slot, attempts.ErrorResponse):
                return slot
            result = self._attempt(slot, resume_after)
            if isinstance(result, engineattempt.OpenResponse):
                self._is_answered = True
                return result
            self._record_failure(slot, result)
            if (
                self.history.next_action(self.left_s())
                is not attempts.NextAction.RETRY
            ):
                return self._final_error()

    def _find_version(self):
        """Finds the version of a stream that the caller takes up.

        Returns an ErrorResponse if it is not known: another version would not
        continue what the caller has.
        """
        if self.stream_version.version is not None:
            return None
        unknown = self.stream_version.find()
        if unknown is None:
            return None
        self._metrics.stream_refusals.inc()
        return attempts.ErrorResponse(
            503,
            f"the stream's version is not known: {unknown.reason}",
            attempts.retry_after_s(0.0),
        )

    def _check_quarantine(self):
        """Returns an ErrorResponse if a cause of crashes is quarantined.

        A request that would probe a cause goes to one engine at most.
        """
        if self._has_begun:
            return None
        now_s = time.monotonic()
        found = self._quarantine.check(
            (*self._req.shared_parts, self._request_key), now_s
        )
        if found is None and self._observations.is_suspect(
            self._request_key, now_s
        ):
            found = quarantine.Probation(self._request_key)
        if found is None:
            return None
        is_probation = isinstance(found, quarantine.Probation)
        if is_probation and not self._probed_cause:
            self._probed_cause = found.cause
            return None
        return self._quarantine_error(found)

    def _quarantine_error(self, found):
        self._metrics.quarantine_refusals.labels("online").inc()
        if self.history.executions:
            reason = quarantine.describe(found.cause)
            return attempts.ErrorResponse(502, reason)
        return refusals.quarantined(found)

    def _obtain_slot(self):
        """Returns a Slot, or an ErrorResponse. Raises CallerDisconnected.

        The hub grants the slot; while it does not answer, this daemon chooses
        an engine itself.
        """
        usable = [
            engine
            for engine in self._state.engines(self._pool)
            if engine.id not in self.history.excluded
        ]
        version = self.stream_version.required(usable)
        engines = {
            engine.id: engine
            for engine in usable
            if version in (None, engine.version)
        }
        engines = self._askable_engines(engines)
        if not engines:
            return self._final_error()
        began_s = time.monotonic()
        run_id = self._slots.next_run_id()
        reply = self._request_slot(run_id, engines, version, began_s)
        self.slot_wait_s += time.monotonic() - began_s
        if isinstance(reply, slotmessages.Grant):
            if reply.engine in engines:
                return self._use_grant(reply, engines)
            self._slots.return_grant(run_id)
        elif self._probed_cause:
            # Only the hub knows whether another request probes the cause.
            return self._quarantine_error(
                quarantine.Probation(self._probed_cause)
            )
        elif isinstance(reply, slotmessages.Denial):
            if reply.over_quota:
                return self._charge.refusal(reply.wait_s)
            # After an attempt, 503 could be untrue: an engine may have run
            # the request.
            if reply.wait_s is not None and not self._is_under_way():
                return refusals.busy(reply.wait_s)
        self.check_caller()
        return self._choose_engine(list(engines.values()))

    def _askable_engines(self, engines):
        """Returns the engines that may be asked for a stream's end, by id.

        Returns all of `engines` if none may, and unless the stream is resumed
        because the engine before could not be asked.
        """
        is_unasked = self.last_failure is not None and (
            self.last_failure.seen is attempts.AttemptFailure.UNASKED
        )
        if not is_unasked:
            return engines
        askable = {
            engine_id: engine
            for engine_id, engine in engines.items()
            if not self._limits.is_limited(engine)
        }
        return askable or engines

    def _use_grant(self, grant, engines):
        """Returns the Slot of a Grant.

        Returns an ErrorResponse if neither this daemon nor a peer reaches the
        engines.
        """
        engine = engines[grant.engine]
        if not self._state.is_usable(engine):
            # It left while the request waited for the slot.
            self._slots.return_grant(grant.id)
            return self._obtain_slot()
        needs_peer = self._paths.is_doubtful or self._paths.is_unreached(
            engine.id
        )
        if needs_peer and not grant.through and self._paths.is_stranded:
            self._slots.return_grant(grant.id)
            return self._no_path_error()
        refusal = self._charge.apply_grant()
        if refusal is not None:
            self._slots.return_grant(grant.id)
            return refusal
        through = grant.through if needs_peer else ""
        return engineattempt.Slot(engine, grant.id, True, through)

    def settle_charge(self):
        """Gives the charge back if no engine may have run the request."""
        self._charge.settle(self.run_count, bool(self.engines_tried))

    def _no_path_error(self):
        self._metrics.no_path.inc()
        if self.history.executions:
            return self._final_error()
        return attempts.ErrorResponse(
            503,
            "neither this VM nor a peer reaches the engines",
            attempts.retry_after_s(0.0),
        )

    def _request_slot(self, run_id, engines, version, now_s):
        avoided = {
            engine_id
            for engine_id in engines
            if self._load_tracker.is_avoided(engine_id, now_s)
        }
        excluded = set(self.history.excluded)
        excluded |= {
            engine.id
            for engine in self._state.engines(self._pool)
            if engine.id not in engines and version in (None, engine.version)
        }
        if len(avoided) < len(engines):
            excluded |= avoided
        wait_max_s = attempts.hub_wait_max_s(
            self._route, self._req.caller_timeout_s
        )
        req = self._slots.slot_request(
            run_id,
            self._pool,
            self._priority(),
            wait_max_s,
            excluded=tuple(excluded),
            never_deny=self._is_under_way(),
            probe=self._probed_cause,
            version=version,
            returns=attempts.is_caller_retry(
                self._req.caller_timeout_s, self._route.timeout_s
            ),
            relay=self._paths.is_doubtful,
            not_through=tuple(self._peers_failed),
            organisation=self._req.organisation,
            is_charged=self._charge.is_made,
            prompt=self._prompt,
            output_tokens=self._req.output_tokens,
            is_repeatable=not self.history.is_last_execution,
        )
        return self._slots.request(req, self._is_disconnected)

    @property
    def _prompt(self):
        """The parts of the prompt, on routes that name them."""
        return self._req.prompt if self._route.sticky else ()

    def _priority(self):
        """Returns that of the organisation, or else of the route."""
        if self._req.priority is None:
            return self._route.priority
        return self._req.priority

    def _is_under_way(self):
        """Whether the request was attempted before or resumes a stream.

        Such a request is not rejected because of a long wait.
        """
        return bool(
            self.history.attempts or self._req.resume_after is not None
        )

    def _choose_engine(self, engines):
        """Returns a Slot of this daemon's own choice, or an ErrorResponse."""
        now_s = time.monotonic()
        daemon_count = self._slots.daemon_count
        engines = self._limits.sendable(engines, daemon_count, now_s)
        if not engines:
            # All named a limit, and this daemon's share of it is used up.
            if self._is_under_way():
                return self._final_error()
            return refusals.busy(LIMITED_WAIT_S)
        wait_s = self._load_tracker.queue_wait_s(engines, now_s)
        wait_max_s = attempts.queue_wait_max_s(
            self._route, self._req.caller_timeout_s
        )
        if wait_s > wait_max_s and not self._is_under_way():
            return refusals.busy(wait_s)
        refusal = self._charge.make_locally()
        if refusal is not None:
            return refusal
        engine = self._load_tracker.choose_engine(engines, (), now_s)
        through = ""
        if self._paths.is_doubtful or self._paths.is_unreached(engine.id):
            through = self._paths.choose_peer(self._peers_failed)
            if not through and self._paths.is_stranded:
                return self._no_path_error()
        self._limits.take(engine, daemon_count, now_s)
        return engineattempt.Slot(
            engine, self._slots.next_run_id(), False, through
        )

    def resume(self, response, part, last_id):
        """Resumes an interrupted stream at another engine.

        `part` is what receive() returned when it was interrupted, or the
        streamend.End UNASKED. `last_id` is the id of the last event sent to
        the caller. Returns OpenResponse, or an ErrorResponse when no further
        attempt is allowed. Raises CallerDisconnected.
        """
        failure = msgspec.structs.replace(
            self._failed_attempt(part), events=response.event_count
        )
        self.close(response, failure.outcome)
        self._is_answered = False
        self._record_failure(response.slot, failure)
        may_retry = (
            self.history.next_action(self.left_s())
            is attempts.NextAction.RETRY
        )
        if not may_retry or last_id is None:
            return self._final_error()
        return self.open_response(last_id)

    def record_events(self, response, count):
        """Records events of a stream that are passed on to the caller."""
        response.event_count += count
        if response.event_count >= BEGUN_EVENTS or response.done:
            self._record_begun()

    def _record_begun(self):
        if not self._has_begun:
            self._has_begun = True
            self._slots.record_begun(self._req.shared_parts, self._request_key)

    def _report_lost(self, engine, failure):
        """Has it found out whether the engine or its path is at fault.

        A lost attempt may have crashed its engine.
        """
        crash = None
        if failure.lost and not self._has_begun:
            crash = pathmonitor.Crash(
                self._request_key, self._req.shared_parts, failure.has_head
            )
        is_unreached = failure.seen is attempts.AttemptFailure.UNREACHABLE
        self._paths.report_lost(
            pathmonitor.LostRun(engine, is_unreached, crash)
        )

    def _record_failure(self, slot, failure):
        engine = slot.engine
        engine_id = engine.id
        if slot.through and not failure.lost:
            self._peers_failed.add(slot.through)
        if failure.may_be_path:
            self._report_lost(engine, failure)
        self.stream_version.attempt_failed(engine)
        self.history.record_failure(engine_id, failure.seen)
        self.last_failure = failure
        self._metrics.attempts.labels(failure.seen.value).inc()
        if (
            failure.seen not in engineattempt.NO_ENGINE_FAILURES
            and not failure.at_peer
        ):
            self._load_tracker.record_failure(engine_id, time.monotonic())
        self._log.event(
            "attempt.failed",
            request=self._req.id,
            digest=self._req.digest,
            engine=engine_id,
            through=slot.through,
            version=engine.version,
            seen=failure.seen.value,
            reason=failure.reason,
            events=failure.events,
            parts=self._req.shared_parts,
            left_s=round(self.left_s(), 3),
            **self._state.age_fields(),
        )

    def _final_error(self):
        if self.last_failure is None and not self.history.executions:
            return refusals.no_engine()
        reason = (
            self.last_failure.reason
            if self.last_failure
            else "no engine takes work"
        )
        if self.history.executions:
            status = 504 if self.left_s() < attempts.REMAINING_MIN_S else 502
            return attempts.ErrorResponse(status, reason)
        return attempts.ErrorResponse(503, reason, attempts.retry_after_s(0.0))

    def _attempt(self, slot, resume_after):
        self.engines_tried.append(slot.engine.id)
        self.versions_tried.append(slot.engine.version)
        call = self.new_call(slot.engine)
        result = None
        try:
            self._slots.start_run(
                slot.run_id,
                slot.engine.id,
                slot.granted,
                organisation=self._charge.reported_name,
                tokens=promptcache.tokens_held(
                    self._prompt, self._req.output_tokens
                ),
            )
            result = self._send(call, slot, resume_after)
        finally:
            if not isinstance(result, engineattempt.OpenResponse):
                call.close()
                self._slots.end_run(slot.run_id, _outcome(result))
        return result

    def new_call(self, engine):
        """Returns a Call whose answer has the request's bound."""
        return engineclient.Call(self._answers.of(engine.id, self._bound))

    def _send(self, call, slot, resume_after):
        engine = slot.engine
        req = self._req
        headers = wire.engine_headers(req, engine, self.left_s(), resume_after)
        request = (req.method, req.path, headers, req.body)
        if slot.through:
            self.peers_used.append(slot.through)
        order = tunnel.RelayOrder(engine.id, self.left_s())
        failure = self._paths.open(call, engine, slot.through, order, request)
        if failure is not None:
            return _unopened_attempt(failure)
        self.record_progress()
        sent_s = time.monotonic()
        self.stream_version.attempt_sent(engine)
        head = self.receive(call)
        if isinstance(head, (engineclient.CallFailure, type(None))):
            return self._failed_attempt(head, has_head=False)
        result = self._read_response(call, slot, head, resume_after)
        if isinstance(result, engineattempt.OpenResponse):
            result.sent_s = sent_s
        return result

    def _failed_attempt(self, part, has_head=True):
        """Returns the failure shown by `part`, a result of receive().

        Also that of the streamend.End UNASKED.
        """
        if part is None:
            return engineattempt.FailedAttempt(
                attempts.AttemptFailure.SILENT, "the engine is silent"
            )
        if part is streamend.End.UNASKED:
            return engineattempt.FailedAttempt(
                attempts.AttemptFailure.UNASKED,
                "the engine may not be asked for the stream's rest",
                has_head=True,
            )
        if isinstance(part, engineclient.EndOfResponse):
            return engineattempt.FailedAttempt(
                attempts.AttemptFailure.BROKEN,
                "the answer ended early",
                lost=True,
                has_head=True,
            )
        seen = attempts.AttemptFailure.BROKEN
        if part.is_without_memory:
            seen = attempts.AttemptFailure.NO_MEMORY
        return engineattempt.FailedAttempt(
            seen,
            part.reason,
            lost=part.lost,
            has_head=has_head,
            at_peer=part.at_peer,
        )

    def _read_response(self, call, slot, head, resume_after):
        if isinstance(head, engineclient.ResponseHead):
            self._slots.record_head(slot.engine, head)
        if not isinstance(
            head, engineclient.ResponseHead
        ) or not wire.is_response_to(head, self._req):
            return engineattempt.FailedAttempt(
                attempts.AttemptFailure.BROKEN, "another request's answer"
            )
        if wire.is_stale_target(head, self._req):
            self._slots.record_stale(slot.engine)
        if wire.is_rejected(head):
            return engineattempt.FailedAttempt(
                attempts.AttemptFailure.REFUSED, f"status {head.status}"
            )
        if not wire.is_complete_head(head):
            return self._failed_attempt(CUT_HEAD)
        response = engineattempt.OpenResponse(
            call,
            slot,
            head,
            [],
            events.Parser(),
            last_id=resume_after,
            after_id=resume_after,
        )
        if self._route.kind is routing.Kind.STREAM and head.status == 200:
            if resume_after is not None and not wire.is_event_stream(head):
                return self._failed_attempt(engineattempt.NOT_THE_REST)
            return self._read_first_events(response, resume_after)
        return self._read_body(response)

    def _read_first_events(self, response, resume_after):
        while not response.events and not response.done:
            part = self.receive(response.call)
            if isinstance(part, engineclient.BodyData):
                failure = response.feed(part.data)
                if failure is not None:
                    return self._failed_attempt(failure)
            elif isinstance(part, engineclient.EndOfResponse):
                if response.parser.incomplete:
                    return self._failed_attempt(part)
                end = self.ends.find(response, part, is_empty=True)
                response.done = end.is_whole
                if end is streamend.End.UNASKED:
                    return self._failed_attempt(end)
                if not end.is_whole and end is not streamend.End.WENT_ON:
                    return self._failed_attempt(part)
            else:
                return self._failed_attempt(part)
        if resume_after is None:
            self.ends.begin(response)
        self._load_tracker.record_success(response.engine.id)
        if not self.stream_version.may_begin(response.engine):
            response.call.close()
            return engineattempt.FailedAttempt(
                attempts.AttemptFailure.UNRECORDED,
                "where the stream begins could not be recorded",
                has_head=True,
            )
        self.record_progress()
        response.began_s = time.monotonic()
        response.asking_s = 0.0
        return response

    def _read_body(self, response):
        chunks = []
        size = 0
        memory = response.call.memory
        while True:
            part = self.receive(response.call)
            if isinstance(part, engineclient.BodyData):
                size += len(part.data)
                failure = engineclient.excess_failure(
                    memory.keep(BODY_COPIES * size)
                )
                if failure is not None:
                    return self._failed_attempt(failure)
                chunks.append(part.data)
                self.record_progress()
            elif isinstance(part, engineclient.EndOfResponse):
                if not self._is_whole(response, part, chunks):
                    return self._failed_attempt(part)
                break
            else:
                return self._failed_attempt(part)
        response.body = b"".join(chunks)
        chunks.clear()
        if response.head.status == 200 and wire.holds_another_answer(
            response.body, self._req
        ):
            return self._failed_attempt(ANOTHER_ANSWER)
        response.done = True
        if response.head.status == 200:
            self._record_begun()
        memory.keep(size)
        if response.head.status < engineattempt.ENGINE_FAILURE_STATUS_MIN:
            self._load_tracker.record_success(response.engine.id)
            response.account = memory.hand_over()
            return response
        if response.head.status == 503 or not self.history.is_last_execution:
            reason = f"status {response.head.status}"
            return engineattempt.FailedAttempt(
                attempts.AttemptFailure.FAILED, reason
            )
        response.account = memory.hand_over()
        return response

    def _is_whole(self, response, part, chunks):
        """Whether a body is whole at `part`, an EndOfResponse."""
        if response.head.status != 200:
            return self.ends.find_failure(response, part).is_whole
        # The engine may have ended after its head.
        is_cut = part.unframed and not chunks
        return not is_cut and self.ends.find(response, part).is_whole

    def record_progress(self):
        """Records that a head or an event has arrived, or is now due.

        Bytes that complete no event are no progress.
        """
        self._progress_s = time.monotonic()

    def check_caller(self):
        """Raises CallerDisconnected if the caller has disconnected."""
        if self._is_disconnected():
            raise CallerDisconnected

    def receive(self, call, silence_max_s=math.inf):
        """Returns the next part of an engine's response.

        Returns None at the request's deadline, or after a time without
        progress: `silence_max_s`, or less unless this is the last attempt
        allowed. Raises CallerDisconnected.
        """
        while True:
            self.check_caller()
            if time.monotonic() > self._progress_s + silence_max_s:
                return None
            left_s = self.left_s()
            if left_s <= 0:
                return None
            if (
                not self.history.is_last_execution
                and time.monotonic() > self._stalled_at_s(call)
            ):
                return None
            part = call.read(min(READ_POLL_S, left_s))
            if part is not None:
                return part

    def _stalled_at_s(self, call):
        """Returns when an attempt counts as stalled without progress."""
        if self._paths.is_stranded and not call.is_relayed:
            return self._progress_s + STRANDED_STALL_TIMEOUT_S
        return self._progress_s + STALL_TIMEOUT_S

    def close(self, response, outcome=None):
        """Closes the connection of an attempt; may be called repeatedly.

        `outcome` is what the attempt showed about its engine, by default
        success if the response is complete and tells no fault of the engine.
        """
        if response.closed:
            return
        response.closed = True
        if response.done and response.began_s:
            self._load_tracker.record_service_time(
                time.monotonic() - response.began_s
            )
        response.call.close()
        if outcome is None:
            outcome = response.outcome
        self._slots.end_run(
            response.slot.run_id, outcome, response.pace_s, response.first_s
        )


def _unopened_attempt(failure):
    """Returns the FailedAttempt of a request that could not be sent."""
    seen = attempts.AttemptFailure.UNREACHABLE
    if failure.sent:
        seen = attempts.AttemptFailure.BROKEN
    elif failure.at_peer:
        seen = attempts.AttemptFailure.PEER
    return engineattempt.FailedAttempt(
        seen, failure.reason, lost=failure.lost, at_peer=failure.at_peer
    )


def _outcome(result):
    """Returns what a FailedAttempt shows about its engine; it may be None."""
    if result is None:
        return slotmessages.Outcome.UNKNOWN
    return result.outcome
