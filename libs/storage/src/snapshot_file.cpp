#include "snapshot_file.hpp"

#include <set>
#include <utility>

#include <fmt/format.h>

#include "record.hpp"

namespace cuminledge::storage {

constexpr const char* snapshotName = "snapshot";
constexpr std::string_view temporaryNameEnd = ".tmp";
constexpr std::size_t numberBytes = 8;
constexpr std::size_t headBytes = 2 * numberBytes; ///< checksum, length of the description

namespace {

    struct snapshot_description {
        std::uint64_t index = 0;
        std::uint64_t term = 0;
        std::string configuration;
        std::uint64_t stateBytes = 0;
        std::vector<std::uint64_t> pieces;
        MSGPACK_DEFINE(index, term, configuration, stateBytes, pieces)
    };

} // namespace

outcome replaceFile(file_system& files, const std::string& folder, const std::string& name,
    std::initializer_list<std::string_view> parts)
{
    const std::string path = folder + "/" + name;
    const std::string temporary = fmt::format("{}{}", path, temporaryNameEnd);
    if (auto removed = files.remove(temporary); !removed && removed.error().code != error_code::NotFound) {
        return removed;
    }
    auto file = files.openAppend(temporary);
    if (!file) {
        return tl::unexpected(file.error());
    }
    for (const auto part : parts) {
        if (auto appended = (*file)->append(part); !appended) {
            static_cast<void>(files.remove(temporary)); // a full disk gets its space back
            return appended;
        }
    }
    if (auto synced = (*file)->sync(); !synced) {
        static_cast<void>(files.remove(temporary));
        return synced;
    }
    return files.rename(temporary, path)
        .and_then([&](auto) { return files.syncFolder(folder); });
}

outcome writeSnapshot(file_system& files, const std::string& folder, const write_request& request)
{
    const snapshot_description description { request.snapshotIndex, request.snapshotTerm,
        request.snapshotConfiguration, request.snapshot.size(), request.pieces };
    const std::string described = wire::encodeStruct(description);
    std::string length;
    putNumber(length, described.size(), numberBytes);
    std::string sum;
    putNumber(sum, checksum({ length, described, request.snapshot }), numberBytes);
    return replaceFile(files, folder, snapshotName, { sum, length, described, request.snapshot });
}

//------------------------------------------------------------------------------------------------------------------
// Pieces
//------------------------------------------------------------------------------------------------------------------

constexpr std::string_view pieceNameStart = "piece-";

static std::string pieceName(std::uint64_t id)
{
    return fmt::format("{}{:010}", pieceNameStart, id);
}

outcome writePiece(file_system& files, const std::string& folder, const stored_piece& piece)
{
    std::string sum;
    putNumber(sum, checksum(piece.data, piece.id), numberBytes);
    return replaceFile(files, folder, pieceName(piece.id), { sum, piece.data });
}

outcome deleteOtherPieces(file_system& files, const std::string& folder, const std::vector<std::uint64_t>& pieces)
{
    std::set<std::string> kept;
    for (const auto id : pieces) {
        kept.insert(pieceName(id));
    }
    const auto names = files.list(folder);
    if (!names) {
        return tl::unexpected(names.error());
    }
    bool hasRemoved = false;
    for (const auto& name : *names) {
        const bool isPiece = name.starts_with(pieceNameStart) && !kept.contains(name);
        if (!isPiece && !name.ends_with(temporaryNameEnd)) {
            continue;
        }
        if (auto removed = files.remove(fmt::format("{}/{}", folder, name)); !removed) {
            return removed;
        }
        hasRemoved = true;
    }
    // Without it, pieces may be back after a power loss, and take the space of the next ones.
    return hasRemoved ? files.syncFolder(folder) : outcome {};
}

static tl::unexpected<error> damaged(const std::string& path)
{
    return failure(error_code::Corrupt, "damaged snapshot " + path, "load_snapshot");
}

static outcome readPiece(file_system& files, const std::string& folder, std::uint64_t id, loaded_replica& loaded)
{
    const std::string path = folder + "/" + pieceName(id);
    auto content = files.read(path);
    if (!content) {
        return content.error().code == error_code::NotFound ? damaged(path) : tl::unexpected(content.error());
    }
    const std::string_view view = *content;
    if (view.size() < numberBytes || checksum(view.substr(numberBytes), id) != getNumber(view, 0, numberBytes)) {
        return damaged(path);
    }
    content->erase(0, numberBytes);
    loaded.pieces.push_back({ id, std::move(*content) });
    return {};
}

outcome readSnapshot(file_system& files, const std::string& folder, loaded_replica& loaded)
{
    const std::string path = folder + "/" + snapshotName;
    auto content = files.read(path);
    if (!content) {
        return content.error().code == error_code::NotFound ? outcome {} : tl::unexpected(content.error());
    }
    const std::string_view view = *content;
    if (view.size() < headBytes || checksum(view.substr(numberBytes), 0) != getNumber(view, 0, numberBytes)) {
        return damaged(path);
    }
    const std::uint64_t length = getNumber(view, numberBytes, numberBytes);
    if (length > view.size() - headBytes) {
        return damaged(path);
    }
    auto description
        = wire::decodeStruct<snapshot_description>(view.substr(headBytes, length), "load_snapshot", path);
    if (!description || description->stateBytes != view.size() - headBytes - length) {
        return damaged(path);
    }
    loaded.snapshotIndex = description->index;
    loaded.snapshotTerm = description->term;
    loaded.snapshotConfiguration = std::move(description->configuration);
    content->erase(0, headBytes + length); // in place: a copy would double the memory that a start takes
    loaded.snapshot = std::move(*content);
    for (const auto id : description->pieces) {
        if (auto read = readPiece(files, folder, id, loaded); !read) {
            return read;
        }
    }
    return {};
}

} // namespace cuminledge::storage
