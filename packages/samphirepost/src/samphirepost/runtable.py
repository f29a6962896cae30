"""What runs where: the runs, their daemons and the engines, as a hub knows.

The table keeps the load of each engine and the view of each pool in step with
the runs. All instants are monotonic seconds.
"""

from samphirepost import demandpeaks
from samphirepost import expendability
from samphirepost import poolview
from samphirepost import slotmessages

# Totals of a larger fleet would fill the hub's link; its daemons choose among
# so many engines that they rarely meet without them.
TOTALS_ENGINES_MAX = 64


class AllocatedRun:
    """A run that occupies a slot of `engine`.

    `confirmed` once its daemon has reported it; `preempted_s` is the instant
    of its preemption, or None. `claim` is the expendability.Claim of an item.
    `relay` is the VM id of the daemon that relays the run, or None.
    `charged_to` is the organisation whose quota its grant was charged to,
    `charge` the fairqueue.Charge of its slot (None if another hub granted it)
    and `hold` the promptcache.Hold of its prompt, or None. `tokens` are those
    of a run that its daemon reported and this hub has not granted.
    """

    __slots__ = (
        "batch",
        "charge",
        "charged_to",
        "claim",
        "confirmed",
        "engine",
        "granted_s",
        "hold",
        "preempted_s",
        "relay",
        "tokens",
    )

    def __init__(self, engine, batch, granted_s, confirmed):
        self.relay = None
        self.charge = None
        self.charged_to = ""
        self.hold = None
        self.tokens = 0
        self.engine = engine
        self.batch = batch
        self.granted_s = granted_s
        self.confirmed = confirmed
        self.claim = expendability.UNKNOWN
        self.preempted_s = None

    def settle(self, used_s):
        """Corrects what the run's organisation is charged for its slot."""
        if self.charge is not None:
            self.charge.settle(used_s)
            self.charge = None


class Reporter:
    """A daemon that reports to this hub.

    `run_ids` are those of its runs, `pools` those for which it wants slots,
    `paths` its slotmessages.Paths.
    """

    __slots__ = (
        "address",
        "paths",
        "pools",
        "received_s",
        "run_ids",
        "seq",
        "wanted",
    )

    def __init__(self, address):
        self.pools = frozenset()
        self.paths = slotmessages.NO_PATHS
        self.address = address
        self.received_s = 0.0
        self.seq = -1
        self.run_ids = set()
        self.wanted = {}


class RunTable:
    """The runs at the engines, by daemon.

    `reporters` has the Reporters by VM, `wanting` the VMs of those that want
    slots for items. `runs` has the AllocatedRuns by VM and run id, `loads` the
    poolview.EngineLoads of the engines at which something runs, `views` the
    poolview.PoolViews by pool, and `pool_names` the pool of each engine. With
    `follows_rises`, items leave slots free by the recent rise of online use.
    """

    __slots__ = (
        "_follows_rises",
        "_peaks",
        "loads",
        "pool_names",
        "reporters",
        "runs",
        "views",
        "wanting",
    )

    def __init__(self, follows_rises=False):
        self._follows_rises = follows_rises
        self.reporters = {}
        self.wanting = set()
        self.runs = {}
        self.loads = {}
        self.views = {}
        self.pool_names = {}
        self._peaks = {}

    def add(self, vm, reporter, run_id, run):
        """Adds a run of a daemon."""
        self.runs[vm, run_id] = run
        reporter.run_ids.add(run_id)
        load = self.loads.setdefault(run.engine, poolview.EngineLoad())
        view = self.view_of(run.engine)
        if run.batch:
            load.items.add((vm, run_id))
        else:
            load.online += 1
        if view is not None:
            view.online += not run.batch
            if run.batch:
                view.items.add((vm, run_id))
            elif not run.confirmed:
                # Runs that are only reported began before.
                peaks = self._peaks_at(run.engine)
                peaks.record_start(view.online, run.granted_s)
            view.update(run.engine, load)

    def remove(self, vm, reporter, run_id):
        """Removes a run of a daemon and returns it."""
        run = self.runs.pop((vm, run_id))
        reporter.run_ids.discard(run_id)
        load = self.loads[run.engine]
        if not run.batch:
            load.online -= 1
        elif run.preempted_s is None:
            load.items.discard((vm, run_id))
        else:
            load.preempted -= 1
        view = self.view_of(run.engine)
        if view is not None:
            view.online -= not run.batch
            view.items.discard((vm, run_id))
            if not run.batch:
                self._peaks_at(run.engine).record_end()
            view.update(run.engine, load)
        if load.is_idle:
            del self.loads[run.engine]
        return run

    def view_of(self, engine_id):
        """Returns the PoolView that has an engine, or None."""
        view = self.views.get(self.pool_names.get(engine_id))
        if view is None or engine_id not in view.engines:
            return None
        return view

    def _peaks_at(self, engine_id):
        """Returns the DemandPeaks of an engine's pool."""
        pool = self.pool_names[engine_id]
        peaks = self._peaks.get(pool)
        if peaks is None:
            peaks = self._peaks[pool] = demandpeaks.DemandPeaks()
        return peaks

    def reserved(self, pool, view, now_s):
        """Returns the slots that items leave free for online arrivals."""
        peaks = demandpeaks.NONE
        if self._follows_rises:
            peaks = self._peaks.get(pool, demandpeaks.NONE)
        return peaks.reserved(view.online, now_s)

    def totals_of_others(self, vm):
        """Returns the Counts of all other daemons' runs by engine.

        Returns none if requests run at more than TOTALS_ENGINES_MAX engines.
        """
        if len(self.loads) > TOTALS_ENGINES_MAX:
            return {}
        reporter = self.reporters.get(vm)
        own_ids = reporter.run_ids if reporter else ()
        online = {key: load.online for key, load in self.loads.items()}
        batch = {
            key: len(load.items) + load.preempted
            for key, load in self.loads.items()
        }
        for run_id in own_ids:
            run = self.runs[vm, run_id]
            counts = batch if run.batch else online
            counts[run.engine] -= 1
        return {
            key: slotmessages.Count(online[key], batch[key])
            for key in self.loads
            if online[key] or batch[key]
        }

    def slow_engines(self):
        """Returns the ids of all slow engines, sorted."""
        return sorted(
            engine_id
            for view in self.views.values()
            for engine_id in view.slow
        )

    def uneven_speeds(self):
        """Returns the speeds of engines that differ from the median, by id."""
        found = {}
        for view in self.views.values():
            found |= view.speeds.uneven()
        return found
