/* A store that returns from copies, and instances that list it, watch it and tell each other of it.
 *
 * The store writes numbered states; the content of a state is its era and number. It may return from a copy: then the era rises and
 * numbers are given out again from an earlier one. Each instance lists the store, takes the changes that follow on what it knows,
 * or takes all that another instance knows, which may have been cut off from the store for any time. Whatever an instance is
 * told was true at some time.
 *
 * Properties (assertions): what an instance knows never goes back to an earlier state, by era and number; and changes are applied
 * only to the state that they follow on, so that its content is that of the state it believes to know.
 *
 * Broken variants, each of which must violate a property:
 *   NUMBERS_ONLY  states are compared by number alone
 *   WATCH_ACROSS  changes of a new era are applied to a state of an earlier one with the same number
 */
#define INSTANCES 2
#define MAX_ERA 3
#define MAX_NUMBER 4

byte era = 1;
byte number = 1;
byte knownEra[INSTANCES];
byte knownNumber[INSTANCES];
byte contentEra[INSTANCES]; /* era of the history to which the last applied state belongs */

/* LATER is whether state e/n is later than what instance i knows. */
#ifdef NUMBERS_ONLY
#define LATER(e, n, i) ((n) > knownNumber[i])
#else
#define LATER(e, n, i) ((e) > knownEra[i] || ((e) == knownEra[i] && (n) > knownNumber[i]))
#endif

inline take(i, e, n) {
  assert(e > knownEra[i] || (e == knownEra[i] && n >= knownNumber[i]));
  knownEra[i] = e; knownNumber[i] = n
}

proctype Store() {
  do
  :: number < MAX_NUMBER -> number++
  :: era < MAX_ERA -> atomic { era++; if :: number > 1 -> number = number - 1 :: number > 2 -> number = number - 2 :: skip fi }
  :: era == MAX_ERA && number == MAX_NUMBER -> break
  od
}

proctype Instance(byte i) {
  byte e, n, other;
  do
  :: atomic { e = era; n = number }; /* a listing that arrives later */
     atomic {
       if
       :: LATER(e, n, i) -> take(i, e, n); contentEra[i] = e
       :: else
       fi
     }
  :: atomic { knownNumber[i] > 0 && number > knownNumber[i] -> e = era; n = number }; /* a watch from what is known */
     atomic {
       if
#ifdef WATCH_ACROSS
       :: n > knownNumber[i] -> knownNumber[i] = n; knownEra[i] = e
#else
       :: e == knownEra[i] && n > knownNumber[i] -> take(i, e, n)
#endif
       :: else
       fi;
       assert(contentEra[i] == knownEra[i])
     }
  :: other = 1 - i; atomic { e = knownEra[other]; n = knownNumber[other] };
     atomic {
       if
       :: n > 0 && LATER(e, n, i) -> take(i, e, n); contentEra[i] = e
       :: else
       fi
     }
  :: era == MAX_ERA && number == MAX_NUMBER && knownEra[i] == MAX_ERA && knownNumber[i] == MAX_NUMBER -> break
  od
}

init {
  atomic {
    run Store();
    run Instance(0);
    run Instance(1)
  }
}
