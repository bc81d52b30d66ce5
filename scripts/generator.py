"""Runs heatherdrift-load against a mesh and reads what it measured."""

import json
import os
import subprocess

SEED = 20261204

BAD_ANSWERS = 1
WITHOUT_CONNECTION = 3


def kind(name, rate, label=None, **fields):
    """One kind of a plan. rate: requests per second, or a list of (at_ms, per_s)."""
    steps = rate if isinstance(rate, list) else [(0, rate)]
    return {"name": name, "labels": {"kind": label or name},
            "rate": [{"at_ms": at, "per_s": per_s} for at, per_s in steps], **fields}


class Load:
    """One run of heatherdrift-load."""

    def __init__(self, mesh, kinds, length_s, entries, seed=SEED, direct=False):
        mesh.load_count = getattr(mesh, "load_count", 0) + 1
        prefix = os.path.join(mesh.directory, f"load-{mesh.load_count}")
        self.paths = {name: f"{prefix}.{name}" for name in ("plan", "summary", "gaps", "csv", "errors")}
        with open(self.paths["plan"], "w", encoding="utf-8") as file:
            json.dump({"length_ms": int(length_s * 1000), "kinds": kinds}, file, indent=1)
        command = [os.path.join(mesh.build, "src/load/heatherdrift-load"), f"--plan={self.paths['plan']}",
                   "--entries=" + ",".join(entries), f"--seed={seed}", "--json",
                   f"--gaps_json={self.paths['gaps']}", f"--seconds_csv={self.paths['csv']}"]
        if direct:
            command.append("--direct")
        with open(self.paths["summary"], "wb") as output, open(self.paths["errors"], "wb") as errors:
            self.process = subprocess.Popen(command, stdout=output, stderr=errors)
        mesh.processes.append(self.process)

    def wait(self, timeout=300):
        """Summary of the run, with `gaps` and `seconds` added."""
        status = self.process.wait(timeout)
        if status not in (0, BAD_ANSWERS, WITHOUT_CONNECTION):
            with open(self.paths["errors"], encoding="utf-8") as file:
                raise RuntimeError(f"heatherdrift-load failed with {status}: {file.read()}")
        with open(self.paths["summary"], encoding="utf-8") as file:
            summary = json.load(file)
        with open(self.paths["gaps"], encoding="utf-8") as file:
            summary["gaps"] = json.load(file)
        with open(self.paths["csv"], encoding="utf-8") as file:
            names, *rows = [line.strip().split(",") for line in file]
        summary["seconds"] = [
            {name: value if name == "kind" else float(value) for name, value in zip(names, row)} for row in rows]
        return summary


def entries_of(instances):
    return [instance.entry for instance in instances]


def probes(keys, per_key_s, label, name="probe", **fields):
    """Probes that reach each key in turn, at equal distances."""
    return kind(name, len(keys) * per_key_s, label, arrivals="regular", keys={"cycle": sorted(keys)}, service_ms=1,
                response_bytes=100, **fields)


def unavailable_times(summary, keys, moved, name="probe"):
    """Longest time between two answers, in milliseconds, for each moved partition."""
    gaps = summary["gaps"][name]
    return {partition: gaps[keys[partition]]["longest_gap_ms"] for partition in moved if keys[partition] in gaps}


def quantile(values, share):
    """Nearest rank."""
    ordered = sorted(values)
    if not ordered:
        return float("nan")
    rank = -int(-share * len(ordered) // 1)
    return ordered[min(max(rank, 1), len(ordered)) - 1]


def table(headings, rows):
    """A Markdown table."""
    lines = ["| " + " | ".join(headings) + " |", "|" + "---|" * len(headings)]
    lines += ["| " + " | ".join(f"{cell:.1f}" if isinstance(cell, float) else str(cell) for cell in row) + " |"
              for row in rows]
    return "\n".join(lines)
