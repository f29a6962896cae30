"""Obtains slots from the hub for this daemon's requests and batch items.

The daemons exchange slotmessages over UDP. Which of them is the hub is
decided in samphirepost.loadshare; its side is in hub.py.
"""

import collections
import itertools
import socket
import threading
import time

import msgspec

from samphirepost import codec
from samphirepost import crashes
from samphirepost import leaving
from samphirepost import loadshare
from samphirepost import otherversions
from samphirepost import slotmessages
from samphirepost_daemon.entry import hub
from samphirepost_daemon.entry import state
from samphirepost_daemon.platform import wire

# Longest time that the thread waits for a datagram (s), after which it checks
# what has expired.
RECEIVE_WAIT_S = 0.05
# Pause before a port that another socket has is tried again (s).
BIND_RETRY_DELAY_S = 0.5
# Interval of the reports of a daemon at which nothing ends (s).
REPORT_INTERVAL_S = 0.4
# A request that the hub has not answered after this time (s), several round
# trips between zones, goes to an engine of the daemon's own choice.
REPLY_TIMEOUT_S = 0.05
# Interval at which a waiting request checks whether its caller left (s).
CALLER_POLL_S = 0.1
DATAGRAM_BYTES_MAX = 65_000
# Longest wait for a preview (s), and previews that may wait.
PREVIEW_TIMEOUT_S = 1.0
PREVIEWS_MAX = 4
# A new hub is told for this long (s) what was sent by organisation: it may not
# have heard all daemons before, and a report may be lost.
SENT_REPORT_S = 2.0
# Engines named in one report: those not reached, and those that failed.
UNREACHED_MAX = 64
FAILED_MAX = 64
# The reports of a thousand daemons wait here while the hub works.
RECEIVE_BUFFER_BYTES = 4_194_304
# Datagrams received before free slots are allocated.
RECEIVE_MAX = 256

_message_decoder = msgspec.msgpack.Decoder(slotmessages.Message)


class PendingRequest:
    """A request for a slot that a thread waits for.

    `reply` is the Grant, Denial or preview, or None until it has arrived.
    """

    __slots__ = ("answered", "decided", "reply")

    def __init__(self):
        self.answered = threading.Event()
        self.decided = threading.Event()
        self.reply = None


class HubLink:
    """Which daemon is the hub, and whether it answers.

    `keeps_quotas` is what the last totals showed, and true before the first:
    totals of older builds name no tables, and their hubs keep no quotas.
    """

    __slots__ = (
        "address",
        "answers",
        "changed_s",
        "keeps_quotas",
        "selector",
        "vm",
    )

    def __init__(self):
        self.changed_s = 0.0
        self.keeps_quotas = True
        self.selector = loadshare.HubSelector()
        self.vm = None
        self.address = None
        self.answers = False


class SlotExchange(threading.Thread):
    """Reports this daemon's runs to the hub and asks it for slots.

    The thread also runs the HubServer, in case this daemon is the hub. Other
    threads call request(), start_run(), end_run() and want(). For batch items
    `on_grant(grant)` and `on_preemption(ids)` are called.
    """

    def __init__(self, parts, address, port):
        super().__init__(daemon=True, name="slots")
        self._me = parts.me
        self._address = (address, port)
        self._zone = parts.zone
        self._load_tracker = parts.load_tracker
        self._quarantine = parts.quarantine
        self._observations = parts.observations
        self._limits = parts.limits
        self._parts = parts
        self._known_versions = otherversions.KnownVersions(
            parts.state.roster, parts.bases
        )
        self._announced_versions = otherversions.AnnouncedVersions()
        self._failed_engines = []
        self._suspects = ()
        self._begun_known = {}
        self._metrics = parts.metrics
        self._log = parts.log
        self._sock = None
        self._hub = HubLink()
        self._ids = itertools.count(1)
        self._sequence = itertools.count(1)
        self._report_lock = threading.Lock()
        self._next_report_s = 0.0
        self._pending = {}
        self._previews = collections.deque(maxlen=PREVIEWS_MAX)
        self._ended = []
        self._refunds = []
        self._wanted = {}
        self.hub_server = hub.HubServer(parts, self._hub.selector, self._send)
        self.on_grant = None
        self.on_preemption = None

    @property
    def hub_selector(self):
        """The HubSelector, which has the addresses of the members."""
        return self._hub.selector

    def member_ids(self):
        """Returns the ids of the members, or None if they are not known."""
        return set(self._hub.selector.members) or None

    @property
    def hub_vm(self):
        """The VM id of the hub that this daemon reports to, or None."""
        return self._hub.vm

    @property
    def is_hub(self):
        """Whether this daemon is the hub."""
        return self._hub.vm == self._me

    @property
    def hub_answers(self):
        """Whether the hub has answered since a request to it was lost."""
        return self._hub.vm is not None and self._hub.answers

    # Called by the threads of requests.

    def next_run_id(self):
        """Returns an id for a run, unique to this daemon."""
        return next(self._ids)

    def request(self, req, is_disconnected):
        """Asks the hub for a slot for a SlotRequest; blocks until it decides.

        Returns its Grant or Denial, or None if the hub does not answer or the
        caller disconnects.
        """
        address = self._hub.address
        if address is None or not self._hub.answers:
            self._metrics.slots.labels("no-hub").inc()
            return None
        pending = self._pending[req.id] = PendingRequest()
        self._send(address, req)
        if not pending.answered.wait(REPLY_TIMEOUT_S):
            self._hub.answers = False
            self._log.event("hub.silent", hub=self._hub.vm)
        else:
            self._wait_for_decision(pending, req, address, is_disconnected)
        self._pending.pop(req.id, None)
        # The reply may have come after the wait and before the removal.
        reply = pending.reply
        label = "no-answer" if reply is None else type(reply).__name__.lower()
        self._metrics.slots.labels(label).inc()
        return reply

    def preview(self, asked):
        """Returns the SlotOutlook of a SlotRequest or WantedSlot.

        Nothing is sent, granted, queued or charged. Returns None if this
        daemon is not the hub, or its thread does not answer.
        """
        if not self.is_hub:
            return None
        pending = PendingRequest()
        self._previews.append((asked, pending))
        pending.decided.wait(PREVIEW_TIMEOUT_S)
        return pending.reply

    def _answer_previews(self, now_s):
        while self._previews:
            asked, pending = self._previews.popleft()
            pending.reply = self.hub_server.preview(asked, now_s)
            pending.decided.set()

    def _wait_for_decision(self, pending, req, address, is_disconnected):
        """Waits until the hub at `address` decides on a SlotRequest.

        Another hub does not know of the request, so it is not waited for.
        """
        deadline_s = time.monotonic() + req.wait_max_s + REPLY_TIMEOUT_S
        while not pending.decided.wait(CALLER_POLL_S):
            if is_disconnected() or time.monotonic() > deadline_s:
                return
            if self._hub.address != address:
                return

    def slot_request(self, run_id, pool, priority, wait_max_s, **fields):
        """Returns a SlotRequest of this daemon."""
        return slotmessages.SlotRequest(
            self._me, run_id, pool, self._zone, priority, wait_max_s, **fields
        )

    def start_run(self, run_id, engine_id, granted, **fields):
        """Records a run; reports it at once if the hub has not granted it."""
        self._load_tracker.start_run(run_id, engine_id, **fields)
        if not granted:
            self._send_report()

    def end_run(self, run_id, outcome, pace_s=0.0, first_s=0.0):
        """Records the end of a run; see RunEnd for the times."""
        self._end_run(
            slotmessages.RunEnd(run_id, outcome, pace_s, first_s=first_s)
        )

    def return_grant(self, run_id):
        """Records a grant for which nothing is sent.

        The hub would grant the slot again at once if it were still wanted; its
        item is asked for again with the next ones.
        """
        if run_id in self._wanted:
            self._wanted = {
                known: slot
                for known, slot in self._wanted.items()
                if known != run_id
            }
        self._end_run(
            slotmessages.RunEnd(
                run_id, slotmessages.Outcome.UNKNOWN, is_unused=True
            )
        )

    def _end_run(self, run_end):
        self._load_tracker.end_run(run_end.id)
        with self._report_lock:
            self._ended.append(run_end)
        self._send_report()

    def refund(self, organisation):
        """Has the charge given back of a request that no engine ran."""
        with self._report_lock:
            self._refunds.append(organisation)
        self._send_report()

    @property
    def hub_keeps_quotas(self):
        """Whether the hub charges quotas; daemons of older builds do not."""
        return self._hub.keeps_quotas

    @property
    def daemon_count(self):
        """The number of daemons that are known to be members."""
        return len(self._hub.selector.members)

    def record_head(self, engine, head):
        """Records the limit that an engine's response names, if any.

        Also records if the engine says that it leaves.
        """
        if wire.is_from_another_engine(head):
            return
        if wire.is_leaving(head):
            self._record_told(engine, leaving.Reason.LEAVING)
        per_s = wire.named_limit(head)
        if self._limits.record_answer(engine, per_s, time.monotonic()):
            self._log.event("engine.limit", engine=engine.id, per_s=per_s)
            self._send_report()

    def record_stale(self, engine):
        """Records that another engine answered at an engine's address."""
        self._record_told(engine, leaving.Reason.STALE)

    def _record_told(self, engine, reason):
        """Takes an engine out of use, and tells the others through the hub."""
        marks = self._parts.state.marks
        if marks.record_told(engine, time.monotonic(), reason):
            self._log.event(
                f"engine.{reason.value}",
                engine=engine.id,
                address=engine.address,
                started_ms=engine.started_ms,
            )
            self._send_report()

    def record_crash(self, engine, request, parts, has_head, lost_s):
        """Reports a request lost with an engine before its answer had begun.

        `request` is its key, `parts` are the shared parts of its prompt, and
        `lost_s` is the monotonic time of the loss.
        """
        self._observations.record_crash(
            engine, request, parts, has_head, lost_s, time.monotonic()
        )
        self._send_report()

    def record_engine_failure(self, engine_id):
        """Reports that an engine was at fault for a run that ended before."""
        with self._report_lock:
            self._failed_engines.append(engine_id)
        self._send_report()

    def has_one_version(self, pool):
        """Whether no daemon knows another version than the pool's base."""
        return self._announced_versions.has_one_version(
            pool, state.boottime_s()
        )

    def report(self):
        """Sends a report now, before the next one is due."""
        self._send_report()

    def _own_paths(self):
        """Returns the slotmessages.Paths of this daemon."""
        paths = self._parts.paths
        is_doubtful = paths.is_doubtful
        is_stopping = self._parts.state.stop_began_s is not None
        return slotmessages.Paths(
            self._zone,
            not is_doubtful and not is_stopping,
            paths.unreached()[:UNREACHED_MAX],
            is_doubtful,
        )

    def record_begun(self, parts, request):
        """Records a begun answer; reports at once what ends a quarantine.

        See record_crash() for `request` and `parts`.
        """
        now_s = time.monotonic()
        self._observations.record_begun(parts, request, now_s)
        known = [
            cause
            for cause in (*parts, request)
            if self._quarantine.get(cause) is not None
        ]
        if known:
            until_s = now_s + crashes.REPORT_S
            self._begun_known = self._begun_known | dict.fromkeys(
                known, until_s
            )
            self._send_report()

    def _asked_causes(self, now_s):
        """Returns the causes of which the hub is told that answers began."""
        known = self._begun_known
        if known and now_s > max(known.values()):
            self._begun_known = {}
        return tuple(dict.fromkeys((*known, *self._suspects)))

    def want(self, wanted):
        """Sets the batch items for which slots are wanted, by run id."""
        is_known = wanted.keys() == self._wanted.keys()
        self._wanted = wanted
        if not is_known:
            self._send_report()

    # The thread.

    def run(self):
        """Exchanges messages until the process exits."""
        while not self._open_socket():
            threading.Event().wait(BIND_RETRY_DELAY_S)
        while True:
            try:
                self._receive()
                self._work(time.monotonic())
            except Exception as exc:
                # The fleet depends on this thread while it is the hub.
                self._log.failure("fault", where="slots", error=repr(exc))

    def _open_socket(self):
        """Returns False while another socket has the address."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        try:
            sock.bind(self._address)
        except OSError as exc:
            sock.close()
            self._log.failure("peer.unbound", reason=repr(exc))
            return False
        self._sock = sock
        return True

    def _work(self, now_s):
        self._select_hub(now_s)
        pools = self._parts.state.pools()
        if self._known_versions.refresh(pools, now_s):
            self._send_report()
        if now_s >= self._next_report_s:
            self._send_report()
        self.hub_server.allocate(now_s)
        self.hub_server.collect_versions(now_s)
        self.hub_server.collect_leaving(now_s)
        self.hub_server.decide_causes(now_s)
        if self._hub.vm == self._me:
            self.hub_server.announce_and_log(now_s)
        self._answer_previews(now_s)

    def _select_hub(self, now_s):
        hub_vm = self._hub.selector.select_hub(self._me, now_s)
        if hub_vm == self._hub.vm:
            return
        self._log.event("hub.changed", hub=hub_vm, before=self._hub.vm)
        self._hub.vm = hub_vm
        self._hub.answers = False
        self._hub.changed_s = now_s
        self._hub.address = self._hub.selector.members.get(hub_vm)
        if hub_vm == self._me:
            self._hub.address = self._address
        self._observations.report_again(now_s)
        self._limits.report_again(now_s)
        self._send_report()

    def _send_report(self):
        with self._report_lock:
            now_s = time.monotonic()
            self._next_report_s = now_s + REPORT_INTERVAL_S
            address = self._hub.address
            if address is None:
                self._ended.clear()
                self._refunds.clear()
                self._failed_engines.clear()
                return
            ended, self._ended = self._ended, []
            refunds, self._refunds = self._refunds, []
            failed, self._failed_engines = self._failed_engines, []
            marks = self._parts.state.marks
            report = slotmessages.Report(
                self._me,
                next(self._sequence),
                self._load_tracker.own_runs(now_s),
                tuple(ended),
                tuple(self._wanted.values()),
                self._observations.crashes(now_s),
                self._observations.begun(self._asked_causes(now_s), now_s),
                self._limits.to_report(now_s),
                self._own_paths(),
                tuple(failed[:FAILED_MAX]),
                self._known_versions.pools,
                marks.to_report(now_s),
                marks.stale_to_report(now_s),
                self._parts.state.tables_age(),
                self._sent_for_new_hub(now_s),
                tuple(refunds),
            )
            self._send(address, report)

    def _sent_for_new_hub(self, now_s):
        """Returns what a new hub is told of requests that were sent."""
        if now_s - self._hub.changed_s > SENT_REPORT_S:
            return None
        return self._parts.quotas.sent(now_s)

    def _send(self, address, message):
        if self._sock is None:
            # The port is not bound yet.
            return
        try:
            data = codec.pack(message)
        except codec.UNWRITABLE as exc:
            # The callers still have to end what they began.
            self._log.failure("peer.unencodable", reason=repr(exc))
            return
        try:
            self._sock.sendto(data, address)
        except OSError as exc:
            self._log.event("peer.send", reason=repr(exc))

    def _receive(self):
        """Applies all datagrams that wait, RECEIVE_MAX at most.

        Waits RECEIVE_WAIT_S for the first one.
        """
        self._sock.settimeout(RECEIVE_WAIT_S)
        for _ in range(RECEIVE_MAX):
            try:
                data, address = self._sock.recvfrom(DATAGRAM_BYTES_MAX)
            except (TimeoutError, BlockingIOError):
                return
            except OSError as exc:
                self._log.event("peer.receive", reason=repr(exc))
                return
            self._apply_datagram(data, address)
            self._sock.settimeout(0.0)

    def _apply_datagram(self, data, address):
        try:
            message = _message_decoder.decode(data)
        except codec.UNREADABLE as exc:
            self._log.event("peer.unreadable", reason=str(exc))
            return
        now_s = time.monotonic()
        if isinstance(message, slotmessages.Report):
            self.hub_server.serve_report(message, address, now_s)
        elif isinstance(message, slotmessages.SlotRequest):
            self.hub_server.serve_request(message, address, now_s)
        else:
            self._apply_hub_message(message, now_s)

    def _apply_hub_message(self, message, now_s):
        """Applies a message of a hub; one of another hub is outdated.

        Its grants are still valid: they cost a slot in its picture only. It
        lives, whichever hub it is, so that one that was excluded for its
        silence can be selected again.
        """
        self._hub.selector.record_message(message.vm, now_s)
        if message.vm == self._hub.vm:
            self._hub.answers = True
        if isinstance(message, slotmessages.Totals):
            if message.vm == self._hub.vm:
                self._load_tracker.record_others(message.counts, now_s)
                self._limits.announce(message.limits)
                self._parts.state.marks.announce(
                    message.leaving_engines, now_s, message.stale_entries
                )
                self._announced_versions.record(
                    message.other_versions, state.boottime_s()
                )
                self._parts.state.record_peer_tables(message.tables)
                self._hub.keeps_quotas = message.constrained is not None
                self._parts.quotas.announce_constrained(
                    message.constrained or ()
                )
                self._apply_suspects(message, now_s)
        elif isinstance(message, slotmessages.Preemption):
            self._metrics.preemptions.inc(len(message.ids))
            self.on_preemption(message.ids)
        elif isinstance(message, slotmessages.Queued):
            pending = self._pending.get(message.id)
            if pending is not None:
                pending.answered.set()
        else:
            self._apply_reply(message)

    def _apply_suspects(self, totals, now_s):
        """Reports at once which new suspects the daemon saw answered."""
        self._quarantine.announce(
            totals.quarantined, totals.on_probation, now_s
        )
        new = set(totals.suspects) - set(self._suspects)
        self._suspects = totals.suspects
        if self._observations.begun(new, now_s):
            self._send_report()

    def _apply_reply(self, reply):
        pending = self._pending.pop(reply.id, None)
        if pending is not None:
            pending.reply = reply
            pending.decided.set()
            pending.answered.set()
        elif isinstance(reply, slotmessages.Denial):
            return
        elif reply.id in self._wanted:
            self.on_grant(reply)
        elif not self._load_tracker.is_running(reply.id):
            # Its request went elsewhere, or its caller left.
            self.return_grant(reply.id)
