/* Election of the home of a region by witnesses with leases.
 *
 * Property (assertion): two candidates never both hold a valid mandate.
 * Time is a number of ticks left, so that runs have no end: a tick lowers every lease. Replies are delayed and lost;
 * witnesses restart and lose their memory; a candidate that is paused simply takes no step. A delayed request would only
 * make the promise last longer than the vote counts, so requests take no time.
 *
 * Broken variants, each of which must violate the property:
 *   NO_RESTART_WAIT    a restarted witness promises at once
 *   COUNT_FROM_RECEIPT a candidate counts a vote from the moment that the reply arrived
 *   EARLY_PROMISE      a witness promises to another candidate before its promise has lapsed
 */
#define WITNESSES 3
#define QUORUM    2
#define LEASE     3

byte promised[WITNESSES];   /* candidate + 1; 0 for none */
byte until[WITNESSES];      /* ticks until the promise lapses */
byte silent[WITNESSES];     /* ticks for which a restarted witness promises nothing */
byte reply0[WITNESSES];     /* reply on its way to candidate 0: ticks for which its vote would count */
byte reply1[WITNESSES];
byte valid0[WITNESSES];     /* candidate 0: ticks for which the vote of the witness counts */
byte valid1[WITNESSES];

#define count(v) ((v[0] > 0) + (v[1] > 0) + (v[2] > 0))
#define fewer(x) x = (x > 0 -> x - 1 : 0)

inline age(w) {
  fewer(until[w]);
  if :: until[w] == 0 -> promised[w] = 0 :: else -> skip fi;
  fewer(silent[w]); fewer(valid0[w]); fewer(valid1[w]);
#ifndef COUNT_FROM_RECEIPT
  fewer(reply0[w]); fewer(reply1[w])
#endif
}

inline vote(c, w, reply) {
  if
#ifdef EARLY_PROMISE
  :: silent[w] == 0 ->
#else
  :: silent[w] == 0 && (promised[w] == 0 || promised[w] == c + 1) ->
#endif
       promised[w] = c + 1; until[w] = LEASE;
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
  promised[w] = 0; until[w] = 0;
#ifndef NO_RESTART_WAIT
  silent[w] = LEASE
#endif
}

active proctype Fleet() {
  do
  :: atomic { true -> age(0); age(1); age(2) }
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
