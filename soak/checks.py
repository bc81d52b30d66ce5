"""What must hold of everything that backend servers ran, whatever failed meanwhile."""

import collections


def run_twice(executions):
    """Once calls that began to run more than once. executions: dicts of the journals, with `instance`."""
    counts = collections.Counter(entry["token"] for entry in executions if entry["token"])
    return [f"the once call with token {token} ran {count} times" for token, count in counts.items() if count > 1]


def ran_although_refused(executions, refused_keys):
    """Calls whose every attempt was answered with `not_run`, and that a backend server ran."""
    ran = {entry["key"] for entry in executions}
    return [f"the call for {key} was refused as not run and ran" for key in sorted(refused_keys & ran)]


def owners_overlap(executions):
    """Keys that an earlier owner began to serve after a later one did, by the epochs of their ownership grants."""
    findings = []
    newest = {}
    for entry in sorted(executions, key=lambda entry: entry["start_us"]):
        key, epoch = entry["key"], entry["epoch"]
        if not key or not epoch:
            continue
        known_epoch, known_instance = newest.get(key, (0, ""))
        if epoch < known_epoch:
            findings.append(f"{key}: {entry['instance']} served it with epoch {epoch} after {known_instance} had with "
                            f"epoch {known_epoch}")
        if epoch == known_epoch and entry["instance"] != known_instance:
            findings.append(f"{key}: {entry['instance']} and {known_instance} both served it with epoch {epoch}")
        newest[key] = max((known_epoch, known_instance), (epoch, entry["instance"]))
    return findings


def version_went_back(samples):
    """samples: (instance, process, configuration version) in the order of their reading."""
    findings, newest = [], {}
    for instance, process, version in samples:
        if version < newest.get((instance, process), 0):
            findings.append(f"{instance}: configuration {version} after {newest[(instance, process)]}")
        newest[(instance, process)] = max(version, newest.get((instance, process), 0))
    return findings


def wrong_answer(key, request_id, body):
    """A finding unless the body is the backend server's answer to this request (src/standin/answer_content.h).

    request_id is None for a once call that is sent again: the answer of its first run is repeated, and the key, which
    no other call has, tells whose it is.
    """
    lines = body.decode(errors="replace").split("\n")
    # Each attempt of a request has a number behind the request's id.
    is_own_id = request_id is None or lines[0].rsplit(".", 1)[0] == f"id: {request_id}"
    if len(lines) > 1 and is_own_id and lines[1] == f"key: {key}":
        return None
    return f"the call for {key} ({request_id}) got another answer: {lines[:2]}"


def cold_overruns(arrivals, cold_times, most):
    """A finding for each time in which a backend server was cold and got more than `most` requests in a sliding second.

    arrivals: seconds, ascending; cold_times: pairs of seconds.
    """
    findings = []
    for start, end in cold_times:
        times = [time for time in arrivals if start <= time <= end]
        first, count, at = 0, 0, 0
        for last, time in enumerate(times):
            while times[first] <= time - 1:
                first += 1
            if last - first + 1 > count:
                count, at = last - first + 1, time
        if count > most:
            findings.append(f"cold from {start:.3f} s to {end:.3f} s, got {count} requests in the second before {at:.3f}")
    return findings


def late_in_zone(arrivals, evacuations):
    """Requests at a backend server of an evacuated zone. evacuations: (end of the time to comply, withdrawal)."""
    findings = []
    for start, end in evacuations:
        late = [time for time in arrivals if start < time < end]
        if late:
            findings.append(f"{len(late)} requests from {late[0] - start:.3f} s after the time for the evacuation on")
    return findings
