#pragma once

#include "context.hpp"

/// Orders to the engine that release the cache of programs that are over.
namespace cuminledge::core::sidecar {

/// Prefix of the request ids of release orders; the program's id follows.
constexpr const char* releasePrefix = "release:";
/// Request id of the listing's exchange.
constexpr const char* listingRequest = "list-cache";

/// The attempt has ended at the engine: its program's pin gets its lease, one outside of programs is released.
void noteCacheAfter(context& c, const attempt_entry& entry);

/// The program is over.
void onProgramEnded(context& c, const std::string& program);

/// Asks the engine what it holds.
void listCache(context& c);

void onListingData(context& c, const std::string& data);
void onListingFinished(context& c);
void onListingFailed(context& c);
void onReleaseFinished(context& c, const std::string& program);

/// The answer to a read_ended_programs.
void onEndedRead(context& c, std::uint64_t request, const result<wire::command_result>& outcome);

/// Releases expired pins, and asks about programs that have been idle for long.
void sweepCache(context& c);

} // namespace cuminledge::core::sidecar
