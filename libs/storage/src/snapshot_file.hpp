#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>

#include <storage/file_system.hpp>
#include <storage/log_store.hpp>

namespace cuminledge::storage {

/// Writes a file so that a crash leaves the old content or the new one: temporary file, sync, rename, sync of the folder.
/// @param parts the content in pieces, so that a large one need not be copied into one string.
outcome replaceFile(file_system& files, const std::string& folder, const std::string& name,
    std::initializer_list<std::string_view> parts);

/// Replaces the group's snapshot by the one in the request.
outcome writeSnapshot(file_system& files, const std::string& folder, const write_request& request);

/// Writes a piece of a snapshot that is yet to be written.
outcome writePiece(file_system& files, const std::string& folder, const stored_piece& piece);

/// Deletes the files of all pieces but the given ones.
outcome deleteOtherPieces(file_system& files, const std::string& folder, const std::vector<std::uint64_t>& pieces);

/// Reads the snapshot with its pieces into `loaded`, if there is one. @return error Corrupt if a checksum fails or a
/// piece is missing.
outcome readSnapshot(file_system& files, const std::string& folder, loaded_replica& loaded);

} // namespace cuminledge::storage
