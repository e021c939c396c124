"""Judges connections that ended without a complete answer: rule LOST of the users' platform."""

from collections import Counter
from dataclasses import dataclass, field

GRACE_S = 8.0             # from SIGTERM until the platform would kill the process
AFTER_GRACE_S = 1.0       # a SIGTERM counts as planned work until then
APPLY_S = 2.0             # bound within which a configuration or SIGHUP takes effect
SLACK_S = 0.2             # a request that was not passed on may end without an answer so soon
STABLE_S = 3.0            # a disturbance counts until then
LATE_SENT_S = 3.0         # later requests of a stopping host have to be complete in its grace
MAX_UNANSWERED = 3        # requests on kept connections that may end without an answer


@dataclass
class Run:
    """Work of one upstream on a request."""
    upstream: str
    began: float
    ended: float = None
    sound: bool = True    # the upstream did not break off, fall silent for good or answer an error
    complete: bool = False


@dataclass
class Ending:
    """A connection that ended before the answer was complete, as its caller saw it."""
    request: str
    host: str
    began: float          # first byte sent
    sent: float           # last byte sent
    ended: float
    limit: float          # time limit of the caller and the route
    how: str
    received: int         # bytes of the answer
    kept: bool            # the connection had served a request before
    runs: list = field(default_factory=list)


class LossJudge:
    def __init__(self):
        self.terms, self.hups = {}, {}          # host -> times of the signals
        self.exits = {}                         # host -> times at which its process ended
        self.configurations = []                # times at which one was written
        self.faults = []                        # (name of host or upstream, or "store"; began, ended)
        self.runs = {}                          # request -> its runs
        self.endings = []
        self.requests = []                      # (host, time of the end) of all requests

    def term(self, host, now):
        self.terms.setdefault(host, []).append(now)

    def hup(self, host, now):
        self.hups.setdefault(host, []).append(now)

    def fault(self, name, began):
        """Begins an unplanned disturbance; the caller sets its end."""
        entry = [name, began, float("inf")]
        self.faults.append(entry)
        return entry

    def arrived(self, request, upstream, now):
        run = Run(upstream, now)
        self.runs.setdefault(request, []).append(run)
        return run

    def connection_ended(self, ending):
        ending.runs = self.runs.get(ending.request, [])
        self.endings.append(ending)

    def disturbed(self, ending):
        names = {ending.host, "store"} | {run.upstream for run in ending.runs}
        return any(name in names and began <= ending.ended and ended >= ending.began - STABLE_S
                   for name, began, ended in self.faults)

    def excuse(self, ending, read):
        """Why the host does not owe the answer, whatever work was planned meanwhile; None if it does."""
        if ending.ended - ending.began >= ending.limit:
            return "time limit"
        if self.disturbed(ending):
            return "disturbance"
        if not ending.runs and not (read and ending.ended - ending.sent > SLACK_S):
            return "not read, or just sent"
        if ending.runs and not any(run.sound for run in ending.runs):
            return "upstream"
        if self.at_work_at_end_of_grace(ending):
            return "at work at the end of the grace"
        return None

    def at_work_at_end_of_grace(self, ending):
        for at in self.terms.get(ending.host, []):
            last_sixth = at + GRACE_S * 5 / 6
            if ending.sent <= at + LATE_SENT_S and last_sixth <= ending.ended <= at + GRACE_S and any(
                    run.ended is None or run.ended >= last_sixth for run in ending.runs):
                return True
        return False

    def planned_work(self, ending):
        """The work of its host beside which an answer was cut; None without any."""
        for at in self.terms.get(ending.host, []):
            if at <= ending.ended <= at + GRACE_S + AFTER_GRACE_S:
                return f"SIGTERM {ending.ended - at:.2f} s before"
        for at in self.hups.get(ending.host, []):
            if ending.began <= at + APPLY_S and at <= ending.ended:
                return f"SIGHUP {ending.ended - at:.2f} s before"
        return None

    def in_change(self, when):
        return any(at <= when <= at + APPLY_S + 1.0 for at in self.configurations)

    def cut_more_often_in_changes(self, host, owed):
        cuts, requests = [0, 0], [0, 0]
        for ending in owed:
            cuts[self.in_change(ending.ended)] += ending.host == host
        for name, ended in self.requests:
            requests[self.in_change(ended)] += name == host
        return cuts[True] * requests[False] > 3 * cuts[False] * requests[True] or not requests[False]

    def findings(self, read):
        """Returns (ending, text) for each lost request, and the number of the others by their
        excuse. `read`: requests that hosts' logs name."""
        excuses = [(e, self.excuse(e, e.request in read)) for e in self.endings]
        others = Counter(excuse for _, excuse in excuses if excuse)
        owed = [ending for ending, excuse in excuses if not excuse]
        unanswered = [e for e in owed if e.kept and e.runs and not e.received and not self.stops(e)]
        result = []
        for ending in owed:
            work = self.planned_work(ending)
            if (work is None and self.in_change(ending.ended)
                    and ending.ended - ending.began < 0.7 * ending.limit
                    and self.cut_more_often_in_changes(ending.host, owed)):
                work = "configuration changed"
            if work is None and len(unanswered) > MAX_UNANSWERED and ending in unanswered:
                work = "kept connection"
            if work:
                result.append((ending, self.describe(ending, work)))
            else:
                others["no planned work nearby"] += 1
        return result, others

    def stops(self, ending):
        return any(at <= ending.ended and at + GRACE_S + STABLE_S >= ending.began
                   for at in self.terms.get(ending.host, []))

    def describe(self, ending, work):
        def since(when):
            return "open" if when is None else f"{when - ending.began:.2f}"
        runs = ", ".join(f"{r.upstream} {since(r.began)}..{since(r.ended)}"
                         f"{' complete' if r.complete else ''}{'' if r.sound else ' unsound'}"
                         for r in ending.runs) or "not passed on"
        exits = [f"; its process ended {ending.ended - at:.2f} s before"
                 for at in self.exits.get(ending.host, []) if abs(ending.ended - at) < GRACE_S]
        return (f"LOST {ending.request} at {ending.host}: {ending.how} after "
                f"{ending.ended - ending.began:.2f} s, {ending.received} bytes; {work}; "
                f"sent {ending.sent - ending.began:.2f}; upstreams [{runs}]{''.join(exits)}")
