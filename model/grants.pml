/* Grants of one home with leases that lapse while their holder is paused.
 *
 * Property (assertion): requests that run at backend servers never exceed CAP, also while a holder is paused past its lease.
 * A paused holder cannot cancel its request, so the request runs until the backend server's deadline ends it. The home
 * therefore keeps counting a lapsed grant until the holder has spoken again, is proved dead, or the deadline has passed
 * for a request that was started as late as the lease allowed.
 *
 * Broken variants, each of which must violate the property:
 *   FREE_ON_LAPSE        the home stops counting a grant when its lease has lapsed
 *   DEADLINE_FROM_GRANT  the home counts the deadline from the grant, although the holder may start later
 */
#define HOLDERS  2
#define CAP      1
#define LEASE    2   /* ticks that a holder may use a grant after it sent the last confirmed renewal */
#define MARGIN   1   /* ticks that the home adds */
#define DEADLINE 4   /* ticks after which a backend server ends a request by itself */
#define MAXTIME  9

byte now;
bool held[HOLDERS];         /* holder: the grant is in use or may still be used */
bool running[HOLDERS];      /* the request runs at a backend server */
byte started[HOLDERS];      /* reset when the request has ended, to keep the number of states low */
bool paused[HOLDERS];
byte confirmed[HOLDERS];    /* holder: when the last confirmed renewal was sent */
bool counted[HOLDERS];      /* home: the grant counts against the cap */
byte expires[HOLDERS];      /* home: when the lease lapses */
byte used;                  /* home: number of counted grants */
byte inuse;                 /* requests at backend servers */

chan renew   = [1] of { byte, byte };  /* holder, time sent */
chan confirm = [1] of { byte, byte };

#define inlease(h) (now < confirmed[h] + LEASE)
#define overdue(h) (held[h] && !paused[h] && !inlease(h))
#define ended(h)   (running[h] && now >= started[h] + DEADLINE)

/* Time passes only when every holder that is not paused has cancelled what is overdue, and backend servers have ended
 * what is past its deadline. */
proctype Clock() {
  do
  :: atomic { (now < MAXTIME && !ended(0) && !ended(1) && !overdue(0) && !overdue(1)) -> now++ }
  :: now == MAXTIME -> break
  od
}

inline finish(h) {
  if :: running[h] -> running[h] = false; started[h] = 0; inuse-- :: else fi
}

proctype Holder(byte h) {
  byte t;
  do
  :: atomic { held[h] && !running[h] && !paused[h] && inlease(h) -> running[h] = true; inuse++; started[h] = now; assert(inuse <= CAP) }
  :: atomic { held[h] && !paused[h] && inlease(h) && len(renew) == 0 -> renew!h, now }  /* a lost renewal is one not sent */
  :: atomic { !paused[h] && confirm?[eval(h), t] -> confirm?eval(h), t;
       if :: held[h] && t > confirmed[h] -> confirmed[h] = t :: else fi; t = 0 }
  :: atomic { overdue(h) -> finish(h); held[h] = false; confirmed[h] = 0 }
  :: atomic { ended(h) -> finish(h) }
  :: atomic { held[h] && !paused[h] && inlease(h) -> finish(h); held[h] = false; confirmed[h] = 0; /* release */
       if :: counted[h] -> counted[h] = false; expires[h] = 0; used-- :: else fi }
  :: atomic { !paused[h] -> paused[h] = true }
  :: atomic { paused[h] -> paused[h] = false }
  :: now == MAXTIME -> break
  od
}

inline give(h) {
  counted[h] = true; used++; expires[h] = now + LEASE + MARGIN; held[h] = true; confirmed[h] = now
}

inline free(h) {
  counted[h] = false; expires[h] = 0; used--
}

#define lapsed(h) (counted[h] && now > expires[h])
#ifdef FREE_ON_LAPSE
#define mayfree(h) lapsed(h)
#else
#ifdef DEADLINE_FROM_GRANT
#define mayfree(h) (lapsed(h) && now > expires[h] - LEASE - MARGIN + DEADLINE)
#else
#define mayfree(h) (lapsed(h) && ((!paused[h] && !held[h]) || now > expires[h] + DEADLINE))
#endif
#endif

proctype Home() {
  byte h, t;
  do
  :: atomic { renew?h, t ->
       if
       :: counted[h] -> expires[h] = now + LEASE + MARGIN;
            if :: len(confirm) == 0 -> confirm!h, t :: skip fi  /* the reply may be lost */
       :: !counted[h] -> skip
       fi; h = 0; t = 0 }
  :: atomic { used < CAP && !counted[0] && !held[0] -> give(0) }
  :: atomic { used < CAP && !counted[1] && !held[1] -> give(1) }
  :: atomic { mayfree(0) -> free(0) }
  :: atomic { mayfree(1) -> free(1) }
  :: now == MAXTIME -> break
  od
}

init {
  atomic { run Clock(); run Holder(0); run Holder(1); run Home() }
}
