#pragma once

#include <vanillalift/clock.h>

#include <chrono>

namespace vanillalift {

/// How many jobs a workspace may submit by agreement: `weight` a second, in any window.
struct AgreedRateSettings {
    Duration window = std::chrono::seconds(5);
    /// Share by which a window may exceed the rate, and jobs that it may hold in addition.
    double overage = 0.1;
    double slack = 20;
};

/// Parts of the scheduler that a deployment's settings switch on. Without a part, decisions are those of a scheduler that lacks it.
struct Features {
    /// Operators may evacuate availability zones.
    bool evacuation = false;
    /// Jobs that a workspace submits beyond its agreed rate give way to those within it.
    bool entitlement = false;
    /// Jobs whose results can no longer be of value ask for no instances while others wait.
    bool deferral = false;
    /// Run times are estimated from earlier runs in addition to what callers declare.
    bool learnedRunTimes = false;
    /// Pools that together want more instances than there are get them by what their callers would lose.
    bool scarcity = false;
    /// Large tasks that wait reserve room that is expected to become free.
    bool reservations = false;
    AgreedRateSettings agreedRate;
};

} // namespace vanillalift
