/* Claims of one idempotency key in a log that the store holds. An attempt is dispatched only after its claim is in the log.
 *
 * Two attempts with the same key reach two writers, each of which considers itself the writer of the shard. A record is
 * created only if its sequence number is absent. The reply to a create may be lost although the create took effect, the
 * store may be down, and a writer may restart and lose its index.
 *
 * Properties (assertions): once: at most one attempt is dispatched. (A second one would be allowed after proof that the first
 * has not run, which the model leaves out.)
 * truth: an attempt that was answered "unavailable" has no record in the log.
 *
 * Broken variants, each of which must violate a property:
 *   ASSUME_NOT_WRITTEN  a lost reply is treated as a failed write, so the key is free again
 *   TRUST_INDEX         a writer overwrites the next sequence number that its index shows, without create-if-absent
 */
#define LOG 4            /* sequence numbers */
#define NONE 255

byte record[LOG] = NONE; /* attempt that the record claims; the log grows by create-if-absent */
byte dispatched;
bool unavailable[2];
bool down;

#define in_log(a) (record[0] == a || record[1] == a || record[2] == a || record[3] == a)
#define truth (!(unavailable[0] && in_log(0)) && !(unavailable[1] && in_log(1)))

inline scan() {          /* read the log from its start: index = first free number, owner = attempt that holds the key */
  index = 0; owner = NONE;
  do
  :: index < LOG && record[index] != NONE ->
       if :: owner == NONE -> owner = record[index] :: else fi;
       index++
  :: else -> break
  od
}

/* Writer and entry instance of attempt a. */
proctype Attempt(byte a) {
  byte index, owner, tries;
  bool lost;
  owner = NONE;
  atomic { !down -> scan() }               /* load the log */
again:
  if
  :: owner == a -> goto dispatch           /* the attempt's own record is in the log */
  :: owner != NONE && owner != a -> goto done /* the other attempt holds the key: answer unknown, never dispatch */
  :: owner == NONE && index < LOG
  fi;
  if
  :: tries == 2 -> goto done               /* out of tries: answer uncertain, never dispatch */
  :: else -> tries++
  fi;
  if
  :: atomic { down -> unavailable[a] = true; assert(truth); goto done } /* refused by the store before anything was written */
  :: atomic { !down ->                     /* the create reaches the store */
       lost = false;
       if
#ifdef TRUST_INDEX
       :: record[index] = a; owner = a; assert(truth)
#else
       :: record[index] == NONE -> record[index] = a; owner = a; assert(truth)
       :: record[index] != NONE -> scan()  /* conflict: read the log again */
#endif
       fi;
       if
       :: skip
       :: lost = true; owner = NONE        /* the reply is lost */
       fi }
  fi;
  if
  :: lost ->
#ifdef ASSUME_NOT_WRITTEN
       unavailable[a] = true; assert(truth); goto done
#else
       atomic { !down -> scan() }          /* read the log to see whether the record exists; wait while the store is down */
#endif
  :: else
  fi;
  goto again;
dispatch:
  atomic { dispatched++; assert(dispatched <= 1) };
done:
  skip
}

proctype Store() {
  byte outages;
  do
  :: !down && outages < 2 -> down = true; outages++
  :: down -> down = false
  :: timeout -> break
  od
}

init { atomic { run Attempt(0); run Attempt(1); run Store() } }
