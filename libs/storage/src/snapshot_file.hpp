#pragma once

#include <string>

#include <storage/file_system.hpp>
#include <storage/log_store.hpp>

namespace cuminledge::storage {

/// Writes a file so that a crash leaves the old content or the new one: temporary file, sync, rename, sync of the folder.
outcome replaceFile(file_system& files, const std::string& folder, const std::string& name, const std::string& content);

/// Replaces the group's snapshot by the one in the request.
outcome writeSnapshot(file_system& files, const std::string& folder, const write_request& request);

/// Reads the snapshot into `loaded`, if there is one. @return error Corrupt if its checksum fails.
outcome readSnapshot(file_system& files, const std::string& folder, loaded_replica& loaded);

} // namespace cuminledge::storage
