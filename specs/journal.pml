/*
 * The journal of non-idempotent calls: one key, one shard, two nodes, and three attempts of one caller
 * at either node, in any order and concurrently.
 *
 * Modelled: compare-and-swap with writes that are lost, take effect late or lose their response;
 * read-back; other keys that advance the version of the shard; pauses (any step may take any time);
 * crashes, after which a new process runs on the same host; abandoned starts; inquiries about a mark;
 * expiry. Writes,
 * losses, crashes and expiries are not bounded in number: instead of the shard's version the model
 * keeps, for each reader and each write under way, whether the version is still the one it knows.
 * A lost write is one that never takes effect.
 *
 * Properties: the call runs at most once; an attempt that is answered "not run" did not run, and
 * ends; a start that nobody ran is not taken for a run while its writer lives; every attempt of a
 * running process ends.
 *
 * Mutations, each of which must break a property:
 *   -DCALL_EARLY          calls the service before the start is known to be durable
 *   -DNOT_RUN_AFTER_CALL  answers "not run" after a call without a response
 *   -DTAKE_OVER           replaces a start of another writer without an inquiry
 *   -DFREE_UNKNOWN        frees a mark on the response of a later incarnation
 *   -DFORGET_ABANDONED    drops an abandoned mark while its write may still take effect
 *   -DIGNORE_HORIZON      accepts a key that is older than the horizon
 *   -DNO_COMPARE          writes without comparing the version
 */
#define ATTEMPTS 3
#define NOBODY ATTEMPTS

mtype = { none, started, done };
mtype = { not_run, ran, in_progress, may_have_run, expired };

/* The value in the store. */
mtype entry = none;
byte mark = NOBODY;
bool horizon = false;

/* The version that an attempt read is still current. */
bool current[ATTEMPTS];
/* The write of the attempt is pending and expects the current version. */
bool can_land[ATTEMPTS];
/* The write took effect and the response is pending. */
bool reply[ATTEMPTS];

/* Memory of the processes; lost in a crash. */
byte node_of[ATTEMPTS];
bool lives[ATTEMPTS];
bool pending[ATTEMPTS];
bool running[ATTEMPTS];
bool abandoned[ATTEMPTS];

/* Events that the properties check. */
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

/* Answers the caller without calling the service. The write of the attempt may still take effect. */
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
    :: atomic { lives[id] -> decline(in_progress) } /* no response from a member believed alive */
    :: atomic { lives[id] -> goto unknown }         /* no response from a member believed dead */
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
    :: atomic { lives[id] && !reply[id] -> goto read } /* conflict or no response */
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
    /* The caller has the answer or "may have run"; the outcome is recorded afterwards. */
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
    :: atomic { /* the version that the write expected is no longer current */
        lives[id] && abandoned[id] && !carries(id) && !can_land[id] ->
        abandoned[id] = false
    }
    :: atomic { /* its own write advances the version of the shard */
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
        run attempt(0, 0); /* by symmetry, the first attempt runs at node 0 */
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
