#pragma once

#include <storage/file_system.hpp>

namespace cuminledge::storage {

/// The machine's files, by blocking calls: for a thread that does nothing else.
class posix_files final : public file_system {
public:
    outcome createFolder(const std::string& path) override;
    result<std::vector<std::string>> list(const std::string& folder) override;
    result<std::string> read(const std::string& path) override;
    result<std::unique_ptr<append_file>> openAppend(const std::string& path) override;
    outcome truncate(const std::string& path, std::uint64_t size) override;
    outcome rename(const std::string& from, const std::string& to) override;
    outcome remove(const std::string& path) override;
    outcome syncFolder(const std::string& path) override;
};

} // namespace cuminledge::storage
