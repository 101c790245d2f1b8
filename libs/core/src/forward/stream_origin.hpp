#pragma once

#include <optional>

#include <core/controller_client/controller_client.hpp>

#include "answers.hpp"
#include "context.hpp"

/// Lets a stream be resumed only at servers of the service and software version that began it. The origin of each
/// resumable stream is recorded in the group of its account, so that every gateway knows it, also after a restart.
namespace cuminledge::core::forward {

/// @return whether the caller resumes a stream that an earlier request began.
bool resumesStream(const forward_call& call);

/// Asks the controllers where the resumed stream began.
/// @return the refusal if the stream can't be resumed; none if the answer is awaited.
std::optional<refusal> requestOrigin(context& c, forward_call& call);

/// Takes the answer to requestOrigin(). @return the refusal if the stream can't be resumed.
std::optional<refusal> applyOrigin(context& c, forward_call& call, const wire::command_result& outcome);

/// Records the software version that is about to run the call, if the stream may be resumed later.
/// @return false if the call must wait for the confirmation, since a server of another version may have been recorded.
bool recordOrigin(context& c, forward_call& call, const std::string& softwareVersion);

/// Lets nobody resume the stream any more, since the version that ran it is in doubt.
void invalidateOrigin(context& c, forward_call& call);

} // namespace cuminledge::core::forward
