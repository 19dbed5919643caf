/* Grants of one home with leases that expire while their holder is paused. The home is the instance that allocates a region's
 * slots; a grant allows its holder, an entry instance, to run one request.
 *
 * Property (assertion): the number of requests that run at backend servers never exceeds CAP, also while a holder is paused
 * past the end of its lease. A paused holder cannot cancel its request, so the request runs until the backend server's
 * deadline ends it. The home therefore counts an expired grant until it receives a message from the holder, the holder is
 * proved dead, or the deadline has passed for a request that was started at the last moment of the lease.
 *
 * Broken variants, each of which must violate the property:
 *   FREE_ON_LAPSE        the home stops counting a grant when its lease has expired
 *   DEADLINE_FROM_GRANT  the home counts the deadline from the grant, although the holder may start later
 */
#define HOLDERS  2
#define CAP      1
#define LEASE    2   /* ticks for which a holder may use a grant, from the sending of the last confirmed renewal */
#define MARGIN   1   /* ticks that the home waits beyond the lease */
#define DEADLINE 4   /* ticks after which a backend server ends a request by itself */
#define MAXTIME  9

byte now;
bool held[HOLDERS];         /* holder: the grant is in use or may still be used */
bool running[HOLDERS];      /* the request runs at a backend server */
byte started[HOLDERS];      /* reset when the request has ended, to keep the number of states low */
bool paused[HOLDERS];
byte confirmed[HOLDERS];    /* holder: time at which the last confirmed renewal was sent */
bool counted[HOLDERS];      /* home: the grant counts against the cap */
byte expires[HOLDERS];      /* home: time at which the lease expires */
byte used;                  /* home: number of counted grants */
byte in_flight;             /* number of requests that run at backend servers */

chan renew   = [1] of { byte, byte };  /* holder, time sent */
chan confirm = [1] of { byte, byte };

#define in_lease(h) (now < confirmed[h] + LEASE)
#define overdue(h) (held[h] && !paused[h] && !in_lease(h))
#define past_deadline(h) (running[h] && now >= started[h] + DEADLINE)

/* Time advances only when every holder that is not paused has dropped its expired grant, and the backend servers have ended
 * each request that is past its deadline. */
proctype Clock() {
  do
  :: atomic { (now < MAXTIME && !past_deadline(0) && !past_deadline(1) && !overdue(0) && !overdue(1)) -> now++ }
  :: now == MAXTIME -> break
  od
}

inline finish(h) {
  if :: running[h] -> running[h] = false; started[h] = 0; in_flight-- :: else fi
}

proctype Holder(byte h) {
  byte t;
  do
  :: atomic { held[h] && !running[h] && !paused[h] && in_lease(h) -> running[h] = true; in_flight++; started[h] = now; assert(in_flight <= CAP) }
  :: atomic { held[h] && !paused[h] && in_lease(h) && len(renew) == 0 -> renew!h, now }  /* not sending a renewal also models its loss */
  :: atomic { !paused[h] && confirm?[eval(h), t] -> confirm?eval(h), t;
       if :: held[h] && t > confirmed[h] -> confirmed[h] = t :: else fi; t = 0 }
  :: atomic { overdue(h) -> finish(h); held[h] = false; confirmed[h] = 0 }
  :: atomic { past_deadline(h) -> finish(h) }
  :: atomic { held[h] && !paused[h] && in_lease(h) -> finish(h); held[h] = false; confirmed[h] = 0; /* release */
       if :: counted[h] -> counted[h] = false; expires[h] = 0; used-- :: else fi }
  :: atomic { !paused[h] -> paused[h] = true }
  :: atomic { paused[h] -> paused[h] = false }
  :: now == MAXTIME -> break
  od
}

inline issue_grant(h) {
  counted[h] = true; used++; expires[h] = now + LEASE + MARGIN; held[h] = true; confirmed[h] = now
}

inline free(h) {
  counted[h] = false; expires[h] = 0; used--
}

#define expired(h) (counted[h] && now > expires[h])
#ifdef FREE_ON_LAPSE
#define may_free(h) expired(h)
#else
#ifdef DEADLINE_FROM_GRANT
#define may_free(h) (expired(h) && now > expires[h] - LEASE - MARGIN + DEADLINE)
#else
#define may_free(h) (expired(h) && ((!paused[h] && !held[h]) || now > expires[h] + DEADLINE))
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
  :: atomic { used < CAP && !counted[0] && !held[0] -> issue_grant(0) }
  :: atomic { used < CAP && !counted[1] && !held[1] -> issue_grant(1) }
  :: atomic { may_free(0) -> free(0) }
  :: atomic { may_free(1) -> free(1) }
  :: now == MAXTIME -> break
  od
}

init {
  atomic { run Clock(); run Holder(0); run Holder(1); run Home() }
}
