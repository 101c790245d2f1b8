#include <core/limits/retention_room.hpp>

#include <algorithm>

namespace cuminledge::core::limits {

namespace {

    using seconds = std::chrono::duration<double>;

    /// Room is set aside for programs at this share of the sustainable rate, the capacity over the time that turns are held.
    constexpr double guaranteedShare = 0.5;
    /// Room is never used up faster than over this part of the retention.
    constexpr double minReleaseShare = 0.125;
    constexpr seconds minRelease { 1 };
    /// A program is never expected to retain more than this share of the capacity.
    constexpr double largestProgramShare = 0.125;
    /// Allowance that may be saved up.
    constexpr seconds maxSaved { 1 };
    constexpr std::chrono::milliseconds minRetryAfter { 250 };
    constexpr std::chrono::milliseconds maxRetryAfter { 30'000 };

    /// Room for new programs at a later moment, if none begins until then.
    struct later_room {
        seconds in { 0 };
        double bytes = 0;
    };

    double roomLeft(const retention_room& room, std::size_t heldBytes)
    {
        return static_cast<double>(room.capacityBytes) - static_cast<double>(heldBytes) - promisedBytes(room);
    }

    /// @return how long turns are held.
    seconds holdingTime(const retained_now& held)
    {
        const seconds retention = std::max<seconds>(held.retention, minRelease);
        return held.releases.empty() ? retention : std::max<seconds>(retention, held.releases.back().in);
    }

    /// @return the room just before each release, where it is shortest, and at the end of the holding time.
    std::vector<later_room> roomOverTime(const retention_room& room, const retained_now& held)
    {
        std::vector<later_room> rooms;
        double left = roomLeft(room, held.bytes);
        for (const auto& release : held.releases) {
            rooms.push_back({ release.in, left });
            left += static_cast<double>(release.bytes);
        }
        rooms.push_back({ holdingTime(held), left });
        return rooms;
    }

    /// @return the room that one more program needs. Bounded, so that an empty group always admits some programs, from which
    /// their size is learnt.
    double neededBytes(const retention_room& room)
    {
        return std::min(programBytes(room.growth), largestProgramShare * static_cast<double>(room.capacityBytes));
    }

    double mostSavedBytes(double rate, double programBytes)
    {
        return std::max(rate * maxSaved.count(), programBytes);
    }

    void addAllowance(retention_room& room, double rate, double programBytes, time_point now)
    {
        const seconds passed = std::max(now - room.allowedAt, duration::zero());
        room.allowedAt = now;
        room.allowanceBytes = std::min(room.allowanceBytes + rate * passed.count(), mostSavedBytes(rate, programBytes));
    }

    program_admission admit(retention_room& room, const std::string& program, double programBytes)
    {
        room.allowanceBytes = std::max(0.0, room.allowanceBytes - programBytes);
        ++room.admitted;
        room.admittedLater += noteAdmitted(room.refusedPrograms, program) ? 1 : 0;
        addProgram(room.growth, program);
        return {};
    }

    double waitingBytes(const retention_room& room, double programBytes)
    {
        return static_cast<double>(room.refusedPrograms.lastRefused.size()) * programBytes;
    }

    std::chrono::milliseconds retryAfter(const retention_room& room, double rate, double programBytes)
    {
        if (rate <= 0) {
            return maxRetryAfter;
        }
        const seconds wait { std::max(0.0, waitingBytes(room, programBytes) - room.allowanceBytes) / rate };
        const seconds bounded = std::clamp<seconds>(wait, minRetryAfter, maxRetryAfter);
        return std::chrono::duration_cast<std::chrono::milliseconds>(bounded);
    }

    program_admission refuse(
        retention_room& room, const std::string& program, double rate, double programBytes, time_point now)
    {
        ++room.refused;
        room.refusedAgain += wasRefused(room.refusedPrograms, program) ? 1 : 0;
        noteRefused(room.refusedPrograms, program, now);
        return { false, retryAfter(room, rate, programBytes) };
    }

    /// @return whether there is room at once for the program. One that comes back needs room for all that may come back.
    bool isFree(const retention_room& room, const std::string& program, double freeBytes, double programBytes)
    {
        const bool comesBack = wasRefused(room.refusedPrograms, program);
        return freeBytes >= programBytes + (comesBack ? waitingBytes(room, programBytes) : 0);
    }

    /// @return whether the rate allows the program. One that comes back gets only what is left over by the others.
    bool isAllowed(const retention_room& room, const std::string& program, double rate, double programBytes)
    {
        const bool comesBack = wasRefused(room.refusedPrograms, program);
        return room.allowanceBytes >= (comesBack ? mostSavedBytes(rate, programBytes) : programBytes);
    }

} // namespace

void startLearning(retention_room& room, double programBytes, time_point now)
{
    startLearning(room.growth, programBytes, now);
}

void startLeading(retention_room& room, time_point now)
{
    room.refusedPrograms = {};
    room.allowanceBytes = 0;
    room.allowedAt = now;
    room.admitted = 0;
    room.admittedLater = 0;
    room.refused = 0;
    room.refusedAgain = 0;
}

program_admission admitProgram(
    retention_room& room, const std::string& program, const retained_now& held, time_point now)
{
    if (room.capacityBytes == 0) {
        ++room.admitted;
        return {};
    }
    advance(room.growth, now);
    forgetOld(room.refusedPrograms, now);
    const double bytes = neededBytes(room);
    const double rate = admissionRate(room, held);
    addAllowance(room, rate, bytes, now);
    if (isFree(room, program, freeBytes(room, held), bytes)) {
        return admit(room, program, bytes);
    }
    if (roomLeft(room, held.bytes) < bytes || !isAllowed(room, program, rate, bytes)) {
        return refuse(room, program, rate, bytes, now);
    }
    return admit(room, program, bytes);
}

void noteBegun(retention_room& room, const std::string& program, time_point now)
{
    advance(room.growth, now);
    addProgram(room.growth, program);
}

void noteRetained(retention_room& room, const std::string& program, std::size_t bytes, time_point now)
{
    advance(room.growth, now);
    addRetained(room.growth, program, bytes);
}

double promisedBytes(const retention_room& room)
{
    return remainingBytes(room.growth);
}

double freeBytes(const retention_room& room, const retained_now& held)
{
    const double guaranteed = guaranteedShare * static_cast<double>(room.capacityBytes) / holdingTime(held).count();
    auto least = static_cast<double>(room.capacityBytes);
    for (const auto& later : roomOverTime(room, held)) {
        least = std::min(least, later.bytes - guaranteed * later.in.count());
    }
    return least;
}

double admissionRate(const retention_room& room, const retained_now& held)
{
    const seconds soonest = std::max<seconds>(minRelease, held.retention * minReleaseShare);
    auto least = static_cast<double>(room.capacityBytes) / soonest.count();
    for (const auto& later : roomOverTime(room, held)) {
        least = std::min(least, later.bytes / std::max(later.in, soonest).count());
    }
    return std::max(0.0, least);
}

bool hasRoomForTurn(const retention_room& room, std::size_t heldBytes, std::size_t turnBytes)
{
    const auto most = static_cast<double>(room.capacityBytes) * (1 + reserveShare);
    return room.capacityBytes == 0 || static_cast<double>(heldBytes + turnBytes) <= most;
}

} // namespace cuminledge::core::limits
