/*
 * The right to run a request, as Source/Core/Common/RunPermit keeps it for the senders:
 * Source/Core/Relay/RelayedCall and Source/Core/Gateway/CallRunner.
 *
 * A sender has requests that may run once, one after the other, and endpoints at some addresses, to
 * each of which it keeps a connection. Whoever decides where a request goes is left out: any address
 * may be chosen at any time, also after an attempt that may have run. An endpoint runs a request or
 * refuses it. It may send a refusal a second time, or one without an id, where the next answer of
 * the connection is due. Connections break at any time; what was sent on them may run later.
 *
 * Properties:
 *   1 at most once       no request runs twice
 *   2 truthful refusal   a request whose caller is told that it has not run has not, and never will
 */

#ifndef REQUESTS
#define REQUESTS 2
#endif
#ifndef ATTEMPTS
#define ATTEMPTS 3
#endif
#define ADDRESSES 2
#define ROOM 3 /* messages on the way on one connection */
#define UNNAMED 0

#if !defined(PROPERTY) || PROPERTY == 1
#define AT_MOST_ONCE(condition) assert(condition)
#else
#define AT_MOST_ONCE(condition) skip
#endif
#if !defined(PROPERTY) || PROPERTY == 2
#define TRUTHFUL(condition) assert(condition)
#else
#define TRUTHFUL(condition) skip
#endif

#ifdef WITHOUT_PERMIT
#define MAY_SEND true
#else
#define MAY_SEND (!mayHaveRun)
#endif
#ifdef WITHOUT_PERMIT_BEFORE_REFUSAL
#define MAY_REFUSE true
#else
#define MAY_REFUSE (!mayHaveRun)
#endif

mtype = { COMPLETED, REFUSED };

/* The connection to each address. */
chan requests0 = [ROOM] of { byte };
chan requests1 = [ROOM] of { byte };
chan answers0 = [ROOM] of { byte, mtype };
chan answers1 = [ROOM] of { byte, mtype };
bit used[ADDRESSES]; /* it has carried an answer */

/* By request; the first is 1. */
bit ran[REQUESTS + 1];
bit refused[REQUESTS + 1];
bit orphan[REQUESTS + 1]; /* sent on a connection that has ended since */

inline execute(request)
{
    AT_MOST_ONCE(!ran[request]);
    TRUTHFUL(!refused[request]);
    ran[request] = 1;
    printf("trace: request %d runs\n", request);
}

proctype Endpoint(chan requests, answers)
{
    byte request;
end:
    do
    :: atomic {
           nempty(requests) && len(answers) < ROOM - 1 ->
           requests ? request;
           if
           :: execute(request); answers ! request, COMPLETED
           :: execute(request)
           :: execute(request);
              answers ! request, COMPLETED;
              answers ! UNNAMED, REFUSED;
              printf("trace: a refusal without an id follows\n")
           :: answers ! request, REFUSED
           :: answers ! request, REFUSED;
              answers ! request, REFUSED;
              printf("trace: request %d is refused twice\n", request)
           fi;
           request = 0
       }
    od
}

/* What the kernel still delivers of connections that have ended. */
proctype Leftovers()
{
    byte request;
end:
    do
    :: d_step {
           orphan[1] ->
           orphan[1] = 0;
           execute(1);
       }
#if REQUESTS > 1
    :: d_step {
           orphan[2] ->
           orphan[2] = 0;
           execute(2);
       }
#endif
    od
}

inline endConnection(address, requests, answers)
{
    do
    :: nempty(requests) -> requests ? other; orphan[other] = 1
    :: nempty(answers) -> answers ? other, kind
    :: empty(requests) && empty(answers) -> break
    od;
    other = 0;
    used[address] = 0
}

/* One attempt. outcome: 0 may have run, 1 answered, 2 has not run */
inline attempt(address, requests, answers)
{
    atomic {
        outcome = 3;
        if
#ifndef WITHOUT_NEW_CONNECTION
        :: attempted[address] -> endConnection(address, requests, answers)
#endif
        :: else
        fi;
        attempted[address] = 1;
        requests ! request;
        printf("trace: request %d is sent to address %d\n", request, address);
    }
    do
    :: outcome != 3 -> break
    :: atomic {
           outcome == 3 && nempty(answers) ->
           answers ? other, kind;
           wasUsed = used[address];
           used[address] = 1;
           if
           :: other == request || (other == UNNAMED && !wasUsed) -> answered()
           :: other == UNNAMED && wasUsed ->
#ifdef WITHOUT_ID_ON_USED_CONNECTION
               answered()
#else
               outcome = 0;
               endConnection(address, requests, answers)
#endif
           :: else /* an answer to another request is skipped */
           fi;
           other = 0;
           wasUsed = 0;
       }
    :: atomic {
           outcome == 3 ->
           outcome = 0;
           endConnection(address, requests, answers);
           printf("trace: the connection to address %d breaks\n", address);
#ifdef WITHOUT_UNKNOWN_AFTER_BREAK
           outcome = 2;
#endif
       }
    od
}

inline answered()
{
    if
    :: kind == COMPLETED -> outcome = 1
    :: kind == REFUSED -> outcome = 2; printf("trace: a refusal is believed\n")
    fi
}

active proctype Sender()
{
    byte request = 1;
    byte attempts;
    byte outcome;
    byte other;
    mtype kind;
    bit wasUsed;
    bit attempted[ADDRESSES];
    bit mayHaveRun; /* of the permit; it is taken in attempt(), which ends before the next begins */
    bit isAnswered;

    run Endpoint(requests0, answers0);
    run Endpoint(requests1, answers1);
    run Leftovers();
    do
    :: request <= REQUESTS ->
        do
        :: attempts < ATTEMPTS && !isAnswered && MAY_SEND ->
            if
            :: attempt(0, requests0, answers0)
            :: attempt(1, requests1, answers1)
            fi;
            atomic {
                attempts++;
                isAnswered = (outcome == 1);
                mayHaveRun = mayHaveRun || outcome == 0;
            }
        :: break
        od;
        atomic {
            if
            :: !isAnswered && MAY_REFUSE ->
                refused[request] = 1;
                printf("trace: the caller is told that request %d has not run\n", request);
                TRUTHFUL(!ran[request])
            :: else
            fi;
            request++;
            attempts = 0;
            outcome = 0;
            isAnswered = 0;
            mayHaveRun = 0;
            attempted[0] = 0;
            attempted[1] = 0;
        }
    :: else -> break
    od
}
