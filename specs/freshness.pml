/*
 * Bounds how long a revoked key is still accepted. The model has a store, a host that watches it, and
 * a host that queries the watching host and answers callers.
 *
 * Modelled: a poll that returns the state of the store up to LAG ago; polls and queries of any
 * duration; lost queries; pauses of both hosts at any point; a revocation at any time. Ages are
 * counted from the time a query was sent, on a clock that keeps running during a pause.
 *
 * Property: a request that arrives BOUND or later after the acknowledgement of the revocation is not
 * admitted.
 *
 * Mutations, each of which must break it:
 *   -DAGE_FROM_ANSWER   counts ages from the arrival of a response
 *   -DCLOCK_STOPS       stops the clock of a paused host
 *   -DSOURCE_IS_FRESH   ignores the age of the watching host's own copy
 *   -DNO_LAG            ignores the lag of the store
 *   -DNO_BOUND          accepts a copy of any age
 */
#define LAST 5
#define BOUND 3
#define LAG 2
#define NEVER 100
/* Offset that keeps times positive when an age reaches back before the start. */
#define START 10

byte now = START;
byte revoked_at = NEVER;

/* Host 0 watches the store; host 1 queries host 0. */
#ifdef CLOCK_STOPS
bool paused[2];
#define awake(h) (!paused[h])
#else
/* Any action may be late, which also models a pause while clocks keep running. */
#define awake(h) true
#endif
#ifdef CLOCK_STOPS
byte clock[2] = START;
#define clock_of(h) clock[h]
#else
#define clock_of(h) now
#endif
bool knows[2];      /* the host knows that the key is revoked */
byte confirmed[2];  /* time at which the copy was current, by the host's own clock */

/* Host 0 polls the store. */
bool polling;
byte poll_sent;
bool poll_done;
bool poll_shows;

/* Host 1 queries host 0. */
bool asking;
byte asked;
bool answered;
bool answer_shows;
byte answer_age;

active proctype time() {
    do
    :: atomic {
        now < START + LAST ->
        now++;
#ifdef CLOCK_STOPS
        if :: paused[0] -> skip :: else -> clock[0]++ fi;
        if :: paused[1] -> skip :: else -> clock[1]++ fi
#endif
    }
    :: atomic { now == START + LAST -> break }
    od
}

active proctype operator() {
    atomic { revoked_at == NEVER -> revoked_at = now }
}

#ifdef CLOCK_STOPS
active proctype pauses() {
    do
    :: atomic { now < START + LAST -> paused[0] = !paused[0] }
    :: atomic { now < START + LAST -> paused[1] = !paused[1] }
    :: atomic { now == START + LAST -> break }
    od
}
#endif

active proctype watch() {
    do
    :: atomic { awake(0) && !polling && now < START + LAST ->
        polling = true; poll_done = false; poll_sent = clock_of(0) }
    :: atomic { polling && !poll_done -> /* the store responds */
        if
        :: revoked_at != NEVER -> poll_shows = true
        :: revoked_at == NEVER || now < revoked_at + LAG -> poll_shows = false
        fi;
        poll_done = true
    }
    :: atomic { awake(0) && polling && poll_done ->
        knows[0] = knows[0] || poll_shows;
#ifdef AGE_FROM_ANSWER
        confirmed[0] = clock_of(0) - LAG;
#else
#ifdef NO_LAG
        confirmed[0] = poll_sent;
#else
        confirmed[0] = poll_sent - LAG;
#endif
#endif
        polling = false; poll_done = false; poll_shows = false; poll_sent = 0
    }
    :: atomic { now == START + LAST -> break }
    od
}

inline forget_answer() {
    asking = false; answered = false; answer_shows = false; answer_age = 0; asked = 0
}

active proctype ask() {
    do
    :: atomic { awake(1) && !asking && now < START + LAST ->
        asking = true; answered = false; asked = clock_of(1) }
    :: atomic { awake(0) && asking && !answered ->
        answer_shows = knows[0];
#ifdef SOURCE_IS_FRESH
        answer_age = 0;
#else
        answer_age = clock_of(0) - confirmed[0];
#endif
        answered = true
    }
    :: atomic { asking -> forget_answer() } /* the response is lost */
    :: atomic { awake(1) && asking && answered ->
        knows[1] = knows[1] || answer_shows;
#ifdef AGE_FROM_ANSWER
        confirmed[1] = clock_of(1) - answer_age;
#else
        if
        :: asked >= answer_age -> confirmed[1] = asked - answer_age
        :: else -> confirmed[1] = 0
        fi;
#endif
        forget_answer()
    }
    :: atomic { now == START + LAST -> break }
    od
}

active proctype admission() {
    do
    :: atomic { awake(1) && !knows[1] &&
#ifdef NO_BOUND
        confirmed[1] > 0 ->
#else
        confirmed[1] > 0 && clock_of(1) - confirmed[1] < BOUND ->
#endif
        assert(revoked_at == NEVER || now < revoked_at + BOUND)
    }
    :: atomic { now == START + LAST -> break }
    od
}
