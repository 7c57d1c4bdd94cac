#pragma once

#include <vanillalift/clock.h>

#include <msgpack.hpp>

#include <cstdint>
#include <limits>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/// Decides which task a crash of its endpoint is attributed to. Answers the load of a task that crashes each endpoint that starts
/// it, among tasks that are hit by its crashes and by ordinary ones.
namespace vanillalift::jobs {

/// What is known of the crashes under one task.
struct CrashRecord {
    /// Endpoints that crashed while they ran the task.
    uint32_t crashes = 0;
    /// Probable number of these crashes that the task caused, in thousandths.
    uint32_t blame = 0;
    /// The lowest weight of the suspicion against one of its runs.
    uint32_t lowestWeight = std::numeric_limits<uint32_t>::max();
    /// Address of the endpoint that crashed last, and whether endpoints at other addresses have crashed, too.
    std::string lastAddress;
    bool hasSeveralAddresses = false;

    MSGPACK_DEFINE(crashes, blame, lowestWeight, lastAddress, hasSeveralAddresses)
    /// Adds a crash of the endpoint at the address. A task whose run went on for a while before one crash is a less probable cause of
    /// the others, too.
    void add(uint32_t share, uint32_t weight, std::string_view address);
};

/// One whole crash, in units of CrashRecord::blame.
constexpr uint32_t fullBlame = 1000;
/// Possible crashes from which a task gets no speculative copies: a copy is placed before a crash is certain.
constexpr uint32_t maxCrashesForCopies = 2;

/// @param age time that the run had been in progress when its endpoint was lost.
/// @returns the weight of the suspicion against the run, relative to others on the endpoint: most faults show right after the start.
uint32_t suspicionWeight(Duration age);

/// Divides the blame for one crash by weight, among the runs and causes that are no task.
std::vector<uint32_t> blameShares(std::span<const uint32_t> weights);

/// @returns whether the task is to be given up: endpoints at several addresses have crashed under it, or one many times, and it has
/// probably caused more than one of these crashes. An endpoint that crashes again and again may be the cause itself.
bool isAtFault(const CrashRecord& record);

/// @returns whether the task is to be started apart from other starts, so that another crash tells whether it is the cause.
bool needsIsolation(const CrashRecord& possible);

/// @param possible the record if all losses of endpoints that may be crashes turn out to be crashes.
/// @returns whether the task has to wait until that is known, since it would be given up.
bool isHeldBack(const CrashRecord& known, const CrashRecord& possible);

/// An endpoint that ended without a plan, or does not answer.
struct EndpointLoss {
    std::string endpoint;
    std::string address;
    std::string rack;
    std::string availabilityZone;
    /// The loss happened between these times.
    TimePoint notBefore;
    TimePoint notAfter;
};

/// Endpoints that have answered since a loss.
struct Survivors {
    size_t inRack = 0;
    size_t inZone = 0;
};

/// @param losses other losses.
/// @returns whether the endpoint was lost together with most others of its rack or availability zone, as in a power failure: no
/// task is the cause of that.
bool isGroupLoss(const EndpointLoss& loss, std::span<const EndpointLoss> losses, const Survivors& survivors);

} // namespace vanillalift::jobs
