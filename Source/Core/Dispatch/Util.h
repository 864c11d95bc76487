#pragma once

// Time arithmetic and small search helpers for the sources of this library.

#include <algorithm>
#include <chrono>
#include <vector>

#include "Dispatch/Facts.h"

namespace LaburnumChute::Dispatch {

using Milliseconds = std::chrono::duration<double, std::milli>;

inline Milliseconds inMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<Milliseconds>(duration);
}

inline Duration scaled(Duration duration, double factor)
{
    return std::chrono::duration_cast<Duration>(duration * factor);
}

template <typename T>
bool contains(const std::vector<T> &values, const T &value)
{
    return std::find(values.begin(), values.end(), value) != values.end();
}

} // namespace LaburnumChute::Dispatch
