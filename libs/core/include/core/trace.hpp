#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

#include <base/clock.hpp>
#include <base/error.hpp>
#include <core/effect.hpp>
#include <core/event.hpp>

/// A recorded run of the reducer: each event with its time, and a digest of the effects that followed. Replaying the
/// events on the same first state must give the same digests (see replayTrace() in node.hpp).
namespace cuminledge::core {

/// One step of a trace.
struct trace_record {
    std::int64_t nanoseconds = 0; ///< monotonic time of the event in the recording process
    std::string event; ///< encodeVariant(event)
    std::uint64_t effectsDigest = 0;
    MSGPACK_DEFINE(nanoseconds, event, effectsDigest)
};

/// @return a digest of the effects, their order and every field of them.
std::uint64_t digestOf(const effects& caused);

/// @return the frame of one record as it stands in a trace file: 4 bytes of length, little-endian, then the record.
std::string encodeTraceRecord(time_point at, const event& happened, const effects& caused);

/// @return whether a whole record stands at the start of these bytes. A killed process leaves its last one cut off.
bool hasTraceRecord(std::string_view trace);

/**
 * Takes the next record off a trace.
 *
 * @param trace the remaining bytes; moved past the record.
 * @return an error when the bytes left are not a whole record.
 */
result<trace_record> readTraceRecord(std::string_view& trace);

} // namespace cuminledge::core
