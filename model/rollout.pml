/* Fan-out of accepted configurations with the store away.
 *
 * The store accepts revisions in order. Three instances take revisions from the store and from each other, in any order
 * and repeatedly, from old and new peers; an instance restarts and starts empty.
 *
 * Properties (assertions): forward: the revision in force at an instance never decreases while the instance runs.
 * accepted: an instance never has a revision in force that was not accepted.
 *
 * Broken variants, each of which must violate a property:
 *   TAKE_ANY       an instance takes whatever revision arrives
 *   PUSH_EARLY     the instance that carries an apply puts it in force before the store has accepted it
 */
#define INSTANCES 3
#define LAST 3

byte head;                  /* highest accepted revision */
bool down;
byte force[INSTANCES];      /* revision in force; 0 for none */

chan push = [3] of { byte, byte }; /* receiver, revision */

inline take(i, r) {
  if
#ifdef TAKE_ANY
  :: r != force[i] ->
#else
  :: r > force[i] ->
#endif
       assert(r >= force[i]);
       assert(r <= head);
       force[i] = r
  :: else
  fi
}

proctype Instance(byte i) {
  byte r;
  do
  :: atomic { !down && head > 0 -> take(i, head) }                       /* read from the store */
  :: atomic { force[i] > 0 && len(push) < 3 -> push!(i + 1) % INSTANCES, force[i] } /* offer to a peer */
  :: atomic { force[i] > 0 && len(push) < 3 -> push!(i + 2) % INSTANCES, force[i] }
  :: atomic { push??eval(i), r -> take(i, r); r = 0 }
  :: atomic { force[i] > 0 -> force[i] = 0 }                             /* restart */
  :: atomic { !down && head < LAST -> r = head + 1;                      /* carry an apply */
#ifdef PUSH_EARLY
       take(i, r); if :: head = r :: skip fi;
#else
       head = r; take(i, r);
#endif
       r = 0 }
  od
}

proctype Store() {
  do
  :: down = !down
  od
}

init { atomic { run Instance(0); run Instance(1); run Instance(2); run Store() } }
