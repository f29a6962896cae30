"""Capacity page: writes docs/SLOPES.md from the measured slopes.

Every figure on the page is computed from the JSON that the slopes
experiment writes, or is a constant of the planned size below.
"""

import json

# The planned size.
DAEMONS = 1_200
ENGINES = 12_000
REQUESTS_PER_S = 120_000
ITEMS_PER_DAY = 250_000_000
JOBS_PER_DAY = 70_000
EDITS_PER_DAY = 12_000
ZONES = 11
DAEMONS_PER_ZONE = DAEMONS // ZONES
DAY_S = 86_400
# Budgets: one daemon's cost of control, and requests to the platform.
CONTROL_CPU_PERCENT_MAX = 1.4
CONTROL_MEMORY_MB_MAX = 32
CONTROL_BYTES_PER_S_MAX = 2_000
TABLE_WRITES_PER_S_MAX = 300
TABLE_READS_PER_S_MAX = 2_000
# Rates and counts that the figures are computed with.
PARTITIONS = 22
COMMITS_PER_S = 10
HEARTBEATS_PER_S = 2
VM_CHANGES_PER_S = 2_791 / DAY_S
# Budgets of a partition owner.
OWNER_CORES_MAX = 1.0
ENTRY_MEMORY_GB_MAX = 1.0

PAGE_TEMPLATE = """# Capacity

What each role costs at the planned size: {daemons} daemons, {engines}
engines, {requests} requests/s, {items} batch items and {edits} edits a day,
{zones} zones. Every figure here comes from `docs/runs/slopes.json`, written
by `make slopes` (`{command}`, Python {python}, {cores} cores); the page is
written by the same command. All runs used one computer; figures for the
planned size are extrapolated from slopes, not measured.

## Roles

| role | state | messages | processor | memory | mechanism | fits |
|---|---|---|---|---|---|---|
{roles}

## Budgets

| budget | allowed | computed | fits |
|---|---|---|---|
{budgets}

## First limits

{breaks}

## Outages at the planned size

Derived from the mechanism and the slopes; not run at that size.

- A network partition between regions for an hour: there is one table
  service. Daemons that reach it continue. Those that do not reach it and
  receive heartbeats from no majority of the members stop serving within
  `confirm_ms`; a single region that is cut off is such a minority. The others
  take over its partitions and items after the leases expire.
- A zone fails: {per_zone} daemons leave the view when their zone's row has
  not changed for twice `dead_ms`. Their partitions, {zone_partitions} of
  {partitions}, are taken over: each new owner replays at most one snapshot
  and {snapshot_segments} segments. 1/{zones} of the partitions move; no
  others do (rendezvous hashing).
- A full restart while the table service is unavailable: nothing serves. A
  daemon serves only with tables from the table service or from a peer that
  serves. This is deliberate: an old table must not become active again.

## Slopes

### Membership view

| members | view bytes | make ms | read ms |
|---|---|---|---|
{views}

A heartbeat takes {heartbeat} bytes, its reply {reply} while the view is
unchanged.

### Target selection

| targets | choose ms |
|---|---|
{choices}

### Online results at a partition owner

| entries | decide us | segment bytes | state bytes | snapshot ms | replay ms |
|---|---|---|---|---|---|
{ledger}

### Items at a partition owner

| items of a job | state bytes per item | us per item to grant and finish |
|---|---|---|
{jobs}

### Tables

| routes | bytes | bytes of a step | read ms | check ms | compare ms |
|---|---|---|---|---|---|
{tables}

### Writes of a partition row for 1,000 results

| results/s | in groups of 50 ms | one by one |
|---|---|---|
{writes}

### Idle daemons of one zone, as processes

| daemons | member CPU % | coordinator CPU % | MB each | reads/s | writes/s |
|---|---|---|---|---|---|
{idle}
"""


def write_page(source, path):
    """Writes the page to `path` from the JSON file at `source`."""
    measured = json.loads(source.read_text(encoding="utf-8"))
    path.write_text(render(measured), encoding="utf-8")


def slope(points, x, y):
    """Returns the least-squares slope of y over x."""
    xs = [point[x] for point in points]
    ys = [point[y] for point in points]
    mean_x, mean_y = sum(xs) / len(xs), sum(ys) / len(ys)
    covariance = sum(
        (a - mean_x) * (b - mean_y) for a, b in zip(xs, ys, strict=True)
    )
    return covariance / sum((a - mean_x) ** 2 for a in xs)


def table_rows(points, *names):
    """Returns a Markdown table row for each point, one column a name."""
    return "\n".join(
        "| " + " | ".join(_cell(point[name]) for name in names) + " |"
        for point in points
    )


def _cell(value):
    if isinstance(value, int) or value >= 1000:
        return f"{value:,.0f}"
    return f"{value:.3g}"


def _fits(value, maximum):
    return "yes" if value <= maximum else "**no**"


class PlannedFigures:
    """Figures at the planned size, extrapolated from the slopes."""

    def __init__(self, measured):
        idle = measured["idle"]
        views = measured["membership"]["views"]
        ledger = measured["ledger"][-1]
        self.measured = measured
        self.member_cpu = idle[-1]["member_cpu_percent"]
        self.member_mb = idle[-1]["rss_mb"]
        per_member = slope(idle, "daemons", "coordinator_cpu_percent")
        base = idle[0]["coordinator_cpu_percent"]
        extra_members = DAEMONS_PER_ZONE - idle[0]["daemons"]
        self.coordinator_cpu = base + per_member * extra_members
        heartbeat = measured["membership"]["heartbeat_bytes"]
        reply = measured["membership"]["reply_bytes"]
        self.heartbeat_bytes = HEARTBEATS_PER_S * (heartbeat + reply)
        self.view_bytes = views[-1]["view_bytes"]
        edits_per_s = EDITS_PER_DAY / DAY_S
        changes_per_s = 2 * (VM_CHANGES_PER_S + edits_per_s)
        self.view_bytes_per_s = self.view_bytes * changes_per_s
        self.table_bytes = measured["tables"][-1]["bytes"]
        edit_bytes = measured["tables"][-1]["step_bytes"]
        full_tables_bytes_per_s = self.table_bytes * VM_CHANGES_PER_S / DAEMONS
        self.table_bytes_per_s = (
            edit_bytes * EDITS_PER_DAY / DAY_S + full_tables_bytes_per_s
        )
        self.control_bytes = (
            self.heartbeat_bytes
            + self.view_bytes_per_s
            + self.table_bytes_per_s
        )
        self.owner_rate = REQUESTS_PER_S / PARTITIONS
        self.owner_cpu = self.owner_rate * ledger["decide_us"] / 1e6
        self.owner_bytes = self.owner_rate * ledger["segment_bytes"]
        self.state_gb_hour = (
            self.owner_rate * 3600 * ledger["state_bytes"] / 1e9
        )
        self.item_us = measured["jobs"][-1]["item_us"]
        self.item_rate = ITEMS_PER_DAY / DAY_S / PARTITIONS
        self.job_mb = (
            measured["jobs"][-1]["job_bytes_per_item"] * 130_000 / 1e6
        )
        self.commit_writes = PARTITIONS * COMMITS_PER_S
        self.zone_writes = ZONES * HEARTBEATS_PER_S
        self.writes = self.commit_writes + self.zone_writes
        self.reads = ZONES * HEARTBEATS_PER_S
        self.puts = self.commit_writes + JOBS_PER_DAY * 5 / DAY_S
        self.choose_ms = measured["choice"][1]["choose_ms"]


def render(measured):
    """Returns the text of the page; `measured` is the decoded JSON."""
    figures = PlannedFigures(measured)
    return PAGE_TEMPLATE.format(
        daemons=f"{DAEMONS:,}",
        engines=f"{ENGINES:,}",
        requests=f"{REQUESTS_PER_S:,}",
        items=f"{ITEMS_PER_DAY:,}",
        edits=f"{EDITS_PER_DAY:,}",
        zones=ZONES,
        command=measured["command"],
        python=measured["python"],
        cores=measured["cores"],
        roles=_roles(figures),
        budgets=_budgets(figures),
        breaks=_first_limits(figures),
        per_zone=DAEMONS_PER_ZONE,
        zone_partitions=PARTITIONS // ZONES,
        partitions=PARTITIONS,
        snapshot_segments=64,
        views=table_rows(
            measured["membership"]["views"],
            "members",
            "view_bytes",
            "make_ms",
            "read_ms",
        ),
        heartbeat=measured["membership"]["heartbeat_bytes"],
        reply=measured["membership"]["reply_bytes"],
        choices=table_rows(measured["choice"], "targets", "choose_ms"),
        ledger=table_rows(
            measured["ledger"],
            "entries",
            "decide_us",
            "segment_bytes",
            "state_bytes",
            "snapshot_ms",
            "replay_ms",
        ),
        jobs=table_rows(
            measured["jobs"], "items", "job_bytes_per_item", "item_us"
        ),
        tables=table_rows(
            measured["tables"],
            "routes",
            "bytes",
            "step_bytes",
            "read_ms",
            "check_ms",
            "compare_ms",
        ),
        writes=table_rows(
            measured["writes"],
            "results_per_s",
            "grouped_writes",
            "single_writes",
        ),
        idle=table_rows(
            measured["idle"],
            "daemons",
            "member_cpu_percent",
            "coordinator_cpu_percent",
            "rss_mb",
            "table_reads_per_s",
            "table_writes_per_s",
        ),
    )


def _roles(figures):
    lines = [
        _table_row(
            "daemon as entry",
            "requests in progress; 24 targets of its pools",
            "a begin and a finish to the owner for each keyed request",
            f"selection {figures.choose_ms:.3g} ms a request among 24 targets;"
            " the relay of tokens is in docs/MEASUREMENTS.md",
            f"{figures.member_mb:.0f} MB in all",
            "deterministic subset of targets, own zone first",
            _fits(figures.choose_ms * 100 / 1000, 0.05),
        ),
        _table_row(
            "member",
            "the view",
            f"{HEARTBEATS_PER_S} heartbeats/s,"
            f" {figures.control_bytes:,.0f} bytes/s with views and tables",
            f"{figures.member_cpu:.2g}% of a core, measured idle",
            f"{figures.member_mb:.0f} MB, measured, of the whole process",
            "heartbeat to the zone's coordinator; the view when it changed",
            _fits(figures.member_cpu, CONTROL_CPU_PERCENT_MAX),
        ),
        _table_row(
            "zone coordinator",
            f"{DAEMONS_PER_ZONE} members",
            f"{DAEMONS_PER_ZONE * HEARTBEATS_PER_S} heartbeats/s in",
            f"{figures.coordinator_cpu:.2g}% of a core, by the slope",
            f"view of {figures.view_bytes:,} bytes",
            "one row a zone, by compare-and-set",
            _fits(figures.coordinator_cpu, CONTROL_CPU_PERCENT_MAX),
        ),
        _table_row(
            "partition owner",
            f"{PARTITIONS} partitions; an entry a request",
            f"{figures.owner_rate:,.0f} results/s each",
            f"{figures.owner_cpu:.2g} cores to decide, without the network",
            f"{figures.state_gb_hour:.2g} GB for each hour of results kept",
            "lease by epoch, group commit, snapshot",
            _fits(
                max(
                    figures.owner_cpu / OWNER_CORES_MAX,
                    figures.state_gb_hour / ENTRY_MEMORY_GB_MAX,
                ),
                1.0,
            ),
        ),
        _table_row(
            "job owner",
            "state and position of each item",
            f"{figures.item_rate:,.0f} items/s each",
            f"{figures.item_us:.3g} us an item,"
            f" {figures.item_rate * figures.item_us / 1e4:.2g}% of a core",
            f"{figures.job_mb:.2g} MB for a job of 130,000",
            "chunks of 1,000 items, claims, one object of results a job",
            _fits(figures.item_rate * figures.item_us / 1e6, 1.0),
        ),
        _table_row(
            "batch admitter",
            "10 engines",
            "20 load reports/s; hints when online load changes by a quarter",
            "included in the member's figure without engines; not measured"
            " with 10",
            "small",
            "rendezvous over members, no lease",
            "not measured",
        ),
        _table_row(
            "config distributor",
            "the tables",
            f"{figures.measured['tables'][-1]['step_bytes']:,} bytes for an"
            " edit of one row to a member,"
            f" {figures.table_bytes:,} for one that starts;"
            f" {figures.table_bytes_per_s:,.0f} bytes/s",
            f"{figures.measured['tables'][-1]['read_ms']:.2g} ms an edit",
            f"{figures.table_bytes / 1e6:.2g} MB",
            "heartbeat replies name the revision; members pull the steps",
            _fits(figures.table_bytes_per_s, CONTROL_BYTES_PER_S_MAX),
        ),
        _table_row(
            "result store",
            "a segment a commit, an object a job",
            f"{figures.puts:,.0f} puts/s",
            "the platform's",
            f"{figures.owner_bytes / COMMITS_PER_S / 1e6:.2g} MB a segment",
            "group commit",
            _fits(figures.puts, TABLE_WRITES_PER_S_MAX),
        ),
    ]
    return "\n".join(lines)


def _table_row(*cells):
    return "| " + " | ".join(cells) + " |"


def _budgets(figures):
    lines = [
        _table_row(
            "control, processor of a daemon",
            f"{CONTROL_CPU_PERCENT_MAX}% of a core",
            f"{figures.member_cpu:.2g}%",
            _fits(figures.member_cpu, CONTROL_CPU_PERCENT_MAX),
        ),
        _table_row(
            "control, memory of a daemon",
            f"{CONTROL_MEMORY_MB_MAX} MB",
            f"{figures.member_mb:.0f} MB"
            " (the whole process, so an upper bound)",
            _fits(figures.member_mb, CONTROL_MEMORY_MB_MAX),
        ),
        _table_row(
            "control, bytes of a daemon",
            f"{CONTROL_BYTES_PER_S_MAX:,} a second",
            f"{figures.control_bytes:,.0f}:"
            f" heartbeats {figures.heartbeat_bytes:,},"
            f" views {figures.view_bytes_per_s:,.0f},"
            f" tables {figures.table_bytes_per_s:,.0f}",
            _fits(figures.control_bytes, CONTROL_BYTES_PER_S_MAX),
        ),
        _table_row(
            "table service, writes",
            "several hundred a second",
            f"{figures.writes} a second: {figures.commit_writes} commits,"
            f" {figures.zone_writes} zone rows",
            _fits(figures.writes, TABLE_WRITES_PER_S_MAX),
        ),
        _table_row(
            "table service, reads",
            f"{TABLE_READS_PER_S_MAX:,} a second",
            f"{figures.reads} a second, by coordinators",
            _fits(figures.reads, TABLE_READS_PER_S_MAX),
        ),
        _table_row(
            "object store, writes",
            "several hundred a second",
            f"{figures.puts:,.0f} a second",
            _fits(figures.puts, TABLE_WRITES_PER_S_MAX),
        ),
    ]
    return "\n".join(lines)


def _first_limits(figures):
    ordered = [
        f"- The owner's memory: {figures.state_gb_hour:.2g} GB for each hour"
        " of results retained in its state. Change of mechanism: index objects"
        " by hour in the object store, with the hour in the work id; the state"
        " retains the open hour only.",
        f"- The owner's processor: {figures.owner_cpu:.2g} cores at"
        f" {figures.owner_rate:,.0f} results/s. Change: entry daemons pack"
        " their results once and the owner joins packed parts without decoding"
        " them; zone coordinators collect them.",
        f"- Full views at each change: {figures.view_bytes_per_s:,.0f}"
        " bytes/s. A view changes when a VM is added or removed and, since it"
        " contains the revision of each member, at each edit; each is counted"
        " twice. What a partition with queued items adds is not counted."
        " Change: send only revisions that lag, and only members that differ.",
        f"- The coordinator: {figures.coordinator_cpu:.0f}% of a core for"
        f" {DAEMONS_PER_ZONE} members, by the slope. Change: the same, and"
        " write the zone row only when it differs, with a small row as"
        " heartbeat.",
        "- A daemon's relay: one process cannot relay 21,700 tokens/s; see"
        " docs/MEASUREMENTS.md. Change: several daemon processes on each VM,"
        " each a member.",
    ]
    return "\n".join(ordered)
