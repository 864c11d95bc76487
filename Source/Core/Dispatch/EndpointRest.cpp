#include "Dispatch/EndpointRest.h"

#include <algorithm>

namespace LaburnumChute::Dispatch {

void EndpointRest::begin(Duration rest, Time now)
{
    until_ = std::max<Time>(until_, now + rest);
    untested_ = true;
}

bool EndpointRest::allows(Time now) const
{
    return now >= until_ && !testing_;
}

Duration EndpointRest::left(Time now) const
{
    return std::max<Duration>(until_ - now, Duration(0));
}

void EndpointRest::sent(Time now)
{
    if (untested_ && now >= until_) {
        testing_ = true;
        testSentAt_ = now;
    }
}

void EndpointRest::accepted(Time sentAt)
{
    if (sentAt >= until_) {
        untested_ = false;
        testing_ = false;
    }
}

void EndpointRest::ended(Time sentAt)
{
    if (testing_ && sentAt >= testSentAt_) {
        testing_ = false;
    }
}

} // namespace LaburnumChute::Dispatch
