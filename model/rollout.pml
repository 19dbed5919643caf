/* Fan-out of accepted configurations while the store may be unavailable.
 *
 * The store accepts revisions in order. Three instances take revisions from the store and from each other, in any order
 * and repeatedly, from old and new peers; a restarted instance has no configuration.
 *
 * Properties (assertions): forward: the revision in force at an instance never decreases while the instance runs.
 * accepted: an instance never has a revision in force that was not accepted.
 *
 * Broken variants, each of which must violate a property:
 *   TAKE_ANY       an instance takes whatever revision arrives
 *   PUSH_EARLY     the instance that forwards an apply to the store puts it in force before the store has accepted it
 */
#define INSTANCES 3
#define LAST 3

byte head;                  /* highest accepted revision */
bool down;
byte in_force[INSTANCES];   /* revision in force; 0 for none */

chan push = [3] of { byte, byte }; /* receiver, revision */

inline activate(i, r) {
  if
#ifdef TAKE_ANY
  :: r != in_force[i] ->
#else
  :: r > in_force[i] ->
#endif
       assert(r >= in_force[i]);
       assert(r <= head);
       in_force[i] = r
  :: else
  fi
}

proctype Instance(byte i) {
  byte r;
  do
  :: atomic { !down && head > 0 -> activate(i, head) }                   /* read from the store */
  :: atomic { in_force[i] > 0 && len(push) < 3 -> push!(i + 1) % INSTANCES, in_force[i] } /* offer to a peer */
  :: atomic { in_force[i] > 0 && len(push) < 3 -> push!(i + 2) % INSTANCES, in_force[i] }
  :: atomic { push??eval(i), r -> activate(i, r); r = 0 }
  :: atomic { in_force[i] > 0 -> in_force[i] = 0 }                       /* restart */
  :: atomic { !down && head < LAST -> r = head + 1;                      /* forward an apply to the store */
#ifdef PUSH_EARLY
       activate(i, r); if :: head = r :: skip fi;
#else
       head = r; activate(i, r);
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
