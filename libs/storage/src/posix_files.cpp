#include <storage/posix_files.hpp>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <filesystem>

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

namespace cuminledge::storage {

namespace {

    constexpr mode_t fileMode = 0600;
    constexpr mode_t folderMode = 0700;

    tl::unexpected<error> failed(const std::string& step, const std::string& path)
    {
        const int number = errno;
        // A limit on the size of files leaves as little space as a quota or the disk itself.
        const bool isFull = number == ENOSPC || number == EDQUOT || number == EFBIG;
        const error_code code = isFull ? error_code::DiskFull : error_code::Storage;
        return failure(number == ENOENT ? error_code::NotFound : code, path + ": " + std::generic_category().message(number), step);
    }

    /// Closes a file descriptor at the end of its scope.
    class descriptor {
    public:
        explicit descriptor(int number)
            : m_number(number)
        {
        }
        descriptor(const descriptor&) = delete;
        descriptor& operator=(const descriptor&) = delete;
        ~descriptor()
        {
            if (m_number >= 0) {
                ::close(m_number);
            }
        }
        [[nodiscard]] int number() const { return m_number; }

    private:
        int m_number;
    };

    int openRetrying(const std::string& path, int flags)
    {
        int number = -1;
        do {
            number = ::open(path.c_str(), flags | O_CLOEXEC, fileMode);
        } while (number < 0 && errno == EINTR);
        return number;
    }

    class posix_append_file final : public append_file {
    public:
        posix_append_file(int number, std::string path)
            : m_descriptor(number)
            , m_path(std::move(path))
        {
        }

        outcome append(std::string_view bytes) override
        {
            while (!bytes.empty()) {
                const ssize_t written = ::write(m_descriptor.number(), bytes.data(), bytes.size());
                if (written < 0 && errno == EINTR) {
                    continue;
                }
                if (written < 0) {
                    return failed("append", m_path);
                }
                bytes.remove_prefix(static_cast<std::size_t>(written));
            }
            return {};
        }

        outcome sync() override
        {
            if (::fdatasync(m_descriptor.number()) != 0) {
                return failed("sync", m_path);
            }
            return {};
        }

    private:
        descriptor m_descriptor;
        std::string m_path;
    };

} // namespace

outcome posix_files::createFolder(const std::string& path)
{
    if (::mkdir(path.c_str(), folderMode) == 0) {
        const auto parent = std::filesystem::absolute(path).lexically_normal().parent_path();
        return syncFolder(parent.string());
    }
    if (errno != EEXIST) {
        return failed("create_folder", path);
    }
    return {};
}

result<std::vector<std::string>> posix_files::list(const std::string& folder)
{
    std::error_code code;
    std::vector<std::string> names;
    std::filesystem::directory_iterator i(folder, code);
    const std::filesystem::directory_iterator end;
    while (!code && i != end) {
        names.push_back(i->path().filename().string());
        i.increment(code);
    }
    if (code) {
        return failure(error_code::Storage, folder + ": " + code.message(), "list");
    }
    std::sort(names.begin(), names.end());
    return names;
}

result<std::string> posix_files::read(const std::string& path)
{
    const descriptor file(openRetrying(path, O_RDONLY));
    if (file.number() < 0) {
        return failed("read", path);
    }
    constexpr std::size_t pieceBytes = 1U << 20U;
    std::string content;
    struct stat info { };
    if (::fstat(file.number(), &info) == 0) {
        // Growing by doubling would take twice the size.
        content.reserve(static_cast<std::size_t>(info.st_size) + pieceBytes);
    }
    while (true) {
        const std::size_t size = content.size();
        content.resize(size + pieceBytes);
        const ssize_t count = ::read(file.number(), &content[size], pieceBytes);
        content.resize(size + static_cast<std::size_t>(std::max<ssize_t>(count, 0)));
        if (count == 0) {
            return content;
        }
        if (count < 0 && errno != EINTR) {
            return failed("read", path);
        }
    }
}

result<std::unique_ptr<append_file>> posix_files::openAppend(const std::string& path)
{
    const int number = openRetrying(path, O_WRONLY | O_APPEND | O_CREAT);
    if (number < 0) {
        return failed("open", path);
    }
    return std::make_unique<posix_append_file>(number, path);
}

outcome posix_files::truncate(const std::string& path, std::uint64_t size)
{
    const descriptor file(openRetrying(path, O_WRONLY));
    if (file.number() < 0) {
        return failed("truncate", path);
    }
    if (::ftruncate(file.number(), static_cast<off_t>(size)) != 0 || ::fsync(file.number()) != 0) {
        return failed("truncate", path);
    }
    return {};
}

outcome posix_files::rename(const std::string& from, const std::string& to)
{
    if (::rename(from.c_str(), to.c_str()) != 0) {
        return failed("rename", from);
    }
    return {};
}

outcome posix_files::remove(const std::string& path)
{
    if (::unlink(path.c_str()) != 0) {
        return failed("remove", path);
    }
    return {};
}

outcome posix_files::syncFolder(const std::string& path)
{
    const descriptor folder(openRetrying(path, O_RDONLY | O_DIRECTORY));
    if (folder.number() < 0 || ::fsync(folder.number()) != 0) {
        return failed("sync_folder", path);
    }
    return {};
}

} // namespace cuminledge::storage
