#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <base/error.hpp>

namespace cuminledge::storage {

/// Success carries nothing.
using outcome = result<std::monostate>;

/// A file that is open for appending. Closed by its destructor, without a sync.
class append_file {
public:
    virtual ~append_file() = default;

    /// Appends all the bytes, or fails with an unknown part of them written.
    virtual outcome append(std::string_view bytes) = 0;

    /// Makes everything appended so far durable (fdatasync). After a failure nobody knows what is durable, and a second
    /// call could succeed without having written anything: so it is never made.
    virtual outcome sync() = 0;
};

/// The calls on files that the store makes. Tests pass one that fails on demand and forgets what was not synced.
class file_system {
public:
    virtual ~file_system() = default;

    /// Makes the folder if it is missing, and its entry in the parent folder durable.
    virtual outcome createFolder(const std::string& path) = 0;

    /// @return names of the files in a folder, sorted.
    virtual result<std::vector<std::string>> list(const std::string& folder) = 0;

    /// @return the whole content.
    virtual result<std::string> read(const std::string& path) = 0;

    /// Opens for appending; creates an empty file if there is none.
    virtual result<std::unique_ptr<append_file>> openAppend(const std::string& path) = 0;

    /// Cuts the file to `size` bytes and makes that durable.
    virtual outcome truncate(const std::string& path, std::uint64_t size) = 0;

    /// Replaces `to`. Durable after syncFolder().
    virtual outcome rename(const std::string& from, const std::string& to) = 0;

    virtual outcome remove(const std::string& path) = 0;

    /// Makes creations, renames and removals in the folder durable.
    virtual outcome syncFolder(const std::string& path) = 0;
};

} // namespace cuminledge::storage
