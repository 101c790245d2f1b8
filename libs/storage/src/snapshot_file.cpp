#include "snapshot_file.hpp"

#include <utility>

#include "record.hpp"

namespace cuminledge::storage {

constexpr const char* snapshotName = "snapshot";
constexpr std::size_t numberBytes = 8;
constexpr std::size_t headBytes = 2 * numberBytes; ///< checksum, length of the description

namespace {

    struct snapshot_description {
        std::uint64_t index = 0;
        std::uint64_t term = 0;
        std::string configuration;
        std::uint64_t stateBytes = 0;
        MSGPACK_DEFINE(index, term, configuration, stateBytes)
    };

} // namespace

outcome replaceFile(file_system& files, const std::string& folder, const std::string& name,
    std::initializer_list<std::string_view> parts)
{
    const std::string path = folder + "/" + name;
    const std::string temporary = path + ".tmp";
    if (auto removed = files.remove(temporary); !removed && removed.error().code != error_code::NotFound) {
        return removed;
    }
    auto file = files.openAppend(temporary);
    if (!file) {
        return tl::unexpected(file.error());
    }
    for (const auto part : parts) {
        if (auto appended = (*file)->append(part); !appended) {
            return appended;
        }
    }
    return (*file)
        ->sync()
        .and_then([&](auto) { return files.rename(temporary, path); })
        .and_then([&](auto) { return files.syncFolder(folder); });
}

outcome writeSnapshot(file_system& files, const std::string& folder, const write_request& request)
{
    const snapshot_description description { request.snapshotIndex, request.snapshotTerm,
        request.snapshotConfiguration, request.snapshot.size() };
    const std::string described = wire::encodeStruct(description);
    std::string length;
    putNumber(length, described.size(), numberBytes);
    std::string sum;
    putNumber(sum, checksum({ length, described, request.snapshot }), numberBytes);
    return replaceFile(files, folder, snapshotName, { sum, length, described, request.snapshot });
}

static tl::unexpected<error> damaged(const std::string& path)
{
    return failure(error_code::Corrupt, "damaged snapshot " + path, "load_snapshot");
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
    return {};
}

} // namespace cuminledge::storage
