#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include <base/clock.hpp>
#include <core/limits/program_growth.hpp>
#include <core/limits/refused_programs.hpp>

/**
 * Decides at the leader of a group whether a new program may begin, so that the turns that the group retains stay within
 * the memory and the disk of its replicas.
 *
 * Part of the capacity is set aside, so that at every later moment, counting what expires until then, new programs can
 * begin at a guaranteed rate. Room beyond that is free: programs get it at once, at any rate. Without free room, programs
 * are admitted at the rate that the room allows until more expires, and the others are refused. A program under way is
 * never refused for the room of others: what it will probably retain counts as promised from its admission on.
 *
 * While programs are refused, those that come for the first time go first: they can still end in time, and a program that
 * waited for its place would end late in place of another.
 *
 * What programs retain is learnt at all replicas. Who was refused, only the leader knows.
 */
namespace cuminledge::core::limits {

/// Programs under way may use this much beyond the capacity, as a share of it.
constexpr double reserveShare = 0.08;

/// Retained bytes that expire.
struct retained_release {
    std::chrono::milliseconds in { 0 }; ///< from now on
    std::size_t bytes = 0;
};

/// What a group retains at a moment.
struct retained_now {
    std::size_t bytes = 0;
    std::chrono::milliseconds retention { 0 }; ///< the longest of the turns
    std::vector<retained_release> releases; ///< the soonest first
};

struct program_admission {
    bool isAdmitted = true;
    std::chrono::milliseconds retryAfter { 0 }; ///< if not admitted: until those refused before it could all be admitted
};

struct retention_room {
    std::size_t capacityBytes = 0; ///< of the turns of programs; 0: no bound
    program_growth growth; ///< of the programs that have begun
    refused_programs refusedPrograms; ///< a short time ago
    double allowanceBytes = 0; ///< for new programs; grows with time
    time_point allowedAt {}; ///< up to when the allowance was counted
    std::uint64_t admitted = 0; ///< programs
    std::uint64_t admittedLater = 0; ///< of these, programs that had been refused before
    std::uint64_t refused = 0; ///< tries
    std::uint64_t refusedAgain = 0; ///< of these, tries of programs that had been refused before
};

/// The replica has got a state whose programs it has not seen begin.
/// @param programBytes that the programs of retained turns hold on average; 0: not known.
void startLearning(retention_room& room, double programBytes, time_point now);

/// Forgets who was refused in an earlier leadership, and its counts. The capacity stays, and what was seen of programs.
void startLeading(retention_room& room, time_point now);

/// Decides whether a new program may begin; counts it if so. @param program unique among the programs under way.
program_admission admitProgram(
    retention_room& room, const std::string& program, const retained_now& held, time_point now);

/// A program began. All replicas see it, so that any of them can lead. The same program twice counts once.
void noteBegun(retention_room& room, const std::string& program, time_point now);

/// A turn of `bytes` was retained. All replicas see it.
void noteRetained(retention_room& room, const std::string& program, std::size_t bytes, time_point now);

/// @return what the programs admitted a short time ago will probably retain beyond what they have.
double promisedBytes(const retention_room& room);

/// @return what may go to new programs at once, beyond the room that is set aside. Negative: that much is missing.
double freeBytes(const retention_room& room, const retained_now& held);

/// @return the bytes a second that new programs may come to retain without free room.
double admissionRate(const retention_room& room, const retained_now& held);

/// @return whether a turn of a program under way can be retained.
bool hasRoomForTurn(const retention_room& room, std::size_t heldBytes, std::size_t turnBytes);

} // namespace cuminledge::core::limits
