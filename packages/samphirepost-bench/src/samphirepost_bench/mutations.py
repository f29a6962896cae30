"""Mutations of the source code; the tests must detect each of them."""

import msgspec

_CORE = "samphirepost/src/samphirepost"
_DAEMON = "samphirepost-daemon/src/samphirepost_daemon"


class Mutation(msgspec.Struct, frozen=True):
    """Replaces `old` by `new` in `path`; then one of `tests` must fail."""

    name: str
    path: str
    old: str
    new: str
    tests: str


ALL = (
    Mutation(
        "drop the check of the row's revision at a commit",
        f"{_DAEMON}/partitionlog.py",
        "row.write, {key: revision}, {key: codec.pack(row)}",
        "row.write, {}, {key: codec.pack(row)}",
        "tests/test_ledger.py",
    ),
    Mutation(
        "skip the read-back after a write without a response",
        f"{_DAEMON}/platformapi.py",
        "    if row is not None and row.write == transaction.write:\n",
        "    if False:\n",
        "tests/test_ledger.py",
    ),
    Mutation(
        "reply before the record is durable",
        f"{_CORE}/ownedpartition.py",
        "            return self.outage and _grants_idempotent(reply)\n",
        "            return True\n",
        "tests/test_ledger.py",
    ),
    Mutation(
        "accept new work during a store outage",
        f"{_CORE}/ownedpartition.py",
        "        if self.outage and _begins_work(command, decision):\n",
        "        if False:\n",
        "tests/test_ledger.py",
    ),
    Mutation(
        "start an item twice",
        f"{_CORE}/ledger.py",
        "    if job.states[command.item] != jobs.ItemState.CLAIMED:\n",
        "    if False:\n",
        "tests/test_ledger.py",
    ),
    Mutation(
        "send a started request again after its holder failed",
        f"{_CORE}/ledger.py",
        "    return _decision("
        "messages.BeginReply(_running_status(entry, now, live)))\n",
        "    return _begin_new(command)\n",
        "tests/test_ledger.py",
    ),
    Mutation(
        "return a started item of a failed holder to the queue",
        f"{_CORE}/ledger.py",
        "        if job.states[item] == jobs.ItemState.STARTED:\n",
        "        if False:\n",
        "tests/test_ledger.py",
    ),
    Mutation(
        "accept results after a cancellation",
        f"{_CORE}/ledger.py",
        "    if job.phase is not jobs.Phase.RUNNING:\n"
        '        return _rejection(errors.Kind.CANCELLED, "the job takes no',
        "    if False:\n"
        '        return _rejection(errors.Kind.CANCELLED, "the job takes no',
        "tests/test_ledger.py",
    ),
    Mutation(
        "let a second result replace the first",
        f"{_CORE}/ledger.py",
        "        if entry.reference is not None:\n",
        "        if False:\n",
        "tests/test_ledger.py",
    ),
    Mutation(
        "hold a lease for longer than observers wait",
        f"{_CORE}/lease.py",
        "HOLDER_LEASE_SHARE = 0.7",
        "HOLDER_LEASE_SHARE = 1.3",
        "tests/test_lease.py",
    ),
    Mutation(
        "take over a lease at once after an outage",
        f"{_CORE}/lease.py",
        "        self.unchanged_since_s = now_s\n\n    def is_expired",
        "        pass\n\n    def is_expired",
        "tests/test_lease.py",
    ),
    Mutation(
        "apply an older revision of the tables",
        f"{_CORE}/tables.py",
        "candidate.revision > current.revision",
        "candidate.revision != current.revision",
        "tests/test_tables.py",
    ),
    Mutation(
        "write the tables without checking their revision",
        f"{_DAEMON}/operators.py",
        "                activetables.CURRENT_KEY: before.row_revision,\n"
        "                audit_key: platformapi.ABSENT,\n",
        "",
        "tests/test_tables.py",
    ),
    Mutation(
        "serve with tables that may be outdated",
        f"{_CORE}/membership.py",
        "        return self.age(now_s) < self.age_max_s\n",
        "        return True\n",
        "tests/test_membership.py",
    ),
    Mutation(
        "let a minority of members replace the table service",
        f"{_CORE}/membership.py",
        "    return len(reporting & known) * 2 > len(known)\n",
        "    return True\n",
        "tests/test_membership.py",
    ),
    Mutation(
        "forward an event of another request",
        f"{_CORE}/stream.py",
        "        if event.id != self.work:\n",
        "        if False:\n",
        "tests/test_stream.py",
    ),
    Mutation(
        "treat a truncated stream as complete",
        f"{_CORE}/stream.py",
        "        if self.finish_reason is None:\n",
        "        if False:\n",
        "tests/test_stream.py",
    ),
    Mutation(
        "forward a repeated event",
        f"{_CORE}/stream.py",
        "        if event.position < self.emitted:\n",
        "        if False:\n",
        "tests/test_stream.py",
    ),
    Mutation(
        "send work to a leaving target",
        f"{_CORE}/targetchoice.py",
        "        if self.leaving or self.listed_leaving:\n",
        "        if False:\n",
        "tests/test_choice.py",
    ),
    Mutation(
        "retry beyond the retry budget",
        f"{_CORE}/retries.py",
        "        if self.credit < 1.0:\n",
        "        if False:\n",
        "tests/test_choice.py",
    ),
    Mutation(
        "report not run after an attempt was sent",
        f"{_DAEMON}/dispatch.py",
        "        if failure.kind in _FINAL_KINDS:\n"
        "            return failure.as_unknown() if item.sent else failure\n",
        "        if failure.kind in _FINAL_KINDS:\n"
        "            return failure\n",
        "tests/test_dispatch.py",
    ),
    Mutation(
        "report not run for completed work",
        f"{_DAEMON}/requestserver.py",
        "reason, errors.Outcome.DONE)",
        "reason)",
        "tests/test_dispatch.py",
    ),
    Mutation(
        "retry a request that may have run",
        f"{_DAEMON}/dispatch.py",
        "        if item.sent and not item.idempotent:\n",
        "        if False:\n",
        "tests/test_dispatch.py",
    ),
    Mutation(
        "send orders to all engines of a pool at once",
        f"{_CORE}/orders.py",
        "    return now_s - since_s >= turn_s\n",
        "    return True\n",
        "tests/test_orders.py",
    ),
    Mutation(
        "count each failure of one request against its target",
        f"{_CORE}/breaker.py",
        "        if work != self.last_failed_request:\n",
        "        if True:\n",
        "tests/test_choice.py",
    ),
    Mutation(
        "admit batch work beyond the limits of the pool",
        f"{_CORE}/admission.py",
        "        allowed = min(\n"
        "            self.adaptive_limit,"
        " self.headroom_limit(), self.limit_max\n"
        "        )\n",
        "        allowed = self.adaptive_limit\n",
        "tests/test_choice.py",
    ),
    Mutation(
        "reuse a connection to a peer that timed out",
        f"{_DAEMON}/peers.py",
        "            del self._connections[address]\n",
        "            pass\n",
        "tests/test_peers.py",
    ),
    Mutation(
        "write results without a condition",
        f"{_DAEMON}/entry/jobstore.py",
        "store.Transaction({key: commit.revision}, puts, tuple(removes))",
        "store.Transaction({}, puts, tuple(removes))",
        "tests/test_batchjob.py",
    ),
    Mutation(
        "acknowledge a job before it is durable",
        f"{_DAEMON}/entry/jobstore.py",
        "        if found.outcome is errors.Outcome.NOT_RUN:\n",
        "        if found:\n            return AcceptedJob(False)\n"
        "        if found.outcome is errors.Outcome.NOT_RUN:\n",
        "tests/test_batchjob.py",
    ),
    Mutation(
        "count free tokens without a condition",
        f"{_DAEMON}/entry/jobstore.py",
        "        expected[admission_key] = store.ABSENT if row is None else"
        " row.revision\n",
        "",
        "tests/test_batchjob.py",
    ),
    Mutation(
        "apply an older configuration",
        f"{_CORE}/routing.py",
        "candidate.revision > current.revision",
        "candidate.revision != current.revision",
        "tests/test_routing.py",
    ),
    Mutation(
        "retry an unrepeatable request that may have run",
        f"{_CORE}/attempts.py",
        "        return self._repeatable and"
        " self.executions < self._executions_max\n",
        "        return self.executions < self._executions_max\n",
        "tests/test_attempts.py",
    ),
    Mutation(
        "report a request that may have run as refused",
        f"{_CORE}/attempts.py",
        "NextAction.REFUSE if self.executions == 0 else NextAction.FAIL",
        "NextAction.REFUSE",
        "tests/test_attempts.py",
    ),
    Mutation(
        "send a request to an engine's address without its id",
        f"{_DAEMON}/platform/wire.py",
        "    headers.append((TARGET_ID_HEADER, engine.id))\n",
        "",
        "tests/test_entry.py",
    ),
    Mutation(
        "resume after the wrong event",
        f"{_DAEMON}/platform/wire.py",
        "(RESUME_AFTER_HEADER, str(resume_after))",
        "(RESUME_AFTER_HEADER, str(resume_after - 1))",
        "tests/test_entry.py",
    ),
    Mutation(
        "forward the response to another request",
        f"{_DAEMON}/platform/wire.py",
        "    return head.get(REQUEST_ID_HEADER.lower()) == req.id\n",
        "    return True\n",
        "tests/test_entry.py",
    ),
    Mutation(
        "list an item twice",
        f"{_CORE}/batchjob.py",
        "        if index not in self.progress.listed:\n"
        "            self.unlisted_results.setdefault(index, result)\n",
        "        self.unlisted_results[index] = result\n",
        "tests/test_batchjob.py",
    ),
    Mutation(
        "remove engines whose entries expired during an outage",
        f"{_CORE}/roster.py",
        "        if self._restored_s is None or"
        " now_s - self._restored_s > STABLE_S:\n",
        "        if True:\n",
        "tests/test_roster.py",
    ),
    Mutation(
        "let batch items occupy the slots of online requests",
        f"{_CORE}/allocator.py",
        "            sent = self._preempt(req, view, is_allowed, now_s)\n",
        "            sent = []\n",
        "tests/test_allocator.py",
    ),
    Mutation(
        "grant a slot again before its daemon has reported the run",
        f"{_CORE}/allocator.py",
        "        self._add_run(vm, reporter, run_id, run)\n"
        "        self.health",
        "        self.health",
        "tests/test_allocator.py",
    ),
    Mutation(
        "let one daemon's failures keep all others from an engine",
        f"{_CORE}/enginehealth.py",
        "WITNESSES_MIN = 2\n",
        "WITNESSES_MIN = 1\n",
        "tests/test_allocator.py",
    ),
    Mutation(
        "stay with a hub that fell silent",
        f"{_CORE}/loadshare.py",
        "            self._excluded.add(self._hub)\n",
        "            self._excluded.clear()\n",
        "tests/test_loadshare.py",
    ),
    Mutation(
        "say that a commit behind a takeover never took effect",
        f"{_CORE}/ownedpartition.py",
        "        if took_effect:\n",
        "        if False:\n",
        "tests/test_ledger.py",
    ),
    Mutation(
        "restart items from the beginning after a takeover",
        f"{_CORE}/batchjob.py",
        "        self.texts.extend(checkpoint.texts)\n",
        "",
        "tests/test_batchjob.py",
    ),
    Mutation(
        "let the queue of retrying callers grow",
        f"{_CORE}/attempts.py",
        "RETRY_QUEUE_SHARE = 0.65\n",
        "RETRY_QUEUE_SHARE = 60.0\n",
        "tests/test_selection.py",
    ),
    Mutation(
        "stop without releasing jobs for takeover",
        f"{_DAEMON}/entry/holder.py",
        "        if self._stopping and not held_job.unlisted_results:\n",
        "        if False:\n",
        "tests/test_entry.py",
    ),
    Mutation(
        "treat a value that is truncated at the end of a page as complete",
        f"{_DAEMON}/entry/chunks.py",
        "        if more and values:\n",
        "        if False:\n",
        "tests/test_pieces.py",
    ),
    Mutation(
        "start all threads of a listener at once",
        f"{_DAEMON}/listener.py",
        "            if self._all_busy() and"
        " len(self.threads) < self._threads_max:\n",
        "            if len(self.threads) < self._threads_max:\n",
        "tests/test_listener.py",
    ),
    Mutation(
        "hold no crash against a request itself",
        f"{_CORE}/judge.py",
        "            if quarantine.is_request(request)"
        " and not self.explained:\n",
        "            if False:\n",
        "tests/test_judge.py",
    ),
    Mutation(
        "quarantine parts for the crashes of a single request",
        f"{_CORE}/judge.py",
        "REQUESTS_PER_PART_MIN = 2\n",
        "REQUESTS_PER_PART_MIN = 1\n",
        "tests/test_judge.py",
    ),
    Mutation(
        "probe a cause without end",
        f"{_CORE}/quarantine.py",
        "    if strikes > PROBES_MAX:\n",
        "    if False:\n",
        "tests/test_judge.py",
    ),
    Mutation(
        "change the base while streams without a record may be taken up",
        f"{_CORE}/streamversions.py",
        "RECORD_ALL_S = 30.0\n",
        "RECORD_ALL_S = 8.0\n",
        "tests/test_streamversions.py",
    ),
    Mutation(
        "trust a base that was read before an engine was listed",
        f"{_CORE}/streamversions.py",
        " or self.read_s < listed_s\n",
        "\n",
        "tests/test_streamversions.py",
    ),
    Mutation(
        "join checkpoints of different outputs",
        f"{_CORE}/batchjob.py",
        "            checkpoint.output_id != self.output_id\n"
        "            or checkpoint.first_id",
        "            checkpoint.first_id",
        "tests/test_batchjob.py",
    ),
    Mutation(
        "grant engines of any version",
        f"{_CORE}/poolview.py",
        "        return req.version in"
        " (None, self.engines[engine_id].version)\n",
        "        return True\n",
        "tests/test_allocator.py",
    ),
    Mutation(
        "blame engines that only peers reach",
        f"{_CORE}/enginepaths.py",
        "            fault = Fault.PATH\n",
        "            fault = Fault.ENGINE\n",
        "tests/test_enginepaths.py",
    ),
    Mutation(
        "blame nobody for an engine that no peer can tell of",
        f"{_CORE}/enginepaths.py",
        " or reaches_others:\n",
        ":\n",
        "tests/test_enginepaths.py",
    ),
    Mutation(
        "name no peer with a grant",
        f"{_CORE}/allocator.py",
        "        if req.relay or self._needs_relay(req.vm, engine.id):\n",
        "        if False:\n",
        "tests/test_relays.py",
    ),
    Mutation(
        "start items that no peer can relay",
        f"{_CORE}/allocator.py",
        "                    or self.relays.can_reach(vm, engine_id)\n",
        "                    or True\n",
        "tests/test_relays.py tests/test_allocator.py",
    ),
    Mutation(
        "let any event follow what broke off",
        f"{_CORE}/events.py",
        "        event.id == event_id\n",
        "        True or event_id\n",
        "tests/test_brokenanswers.py",
    ),
    Mutation(
        "forget the revision of a job whose takeover failed",
        f"{_CORE}/batchjob.py",
        "        job.is_taken_over = True\n",
        "        job.is_taken_over, job.revision = True, -1\n",
        "tests/test_batchjob.py",
    ),
    Mutation(
        "take the end of an aborted call for the engine's",
        f"{_DAEMON}/entry/engineclient.py",
        "        if not data and self._is_aborted:\n",
        "        if False:\n",
        "tests/test_unframed.py",
    ),
    Mutation(
        "admit every request during a stop",
        f"{_DAEMON}/entry/state.py",
        "now_s + needed_s <= self.exit_s\n",
        "True\n",
        "tests/test_stops.py",
    ),
    Mutation(
        "exit without closing the listeners",
        f"{_DAEMON}/entry/core.py",
        "    return all([one.close(deadline_s) for one in listeners])\n",
        "    return bool(listeners)\n",
        "tests/test_stops.py",
    ),
    Mutation(
        "record messages of the present hub only",
        f"{_DAEMON}/entry/slots.py",
        "        self._hub.selector.record_message(message.vm, now_s)\n"
        "        if message.vm == self._hub.vm:\n",
        "        if message.vm == self._hub.vm:\n"
        "            self._hub.selector.record_message(message.vm, now_s)\n",
        "tests/test_hubs.py",
    ),
    Mutation(
        "rely on this daemon's own list of versions without the store",
        f"{_CORE}/streamversions.py",
        "    if not has_one_version:\n",
        "    if False:\n",
        "tests/test_streamversions.py",
    ),
    Mutation(
        "announce versions before all members told theirs",
        f"{_CORE}/otherversions.py",
        "            if pools is None:\n                return None\n",
        "            if pools is None:\n                continue\n",
        "tests/test_otherversions.py tests/test_builds.py",
    ),
    Mutation(
        "use an engine again that said it leaves",
        f"{_CORE}/leaving.py",
        "        if key in self._told:\n            return True\n",
        "",
        "tests/test_leaving.py",
    ),
    Mutation(
        "put off every removal after an outage",
        f"{_CORE}/roster.py",
        "        return is_first_answer or self._outage_s >= ENTRY_EXPIRY_S\n",
        "        return True\n",
        "tests/test_roster.py",
    ),
    Mutation(
        "let a row that is nested deeply raise",
        f"{_CORE}/codec.py",
        "    RecursionError,\n",
        "",
        "tests/test_oddrows.py::test_an_odd_entry_is_a_failure",
    ),
    Mutation(
        "believe the first end of an item's answer without a length",
        f"{_DAEMON}/entry/items.py",
        "        return UnframedEnd(answer.end)\n",
        "        return CompletedRun(framed=False)\n",
        "tests/test_unframed.py",
    ),
    Mutation(
        "ask again in a run that must not",
        f"{_DAEMON}/entry/items.py",
        "        if should_stop() or not observer.may_ask_again():\n",
        "        if should_stop():\n",
        "tests/test_unframed.py",
    ),
    Mutation(
        "take a head without a seal for an item's answer",
        f"{_DAEMON}/entry/items.py",
        "    if not wire.is_complete_head(head):\n",
        "    if False:\n",
        "tests/test_unframed.py",
    ),
    Mutation(
        "end answers without a length though their engine is gone",
        f"{_DAEMON}/entry/streamend.py",
        "        if through is None:\n            end = End.GONE\n",
        "        if through is None:\n            end = End.RUNNING\n",
        "tests/test_unframed.py",
    ),
    Mutation(
        "believe the report of an engine that could be asked for more",
        f"{_DAEMON}/entry/streamend.py",
        "        elif self._may_ask(response):\n",
        "        elif False:\n",
        "tests/test_streamends.py",
    ),
    Mutation(
        "pass on events that come again",
        f"{_DAEMON}/entry/streamend.py",
        "            if not question.repeats:\n",
        "            if True:\n",
        "tests/test_streamends.py",
    ),
    Mutation(
        "take silence without a length for the statement of an end",
        f"{_DAEMON}/entry/streamend.py",
        "        return _Ended(answer.last_id)\n",
        "        return _Stated()\n",
        "tests/test_streamends.py",
    ),
    Mutation(
        "ask an engine that names a limit about the end of a stream",
        f"{_DAEMON}/entry/streamend.py",
        "            and not self._parts.limits.is_limited(engine)\n",
        "",
        "tests/test_streamends.py",
    ),
    Mutation(
        "ask on though the caller has left",
        f"{_DAEMON}/entry/exchange.py",
        "        if self._is_disconnected():\n"
        "            raise CallerDisconnected\n",
        "        return\n",
        "tests/test_streamends.py",
    ),
    Mutation(
        "take a later start of an engine for the same",
        f"{_DAEMON}/platform/wire.py",
        "        found.born == engine.started_ms\n",
        "        True\n",
        "tests/test_unframed.py",
    ),
    Mutation(
        "follow the ids of resumed streams only",
        f"{_DAEMON}/entry/engineattempt.py",
        "            self.last_id = found[0].id - 1\n",
        "            pass\n",
        "tests/test_brokenanswers.py",
    ),
    Mutation(
        "take an answer without events for one that agrees on the end",
        f"{_CORE}/endings.py",
        "        if start == end:\n",
        "        if start == end:\n            self._repeats += 1\n",
        "tests/test_endings.py tests/test_unframed.py",
    ),
    Mutation(
        "infer an end though no answer was asked for what follows it",
        f"{_CORE}/endings.py",
        "        return self._asked_at_end and (\n",
        "        return (\n",
        "tests/test_unframed.py tests/test_endings.py",
    ),
    Mutation(
        "keep the answers that agreed on an end when another ends before it",
        f"{_CORE}/endings.py",
        "            self._witnesses.clear()\n            self._repeats = 0\n",
        "            pass\n",
        "tests/test_endings.py",
    ),
    Mutation(
        "begin an output at any event",
        f"{_CORE}/events.py",
        "    return event_id in FIRST_IDS\n",
        "    return True\n",
        "tests/test_brokenanswers.py",
    ),
)
