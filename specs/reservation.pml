/*
 * Memory of two engines that two requests at two hosts need both of, each in two reservations.
 *
 * Modelled: engines with room for one reservation each; orders that are lost, answered late, or
 * carried out after their sender gave up; hosts that end at any point; reservations that end with
 * their lifetime unless they are renewed. A living host renews in time.
 *
 * Properties: an engine never holds more than its memory; a request is sent only while both
 * reservations of its attempt are held; nobody waits for memory while holding some; and when all is
 * quiet no memory is held for a request that has ended.
 *
 * Mutations, each of which must break a property:
 *   -DNO_LIFETIME     a reservation without renewal stays
 *   -DKEEP_ONE        an attempt that got only one engine keeps it and waits for the other
 *   -DSEND_EARLY      a request is sent when the first engine has agreed
 *   -DNO_RELEASE      an ended attempt is renewed like a living one
 */
#define REQUESTS 2
#define ENGINES 2
#define ATTEMPTS 2

mtype = { idle, asking, sent, ended, gone };

mtype state[REQUESTS] = idle;
byte attempt[REQUESTS];
/* What the host of a request believes. */
bool agreed_0[REQUESTS];
bool agreed_1[REQUESTS];

/* Request that holds an engine's memory plus 1, or 0; and the attempt that asked for it. */
byte holder[ENGINES];
byte held_for[ENGINES];
/* An order under way from a request to an engine: its attempt plus 1, or 0. */
byte order_0[REQUESTS];
byte order_1[REQUESTS];

#define alive(r) (state[r] == asking || state[r] == sent)
#ifdef NO_RELEASE
#define renewed(e) (holder[e] != 0 && state[holder[e] - 1] != gone)
#else
#define renewed(e) (holder[e] != 0 && alive(holder[e] - 1) && held_for[e] == attempt[holder[e] - 1])
#endif
/* No lifetime is left to end. */
#ifdef NO_LIFETIME
#define settled true
#else
#define settled ((holder[0] == 0 || renewed(0)) && (holder[1] == 0 || renewed(1)))
#endif
#ifdef SEND_EARLY
#define may_send(r) agreed_0[r]
#else
#define may_send(r) (agreed_0[r] && agreed_1[r])
#endif
#define quiet (order_0[0] == 0 && order_0[1] == 0 && order_1[0] == 0 && order_1[1] == 0)

inline carry_out(e, r, order, agreed) {
    if
    :: holder[e] == 0 ->
        holder[e] = r + 1;
        held_for[e] = order - 1;
        if
        :: state[r] == asking && attempt[r] == order - 1 -> agreed = true
        :: true /* the answer was lost, or comes too late */
        fi
    :: holder[e] != 0 -> skip /* denied */
    fi;
    order = 0
}

active proctype engines() {
    byte r;
    do
    :: atomic { order_0[0] != 0 -> r = 0; carry_out(0, r, order_0[0], agreed_0[0]) }
    :: atomic { order_0[1] != 0 -> r = 1; carry_out(0, r, order_0[1], agreed_0[1]) }
    :: atomic { order_1[0] != 0 -> r = 0; carry_out(1, r, order_1[0], agreed_1[0]) }
    :: atomic { order_1[1] != 0 -> r = 1; carry_out(1, r, order_1[1], agreed_1[1]) }
#ifndef NO_LIFETIME
    :: atomic { holder[0] != 0 && !renewed(0) -> holder[0] = 0 } /* the lifetime ends */
    :: atomic { holder[1] != 0 && !renewed(1) -> holder[1] = 0 }
#endif
    :: atomic { /* every request has ended, and its orders have arrived */
        (state[0] == ended || state[0] == gone) && (state[1] == ended || state[1] == gone) && quiet && settled ->
        assert(holder[0] == 0 && holder[1] == 0);
        break
    }
    od
}

inline release(r) {
    /* May be lost: then the lifetime ends the reservation. */
    if
    :: holder[0] == r + 1 -> holder[0] = 0
    :: true
    fi;
    if
    :: holder[1] == r + 1 -> holder[1] = 0
    :: true
    fi
}

proctype request(byte r) {
    do
    :: atomic { state[r] == gone -> break }
    :: atomic { state[r] == idle -> /* both at once */
        order_0[r] = attempt[r] + 1;
        order_1[r] = attempt[r] + 1;
        agreed_0[r] = false;
        agreed_1[r] = false;
        state[r] = asking
    }
    :: atomic { state[r] == asking && may_send(r) ->
        assert(holder[0] == r + 1 && holder[1] == r + 1);
        state[r] = sent
    }
    :: atomic { state[r] == asking && quiet && !(agreed_0[r] && agreed_1[r]) -> /* denied, or no answer in time */
#ifdef KEEP_ONE
        if
        :: !agreed_0[r] && holder[0] != 0 && holder[0] != r + 1 ->
            /* A wait for memory that the other holds while it waits for ours never ends. */
            assert(!(holder[1] == r + 1 && state[1 - r] == asking && agreed_0[1 - r] && !agreed_1[1 - r]))
        :: else -> skip
        fi;
        state[r] = ended;
        release(r);
        break
#else
        attempt[r]++;
        release(r);
        if
        :: attempt[r] < ATTEMPTS -> state[r] = idle
        :: else -> state[r] = ended; break
        fi
#endif
    }
    :: atomic { state[r] == sent -> attempt[r]++; state[r] = ended; release(r); break }
    od
}

active proctype crash() {
    if
    :: atomic { state[0] != ended -> state[0] = gone }
    :: true
    fi
}

init {
    atomic { run request(0); run request(1) }
}
