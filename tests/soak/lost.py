"""Judges connections that ended without a complete answer: rule LOST of the users' platform."""

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

    def active_at(self, when):
        return self.began <= when and (self.ended is None or self.ended >= when)


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

    def lacks_answer(self, ending, read):
        """Whether the host owes the answer, whatever work was planned meanwhile."""
        if ending.ended - ending.began >= ending.limit or self.disturbed(ending):
            return False
        if ending.runs:
            return any(run.sound for run in ending.runs)
        return read and ending.ended - ending.sent > SLACK_S

    def near_term(self, ending):
        for at in self.terms.get(ending.host, []):
            if not at <= ending.ended <= at + GRACE_S + AFTER_GRACE_S:
                continue
            last_sixth = at + GRACE_S * 5 / 6
            at_work = ending.ended >= last_sixth and any(
                run.ended is None or run.ended >= last_sixth for run in ending.runs)
            if not (at_work and ending.sent <= at + LATE_SENT_S):
                return f"SIGTERM {ending.ended - at:.2f} s before"
        return None

    def near_hup(self, ending):
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
        """Returns (ending, text) for each lost request. `read`: requests that hosts' logs name."""
        owed = [e for e in self.endings if self.lacks_answer(e, e.request in read)]
        result = []
        for ending in owed:
            work = self.near_term(ending) or self.near_hup(ending)
            if (work is None and self.in_change(ending.ended)
                    and ending.ended - ending.began < 0.7 * ending.limit
                    and self.cut_more_often_in_changes(ending.host, owed)):
                work = "configuration changed"
            if work:
                result.append((ending, self.describe(ending, work)))
        unanswered = [e for e in owed if e.kept and e.runs and e.received == 0
                      and not self.near_signal(e)]
        if len(unanswered) > MAX_UNANSWERED:
            result += [(e, self.describe(e, "kept connection")) for e in unanswered]
        return result

    def near_signal(self, ending):
        return any(at <= ending.ended and at + GRACE_S + STABLE_S >= ending.began
                   for at in self.terms.get(ending.host, []))

    def owed_elsewhere(self, read):
        """Number of answers that were cut without planned work nearby: not judged, but reported."""
        lost = {id(ending) for ending, _ in self.findings(read)}
        return sum(self.lacks_answer(e, e.request in read) and id(e) not in lost
                   for e in self.endings)

    @staticmethod
    def describe(ending, work):
        def since(when):
            return "open" if when is None else f"{when - ending.began:.2f}"
        runs = ", ".join(f"{r.upstream} {since(r.began)}..{since(r.ended)}"
                         f"{' complete' if r.complete else ''}{'' if r.sound else ' unsound'}"
                         for r in ending.runs) or "not passed on"
        return (f"LOST {ending.request} at {ending.host}: {ending.how} after "
                f"{ending.ended - ending.began:.2f} s, {ending.received} bytes; {work}; "
                f"sent {ending.sent - ending.began:.2f}; upstreams [{runs}]")
