"""Plots of the experiments' results, written as image files."""

from matplotlib import figure as figures


def plot_policies(result, path):
    """Plots online latency against batch throughput.

    Each variant is a point: batch tokens/s, and the p99 time to first token
    as a ratio to the run without batch work.
    """
    variants = result["variants"]
    baseline_ms = variants["online alone"]["first_ms"]["p99"]
    figure = figures.Figure(figsize=(7, 4.5))
    axes = figure.subplots()
    for name, found in variants.items():
        x = found["batch_tokens_per_s"]
        y = found["first_ms"]["p99"] / baseline_ms
        axes.scatter([x], [y])
        axes.annotate(name, (x, y), textcoords="offset points", xytext=(5, 5))
    axes.set_xlabel("batch tokens/s")
    axes.set_ylabel("online first token p99, ratio to online alone")
    axes.set_title(
        f"{result['users']}: {result['engines']} engines,"
        f" {result['daemons']} daemons"
    )
    axes.set_ylim(bottom=0)
    axes.margins(x=0.25, y=0.1)
    figure.tight_layout()
    figure.savefig(path, dpi=110)


def plot_lines(series, x_label, y_label, title, path):
    """Plots each named series of points as a line."""
    figure = figures.Figure(figsize=(7, 4.5))
    axes = figure.subplots()
    for name, points in series.items():
        axes.plot(*zip(*points, strict=True), marker="o", label=name)
    axes.set_xlabel(x_label)
    axes.set_ylabel(y_label)
    axes.set_title(title)
    axes.legend()
    figure.tight_layout()
    figure.savefig(path, dpi=110)
