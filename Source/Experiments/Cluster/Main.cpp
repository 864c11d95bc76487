#include <cstdio>

#include <gflags/gflags.h>

#include "Runs.h"

DEFINE_int32(instances, 4, "instances in all");
DEFINE_int32(regions, 1, "regions they are spread over");
DEFINE_int32(seed, 1, "seed of the virtual run");
DEFINE_int32(trials, 5, "trials of each kind of event");
DEFINE_int32(quiet_seconds, 60, "seconds over which bytes and false deaths are counted");
DEFINE_bool(real, false, "UDP on the loopback in place of the virtual clock");

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    using namespace LaburnumChute::Measure;
    const RunSize size{static_cast<std::size_t>(FLAGS_instances),
                       static_cast<std::size_t>(FLAGS_regions),
                       static_cast<std::uint64_t>(FLAGS_seed), FLAGS_trials, FLAGS_quiet_seconds};
    if (FLAGS_real) {
        realRun(size);
    } else {
        virtualRun(size);
    }
    return 0;
}
