/*
 * The journal of calls that may not be repeated: one key, one shard, two nodes, three attempts of
 * one caller at any of them, in any order and at the same time.
 *
 * Modelled: compare-and-swap with writes that are lost, land late or lose their answer; reads back;
 * other keys that move the shard on; pauses (any step may wait for ever long); crashes, after which
 * a new process stands at the same host; abandoned starts; inquiries about a mark; expiry. Writes,
 * losses, crashes and expiries are not bounded in number: instead of the shard's version the model
 * keeps, for each reader and each write under way, whether the version is still the one it knows.
 * A lost write is one that never lands.
 *
 * Properties: the call runs at most once; an attempt that is told "not run" did not run, and ends
 * there; a start that nobody ran is not held for run while its writer lives; every attempt of a
 * living process ends.
 *
 * Mutations, each of which must break a property:
 *   -DCALL_EARLY          calls before the start is known to be durable
 *   -DNOT_RUN_AFTER_CALL  tells "not run" after a call without an answer
 *   -DTAKE_OVER           replaces a start of another writer without asking
 *   -DFREE_UNKNOWN        frees a mark on the answer of a later incarnation
 *   -DFORGET_ABANDONED    forgets an abandoned mark while its write may land
 *   -DIGNORE_HORIZON      accepts a key from before the horizon
 *   -DNO_COMPARE          writes whatever the version is
 */
#define ATTEMPTS 3
#define NOBODY ATTEMPTS

mtype = { none, started, done };
mtype = { not_run, ran, in_progress, may_have_run, expired };

/* The value in the store. */
mtype entry = none;
byte mark = NOBODY;
bool horizon = false;

/* What an attempt read is still the current version. */
bool current[ATTEMPTS];
/* Its write is under way and expects the current version. */
bool can_land[ATTEMPTS];
/* Its write landed and the answer is on its way. */
bool reply[ATTEMPTS];

/* Memory of the processes; lost in a crash. */
byte node_of[ATTEMPTS];
bool lives[ATTEMPTS];
bool pending[ATTEMPTS];
bool running[ATTEMPTS];
bool abandoned[ATTEMPTS];

/* What happened. */
bool called[ATTEMPTS];

#define carries(a) (entry == started && mark == a)

inline move_version() {
    current[0] = false;
    current[1] = false;
    current[2] = false;
#ifndef NO_COMPARE
    can_land[0] = false;
    can_land[1] = false;
    can_land[2] = false
#endif
}

inline put(new_entry, new_mark) {
    entry = new_entry;
    mark = new_mark;
    move_version()
}

/* Answers the caller without a call. The write of the attempt may still land. */
inline decline(verdict) {
    pending[id] = false;
    running[id] = false;
#ifndef FORGET_ABANDONED
    abandoned[id] = sent;
#endif
    assert(!(verdict == not_run && called[id]));
    goto settle
}

proctype attempt(byte id; byte n) {
    bool sent = false;
    byte other = NOBODY;
    byte freed = NOBODY;

    atomic { lives[id] = true; pending[id] = true };

read:
    if
    :: atomic { !lives[id] -> goto gone }
    :: atomic { lives[id] -> decline(not_run) }
    :: atomic {
        lives[id] ->
        current[id] = true;
        if
        :: entry == none ->
#ifndef IGNORE_HORIZON
            if
            :: horizon -> decline(expired)
            :: else
            fi;
#endif
            goto write
        :: carries(id) -> goto confirmed
        :: entry == done -> decline(ran)
        :: entry == started && mark != id && node_of[mark] == n ->
#ifdef TAKE_OVER
            goto write;
#endif
            if
            :: abandoned[mark] -> goto write
            :: !abandoned[mark] && (running[mark] || pending[mark]) -> decline(in_progress)
            :: else ->
                assert(!(lives[mark] && !called[mark]));
                decline(may_have_run)
            fi
        :: entry == started && mark != id && node_of[mark] != n ->
            other = mark;
            if
            :: freed == other -> goto write
            :: else -> goto foreign
            fi
        fi
    }
    fi;

foreign:
    if
    :: atomic { !lives[id] -> goto gone }
#ifdef TAKE_OVER
    :: atomic { lives[id] -> goto write }
#endif
    :: atomic { lives[id] && abandoned[other] -> freed = other; goto write } /* "never used" */
    :: atomic {
        lives[id] && !abandoned[other] && (running[other] || pending[other]) ->
        decline(in_progress)
    }
    :: atomic {
        lives[id] && !abandoned[other] && !running[other] && !pending[other] ->
#ifdef FREE_UNKNOWN
        freed = other;
        goto write
#else
        goto unknown
#endif
    }
    :: atomic { lives[id] -> decline(in_progress) } /* no answer from a member held for alive */
    :: atomic { lives[id] -> goto unknown }         /* no answer from one held for dead */
    fi;

unknown:
    if
    :: atomic { !lives[id] -> goto gone }
    :: atomic { lives[id] && !carries(other) -> other = NOBODY; goto read }
    :: atomic { lives[id] && carries(other) -> decline(may_have_run) }
    fi;

write:
    if
    :: atomic { !lives[id] -> goto gone }
    :: atomic {
        lives[id] ->
        other = NOBODY;
        sent = true;
        can_land[id] = current[id];
        reply[id] = false
    }
    fi;
#ifdef CALL_EARLY
    goto confirmed;
#endif
    if
    :: atomic { !lives[id] -> goto gone }
    :: atomic { lives[id] && reply[id] -> goto confirmed }
    :: atomic { lives[id] && !reply[id] -> goto read } /* conflict or no answer */
    :: atomic { lives[id] -> decline(not_run) }
    fi;

confirmed:
    if
    :: atomic { !lives[id] -> goto gone }
    :: atomic { lives[id] -> pending[id] = false; running[id] = true }
    fi;
    if
    :: atomic { !lives[id] -> goto gone }
    :: atomic { lives[id] -> decline(not_run) } /* the token is given back */
    :: atomic {
        lives[id] ->
        assert(!called[0] && !called[1] && !called[2]);
        called[id] = true
    }
    fi;
#ifdef NOT_RUN_AFTER_CALL
    if
    :: atomic { lives[id] -> decline(not_run) }
    :: true
    fi;
#endif
    /* The caller has its answer, or "may have run"; the outcome follows. */
    if
    :: atomic { !lives[id] -> goto gone }
    :: atomic { lives[id] && carries(id) -> put(done, NOBODY); running[id] = false }
    :: atomic { lives[id] && !carries(id) -> running[id] = false }
    fi;
    goto gone;

settle:
    do
    :: atomic { !lives[id] || !abandoned[id] -> goto gone }
    :: atomic { lives[id] && abandoned[id] && carries(id) -> put(none, NOBODY) }
    :: atomic { /* the version that its write expected is gone */
        lives[id] && abandoned[id] && !carries(id) && !can_land[id] ->
        abandoned[id] = false
    }
    :: atomic { /* a write of its own moves the shard on */
        lives[id] && abandoned[id] && !carries(id) && can_land[id] ->
        move_version()
    }
    od;

gone:
    atomic {
        sent = false;
        other = NOBODY;
        freed = NOBODY;
        reply[id] = false;
        current[id] = false
    }
}

inline land(a) {
#ifdef NO_COMPARE
    can_land[a] = false;
#endif
    put(started, a);
    reply[a] = true
}

active proctype store() {
end:
    do
    :: atomic { can_land[0] -> land(0) }
    :: atomic { can_land[1] -> land(1) }
    :: atomic { can_land[2] -> land(2) }
    od
}

active proctype other_keys() {
end:
    do
    :: atomic { true -> move_version() }
    od
}

active proctype expiry() {
end:
    do
    :: atomic { entry != none -> horizon = true; put(none, NOBODY) }
    od
}

inline forget(a, n) {
    if
    :: node_of[a] == n ->
        lives[a] = false;
        pending[a] = false;
        running[a] = false;
        abandoned[a] = false
    :: else
    fi
}

active proctype crashes() {
end:
    do
    :: atomic { true -> forget(0, 0); forget(1, 0); forget(2, 0) }
    :: atomic { true -> forget(0, 1); forget(1, 1); forget(2, 1) }
    od
}

init {
    atomic {
        run attempt(0, 0); /* the first node is called 0 */
        if
        :: run attempt(1, 0)
        :: node_of[1] = 1; run attempt(1, 1)
        fi;
        if
        :: run attempt(2, 0)
        :: node_of[2] = 1; run attempt(2, 1)
        fi
    }
}
