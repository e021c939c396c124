/*
 * Grants of one engine's memory between entry hosts, owners and the engine: two requests, each at
 * a separate entry host, two owners that may be active at once, and an engine with memory for one
 * stream.
 *
 * Modelled: lost replies, releases and renewals; late dispatches, which reach the engine after a
 * pause or after their sender has ended; pauses of entry hosts beyond the expiry of their grant;
 * crashes of entry hosts and owners; handover in both directions with an empty table; entry hosts
 * that disagree about the current owner; a restart of the engine; orphan cancels.
 *
 * Time is modelled by the guarantees of the settings: a grant that its entry host renews at an owner
 * does not expire there, and within the orphan grace such a renewal has reached the owner
 * (renew period 2 s, grant lifetime 10 s, orphan grace 5 s).
 *
 * Properties: the engine never holds more than its memory; an owner never cancels a stream whose
 * entry host renews it there; every request of a running host ends; and once all activity has
 * ended, no stream is left at the engine and no grant at an active owner, so that no memory leaks.
 *
 * Mutations, each of which must break a property:
 *   -DNO_EXPIRY         keeps a grant without renewals
 *   -DNO_ORPHAN_CANCEL  keeps a stream without a grant
 *   -DNO_GRACE          cancels a stream without a grant at once
 *   -DOWN_ORPHANS_ONLY  cancels only streams that the owner granted itself
 */
#define REQUESTS 2
#define OWNERS 2
#define MEMORY 1
#ifndef HANDOVERS
#define HANDOVERS 2
#endif

mtype = { waiting, holding, streaming, ended, crashed };

/* Entry hosts. */
mtype entry[REQUESTS] = waiting;
byte believes[REQUESTS]; /* the owner to which the host sends */
bool paused[REQUESTS];

/* Owners. */
bool acts[OWNERS];
bool granted_0[REQUESTS];
bool granted_1[REQUESTS];

#ifdef OWN_ORPHANS_ONLY
byte granted_by[REQUESTS];
#endif

/* Engine. */
bool arriving[REQUESTS];
bool stream[REQUESTS];
bool cut[REQUESTS]; /* the engine ended the stream before its entry host did */
byte used = 0;

#define holds(r) (entry[r] == holding || entry[r] == streaming)
#define renews(r, o) (holds(r) && !paused[r] && believes[r] == o && acts[o])
#ifdef OWN_ORPHANS_ONLY
#define may_cancel(o, r) (granted_by[r] == o)
#else
#define may_cancel(o, r) true
#endif
#define granted(o, r) ((o == 0 && granted_0[r]) || (o == 1 && granted_1[r]))

inline set_grant(o, r, value) {
    if
    :: o == 0 -> granted_0[r] = value
    :: o == 1 -> granted_1[r] = value
    fi
}

inline end_stream(r) {
    used--;
    stream[r] = false;
    cut[r] = true
}

proctype request(byte r) {
    /* The reservation. */
    if
    :: atomic { entry[r] == crashed -> goto gone }
    :: atomic { entry[r] != crashed -> entry[r] = ended; goto gone } /* refused */
    :: atomic {
        entry[r] != crashed && acts[believes[r]] ->
        set_grant(believes[r], r, true);
#ifdef OWN_ORPHANS_ONLY
        granted_by[r] = believes[r];
#endif
        if
        :: entry[r] = holding
        :: entry[r] = ended; goto gone /* the reply was lost */
        fi
    }
    fi;
    /* The expiry is checked before the dispatch; any time may pass between the two. */
    if
    :: atomic { entry[r] == crashed -> goto gone }
    :: atomic { entry[r] != crashed && !paused[r] -> arriving[r] = true; entry[r] = streaming }
    fi;
    if
    :: atomic { entry[r] == crashed -> goto gone }
    :: atomic { /* the answer is complete */
        entry[r] != crashed && !paused[r] && stream[r] ->
        used--;
        stream[r] = false
    }
    :: atomic { entry[r] != crashed && !paused[r] && cut[r] } /* the engine refused or ended the stream */
    :: atomic { entry[r] != crashed && !paused[r] } /* deadline passed; the cancel may be lost */
    fi;
    if
    :: atomic { entry[r] == crashed -> goto gone }
    :: atomic { /* released */
        entry[r] != crashed && !paused[r] ->
        entry[r] = ended;
        if
        :: set_grant(believes[r], r, false)
        :: true /* the release was lost */
        fi
    }
    fi;
gone:
    skip
}

/* Actions of an owner for one request. */
proctype owner(byte o; byte r) {
end:
    do
    :: atomic { /* a renewal registers a grant that the owner does not know */
        renews(r, o) && !granted(o, r) && stream[r] -> set_grant(o, r, true)
    }
#ifndef NO_EXPIRY
    :: atomic { acts[o] && granted(o, r) && !renews(r, o) -> set_grant(o, r, false) }
#endif
#ifndef NO_ORPHAN_CANCEL
    :: atomic {
#ifdef NO_GRACE
        acts[o] && !granted(o, r) && stream[r] ->
#else
        acts[o] && !granted(o, r) && stream[r] && !renews(r, o) && may_cancel(o, r) ->
#endif
        assert(!renews(r, o));
        end_stream(r)
    }
#endif
    od
}

inline accept(r) {
    if
    :: used < MEMORY ->
        used++;
        stream[r] = true;
        assert(used <= MEMORY)
    :: else -> cut[r] = true /* out of memory: the entry host tries another engine */
    fi
}

active proctype engine() {
    bool restarted = false;
end:
    do
    :: atomic { arriving[0] -> arriving[0] = false; accept(0) }
    :: atomic { arriving[1] -> arriving[1] = false; accept(1) }
    :: atomic {
        !restarted ->
        restarted = true;
        if
        :: stream[0] -> end_stream(0)
        :: else
        fi;
        if
        :: stream[1] -> end_stream(1)
        :: else
        fi
    }
    od
}

/* Host faults. */
proctype host(byte r) {
    bool was_paused = false;
end:
    do
    :: atomic { entry[r] != ended && entry[r] != crashed -> entry[r] = crashed; break }
    :: atomic { !was_paused && !paused[r] && entry[r] != crashed ->
        was_paused = true; paused[r] = true }
    :: atomic { paused[r] -> paused[r] = false }
    :: atomic { acts[1 - believes[r]] -> believes[r] = 1 - believes[r] }
    od;
    paused[r] = false
}

active proctype handover() {
    byte handovers = 0;
    byte next = 1;
end:
    do
    :: atomic { /* the other host takes over with an empty table; the old owner may stay active for a while */
        handovers < HANDOVERS && !acts[next] ->
        handovers++;
        acts[next] = true;
        set_grant(next, 0, false);
        set_grant(next, 1, false);
        next = 1 - next
    }
    :: atomic { /* the old owner has ended, or learns that it is no longer the owner */
        acts[next] && acts[1 - next] ->
        acts[next] = false;
        set_grant(next, 0, false);
        set_grant(next, 1, false);
        if
        :: believes[0] == next -> believes[0] = 1 - next
        :: else
        fi;
        if
        :: believes[1] == next -> believes[1] = 1 - next
        :: else
        fi
    }
    od
}

active proctype quiet() {
end:
    if
    :: timeout ->
        assert(entry[0] == ended || entry[0] == crashed);
        assert(entry[1] == ended || entry[1] == crashed);
        assert(used == 0 && !stream[0] && !stream[1]);
        assert(!(acts[0] && (granted_0[0] || granted_0[1])));
        assert(!(acts[1] && (granted_1[0] || granted_1[1])))
    fi
}

init {
    atomic {
        acts[0] = true;
        run request(0);
        run request(1);
        run owner(0, 0);
        run owner(0, 1);
        run owner(1, 0);
        run owner(1, 1);
        run host(0);
        run host(1)
    }
}
