/*
 * Adoption of the configuration, as Source/Core/Cluster keeps it (ConfigurationStore and the hold of
 * a new instance).
 *
 * Three instances read a service that may be stale or set back: a read returns any version that it
 * ever published. They tell each other what they have in force by digests, and send each other the
 * contents. Messages arrive late or never. An instance is replaced without memory while others go
 * on, also all but one, and may be cut off from its peers. Number 2 is published with two contents;
 * number 3 is invalid.
 *
 * Properties:
 *   1 configuration never reverts   the number in force on an instance only grows while it lives,
 *                                   and a replaced instance that hears its peers begins no lower
 *                                   than what was in force everywhere
 *   2 the first content stays       the content in force under a number does not change
 *   3 the last good one stays       an invalid version is never put in force
 *   4 in force everywhere           after faults end, exchanges between peers bring all to the
 *                                   highest valid number that any of them has
 *
 * What one process cannot know is left out of property 1: when all instances are replaced at once,
 * or one starts cut off from all peers, a stale service is all there is.
 */

#define INSTANCES 3
#define NUMBERS 3
#define INVALID 3 /* the number whose content fails validation */
#ifndef RESTARTS
#define RESTARTS 2 /* all but one */
#endif

/* A version is its number and content (1 or 2) in one byte; 0 is none. */
#define VERSION(number, content) ((number) * 4 + (content))
#define NUMBER(version) ((version) / 4)

#if !defined(PROPERTY) || PROPERTY == 1
#define NEVER_REVERTS(condition) assert(condition)
#else
#define NEVER_REVERTS(condition) skip
#endif
#if !defined(PROPERTY) || PROPERTY == 2
#define FIRST_CONTENT(condition) assert(condition)
#else
#define FIRST_CONTENT(condition) skip
#endif
#if !defined(PROPERTY) || PROPERTY == 3
#define GOOD_ONE(condition) assert(condition)
#else
#define GOOD_ONE(condition) skip
#endif
#if !defined(PROPERTY) || PROPERTY == 4
#define EVERYWHERE(condition) assert(condition)
#else
#define EVERYWHERE(condition) skip
#endif

/* The instances. */
byte inForce[INSTANCES]; /* version */
byte offered[INSTANCES]; /* kept while held: the best version offered */
bit held[INSTANCES];
byte answered[INSTANCES]; /* bit per peer that was heard while held */
byte newestHeard[INSTANCES];
bit cut[INSTANCES];

/* One digest and one content are on the way at a time. */
#define WAY(to, from) ((to) * INSTANCES + (from) + 8)
byte digestWay;
byte digest; /* number */
byte contentWay;
byte content; /* version */

byte restarts;
byte everywhere; /* the highest number that was in force everywhere and is still known to one */

#define ALL_ANSWERED(i) ((answered[i] | (1 << (i))) == 7)

inline noteEverywhere()
{
    byte low;
    byte high;
    low = NUMBER(inForce[0]);
    high = low;
    if
    :: NUMBER(inForce[1]) < low -> low = NUMBER(inForce[1])
    :: else
    fi;
    if
    :: NUMBER(inForce[2]) < low -> low = NUMBER(inForce[2])
    :: else
    fi;
    if
    :: NUMBER(inForce[1]) > high -> high = NUMBER(inForce[1])
    :: else
    fi;
    if
    :: NUMBER(inForce[2]) > high -> high = NUMBER(inForce[2])
    :: else
    fi;
    if
    :: low > everywhere -> everywhere = low
    :: else
    fi;
    if
    :: high < everywhere -> everywhere = high
    :: else
    fi;
    low = 0;
    high = 0
}

inline adopt(i, version)
{
    if
#ifndef WITHOUT_VALIDATION
    :: NUMBER(version) == INVALID -> printf("trace: rejected i%d %d\n", i, NUMBER(version))
#endif
    :: else ->
        GOOD_ONE(NUMBER(version) != INVALID);
        NEVER_REVERTS(NUMBER(version) >= NUMBER(inForce[i]));
        FIRST_CONTENT(NUMBER(version) != NUMBER(inForce[i]) || version == inForce[i]);
        inForce[i] = version;
        noteEverywhere();
        printf("trace: in force i%d %d.%d\n", i, NUMBER(version), version % 4)
    fi
}

#if defined(WITHOUT_HIGHER_ONLY)
#define WANTED(i, version) (NUMBER(version) != NUMBER(inForce[i]))
#elif defined(WITHOUT_FIRST_CONTENT)
#define WANTED(i, version) \
    (NUMBER(version) > NUMBER(inForce[i]) \
     || (NUMBER(version) == NUMBER(inForce[i]) && version != inForce[i]))
#else
#define WANTED(i, version) (NUMBER(version) > NUMBER(inForce[i]))
#endif

inline offer(i, version)
{
    if
    :: held[i] && NUMBER(version) > NUMBER(offered[i]) -> offered[i] = version
    :: !held[i] && WANTED(i, version) -> adopt(i, version)
    :: else
    fi
}

inline release(i, mayBeBehind)
{
    held[i] = 0;
    printf("trace: release i%d\n", i);
    if
    :: offered[i] != 0 -> adopt(i, offered[i])
    :: else
    fi;
    offered[i] = 0;
    answered[i] = 0;
    newestHeard[i] = 0;
    NEVER_REVERTS(mayBeBehind || inForce[i] == 0 || NUMBER(inForce[i]) >= everywhere)
}

/* The service answers with any version that it ever had: it may be stale or set back. */
inline read(i)
{
    atomic {
        if
        :: true -> offer(i, VERSION(1, 1))
        :: true -> offer(i, VERSION(2, 1))
        :: true -> offer(i, VERSION(2, 2))
        :: true -> offer(i, VERSION(3, 1))
        fi
    }
}

#define REACHED(to, from) (!cut[to] && !cut[from])

inline tell(to, from)
{
    atomic {
        digestWay == 0 && held[to] && REACHED(to, from) ->
        digestWay = WAY(to, from);
        digest = NUMBER(inForce[from])
    }
}

inline hear(to, from)
{
    atomic {
        digestWay == WAY(to, from) && REACHED(to, from) && held[to] ->
        answered[to] = answered[to] | (1 << from);
        newestHeard[to] = (digest > newestHeard[to] -> digest : newestHeard[to]);
        printf("trace: i%d hears i%d has %d\n", to, from, digest);
        digestWay = 0;
        digest = 0
    }
}

inline send(to, from)
{
    atomic {
        contentWay == 0 && inForce[from] != 0 && REACHED(to, from) ->
        contentWay = WAY(to, from);
        content = inForce[from]
    }
}

inline receive(to, from)
{
    atomic {
        contentWay == WAY(to, from) && REACHED(to, from) ->
        printf("trace: i%d receives %d of i%d\n", to, NUMBER(content), from);
        offer(to, content);
        contentWay = 0;
        content = 0
    }
}

/* All peers have answered, and what they hold has come. */
inline releaseHeard(i)
{
    atomic {
#if defined(WITHOUT_HEARING_ALL)
        held[i] && answered[i] != 0 && NUMBER(offered[i]) >= newestHeard[i] ->
#elif defined(WITHOUT_WAITING_FOR_CONTENT)
        held[i] && ALL_ANSWERED(i) ->
#elif defined(WITHOUT_HOLD)
        held[i] ->
#else
        held[i] && ALL_ANSWERED(i) && NUMBER(offered[i]) >= newestHeard[i] ->
#endif
        release(i, false)
    }
}

/* The hold ends by time: no peer could be reached. */
inline releaseAlone(i)
{
    atomic {
        held[i] && cut[i] ->
        release(i, true)
    }
}

#ifdef NO_CUTS /* for a shorter search */
#define MAY_CUT false
#else
#define MAY_CUT true
#endif

inline cutOff(i)
{
    atomic {
        MAY_CUT && !cut[0] && !cut[1] && !cut[2] ->
        cut[i] = 1;
        printf("trace: cut off i%d\n", i)
    }
}

inline heal(i)
{
    atomic {
        cut[i] ->
        cut[i] = 0;
        printf("trace: heal i%d\n", i)
    }
}

/* What was on its way is lost with its receiver. */
inline lose(i)
{
    if
    :: digestWay >= WAY(i, 0) && digestWay <= WAY(i, 2) ->
        digestWay = 0;
        digest = 0
    :: else
    fi;
    if
    :: contentWay >= WAY(i, 0) && contentWay <= WAY(i, 2) ->
        contentWay = 0;
        content = 0
    :: else
    fi
}

/* Replaced without memory; what was on its way to the old process is lost with it. */
inline restart(i)
{
    atomic {
        restarts < RESTARTS && !held[i] ->
        restarts++;
        inForce[i] = 0;
        held[i] = 1;
        lose(i);
        noteEverywhere();
        printf("trace: restart i%d\n", i)
    }
}

#define EXCHANGE(to, from) \
    if \
    :: inForce[from] != 0 -> offer(to, inForce[from]) \
    :: else \
    fi;

/* Faults end here and the peers exchange what they have. */
inline settle()
{
    atomic {
        !cut[0] && !cut[1] && !cut[2] && !held[0] && !held[1] && !held[2] ->
        printf("trace: settle\n");
#ifndef WITHOUT_EXCHANGE
        EXCHANGE(0, 1)
        EXCHANGE(0, 2)
        EXCHANGE(1, 0)
        EXCHANGE(1, 2)
        EXCHANGE(2, 0)
        EXCHANGE(2, 1)
#endif
        EVERYWHERE(NUMBER(inForce[0]) == NUMBER(inForce[1]));
        EVERYWHERE(NUMBER(inForce[1]) == NUMBER(inForce[2]));
        goto settled
    }
}

#define BETWEEN(to, from) \
    :: tell(to, from) \
    :: hear(to, from) \
    :: send(to, from) \
    :: receive(to, from)

#define INSTANCE(i) \
    :: read(i) \
    :: releaseHeard(i) \
    :: releaseAlone(i) \
    :: cutOff(i) \
    :: heal(i) \
    :: restart(i)

active proctype system()
{
    d_step {
        inForce[0] = VERSION(1, 1);
        inForce[1] = VERSION(1, 1);
        inForce[2] = VERSION(1, 1);
        everywhere = 1
    }
    do
    INSTANCE(0)
    INSTANCE(1)
    INSTANCE(2)
    BETWEEN(0, 1)
    BETWEEN(0, 2)
    BETWEEN(1, 0)
    BETWEEN(1, 2)
    BETWEEN(2, 0)
    BETWEEN(2, 1)
    :: settle()
    od;
settled:
    skip
}
