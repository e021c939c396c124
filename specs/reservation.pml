/*
 * Two requests at two hosts, each of which needs a reservation at both of two engines.
 *
 * Modelled: engines with memory for one reservation each; orders that are lost, answered late, or
 * executed after their sender gave up; hosts that end at any point; reservations that expire unless
 * they are renewed. A running host renews in time.
 *
 * Properties: an engine never holds more than its memory; a request is sent only while both
 * reservations of its attempt are held; no request waits for memory while it holds some; and once
 * all activity has ended, no memory is held for a request that has ended.
 *
 * Mutations, each of which must break a property:
 *   -DNO_LIFETIME     keeps a reservation without renewal
 *   -DKEEP_ONE        keeps the reservation at one engine while waiting for the other
 *   -DSEND_EARLY      sends a request when the first engine has agreed
 *   -DNO_RELEASE      renews the reservations of an attempt that has ended
 */
#define REQUESTS 2
#define ENGINES 2
#define ATTEMPTS 2

mtype = { idle, asking, sent, ended, gone };

mtype state[REQUESTS] = idle;
byte attempt[REQUESTS];
/* State of a request as its host knows it. */
bool agreed_0[REQUESTS];
bool agreed_1[REQUESTS];

/* Request that holds an engine's memory plus 1, or 0; and the attempt that asked for it. */
byte holder[ENGINES];
byte held_for[ENGINES];
/* A pending order from a request to an engine: its attempt plus 1, or 0. */
byte order_0[REQUESTS];
byte order_1[REQUESTS];

#define alive(r) (state[r] == asking || state[r] == sent)
#ifdef NO_RELEASE
#define renewed(e) (holder[e] != 0 && state[holder[e] - 1] != gone)
#else
#define renewed(e) (holder[e] != 0 && alive(holder[e] - 1) && held_for[e] == attempt[holder[e] - 1])
#endif
/* Every reservation has expired or is renewed. */
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
        :: true /* the response is lost or too late */
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
    :: atomic { holder[0] != 0 && !renewed(0) -> holder[0] = 0 } /* the reservation expires */
    :: atomic { holder[1] != 0 && !renewed(1) -> holder[1] = 0 }
#endif
    :: atomic { /* every request has ended and all orders have arrived */
        (state[0] == ended || state[0] == gone) && (state[1] == ended || state[1] == gone) && quiet && settled ->
        assert(holder[0] == 0 && holder[1] == 0);
        break
    }
    od
}

inline release(r) {
    /* May be lost; the reservation then expires. */
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
    :: atomic { state[r] == idle -> /* reserves at both engines at once */
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
    :: atomic { state[r] == asking && quiet && !(agreed_0[r] && agreed_1[r]) -> /* denied, or no response in time */
#ifdef KEEP_ONE
        if
        :: !agreed_0[r] && holder[0] != 0 && holder[0] != r + 1 ->
            /* Two requests that each hold memory and wait for the other's never end. */
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
