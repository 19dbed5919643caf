/* Election of the home of a region, the instance that allocates the region's slots, by witnesses with leases. A witness that
 * votes for a candidate promises not to vote for another one until the lease expires.
 *
 * Property (assertion): two candidates never both have valid votes from a quorum of witnesses.
 * Leases are stored as remaining ticks and a tick decrements all of them, so that runs are unbounded in time. Replies are
 * delayed and lost; witnesses restart and lose their state; a candidate that is paused takes no step. Requests take no time:
 * a delayed request would only make the witness's promise outlast the vote.
 *
 * Broken variants, each of which must violate the property:
 *   NO_RESTART_WAIT    a restarted witness promises without waiting for its earlier promises to expire
 *   COUNT_FROM_RECEIPT a candidate counts a vote from the receipt of the reply
 *   EARLY_PROMISE      a witness promises to another candidate before its promise has expired
 */
#define WITNESSES 3
#define QUORUM    2
#define LEASE     3

byte promised[WITNESSES];       /* candidate that holds the promise, plus 1; 0 for none */
byte promise_ticks[WITNESSES];  /* ticks until the promise expires */
byte restart_wait[WITNESSES];   /* ticks for which a restarted witness promises nothing */
byte reply0[WITNESSES];         /* reply in transit to candidate 0: ticks for which its vote would count; 0 for none */
byte reply1[WITNESSES];
byte valid0[WITNESSES];         /* candidate 0: ticks for which the vote of the witness counts */
byte valid1[WITNESSES];

#define count(v) ((v[0] > 0) + (v[1] > 0) + (v[2] > 0))
#define decrement(x) x = (x > 0 -> x - 1 : 0)

inline tick(w) {
  decrement(promise_ticks[w]);
  if :: promise_ticks[w] == 0 -> promised[w] = 0 :: else -> skip fi;
  decrement(restart_wait[w]); decrement(valid0[w]); decrement(valid1[w]);
#ifndef COUNT_FROM_RECEIPT
  decrement(reply0[w]); decrement(reply1[w])
#endif
}

inline vote(c, w, reply) {
  if
#ifdef EARLY_PROMISE
  :: restart_wait[w] == 0 ->
#else
  :: restart_wait[w] == 0 && (promised[w] == 0 || promised[w] == c + 1) ->
#endif
       promised[w] = c + 1; promise_ticks[w] = LEASE;
       if :: reply = LEASE :: skip fi  /* the reply may be lost */
  :: else -> skip
  fi
}

inline receive(reply, valid) {
  if :: reply > valid -> valid = reply :: else -> skip fi;
  reply = 0;
  assert(!(count(valid0) >= QUORUM && count(valid1) >= QUORUM))
}

inline restart(w) {
  promised[w] = 0; promise_ticks[w] = 0;
#ifndef NO_RESTART_WAIT
  restart_wait[w] = LEASE
#endif
}

active proctype Fleet() {
  do
  :: atomic { true -> tick(0); tick(1); tick(2) }
  :: atomic { true -> vote(0, 0, reply0[0]) }
  :: atomic { true -> vote(0, 1, reply0[1]) }
  :: atomic { true -> vote(0, 2, reply0[2]) }
  :: atomic { true -> vote(1, 0, reply1[0]) }
  :: atomic { true -> vote(1, 1, reply1[1]) }
  :: atomic { true -> vote(1, 2, reply1[2]) }
  :: atomic { reply0[0] > 0 -> receive(reply0[0], valid0[0]) }
  :: atomic { reply0[1] > 0 -> receive(reply0[1], valid0[1]) }
  :: atomic { reply0[2] > 0 -> receive(reply0[2], valid0[2]) }
  :: atomic { reply1[0] > 0 -> receive(reply1[0], valid1[0]) }
  :: atomic { reply1[1] > 0 -> receive(reply1[1], valid1[1]) }
  :: atomic { reply1[2] > 0 -> receive(reply1[2], valid1[2]) }
  :: atomic { promised[0] != 0 -> restart(0) }
  :: atomic { promised[1] != 0 -> restart(1) }
  :: atomic { promised[2] != 0 -> restart(2) }
  od
}
